"""Decisions of a planner, each with its reason."""

from typing import NamedTuple

from turmerichall import outcomes

__all__ = [
    "EvictDecision",
    "ExpectedEnd",
    "FinishEstimate",
    "Plan",
    "StartDecision",
    "ThrottleDecision",
    "WaitDecision",
]


class StartDecision(NamedTuple):
    """Decision to start a task on a worker.

    Attributes:
        task_id: Id of the task.
        worker: Name of the worker.
        reason: Why this worker was selected.
    """

    task_id: str
    worker: str
    reason: str


class ThrottleDecision(NamedTuple):
    """Decision to throttle a running task, or to lift its throttle.

    Attributes:
        task_id: Id of the task.
        worker: Worker that runs it.
        share: Share of its processors that it may use, from 0.0 to 1.0 (no
            throttle).
        reason: Why the throttle is changed.
    """

    task_id: str
    worker: str
    share: float
    reason: str


class EvictDecision(NamedTuple):
    """Decision to checkpoint and stop a running task, which then waits again.

    Attributes:
        task_id: Id of the task.
        worker: Worker that runs it.
        reason: Why it is evicted.
    """

    task_id: str
    worker: str
    reason: str


class WaitDecision(NamedTuple):
    """Report of why tasks wait, made only when the reason changes.

    Attributes:
        task_id: Id of the first task that waits for this reason.
        reason: Category of the reason, under which metrics count it.
        detail: Explanation for operators.
    """

    task_id: str
    reason: outcomes.RefusalReason
    detail: str


class ExpectedEnd(NamedTuple):
    """Expected end of the last of the running or waiting tasks of a job.

    Attributes:
        at: Expected end, in seconds on the planner's monotonic clock.
        margin_seconds: Likely error of that time, in seconds.
    """

    at: float
    margin_seconds: float


class FinishEstimate(NamedTuple):
    """Expected finish of a job.

    Attributes:
        job_id: Id of the job.
        at: Expected finish, in seconds on the planner's monotonic clock.
        margin_seconds: Likely error of that time, in seconds.
        running: Expected end of the last of its running tasks; None if none
            runs.
        waiting: Expected end of the last of its waiting tasks; None if none
            waits in this planner.
    """

    job_id: str
    at: float
    margin_seconds: float
    running: ExpectedEnd | None = None
    waiting: ExpectedEnd | None = None


class Plan(NamedTuple):
    """All decisions of one scheduling cycle."""

    starts: tuple[StartDecision, ...] = ()
    throttles: tuple[ThrottleDecision, ...] = ()
    evictions: tuple[EvictDecision, ...] = ()
    waits: tuple[WaitDecision, ...] = ()
