"""What only the placing authorities know of a job, for its status."""

import time
from typing import Any

import trio

from turmerichall import outcomes
from turmerichall.jobs import job
from turmerichall.operators import services as services_module
from turmerichall.placement import inspection
from turmerichall.zones import completion_estimate
from turmerichall.zones import cross_zone_feasibility
from turmerichall.zones import task_views

__all__ = ["unreplicated_fields", "unschedulable_reason"]

# Decisions that say that an attempt was cut short.
CUT_SHORT = ("evicting", "evicted", "lost")

Answers = dict[str, inspection.JobStatus | outcomes.Refusal]


async def unreplicated_fields(
    services: services_module.Services, job_id: str, asks: bool
) -> dict[str, Any]:
    """Returns the fields of a job's status that are not replicated state.

    Args:
        services: Parts of the daemon.
        job_id: A job that exists.
        asks: Whether the authorities may be asked.

    Returns:
        Its expected finish, its throttled tasks and its evictions.
    """
    tasks = services.machine.job_store.job_tasks(job_id)
    running_in = {task.held.zone for task in tasks if task.held is not None}
    waiting = [task for task in tasks if task.state == job.TaskState.WAITING]
    asked = running_in | _zones(services, waiting)
    answers = await _ask_all(services, job_id, asked, asks)
    return {
        "finish": _finish(services, answers, running_in, waiting),
        "held": _held(answers),
        "evictions": _evictions(services, job_id),
    }


def _zones(
    services: services_module.Services, waiting: list[job.Task]
) -> set[str]:
    if not waiting:
        return set()
    owner = services.machine.configuration.customers.get(waiting[0].customer)
    return set() if owner is None else set(owner.body.zones)


async def _ask_all(
    services: services_module.Services,
    job_id: str,
    zones: set[str],
    asks: bool,
) -> Answers:
    answers: Answers = {}

    async def ask(zone: str) -> None:
        answers[zone] = await services.placement_queries.job_status(
            zone, job_id, asks
        )

    async with trio.open_nursery() as nursery:
        for zone in zones:
            nursery.start_soon(ask, zone)
    for answer in answers.values():
        if asks and isinstance(answer, outcomes.Refusal):
            services.counters.refused(services_module.PART, answer.reason)
    return answers


def _finish(
    services: services_module.Services,
    answers: Answers,
    running_in: set[str],
    waiting: list[job.Task],
) -> dict[str, Any] | None:
    """Returns the expected finish; None for a job that has ended."""
    if not running_in and not waiting:
        return None
    reason = unschedulable_reason(services, waiting[0]) if waiting else ""
    if reason:
        return {"wall_seconds": None, "never_because": reason}
    found = completion_estimate.combine(answers, running_in, bool(waiting))
    if found.seconds is None:
        return {"wall_seconds": None, "unknown_because": found.unknown_because}
    return {
        "wall_seconds": time.time() + found.seconds,
        "margin_seconds": found.margin_seconds,
    }


def unschedulable_reason(
    services: services_module.Services, task: job.Task
) -> str:
    """Returns why no zone can ever run a task, or empty.

    It is empty also if that is not known here.
    """
    view = task_views.task_view(services.machine, task)
    if view is None:
        return ""
    finding = services.feasibility.assess(view, trio.current_time())
    return (
        finding.detail
        if finding.fit == cross_zone_feasibility.Verdict.NEVER
        else ""
    )


def _held(answers: Answers) -> list[inspection.RestrictedTask]:
    return [
        held
        for answer in answers.values()
        if isinstance(answer, inspection.JobStatus)
        for held in answer.held
    ]


def _evictions(
    services: services_module.Services, job_id: str
) -> list[job.Decision]:
    recorded = services.machine.job_store.decisions.get(job_id, [])
    return [made for made in recorded if made.what in CUT_SHORT]
