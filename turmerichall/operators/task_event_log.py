"""Logging and counting of the events of tasks: starts, evictions and ends.

Only the placement authority of a zone logs the events of that zone, so that one
instance logs each of them.  Changes that are replayed after a restart are
recognized by their age and not logged again.
"""

from collections.abc import Callable
import time

from turmerichall import outcomes
from turmerichall.state import change as changes
from turmerichall.state import job_store
from turmerichall.state import machine as machines
from turmerichall.telemetry import counters as metrics
from turmerichall.telemetry import logs

__all__ = ["TaskEventLog"]

MAX_AGE_SECONDS = 30.0
_REASONS = frozenset(reason.value for reason in outcomes.RefusalReason)

_ZonedChange = (
    changes.StartTasks
    | changes.EndTasks
    | changes.EvictTasks
    | changes.RecordDecisions
)


class TaskEventLog:
    """Log and counters of task events, fed by the applied changes.

    Attributes:
        machine: The replicated state, whose applied changes are watched.
        own_name: Returns the name of this instance.
        counters: Metrics.
        log: Log of the events.
    """

    def __init__(
        self,
        machine: machines.StateMachine,
        own_name: Callable[[], str],
        counters: metrics.Counters,
    ):
        self.machine = machine
        self.own_name = own_name
        self.counters = counters
        self.log = logs.Log("jobs")
        machine.watchers.append(self.record_change)

    def record_change(
        self, change: changes.Change, result: changes.Result
    ) -> None:
        """Log and count the events of an applied change.

        Does nothing if another instance is the placement authority of the zone,
        or if the change is older than `MAX_AGE_SECONDS`.
        """
        if not isinstance(change, _ZonedChange):
            return
        if result.status != changes.Status.APPLIED:
            return
        if self.machine.grant(change.zone).holder != self.own_name():
            return
        if time.time() - change.wall_seconds > MAX_AGE_SECONDS:
            return
        if isinstance(change, changes.StartTasks):
            self._log_starts(change, result)
        elif isinstance(change, changes.EndTasks):
            self._log_ends(change, result)
        elif isinstance(change, changes.EvictTasks):
            self._log_evictions(change, result)
        else:
            self._count_decisions(change)

    def _log_starts(
        self, change: changes.StartTasks, result: changes.Result
    ) -> None:
        for start in change.starts:
            if start.task_id not in result.refused:
                self.counters.event("tasks_started")
                self._log_event("task started", start, worker=start.worker)

    def _log_ends(
        self, change: changes.EndTasks, result: changes.Result
    ) -> None:
        for end in change.ends:
            if end.task_id not in result.refused:
                self._count_end(end.ending)
                ending = end.ending.value
                self._log_event(
                    "task ended", end, ending=ending, reason=end.reason
                )

    def _log_evictions(
        self, change: changes.EvictTasks, result: changes.Result
    ) -> None:
        for eviction in change.evictions:
            if eviction.task_id not in result.refused:
                reason = eviction.reason
                self._log_event(
                    "task is being evicted", eviction, reason=reason
                )

    def _log_event(
        self,
        message: str,
        event: changes.Start | changes.End | changes.Eviction,
        **fields: object,
    ) -> None:
        self.log.info(
            message,
            job_id=job_store.job_id_of(event.task_id),
            task=event.task_id,
            attempt=event.attempt,
            **fields,
        )

    def _count_decisions(self, change: changes.RecordDecisions) -> None:
        for decision in change.notes:
            # The recorded reason for which a task waits has the form
            # `refusal reason: detail`.
            reason = decision.reason.partition(":")[0]
            if decision.what == "waits" and reason in _REASONS:
                refusal_reason = outcomes.RefusalReason(reason)
                self.counters.refused("placement", refusal_reason)

    def _count_end(self, ending: changes.Ending) -> None:
        match ending:
            case changes.Ending.FINISHED:
                self.counters.event("tasks_finished")
            case changes.Ending.FAILED:
                self.counters.event("tasks_failed")
            case changes.Ending.EVICTED:
                self.counters.event("tasks_evicted")
            case changes.Ending.LOST:
                self.counters.event("tasks_lost")
            case changes.Ending.CANCELLED:
                self.counters.event("tasks_cancelled")
            case changes.Ending.REFUSED:
                self.counters.event("tasks_refused")
