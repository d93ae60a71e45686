"""What a planner decides, each decision with its reason."""

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
    """Start a task on a worker.

    Attributes:
        task_id: The task.
        worker: The worker.
        reason: Why there.
    """

    task_id: str
    worker: str
    reason: str


class ThrottleDecision(NamedTuple):
    """Change the share of its processors that a running task keeps.

    Attributes:
        task_id: The task.
        worker: Worker that runs it.
        share: Share of its processors, from 0.0 to 1.0 (no throttle).
        reason: Why.
    """

    task_id: str
    worker: str
    share: float
    reason: str


class EvictDecision(NamedTuple):
    """Checkpoint a running task and stop it; it waits again afterwards.

    Attributes:
        task_id: The task.
        worker: Worker that runs it.
        reason: Why.
    """

    task_id: str
    worker: str
    reason: str


class WaitDecision(NamedTuple):
    """Why a task waits; given when the reason changed.

    Attributes:
        task_id: The first waiting task of those that wait for this reason.
        reason: The counted reason.
        detail: A sentence for people.
    """

    task_id: str
    reason: outcomes.RefusalReason
    detail: str


class ExpectedEnd(NamedTuple):
    """When the last of some tasks is expected to end.

    Attributes:
        at: Expected time, on the clock of `now`.
        margin_seconds: How far off that may well be.
    """

    at: float
    margin_seconds: float


class FinishEstimate(NamedTuple):
    """When a job is expected to finish.

    Attributes:
        job_id: The job.
        at: Expected time, on the clock of `now`.
        margin_seconds: How far off the estimate may well be.
        running: End of its running tasks; None if none runs.
        waiting: End of its waiting tasks; None if none waits here.
    """

    job_id: str
    at: float
    margin_seconds: float
    running: ExpectedEnd | None = None
    waiting: ExpectedEnd | None = None


class Plan(NamedTuple):
    """Everything decided in one step."""

    starts: tuple[StartDecision, ...] = ()
    throttles: tuple[ThrottleDecision, ...] = ()
    evictions: tuple[EvictDecision, ...] = ()
    waits: tuple[WaitDecision, ...] = ()
