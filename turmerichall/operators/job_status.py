"""Fields of a job's status that are computed when it is requested.

Most are computed from answers of the placement authorities, since estimates and
throttles are not replicated.
"""

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

__all__ = ["computed_fields", "unschedulable_reason"]

# Kinds of recorded decisions that say that an attempt ended or ends before its
# task is finished.
CUT_SHORT_DECISIONS = ("evicting", "evicted", "lost")

Answers = dict[str, inspection.JobStatus | outcomes.Refusal]


async def computed_fields(
    services: services_module.Services, job_id: str, may_forward: bool
) -> dict[str, Any]:
    """Return the fields of a job's status that are computed on request.

    Args:
        services: Parts of the daemon.
        job_id: Id of a job that exists.
        may_forward: Whether placement authorities on other instances may be
            asked.

    Returns:
        When the job is expected to finish (`finish`), its tasks that are
        throttled or being evicted (`held`), and the recorded evictions and
        losses of its tasks (`evictions`).
    """
    tasks = services.machine.job_store.job_tasks(job_id)
    running_zones = {task.held.zone for task in tasks if task.held is not None}
    waiting = [task for task in tasks if task.state == job.TaskState.WAITING]
    zones_to_ask = running_zones | _waiting_zones(services, waiting)
    answers = await _ask_authorities(
        services, job_id, zones_to_ask, may_forward
    )
    return {
        "finish": _finish(services, answers, running_zones, waiting),
        "held": _restricted_tasks(answers),
        "evictions": _evictions(services, job_id),
    }


def _waiting_zones(
    services: services_module.Services, waiting: list[job.Task]
) -> set[str]:
    if not waiting:
        return set()
    customer = services.machine.configuration.customers.get(waiting[0].customer)
    return set() if customer is None else set(customer.body.zones)


async def _ask_authorities(
    services: services_module.Services,
    job_id: str,
    zones: set[str],
    may_forward: bool,
) -> Answers:
    answers: Answers = {}

    async def ask(zone: str) -> None:
        answers[zone] = await services.placement_queries.job_status(
            zone, job_id, may_forward
        )

    async with trio.open_nursery() as nursery:
        for zone in zones:
            nursery.start_soon(ask, zone)
    for answer in answers.values():
        if may_forward and isinstance(answer, outcomes.Refusal):
            services.counters.refused(services_module.PART, answer.reason)
    return answers


def _finish(
    services: services_module.Services,
    answers: Answers,
    running_zones: set[str],
    waiting: list[job.Task],
) -> dict[str, Any] | None:
    """Return when a job is expected to finish, or why that is unknown or never.

    Returns:
        The fields of the estimate; None if no task is waiting or running.
    """
    if not running_zones and not waiting:
        return None
    reason = unschedulable_reason(services, waiting[0]) if waiting else ""
    if reason:
        return {"wall_seconds": None, "never_because": reason}
    estimate = completion_estimate.combine(
        answers, running_zones, bool(waiting)
    )
    if estimate.seconds is None:
        return {
            "wall_seconds": None,
            "unknown_because": estimate.unknown_because,
        }
    return {
        "wall_seconds": time.time() + estimate.seconds,
        "margin_seconds": estimate.margin_seconds,
    }


def unschedulable_reason(
    services: services_module.Services, task: job.Task
) -> str:
    """Return why no worker in any zone can ever run a task.

    Returns:
        The reason; empty if some worker can, or if that is not known here.
    """
    view = task_views.task_view(services.machine, task)
    if view is None:
        return ""
    assessment = services.feasibility.assess(view, trio.current_time())
    return (
        assessment.detail
        if assessment.fit == cross_zone_feasibility.Verdict.NEVER
        else ""
    )


def _restricted_tasks(answers: Answers) -> list[inspection.RestrictedTask]:
    return [
        task
        for answer in answers.values()
        if isinstance(answer, inspection.JobStatus)
        for task in answer.held
    ]


def _evictions(
    services: services_module.Services, job_id: str
) -> list[job.Decision]:
    decisions = services.machine.job_store.decisions.get(job_id, [])
    return [
        decision
        for decision in decisions
        if decision.what in CUT_SHORT_DECISIONS
    ]
