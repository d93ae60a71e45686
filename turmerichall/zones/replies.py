"""Answers of a placing authority to announcements."""

from turmerichall.backend_servers import announcement
from turmerichall.jobs import job
from turmerichall.leases import lease
from turmerichall.state import job_store
from turmerichall.zones import epoch_state as epoch_states
from turmerichall.zones import reconciliation

__all__ = ["reply"]


def reply(
    tenure: epoch_states.EpochState,
    told: announcement.Announcement,
    reading: reconciliation.Reconciliation,
    now: float,
) -> announcement.Reply:
    """Makes the answer to an announcement.

    Args:
        tenure: What the authority keeps.
        told: The announcement.
        reading: What it says about tasks.
        now: Current time, trio clock.

    Returns:
        The leases that are renewed, and what the worker is to do.
    """
    renews_batch = tenure.holder.may_renew_batch(now)
    renewed = []
    commands = []
    for task in reading.running:
        if renews_batch or not tenure.machine.job_store.is_batch(task):
            name = announcement.attempt_name(task.task_id, task.attempt)
            renewed.append(name)
        kind = _wanted_of(tenure, task)
        if kind is not None:
            made = tenure.command(kind, task.task_id, told)
            commands += [made] if made is not None else []
    for report in reading.stray:
        commands.append(_stop(report, told, tenure.epoch))
    return announcement.Reply(
        True,
        epoch=tenure.epoch,
        renewed=tuple(renewed),
        acknowledged=reading.recorded,
        lease_seconds=lease.LEASE_SECONDS,
        commands=tuple(commands),
    )


def _wanted_of(
    tenure: epoch_states.EpochState, task: job.Task
) -> announcement.CommandKind | None:
    owner = tenure.machine.job_store.jobs.get(job_store.job_id_of(task.task_id))
    if owner is not None and owner.cancelled:
        return announcement.CommandKind.STOP
    if task.state == job.TaskState.EVICTING:
        return announcement.CommandKind.EVICT
    if (task.task_id, task.attempt) in tenure.throttles:
        return announcement.CommandKind.THROTTLE
    return None


def _stop(
    report: announcement.TaskReport,
    told: announcement.Announcement,
    epoch: int,
) -> announcement.Command:
    return announcement.Command(
        announcement.CommandKind.STOP,
        report.task_id,
        report.attempt,
        epoch,
        told.incarnation,
        told.sequence,
    )
