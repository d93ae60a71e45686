"""Logs and counts what becomes of tasks, with the id of their job.

Only the placing authority of a zone does so for the starts and ends there, so
that each is told by one instance.  Changes that are applied once more
after a restart are old, and left out.
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
    """Watches the replicated state and logs starts and ends of tasks.

    Attributes:
        machine: The replicated state.
        own_name: Returns the name of this instance.
        counters: Counts what is told.
        log: Where to write.
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
        machine.watchers.append(self.note)

    def note(self, change: changes.Change, result: changes.Result) -> None:
        """Tells of an applied change, if it is this instance's to tell."""
        if not isinstance(change, _ZonedChange):
            return
        if result.status != changes.Status.APPLIED:
            return
        if self.machine.grant(change.zone).holder != self.own_name():
            return
        if time.time() - change.wall_seconds > MAX_AGE_SECONDS:
            return
        if isinstance(change, changes.StartTasks):
            self._note_starts(change, result)
        elif isinstance(change, changes.EndTasks):
            self._note_ends(change, result)
        elif isinstance(change, changes.EvictTasks):
            self._note_evictions(change, result)
        else:
            self._note_decisions(change)

    def _note_starts(
        self, change: changes.StartTasks, result: changes.Result
    ) -> None:
        for start in change.starts:
            if start.task_id not in result.refused:
                self.counters.event("tasks_started")
                self._note("task started", start, worker=start.worker)

    def _note_ends(
        self, change: changes.EndTasks, result: changes.Result
    ) -> None:
        for end in change.ends:
            if end.task_id not in result.refused:
                self._count_end(end.ending)
                ending = end.ending.value
                self._note("task ended", end, ending=ending, reason=end.reason)

    def _note_evictions(
        self, change: changes.EvictTasks, result: changes.Result
    ) -> None:
        for eviction in change.evictions:
            if eviction.task_id not in result.refused:
                reason = eviction.reason
                self._note("task is being evicted", eviction, reason=reason)

    def _note(
        self,
        message: str,
        of: changes.Start | changes.End | changes.Eviction,
        **fields: object,
    ) -> None:
        self.log.info(
            message,
            job_id=job_store.job_id_of(of.task_id),
            task=of.task_id,
            attempt=of.attempt,
            **fields,
        )

    def _note_decisions(self, change: changes.RecordDecisions) -> None:
        for note in change.notes:
            # A task that waits is told of as `reason: detail`.
            reason = note.reason.partition(":")[0]
            if note.what == "waits" and reason in _REASONS:
                counted = outcomes.RefusalReason(reason)
                self.counters.refused("placement", counted)

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
