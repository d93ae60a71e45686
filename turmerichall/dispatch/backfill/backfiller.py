"""Backfill of reserved room, as the planner calls it once a round.

The reservations are derived from the waiting groups and the running tasks: a
new leader has none until groups have been blocked for a while, and callers see
no more of that than a start that is later by about that time.
"""

from collections.abc import Iterable, Mapping, Sequence

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import interference_model as interference_models
from turmerichall.dispatch import placement
from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.backfill import blocked_groups
from turmerichall.dispatch.backfill import claims as claim_sets
from turmerichall.dispatch.backfill import room
from turmerichall.dispatch.backfill import wait_reports
from turmerichall.dispatch.forecasts import forecast
from turmerichall.dispatch.waiting_order import order
from turmerichall.peers import link
from turmerichall.settings import queue_settings
from turmerichall.telemetry import lightweight_metrics

__all__ = ["Backfiller", "NoBackfill", "make_backfiller"]

# Time after which reservations are made anew from the latest forecasts, which
# bounds the leader's work.  They end with their groups and workers at once.
REFRESH_SECONDS = 0.2


class NoBackfill:
    """Placement without reservations: nothing is held back."""

    def clear(self) -> None:
        """Drop the reservations, since nothing waits."""

    def begin_round(
        self,
        ranked: Sequence[order.RankedGroup],
        workers: Mapping[str, Sequence[worker_state.Worker]],
        now: float,
    ) -> Iterable[str]:
        """Make the reservations of a placing round.

        Args:
            ranked: The waiting groups in the order in which they are placed.
            workers: Workers that may get tasks, by service.
            now: Current time on the steady clock.

        Returns:
            Ids of the workers on which tasks without room may fit now.
        """
        del ranked, workers, now
        return ()

    def allowed(
        self,
        group: backlogs.TaskGroup,
        workers: list[worker_state.Worker],
        now: float,
    ) -> list[worker_state.Worker]:
        """Return the workers on which reservations permit tasks of a group.

        Args:
            group: The group, which is placed next.
            workers: The workers to choose from.
            now: Current time on the steady clock.
        """
        del group, now
        return workers

    def best(
        self,
        candidates: placement.Candidates,
        group: backlogs.TaskGroup,
        now: float,
    ) -> worker_state.Worker | None:
        """Return the best worker on which a task of a group may start.

        Args:
            candidates: The workers to choose from; those on which it may not
                start are removed.
            group: The group.
            now: Current time on the steady clock.
        """
        del group, now
        return candidates.best()

    def record_placed(
        self,
        group: backlogs.TaskGroup,
        planned: Sequence[tuple[worker_state.Worker, run_state.Run]],
        now: float,
    ) -> None:
        """Record that tasks of a group start.

        Args:
            group: The group.
            planned: The runs, with their workers.
            now: Current time on the steady clock.
        """

    def end_round(self, now: float) -> None:
        """Record which groups have found no room, and report on them.

        Args:
            now: Current time on the steady clock.
        """


class Backfiller(NoBackfill):
    """The reservations of one term's leader.

    Attributes:
        claims: Reservations of the current placing round.
        idle_cpu: Free processors that were kept for reservations in the latest
            round although other tasks could use them, in thousandths of a core.
    """

    def __init__(
        self,
        forecaster: forecast.Forecaster,
        interference_model: interference_models.InterferenceModel,
        log: link.Log,
        metrics_registry: lightweight_metrics.MetricsRegistry,
    ):
        self.claims = claim_sets.Claims()
        self.idle_cpu = 0.0
        self._forecaster = forecaster
        self._interference_model = interference_model
        self._reports = wait_reports.WaitReports(log, metrics_registry)
        self._blocked = blocked_groups.BlockedGroups()
        self._ranked: Sequence[order.RankedGroup] = ()
        self._groups: dict[backlogs.GroupName, order.RankedGroup] = {}
        # A worker that reservations denied each group in this round.
        self._denied: dict[backlogs.GroupName, str] = {}
        self._made_at = -float("inf")
        # Free processors of the workers that were denied to a group.
        self._idle: dict[str, float] = {}
        metrics_registry.add_gauge(
            "backfill_reservations",
            "Number of reservations that waiting tasks hold.",
            lambda: len(self.claims.all()),
        )
        metrics_registry.add_gauge(
            "backfill_idle_cores",
            "Cores that reservations keep idle.",
            lambda: self.idle_cpu / 1000,
        )

    def clear(self) -> None:
        """See `NoBackfill`."""
        self.claims = claim_sets.Claims()
        self.idle_cpu = 0.0
        self._blocked = blocked_groups.BlockedGroups()
        self._denied = {}

    def begin_round(
        self,
        ranked: Sequence[order.RankedGroup],
        workers: Mapping[str, Sequence[worker_state.Worker]],
        now: float,
    ) -> Iterable[str]:
        """See `NoBackfill`."""
        self._ranked = ranked
        self._reports.begin_round(now)
        self._denied = {}
        self._idle = {}
        before = self.claims
        chosen = self._blocked.choose(ranked, now)
        if not chosen:
            self.claims = claim_sets.Claims()
            return {*before.by_worker, *before.released}
        self._groups = {each.group.name: each for each in ranked}
        if now - self._made_at >= REFRESH_SECONDS or not before.hold(
            {each.group.name for each in chosen}, workers
        ):
            self._made_at = now
            self.claims = claim_sets.make_claims(
                [self._blocked.describe(each) for each in chosen],
                workers,
                self._forecaster,
                now,
                self._is_suitable(now),
            )
        self._blocked.record_claims(self.claims.all(), now)
        return before.loosened(self.claims)

    def _is_suitable(self, now: float) -> claim_sets.IsSuitable:
        """Return a check whether long-running tasks tolerate a task now."""

        def is_suitable(
            name: backlogs.GroupName, worker: worker_state.Worker
        ) -> bool:
            step = self._groups[name].group.step
            return not step.fills or bool(
                placement.choose_worker(
                    step, (worker,), now, self._interference_model
                )
            )

        return is_suitable

    def allowed(
        self,
        group: backlogs.TaskGroup,
        workers: list[worker_state.Worker],
        now: float,
    ) -> list[worker_state.Worker]:
        """See `NoBackfill`."""
        if not self.claims.by_worker:
            return workers
        return [
            worker for worker in workers if self._permits(group, worker, now)
        ]

    def best(
        self,
        candidates: placement.Candidates,
        group: backlogs.TaskGroup,
        now: float,
    ) -> worker_state.Worker | None:
        """See `NoBackfill`."""
        worker = candidates.best()
        while worker is not None and not self._permits(group, worker, now):
            candidates.remove(worker)
            worker = candidates.best()
        return worker

    def _permits(
        self,
        group: backlogs.TaskGroup,
        worker: worker_state.Worker,
        now: float,
    ) -> bool:
        """Return whether reservations permit a task of a group on a worker."""
        if worker.record.id not in self.claims.by_worker:
            return True
        step = group.step
        seconds = float("inf")
        if not step.lasting:
            seconds = self._forecaster.expected(
                (group.job.queue, step.image), step.estimate_ms / 1000
            ).high_seconds
        if self.claims.permits(
            worker,
            step,
            group.name,
            seconds,
            now,
            blocked_groups.urgency_of(self._groups[group.name]),
        ):
            return True
        self._denied[group.name] = worker.record.id
        free = room.free_room(worker)
        self._idle[worker.record.id] = max(
            free.unused_cpu if step.fills else free.cpu, 0.0
        )
        return False

    def record_placed(
        self,
        group: backlogs.TaskGroup,
        planned: Sequence[tuple[worker_state.Worker, run_state.Run]],
        now: float,
    ) -> None:
        """See `NoBackfill`."""
        for worker, _ in planned:
            self.claims.release(group.name, worker.record.id)
        if planned:
            self._blocked.record_placed(group.name, now)
            self._reports.record_placed(group, len(planned), now)

    def end_round(self, now: float) -> None:
        """See `NoBackfill`."""
        self._blocked.end_round(self._ranked, now)
        reserved: dict[str, float] = {}
        starts: dict[backlogs.GroupName, float] = {}
        for claim in self.claims.all():
            worker_id = claim.worker_id
            reserved[worker_id] = reserved.get(worker_id, 0) + claim.step.cpu
            starts[claim.group] = min(
                starts.get(claim.group, float("inf")), claim.starts_at
            )
        self.idle_cpu = sum(
            min(free, reserved.get(worker_id, 0.0))
            for worker_id, free in self._idle.items()
        )
        for each in self._ranked:
            group = each.group
            since = self._blocked.since(group.name)
            if now - since < blocked_groups.BLOCKED_SECONDS:
                continue
            if group.name in starts:
                seconds = max(starts[group.name] - now, 0.0)
                self._reports.report(
                    group, "room is reserved until enough is free", now, seconds
                )
            elif group.name in self._denied:
                self._reports.report(
                    group, "free room is reserved for other jobs", now, None
                )
            else:
                self._reports.report(
                    group, "no worker has room or suits", now, None
                )


def make_backfiller(
    scheduling: queue_settings.Scheduling,
    forecaster: forecast.Forecaster,
    interference_model: interference_models.InterferenceModel,
    log: link.Log,
    metrics_registry: lightweight_metrics.MetricsRegistry,
) -> NoBackfill:
    """Return the backfiller that the settings ask for."""
    if not scheduling.backfill:
        return NoBackfill()
    return Backfiller(forecaster, interference_model, log, metrics_registry)
