"""Replies of a placement authority to announcements."""

from turmerichall.backend_servers import announcement as announcements
from turmerichall.jobs import job
from turmerichall.leases import lease
from turmerichall.state import job_store
from turmerichall.zones import epoch_state as epoch_states
from turmerichall.zones import reconciliation

__all__ = ["make_reply"]


def make_reply(
    epoch_state: epoch_states.EpochState,
    announcement: announcements.Announcement,
    reconciled: reconciliation.Reconciliation,
    now: float,
) -> announcements.Reply:
    """Make the reply to an announcement.

    Args:
        epoch_state: State of the held epoch.
        announcement: The announcement.
        reconciled: How the announced tasks compare with the leases on the
            worker.
        now: Current time, trio clock.

    Returns:
        The reply, with the attempts whose leases are renewed, the ended ones
        that the worker need not report again, and commands to the worker.
    """
    renews_batch = epoch_state.holder.may_renew_batch(now)
    renewed = []
    commands = []
    for task in reconciled.running:
        if renews_batch or not epoch_state.machine.job_store.is_batch(task):
            name = announcements.attempt_name(task.task_id, task.attempt)
            renewed.append(name)
        kind = _command_kind(epoch_state, task)
        if kind is not None:
            command = epoch_state.make_command(kind, task.task_id, announcement)
            commands += [command] if command is not None else []
    for report in reconciled.stale:
        commands.append(_stop_command(report, announcement, epoch_state.epoch))
    return announcements.Reply(
        True,
        epoch=epoch_state.epoch,
        renewed=tuple(renewed),
        acknowledged=reconciled.recorded,
        lease_seconds=lease.LEASE_SECONDS,
        commands=tuple(commands),
    )


def _command_kind(
    epoch_state: epoch_states.EpochState, task: job.Task
) -> announcements.CommandKind | None:
    batch_job = epoch_state.machine.job_store.jobs.get(
        job_store.job_id_of(task.task_id)
    )
    if batch_job is not None and batch_job.cancelled:
        return announcements.CommandKind.STOP
    if task.state == job.TaskState.EVICTING:
        return announcements.CommandKind.EVICT
    if (task.task_id, task.attempt) in epoch_state.throttles:
        return announcements.CommandKind.THROTTLE
    return None


def _stop_command(
    report: announcements.TaskReport,
    announcement: announcements.Announcement,
    epoch: int,
) -> announcements.Command:
    return announcements.Command(
        announcements.CommandKind.STOP,
        report.task_id,
        report.attempt,
        epoch,
        announcement.incarnation,
        announcement.sequence,
    )
