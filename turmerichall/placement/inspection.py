"""What a planner tells operators of a job, and of the workers of a zone.

All times are relative to the moment of telling, because the clock of a planner
means nothing on another instance.
"""

from typing import NamedTuple

from turmerichall.placement import decisions
from turmerichall.placement import health
from turmerichall.placement import worker_state
from turmerichall.placement import planner as planners
from turmerichall.placement import views

__all__ = [
    "JobStatus",
    "RemainingTime",
    "RestrictedTask",
    "UnhealthyWorker",
    "job_status",
    "restricted_tasks",
    "unhealthy_workers",
]

MAX_HELD_TASKS = 1000


class RestrictedTask(NamedTuple):
    """A task that is throttled or being evicted.

    Attributes:
        task_id: The task.
        worker: Worker that runs it.
        what: `throttled` or `evicting`.
        share: Share of its processors that it keeps.
        seconds_ago: When that was decided.
        reason: Why.
    """

    task_id: str
    worker: str
    what: str
    share: float
    seconds_ago: float
    reason: str


class RemainingTime(NamedTuple):
    """How long tasks still take, and how far off that may well be."""

    seconds: float
    margin_seconds: float


class JobStatus(NamedTuple):
    """What the planner of one zone tells of a job.

    Attributes:
        running: How long its running tasks still take; None if none runs in
            the zone.
        waiting: How long its waiting tasks take if the zone runs all of them;
            None if it runs none of them.
        held: Its throttled tasks, and those that are being evicted.
    """

    running: RemainingTime | None
    waiting: RemainingTime | None
    held: tuple[RestrictedTask, ...] = ()


class UnhealthyWorker(NamedTuple):
    """A worker that is trusted with less work than others.

    Attributes:
        worker: Its name.
        state: `quarantined` or `flapping`.
        seconds_ago: Since when.
        reason: Why.
        next_try_seconds: When a task is tried there, or when it is trusted
            again; 0.0 if now.
        trying: The task that is tried there, or empty.
    """

    worker: str
    state: str
    seconds_ago: float
    reason: str
    next_try_seconds: float
    trying: str = ""


def job_status(planner: planners.Planner, job_id: str, now: float) -> JobStatus:
    """Tells what a planner knows of a job.

    Args:
        planner: The planner.
        job_id: The job.
        now: The planner's clock, in seconds.
    """
    estimate = planner.estimate_finish(job_id, now)
    held = tuple(
        task
        for task in restricted_tasks(planner, now)
        if views.job_of(task.task_id) == job_id
    )
    return JobStatus(
        _left(estimate.running, now),
        _left(estimate.waiting, now),
        held,
    )


def _left(
    end: decisions.ExpectedEnd | None, now: float
) -> RemainingTime | None:
    if end is None:
        return None
    return RemainingTime(max(0.0, end.at - now), end.margin_seconds)


def restricted_tasks(
    planner: planners.Planner, now: float
) -> tuple[RestrictedTask, ...]:
    """Tells which tasks are throttled or being evicted, and why."""
    found: list[RestrictedTask] = []
    for state in planner.fleet.workers.values():
        for held in state.allocations.values():
            if held.evicting_at is not None:
                found.append(_evicting(held, held.evicting_at, now))
            elif held.throttle < 1.0:
                found.append(_throttled(held, now))
    return tuple(found[:MAX_HELD_TASKS])


def _evicting(
    held: worker_state.Allocation, since: float, now: float
) -> RestrictedTask:
    return RestrictedTask(
        held.task.task_id,
        held.worker,
        "evicting",
        held.throttle,
        now - since,
        held.reason,
    )


def _throttled(held: worker_state.Allocation, now: float) -> RestrictedTask:
    return RestrictedTask(
        held.task.task_id,
        held.worker,
        "throttled",
        held.throttle,
        now - held.throttled_at,
        held.reason,
    )


def unhealthy_workers(
    planner: planners.Planner, now: float
) -> tuple[UnhealthyWorker, ...]:
    """Tells which workers are quarantined or flapping, and why."""
    found = []
    judged = planner.fleet.health
    for name in sorted(planner.fleet.workers):
        record = judged.workers.get(name)
        if record is None:
            continue
        if record.is_quarantined():
            found.append(_quarantined(name, record, now))
        elif judged.is_flapping(name, now):
            found.append(_flapping(name, record, now))
    return tuple(found)


def _quarantined(
    name: str, record: health.Record, now: float
) -> UnhealthyWorker:
    reason = (
        f"{record.failures} batch attempts failed there since the last that"
        f" finished, the last of {record.failed_task}"
    )
    return UnhealthyWorker(
        name,
        "quarantined",
        now - record.quarantined_at,
        reason,
        max(0.0, record.quarantined_until - now),
        record.probing,
    )


def _flapping(name: str, record: health.Record, now: float) -> UnhealthyWorker:
    since = record.returns[-1]
    return UnhealthyWorker(
        name,
        "flapping",
        now - since,
        f"came back {len(record.returns)} times within"
        f" {health.FLAPS_COUNTED_SECONDS:g} s",
        max(0.0, since + health.STABLE_AFTER_SECONDS - now),
    )
