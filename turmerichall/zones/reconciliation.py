"""Reconciles a worker's announcement with the replicated state."""

from typing import NamedTuple

from turmerichall.backend_servers import announcement as announcements
from turmerichall.jobs import job
from turmerichall.state import change as changes
from turmerichall.state import machine as machines

__all__ = ["Reconciliation", "reconcile"]

_ENDINGS = {
    announcements.ReportedState.FINISHED: changes.Ending.FINISHED,
    announcements.ReportedState.FAILED: changes.Ending.FAILED,
    announcements.ReportedState.CHECKPOINTED: changes.Ending.EVICTED,
    announcements.ReportedState.STOPPED: changes.Ending.EVICTED,
}


class Reconciliation(NamedTuple):
    """How the reported tasks compare with the leases on the worker.

    An attempt is current if its task's lease is for this attempt and for the
    worker's incarnation.

    Attributes:
        running: Tasks whose current attempt runs on the worker.
        ends: Ends of current attempts, which have yet to be recorded.
        recorded: Names of ended attempts that are not current, such as those
            whose ends are already recorded.
        stale: Reports of attempts that run but are not current.
        missing: Tasks with a lease for the worker's incarnation that it does
            not report.
        orphaned: Tasks with a lease for an earlier incarnation of the worker.
    """

    running: tuple[job.Task, ...]
    ends: tuple[changes.End, ...]
    recorded: tuple[str, ...]
    stale: tuple[announcements.TaskReport, ...]
    missing: tuple[job.Task, ...]
    orphaned: tuple[job.Task, ...]


def reconcile(
    machine: machines.StateMachine, announcement: announcements.Announcement
) -> Reconciliation:
    """Compare the tasks in an announcement with the leases on the worker.

    Args:
        machine: The replicated state.
        announcement: The announcement.

    Returns:
        The reported and the leased tasks, by how they compare.
    """
    running: list[job.Task] = []
    ends: list[changes.End] = []
    recorded: list[str] = []
    stale: list[announcements.TaskReport] = []
    reported = set()
    for report in announcement.tasks:
        task = _current_task(machine, announcement, report)
        ending = _ENDINGS.get(report.state)
        if task is not None:
            reported.add(task.task_id)
        if task is not None and ending is None:
            running.append(task)
        elif task is not None and ending is not None:
            ends.append(_end(report, ending))
        elif ending is not None:
            name = announcements.attempt_name(report.task_id, report.attempt)
            recorded.append(name)
        else:
            stale.append(report)
    missing, orphaned = _unreported(machine, announcement, reported)
    return Reconciliation(
        tuple(running),
        tuple(ends),
        tuple(recorded),
        tuple(stale),
        missing,
        orphaned,
    )


def _current_task(
    machine: machines.StateMachine,
    announcement: announcements.Announcement,
    report: announcements.TaskReport,
) -> job.Task | None:
    task = machine.job_store.tasks.get(report.task_id)
    if task is None or task.held is None or task.attempt != report.attempt:
        return None
    leased_to = (task.held.worker, task.held.incarnation)
    return (
        task
        if leased_to == (announcement.name, announcement.incarnation)
        else None
    )


def _end(
    report: announcements.TaskReport, ending: changes.Ending
) -> changes.End:
    return changes.End(
        report.task_id,
        report.attempt,
        ending,
        report.checkpoint,
        report.detail or f"worker reported {report.state.value}",
    )


def _unreported(
    machine: machines.StateMachine,
    announcement: announcements.Announcement,
    reported: set[str],
) -> tuple[tuple[job.Task, ...], tuple[job.Task, ...]]:
    missing = []
    orphaned = []
    for name in machine.job_store.live_by_worker.get(announcement.name, ()):
        task = machine.job_store.tasks[name]
        assert task.held is not None
        if task.held.incarnation < announcement.incarnation:
            orphaned.append(task)
        elif name not in reported:
            missing.append(task)
    return tuple(missing), tuple(orphaned)
