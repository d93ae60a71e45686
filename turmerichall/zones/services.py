"""Which service tasks a zone should run.

Tasks of one service are interchangeable but each has its own id.  A task
whose worker is silent is not started anew before its lease has provably
ended; one with the next free number takes its place instead.
"""

from typing import NamedTuple

from turmerichall.jobs import job
from turmerichall.state import job_store
from turmerichall.state import machine as machines

__all__ = ["ServiceActions", "service_actions"]


class ServiceActions(NamedTuple):
    """What one service lacks or has too much of.

    Attributes:
        starts: Tasks to start, which are not live.
        stops: Live tasks to stop.
    """

    starts: tuple[job.Task, ...]
    stops: tuple[job.Task, ...]


def service_actions(
    machine: machines.StateMachine, zone: str, usable: set[str]
) -> ServiceActions:
    """Compares the service tasks of a zone with what customers ask for.

    Args:
        machine: The replicated state.
        zone: The availability zone.
        usable: Workers that are heard from and not leaving.

    Returns:
        Tasks to start and to stop.
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
    for name, entry in machine.configuration.customers.items():
        if zone not in entry.body.zones:
            continue
        for service, count in entry.body.services.items():
            if service in machine.configuration.templates:
                counts[(name, service)] = count
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
        name = job_store.service_task_id(*key, zone, number)
        number += 1
        if name in used_ids:
            continue
        known = machine.job_store.tasks.get(name)
        new_tasks.append(known or job.Task(name, key[1], key[0]))
    return new_tasks


def _runs_on_any(task: job.Task, usable: set[str]) -> bool:
    return task.held is not None and task.held.worker in usable


def _task_number(task_id: str) -> int:
    return int(task_id.rsplit("/", 1)[1])
