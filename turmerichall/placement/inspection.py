"""Views of a planner's state for operators: jobs, tasks and workers of a zone.

All times are relative to the time of the query, because the monotonic clock of
a planner is meaningless on another instance.
"""

from typing import NamedTuple

from turmerichall.placement import decisions
from turmerichall.placement import health
from turmerichall.placement import planner as planners
from turmerichall.placement import views
from turmerichall.placement import worker_state

__all__ = [
    "JobStatus",
    "RemainingTime",
    "RestrictedTask",
    "UnhealthyWorker",
    "job_status",
    "restricted_tasks",
    "unhealthy_workers",
]

MAX_RESTRICTED_TASKS = 1000


class RestrictedTask(NamedTuple):
    """A task that is throttled or being evicted.

    Attributes:
        task_id: Id of the task.
        worker: Worker that runs it.
        what: `throttled` or `evicting`.
        share: Share of its processors that it may use.
        seconds_ago: Time since this was decided, in seconds.
        reason: Why this was decided.
    """

    task_id: str
    worker: str
    what: str
    share: float
    seconds_ago: float
    reason: str


class RemainingTime(NamedTuple):
    """Expected time until a group of tasks ends, with its likely error."""

    seconds: float
    margin_seconds: float


class JobStatus(NamedTuple):
    """State of a job as the planner of one zone knows it.

    Attributes:
        running: Time until its running tasks end; None if none runs in the
            zone.
        waiting: Time until its waiting tasks end if all of them run in this
            zone; None if none waits in the planner of the zone.
        held: Its tasks that are throttled or being evicted.
    """

    running: RemainingTime | None
    waiting: RemainingTime | None
    held: tuple[RestrictedTask, ...] = ()


class UnhealthyWorker(NamedTuple):
    """A worker that is given fewer tasks because of failures or flapping.

    Attributes:
        worker: Name of the worker.
        state: `quarantined` or `flapping`.
        seconds_ago: Time since it entered this state, in seconds.
        reason: Why it is in this state.
        next_try_seconds: Time until a probe task may be started on it, or until
            it counts as stable; 0.0 if that time has come.
        trying: Id of the probe task that runs on it, or empty.
    """

    worker: str
    state: str
    seconds_ago: float
    reason: str
    next_try_seconds: float
    trying: str = ""


def job_status(planner: planners.Planner, job_id: str, now: float) -> JobStatus:
    """Return the state of a job as a planner knows it.

    Args:
        planner: The planner.
        job_id: Id of the job.
        now: The planner's monotonic clock, in seconds.
    """
    estimate = planner.estimate_finish(job_id, now)
    held = tuple(
        task
        for task in restricted_tasks(planner, now)
        if views.job_id_of(task.task_id) == job_id
    )
    return JobStatus(
        _remaining_time(estimate.running, now),
        _remaining_time(estimate.waiting, now),
        held,
    )


def _remaining_time(
    end: decisions.ExpectedEnd | None, now: float
) -> RemainingTime | None:
    if end is None:
        return None
    return RemainingTime(max(0.0, end.at - now), end.margin_seconds)


def restricted_tasks(
    planner: planners.Planner, now: float
) -> tuple[RestrictedTask, ...]:
    """Return the tasks that are throttled or being evicted, with reasons."""
    found: list[RestrictedTask] = []
    for state in planner.fleet.workers.values():
        for held in state.allocations.values():
            if held.evicting_at is not None:
                found.append(_evicting(held, held.evicting_at, now))
            elif held.throttle < 1.0:
                found.append(_throttled(held, now))
    return tuple(found[:MAX_RESTRICTED_TASKS])


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
    """Return the workers that are quarantined or flapping, with the reasons."""
    found = []
    fleet_health = planner.fleet.health
    for name in sorted(planner.fleet.workers):
        record = fleet_health.workers.get(name)
        if record is None:
            continue
        if record.is_quarantined():
            found.append(_quarantined(name, record, now))
        elif fleet_health.is_flapping(name, now):
            found.append(_flapping(name, record, now))
    return tuple(found)


def _quarantined(
    name: str, record: health.WorkerRecord, now: float
) -> UnhealthyWorker:
    reason = (
        f"{record.failures} batch attempts failed on it since its last success,"
        f" most recently of {record.failed_task}"
    )
    return UnhealthyWorker(
        name,
        "quarantined",
        now - record.quarantined_at,
        reason,
        max(0.0, record.quarantined_until - now),
        record.probing,
    )


def _flapping(
    name: str, record: health.WorkerRecord, now: float
) -> UnhealthyWorker:
    since = record.returns[-1]
    return UnhealthyWorker(
        name,
        "flapping",
        now - since,
        f"returned after an absence {len(record.returns)} times within"
        f" {health.FLAP_WINDOW_SECONDS:g} s",
        max(0.0, since + health.STABLE_AFTER_SECONDS - now),
    )
