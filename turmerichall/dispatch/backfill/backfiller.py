"""Backfill of reserved room, as the planner calls it once a round.

The reservations are derived from the waiting groups and the running tasks: a
new leader has none until groups have been blocked for a while, and callers see
no more of that than a start that is later by about that time.
"""

from collections.abc import Mapping, Sequence

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

_NOTHING: frozenset[str] = frozenset()


class NoBackfill:
    """Placement without reservations: nothing is held back."""

    def clear(self) -> None:
        """Drop the reservations, since nothing waits."""

    def begin_round(
        self,
        ranked: Sequence[order.RankedGroup],
        workers: Mapping[str, Sequence[worker_state.Worker]],
        now: float,
    ) -> None:
        """Make the reservations of a placing round.

        Args:
            ranked: The waiting groups in the order in which they are placed.
            workers: Workers that may get tasks, by service.
            now: Current time on the steady clock.
        """

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

    def was_denied(self, worker: worker_state.Worker) -> bool:
        """Return whether the group being placed was denied a worker before.

        It looks at the worker again, also if the worker has not changed.
        """
        del worker
        return False

    def permits(
        self,
        group: backlogs.TaskGroup,
        worker: worker_state.Worker,
        now: float,
    ) -> bool:
        """Return whether reservations permit a task of a group on a worker.

        Args:
            group: The group.
            worker: The worker.
            now: Current time on the steady clock.
        """
        del group, worker, now
        return True

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
        # Workers that reservations denied a group in the latest round.
        self._denied: dict[backlogs.GroupName, set[str]] = {}
        # Such workers of the group that is being placed, from the round before.
        self._denied_before: frozenset[str] | set[str] = _NOTHING
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
    ) -> None:
        """See `NoBackfill`."""
        self._ranked = ranked
        self._reports.begin_round(now)
        self._idle = {}
        blocked = self._blocked.choose(ranked, now)
        if not blocked:
            self.claims = claim_sets.Claims()
            self._groups = {}
            return
        self._groups = {each.group.name: each for each in ranked}
        self._denied = {
            name: denied
            for name, denied in self._denied.items()
            if name in self._groups
        }
        self.claims = claim_sets.make_claims(
            blocked, workers, self._forecaster, now, self._is_suitable(now)
        )
        self._blocked.record_claims(self.claims.all(), now)

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
        self._denied_before = self._denied.pop(group.name, _NOTHING)
        by_worker = self.claims.by_worker
        if not by_worker:
            return workers
        return [
            worker
            for worker in workers
            if worker.record.id not in by_worker
            or not worker.has_room_for(group.step)
            or self.permits(group, worker, now)
        ]

    def was_denied(self, worker: worker_state.Worker) -> bool:
        """See `NoBackfill`."""
        return worker.record.id in self._denied_before

    def permits(
        self,
        group: backlogs.TaskGroup,
        worker: worker_state.Worker,
        now: float,
    ) -> bool:
        """See `NoBackfill`."""
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
        self._denied.setdefault(group.name, set()).add(worker.record.id)
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
            self._blocked.record_placed(group.name, len(planned))
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
