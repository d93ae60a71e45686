"""Converts replicated state into the views that the planner works on."""

import zlib

from turmerichall.backend_servers import announcement as announcements
from turmerichall.jobs import job
from turmerichall.placement import views
from turmerichall.state import change as changes
from turmerichall.state import job_store
from turmerichall.state import machine as machines

__all__ = ["preferred_zone", "task_command", "task_view", "worker_view"]


def task_view(
    machine: machines.StateMachine, task: job.Task
) -> views.TaskView | None:
    """Return the planner's view of a task.

    Args:
        machine: The replicated state.
        task: A batch or service task.

    Returns:
        The view; None if the task's template or customer does not exist.
    """
    template_entry = machine.configuration.templates.get(task.template)
    customer_entry = machine.configuration.customers.get(task.customer)
    if template_entry is None or customer_entry is None:
        return None
    batch_job = machine.job_store.jobs.get(job_store.job_id_of(task.task_id))
    view = views.TaskView(
        task.task_id,
        task.template,
        task.customer,
        customer_entry.body.team,
        customer_entry.body.urgency,
        batch_job is None,
        template_entry.body.size,
        template_entry.body.run_seconds,
        attempt=task.attempt,
        checkpoint=task.checkpoint,
        evicted=task.attempt > task.failures,
        failures=task.failures,
        zones=customer_entry.body.zones,
    )
    if batch_job is None:
        return view
    return view._replace(
        deadline_wall_seconds=batch_job.deadline_wall_seconds,
        submitted_wall_seconds=batch_job.submitted_wall_seconds,
    )


def worker_view(
    announcement: announcements.Announcement, intention: changes.Intention
) -> views.WorkerView:
    """Return the planner's view of a worker.

    The worker counts as leaving if it announces that it leaves, or if operators
    have drained or stopped it.
    """
    leaving = announcement.leaving or intention != changes.Intention.SERVING
    return views.WorkerView(
        announcement.name,
        announcement.rack,
        announcement.zone,
        announcement.capacity,
        leaving=leaving,
    )


def preferred_zone(task_id: str, zones: tuple[str, ...]) -> str:
    """Return the zone whose authority tries to place a task first.

    It is chosen by a hash of the task id, so all authorities choose the same
    zone without communicating.  This keeps two authorities from starting the
    same task at once; correctness does not depend on it.

    Examples:
        >>> preferred_zone("j1/0", ("z1",))
        'z1'
    """
    return zones[zlib.crc32(task_id.encode()) % len(zones)]


def task_command(
    kind: announcements.CommandKind,
    machine: machines.StateMachine,
    task: job.Task,
    announcement: announcements.Announcement,
    epoch: int,
    lease_seconds: float,
) -> announcements.Command | None:
    """Make a command for the current attempt of a task.

    Args:
        kind: The kind of command.
        machine: The replicated state.
        task: The task.
        announcement: Last announcement of the worker, from which the lease
            counts.
        epoch: Epoch of the authority.
        lease_seconds: Duration of the lease, in seconds.

    Returns:
        The command; None if the task's template does not exist.
    """
    template_entry = machine.configuration.templates.get(task.template)
    if template_entry is None:
        return None
    return announcements.Command(
        kind,
        task.task_id,
        task.attempt,
        epoch,
        announcement.incarnation,
        announcement.sequence,
        lease_seconds,
        task.template,
        task.customer,
        not machine.job_store.is_batch(task),
        template_entry.body.size,
        template_entry.body.run_seconds,
        task.checkpoint,
    )
