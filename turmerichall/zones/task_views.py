"""Turns the replicated state into the plain values that a planner takes."""

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
    """Describes a task to the planner.

    Args:
        machine: The replicated state.
        task: A batch or service task.

    Returns:
        The description; None if its template or customer is not known.
    """
    found = machine.configuration.templates.get(task.template)
    owner = machine.configuration.customers.get(task.customer)
    if found is None or owner is None:
        return None
    held = machine.job_store.jobs.get(job_store.job_id_of(task.task_id))
    view = views.TaskView(
        task.task_id,
        task.template,
        task.customer,
        owner.body.team,
        owner.body.urgency,
        held is None,
        found.body.size,
        found.body.run_seconds,
        attempt=task.attempt,
        checkpoint=task.checkpoint,
        evicted=task.attempt > task.failures,
        failures=task.failures,
        zones=owner.body.zones,
    )
    if held is None:
        return view
    return view._replace(
        deadline_wall_seconds=held.deadline_wall_seconds,
        submitted_wall_seconds=held.submitted_wall_seconds,
    )


def worker_view(
    announcement: announcements.Announcement, intention: changes.Intention
) -> views.WorkerView:
    """Describes a worker to the planner."""
    leaving = announcement.leaving or intention != changes.Intention.SERVING
    return views.WorkerView(
        announcement.name,
        announcement.rack,
        announcement.zone,
        announcement.capacity,
        leaving=leaving,
    )


def preferred_zone(task_id: str, zones: tuple[str, ...]) -> str:
    """Returns the zone that tries a task first.

    The choice needs no agreement: it only keeps two authorities from trying
    the same task at once.

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
    """Makes a command about the current attempt of a task.

    Args:
        kind: What to do.
        machine: The replicated state.
        task: The task.
        told: Last announcement of the worker, which the lease counts from.
        epoch: Epoch of the authority.
        lease_seconds: Term of the lease from that announcement, in seconds.

    Returns:
        The command; None if the template is not known.
    """
    found = machine.configuration.templates.get(task.template)
    if found is None:
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
        found.body.size,
        found.body.run_seconds,
        task.checkpoint,
    )
