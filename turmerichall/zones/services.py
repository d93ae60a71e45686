"""Compares the service tasks of a zone with those that customers request.

Tasks of one service are interchangeable, but each has its own id.  A task
whose worker is silent is not restarted before its lease has provably ended;
meanwhile, a task of the service with the next free number replaces it.
"""

from typing import NamedTuple

from turmerichall.jobs import job
from turmerichall.state import job_store
from turmerichall.state import machine as machines

__all__ = ["ServiceActions", "service_actions"]


class ServiceActions(NamedTuple):
    """The service tasks to start and to stop in a zone.

    Attributes:
        starts: Tasks to start; they hold no lease.
        stops: Tasks to stop; they hold a lease.
    """

    starts: tuple[job.Task, ...]
    stops: tuple[job.Task, ...]


def service_actions(
    machine: machines.StateMachine, zone: str, usable: set[str]
) -> ServiceActions:
    """Return which service tasks to start and to stop, as customers request.

    Args:
        machine: The replicated state.
        zone: The availability zone.
        usable: Names of the workers that announce themselves, are not leaving,
            and are not drained or stopped by operators.

    Returns:
        Tasks to start and to stop.  Tasks on workers that are not usable are
        stopped once as many as requested run on usable workers.
    """
    live = _live_tasks_by_service(machine, zone)
    starts: list[job.Task] = []
    stops: list[job.Task] = []
    for key, count in _requested_counts(machine, zone).items():
        tasks = live.pop(key, [])
        usable_tasks = [task for task in tasks if _runs_on_any(task, usable)]
        starts += _new_tasks(
            machine, zone, key, tasks, count - len(usable_tasks)
        )
        stops += usable_tasks[count:]
        if len(usable_tasks) >= count:
            stops += [task for task in tasks if not _runs_on_any(task, usable)]
    for tasks in live.values():
        stops += tasks
    return ServiceActions(tuple(starts), tuple(stops))


def _requested_counts(
    machine: machines.StateMachine, zone: str
) -> dict[tuple[str, str], int]:
    counts = {}
    for customer, entry in machine.configuration.customers.items():
        if zone not in entry.body.zones:
            continue
        for service, count in entry.body.services.items():
            if service in machine.configuration.templates:
                counts[(customer, service)] = count
    return counts


def _live_tasks_by_service(
    machine: machines.StateMachine, zone: str
) -> dict[tuple[str, str], list[job.Task]]:
    live: dict[tuple[str, str], list[job.Task]] = {}
    for task in machine.job_store.live_service_tasks(zone):
        live.setdefault((task.customer, task.template), []).append(task)
    for tasks in live.values():
        tasks.sort(key=lambda task: _task_number(task.task_id))
    return live


def _new_tasks(
    machine: machines.StateMachine,
    zone: str,
    key: tuple[str, str],
    tasks: list[job.Task],
    count: int,
) -> list[job.Task]:
    used_ids = {task.task_id for task in tasks}
    new_tasks: list[job.Task] = []
    number = 0
    while len(new_tasks) < count:
        task_id = job_store.service_task_id(*key, zone, number)
        number += 1
        if task_id in used_ids:
            continue
        existing = machine.job_store.tasks.get(task_id)
        new_tasks.append(existing or job.Task(task_id, key[1], key[0]))
    return new_tasks


def _runs_on_any(task: job.Task, usable: set[str]) -> bool:
    return task.held is not None and task.held.worker in usable


def _task_number(task_id: str) -> int:
    return int(task_id.rsplit("/", 1)[1])
