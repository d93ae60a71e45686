"""A batch job, its tasks and the decisions recorded about them."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from turmerichall.leases import lease

__all__ = [
    "Decision",
    "Job",
    "JobState",
    "Task",
    "TaskState",
    "Totals",
    "task_id",
]

MAX_DECISIONS_PER_JOB = 60
MAX_FAILED_WORKERS = 3
MAX_FAILURES = 12


class TaskState(enum.StrEnum):
    """Where a task is in its life."""

    WAITING = "waiting"
    RUNNING = "running"
    EVICTING = "evicting"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


class JobState(enum.StrEnum):
    """Where a job is, derived from its tasks."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Decision(NamedTuple):
    """Something that was decided about a job, and why.

    Attributes:
        position: Position in the replicated log, which orders decisions.
        wall_seconds: Wall-clock time at the instance that decided, Unix time.
        task: Task the decision is about, or empty for the whole job.
        what: What was decided, such as `started` or `waits`.
        reason: Why, as a sentence.
    """

    position: int
    wall_seconds: float
    task: str
    what: str
    reason: str


class Task(NamedTuple):
    """One unit of work that runs on one worker at a time.

    Attributes:
        task_id: `<job>/<number>` for batch, `<customer>/<service>/<zone>/<n>`
            for a service.
        template: Name of the template.
        customer: Name of the customer.
        state: Where the task is.
        attempt: Starts so far; names the current lease.
        held: The lease, while running or evicting.
        checkpoint: Last checkpoint that the worker reported, or empty.
        failures: Attempts that ended in failure.
        failed_on: Different workers that an attempt failed on.
    """

    task_id: str
    template: str
    customer: str
    state: TaskState = TaskState.WAITING
    attempt: int = 0
    held: lease.Lease | None = None
    checkpoint: str = ""
    failures: int = 0
    failed_on: tuple[str, ...] = ()

    def with_failure(self) -> "Task":
        """Returns the task with one failure more, on its present worker."""
        workers = dict.fromkeys(self.failed_on)
        if self.held is not None:
            workers[self.held.worker] = None
        return self._replace(
            failures=self.failures + 1, failed_on=tuple(workers)
        )

    def has_failed_permanently(self) -> bool:
        """Tells whether the failures show that the task itself is at fault.

        A worker may fail everything that it starts, so failures on one worker
        count once, unless there are very many.
        """
        if self.failures >= MAX_FAILURES:
            return True
        return len(self.failed_on) >= MAX_FAILED_WORKERS


class Job(NamedTuple):
    """A batch job as it was accepted.

    Attributes:
        job_id: Unique id.
        customer: Name of the customer.
        template: Name of the batch template.
        tasks: How many tasks the job has.
        deadline_wall_seconds: When it must be finished, Unix time.
        submitted_wall_seconds: When it was accepted, Unix time.
        cancelled: Whether a cancellation was accepted.
    """

    job_id: str
    customer: str
    template: str
    tasks: int
    deadline_wall_seconds: float
    submitted_wall_seconds: float
    cancelled: bool = False


def task_id(job_id: str, number: int) -> str:
    """Names a task of a batch job.

    Examples:
        >>> task_id("j1", 0)
        'j1/0'
    """
    return f"{job_id}/{number}"


class Totals(NamedTuple):
    """How many tasks of a job are in each state.

    Attributes:
        states: Number of tasks by state; states without any are left out.
        attempts: Starts of all tasks in sum.
        failures: Failed attempts of all tasks in sum.
    """

    states: dict[TaskState, int]
    attempts: int
    failures: int

    @classmethod
    def of_tasks(cls, tasks: Iterable[Task]) -> "Totals":
        """Counts tasks."""
        states: dict[TaskState, int] = {}
        attempts = 0
        failures = 0
        for task in tasks:
            states[task.state] = states.get(task.state, 0) + 1
            attempts += task.attempt
            failures += task.failures
        return cls(states, attempts, failures)


def job_state(job: Job, totals: Totals) -> JobState:
    """Derives the state of a job from those of its tasks.

    Args:
        job: The job.
        totals: States of all of its tasks.

    Returns:
        The state to show to operators.
    """
    states = totals.states
    if TaskState.RUNNING in states or TaskState.EVICTING in states:
        return JobState.RUNNING
    if job.cancelled:
        return JobState.CANCELLED
    if TaskState.WAITING in states:
        return JobState.WAITING
    if TaskState.FAILED in states:
        return JobState.FAILED
    return JobState.FINISHED
