"""Reservations of waiting tasks on the room that will be free first.

Addresses small tasks that take each gap as it appears, so that a large task, or
a gang, finds no room for as long as they keep coming.
"""

from collections.abc import Callable, Container, Iterable, Mapping, Sequence
import heapq

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.backfill import claim as claim_types
from turmerichall.dispatch.backfill import nearest_workers
from turmerichall.dispatch.backfill import room
from turmerichall.dispatch.forecasts import forecast
from turmerichall.queues import demand as demands

__all__ = ["Claims", "IsSuitable", "make_claims"]

# Idle time that a reservation may cause, as a share of the time that it saves.
IDLE_SHARE = 0.75
# Share of the time to its start for which reserved room is idle on average, as
# the runs there end one by one.
MEAN_IDLE = 0.5
# Maximum time from now to the start of a reservation.
HORIZON_SECONDS = 30.0
# Maximum number of tasks with reservations, per group that isn't a gang and in
# total.
MAX_TASKS_PER_GROUP = 8
MAX_TASKS = 64
# A worker is changed for another only if the task can start there this much
# earlier, so that reservations don't alternate between workers.
CHANGE_SECONDS = 0.1

IsSuitable = Callable[[backlogs.GroupName, worker_state.Worker], bool]


class Claims:
    """The reservations of one placing round.

    Attributes:
        by_worker: Reservations by id of their worker.
        released: Ids of workers from which reservations were removed.
    """

    def __init__(
        self,
        claims: Iterable[claim_types.Claim] = (),
        profiles: Mapping[str, room.Profile] | None = None,
    ):
        """Index the reservations.

        Args:
            claims: The reservations.
            profiles: Forecast ends of the runs on their workers, by id.
        """
        self.by_worker: dict[str, list[claim_types.Claim]] = {}
        self.released: set[str] = set()
        self._profiles = profiles or {}
        for claim in claims:
            self.by_worker.setdefault(claim.worker_id, []).append(claim)

    def all(self) -> list[claim_types.Claim]:
        """Return all reservations."""
        return [claim for row in self.by_worker.values() for claim in row]

    def permits(
        self,
        worker: worker_state.Worker,
        step: demands.StepDemand,
        group_name: backlogs.GroupName,
        expected_seconds: float,
        now: float,
        urgency: claim_types.Urgency,
    ) -> bool:
        """Return whether a task may start on a worker.

        More urgent work always may.  Other work may if it ends before each
        reservation there starts, if it leaves enough room for it, or if keeping
        the room idle would cost too much for the delay that it prevents.

        Args:
            worker: The worker.
            step: The step of the task.
            group_name: Name of its group.
            expected_seconds: Time that few runs of the task exceed; infinite
                for a long-running one.
            now: Current time on the steady clock.
            urgency: Urgency of its group.
        """
        claims = self.by_worker.get(worker.record.id)
        if not claims:
            return True
        binding = [
            claim
            for claim in claims
            if claim.group != group_name and claim.urgency <= urgency
        ]
        ends_at = now + expected_seconds
        for claim in binding:
            if ends_at <= claim.starts_at:
                continue
            # A task that starts now delays the reserved one until its end.
            # Others will follow it as they did before, so the wait so far
            # stands for the delay that they would cause.
            idle_seconds = MEAN_IDLE * (claim.starts_at - now)
            saved_seconds = (ends_at - claim.starts_at) + (
                now - claim.waits_since
            )
            if idle_seconds > IDLE_SHARE * saved_seconds:
                continue
            if not self._leaves_room(worker, step, claim, binding):
                return False
        return True

    def _leaves_room(
        self,
        worker: worker_state.Worker,
        step: demands.StepDemand,
        claim: claim_types.Claim,
        binding: Sequence[claim_types.Claim],
    ) -> bool:
        """Return whether a reservation still fits beside a task."""
        taken = room.use(step)
        left = room.free_room(worker).minus(taken)
        left = left.plus(
            self._profiles[claim.worker_id].freed_by(claim.starts_at)
        )
        for other in binding:
            if other is not claim and other.starts_at <= claim.starts_at:
                left = left.minus(room.use(other.step))
        needed = room.need(claim.step)
        return all(
            has >= wanted
            for has, wanted, takes in zip(left, needed, taken)
            if wanted > 0 and takes > 0
        )

    def hold(
        self,
        groups: Container[backlogs.GroupName],
        workers: Mapping[str, Sequence[worker_state.Worker]],
    ) -> bool:
        """Return whether all groups and workers of the reservations remain.

        Args:
            groups: Names of the blocked groups.
            workers: Workers that may get tasks, by service.
        """
        if not self.by_worker:
            return True
        usable = {
            worker.record.id: worker
            for row in workers.values()
            for worker in row
        }
        return all(
            claim.group in groups
            and claim.worker_id in usable
            and usable[claim.worker_id].capacity
            == self._profiles[claim.worker_id].capacity
            for claim in self.all()
        )

    def loosened(self, later: "Claims") -> list[str]:
        """Return the ids of workers on which later reservations permit more."""
        if later is self:
            return []
        kept = {(each.group, each.worker_id): each for each in later.all()}
        loosened = set(self.released)
        for claim in self.all():
            other = kept.get((claim.group, claim.worker_id))
            if (
                other is None
                or other.starts_at > claim.starts_at + CHANGE_SECONDS
            ):
                loosened.add(claim.worker_id)
        return sorted(loosened)

    def release(self, group_name: backlogs.GroupName, worker_id: str) -> None:
        """Remove a reservation of a group of which a task was placed.

        It is the one on the task's worker, or the latest one of the group.

        Args:
            group_name: Name of the group.
            worker_id: Id of the worker on which the task was placed.
        """
        own = [claim for claim in self.all() if claim.group == group_name]
        if not own:
            return
        claim = max(
            own,
            key=lambda claim: (claim.worker_id == worker_id, claim.starts_at),
        )
        claims = self.by_worker[claim.worker_id]
        claims.remove(claim)
        self.released.add(claim.worker_id)
        if not claims:
            del self.by_worker[claim.worker_id]


def make_claims(
    blocked: Sequence[claim_types.BlockedGroup],
    workers: Mapping[str, Sequence[worker_state.Worker]],
    forecaster: forecast.Forecaster,
    now: float,
    is_suitable: IsSuitable = lambda name, worker: True,
) -> Claims:
    """Reserve the room that will be free first for groups without room.

    Args:
        blocked: The groups, those that choose first in front.
        workers: Workers that may get tasks, by service.
        forecaster: Forecasts of run times.
        now: Current time on the steady clock.
        is_suitable: Whether a task of a group may start on a worker that has
            room for it now, apart from that room.
    """
    maker = _Maker(forecaster, now, is_suitable)
    for group in blocked:
        maker.add(group, workers.get(group.service, ()))
    return Claims(maker.claims, maker.profiles)


class _Maker:
    """Reservations in the making, and the forecasts that they are based on.

    Attributes:
        claims: The reservations made so far.
        profiles: Forecast ends of the runs on workers, by id.
    """

    def __init__(
        self,
        forecaster: forecast.Forecaster,
        now: float,
        is_suitable: IsSuitable,
    ):
        self.claims: list[claim_types.Claim] = []
        self.profiles: dict[str, room.Profile] = {}
        self._forecaster = forecaster
        self._now = now
        self._is_suitable = is_suitable
        self._reserved: dict[str, room.Room] = {}

    def add(
        self,
        group: claim_types.BlockedGroup,
        workers: Sequence[worker_state.Worker],
    ) -> None:
        """Make reservations for a group, if it may have any."""
        step = group.step
        count = group.waiting
        if not step.gang:
            count = min(count, MAX_TASKS_PER_GROUP)
        if count > MAX_TASKS - len(self.claims):
            return
        chosen: list[tuple[float, worker_state.Worker]] = []
        if step.same_rack:
            chosen = self._choose_on_one_rack(group, count, workers)
        if not chosen:
            nearest = nearest_workers.nearest(step, count, workers)
            chosen = self._choose(group, count, nearest)
        if step.gang and chosen:
            if len(chosen) < count:
                return
            latest = max(at for at, _ in chosen)
            chosen = [(latest, worker) for _, worker in chosen]
        for at, worker in chosen:
            worker_id = worker.record.id
            self.claims.append(
                claim_types.Claim(
                    group.name,
                    worker_id,
                    step,
                    group.urgency,
                    at,
                    group.waits_since,
                )
            )
            self._reserved[worker_id] = self._reserved.get(
                worker_id, room.NONE
            ).plus(room.use(step))

    def _choose_on_one_rack(
        self,
        group: claim_types.BlockedGroup,
        count: int,
        workers: Sequence[worker_state.Worker],
    ) -> list[tuple[float, worker_state.Worker]]:
        """Choose workers of the rack on which all tasks fit first."""
        by_rack: dict[str, list[worker_state.Worker]] = {}
        for worker in nearest_workers.nearest(
            group.step, count, workers, len(workers)
        ):
            by_rack.setdefault(worker.record.rack, []).append(worker)
        best: list[tuple[float, worker_state.Worker]] = []
        for rack in by_rack.values():
            chosen = self._choose(group, count, rack)
            if len(chosen) == count and (
                not best
                or max(at for at, _ in chosen) < max(at for at, _ in best)
            ):
                best = chosen
        return best

    def _choose(
        self,
        group: claim_types.BlockedGroup,
        count: int,
        workers: Sequence[worker_state.Worker],
    ) -> list[tuple[float, worker_state.Worker]]:
        """Choose the workers on which tasks fit first, with those times.

        A worker that has room now but does not suit the tasks is left out.
        """
        step = group.step
        siblings = dict(group.siblings)
        taken: dict[str, room.Room] = {}

        def earliest(worker: worker_state.Worker) -> float:
            worker_id = worker.record.id
            if (
                step.max_per_worker
                and siblings.get(worker_id, 0) >= step.max_per_worker
            ):
                return float("inf")
            profile = self.profiles.get(worker_id)
            if profile is None:
                profile = room.Profile(worker, self._forecaster, self._now)
                self.profiles[worker_id] = profile
            free = room.free_room(worker)
            for reserved in (self._reserved, taken):
                if worker_id in reserved:
                    free = free.minus(reserved[worker_id])
            at = profile.earliest(free, room.need(step), self._now)
            if at <= self._now and not self._is_suitable(group.name, worker):
                return float("inf")
            return at

        def entry(number: int) -> tuple[float, int, float] | None:
            worker = workers[number]
            at = earliest(worker)
            if at > self._now + HORIZON_SECONDS:
                return None
            is_held = worker.record.id in group.held
            return at - CHANGE_SECONDS * is_held, number, at

        heap = [
            row for row in map(entry, range(len(workers))) if row is not None
        ]
        heapq.heapify(heap)
        chosen: list[tuple[float, worker_state.Worker]] = []
        while heap and len(chosen) < count:
            _, number, at = heap[0]
            worker = workers[number]
            chosen.append((at, worker))
            worker_id = worker.record.id
            siblings[worker_id] = siblings.get(worker_id, 0) + 1
            taken[worker_id] = taken.get(worker_id, room.NONE).plus(
                room.use(step)
            )
            following = entry(number)
            if following is None:
                heapq.heappop(heap)
            else:
                heapq.heapreplace(heap, following)
        return chosen
