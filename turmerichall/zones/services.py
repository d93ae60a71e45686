"""Which service tasks a zone should run.

Tasks of one service are interchangeable but each has its own id.  A task
whose worker is silent is not started anew before its lease has provably
ended; one with the next free number takes its place instead.
"""

from typing import NamedTuple

from turmerichall.jobs import job
from turmerichall.state import job_store
from turmerichall.state import machine as machines

__all__ = ["Wanted", "wanted_services"]


class Wanted(NamedTuple):
    """What one service lacks or has too much of.

    Attributes:
        starts: Tasks to start, which are not live.
        stops: Live tasks to stop.
    """

    starts: tuple[job.Task, ...]
    stops: tuple[job.Task, ...]


def wanted_services(
    machine: machines.StateMachine, zone: str, usable: set[str]
) -> Wanted:
    """Compares the service tasks of a zone with what customers ask for.

    Args:
        machine: The replicated state.
        zone: The availability zone.
        usable: Workers that are heard from and not leaving.

    Returns:
        Tasks to start and to stop.
    """
    live = _live_services(machine, zone)
    starts: list[job.Task] = []
    stops: list[job.Task] = []
    for key, count in _asked(machine, zone).items():
        tasks = live.pop(key, [])
        good = [task for task in tasks if _on(task, usable)]
        starts += _missing(machine, zone, key, tasks, count - len(good))
        stops += good[count:]
        if len(good) >= count:
            stops += [task for task in tasks if not _on(task, usable)]
    for tasks in live.values():
        stops += tasks
    return Wanted(tuple(starts), tuple(stops))


def _asked(
    machine: machines.StateMachine, zone: str
) -> dict[tuple[str, str], int]:
    asked = {}
    for name, entry in machine.configuration.customers.items():
        if zone not in entry.body.zones:
            continue
        for service, count in entry.body.services.items():
            if service in machine.configuration.templates:
                asked[(name, service)] = count
    return asked


def _live_services(
    machine: machines.StateMachine, zone: str
) -> dict[tuple[str, str], list[job.Task]]:
    live: dict[tuple[str, str], list[job.Task]] = {}
    for task in machine.job_store.live_service_tasks(zone):
        live.setdefault((task.customer, task.template), []).append(task)
    for tasks in live.values():
        tasks.sort(key=lambda task: _number(task.task_id))
    return live


def _missing(
    machine: machines.StateMachine,
    zone: str,
    key: tuple[str, str],
    tasks: list[job.Task],
    count: int,
) -> list[job.Task]:
    taken = {task.task_id for task in tasks}
    found: list[job.Task] = []
    number = 0
    while len(found) < count:
        name = job_store.service_task_id(*key, zone, number)
        number += 1
        if name in taken:
            continue
        known = machine.job_store.tasks.get(name)
        found.append(known or job.Task(name, key[1], key[0]))
    return found


def _on(task: job.Task, usable: set[str]) -> bool:
    return task.held is not None and task.held.worker in usable


def _number(task_id: str) -> int:
    return int(task_id.rsplit("/", 1)[1])
