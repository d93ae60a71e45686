"""Reads a worker's announcement against the replicated state."""

from typing import NamedTuple

from turmerichall.backend_servers import announcement
from turmerichall.jobs import job
from turmerichall.state import change as changes
from turmerichall.state import machine as machines

__all__ = ["Reconciliation", "reconcile"]

_ENDINGS = {
    announcement.ReportedState.FINISHED: changes.Ending.FINISHED,
    announcement.ReportedState.FAILED: changes.Ending.FAILED,
    announcement.ReportedState.CHECKPOINTED: changes.Ending.EVICTED,
    announcement.ReportedState.STOPPED: changes.Ending.EVICTED,
}


class Reconciliation(NamedTuple):
    """What an announcement says about tasks.

    Attributes:
        running: Current attempts that run on the worker.
        ends: Ends of current attempts, to be recorded.
        recorded: Names of ended attempts that are recorded already.
        stray: Reports of attempts that are not current but still run.
        missing: Live tasks of this incarnation that it does not report.
        outlived: Live tasks of an earlier incarnation.
    """

    running: tuple[job.Task, ...]
    ends: tuple[changes.End, ...]
    recorded: tuple[str, ...]
    stray: tuple[announcement.TaskReport, ...]
    missing: tuple[job.Task, ...]
    outlived: tuple[job.Task, ...]


def reconcile(
    machine: machines.StateMachine, told: announcement.Announcement
) -> Reconciliation:
    """Compares an announcement with the leases on its worker.

    Args:
        machine: The replicated state.
        told: The announcement.

    Returns:
        What it says about each task.
    """
    running: list[job.Task] = []
    ends: list[changes.End] = []
    recorded: list[str] = []
    stray: list[announcement.TaskReport] = []
    reported = set()
    for report in told.tasks:
        task = _current(machine, told, report)
        ending = _ENDINGS.get(report.state)
        if task is not None:
            reported.add(task.task_id)
        if task is not None and ending is None:
            running.append(task)
        elif task is not None and ending is not None:
            ends.append(_end(report, ending))
        elif ending is not None:
            name = announcement.attempt_name(report.task_id, report.attempt)
            recorded.append(name)
        else:
            stray.append(report)
    missing, outlived = _unreported(machine, told, reported)
    return Reconciliation(
        tuple(running),
        tuple(ends),
        tuple(recorded),
        tuple(stray),
        missing,
        outlived,
    )


def _current(
    machine: machines.StateMachine,
    told: announcement.Announcement,
    report: announcement.TaskReport,
) -> job.Task | None:
    task = machine.job_store.tasks.get(report.task_id)
    if task is None or task.held is None or task.attempt != report.attempt:
        return None
    holder = (task.held.worker, task.held.incarnation)
    return task if holder == (told.name, told.incarnation) else None


def _end(
    report: announcement.TaskReport, ending: changes.Ending
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
    told: announcement.Announcement,
    reported: set[str],
) -> tuple[tuple[job.Task, ...], tuple[job.Task, ...]]:
    missing = []
    outlived = []
    for name in machine.job_store.live_by_worker.get(told.name, ()):
        task = machine.job_store.tasks[name]
        assert task.held is not None
        if task.held.incarnation < told.incarnation:
            outlived.append(task)
        elif name not in reported:
            missing.append(task)
    return tuple(missing), tuple(outlived)
