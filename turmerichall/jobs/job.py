"""Batch jobs, their tasks and the decisions recorded about them."""

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
    """State of a task in its life cycle."""

    WAITING = "waiting"
    RUNNING = "running"
    EVICTING = "evicting"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


class JobState(enum.StrEnum):
    """State of a job, derived from the states of its tasks."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Decision(NamedTuple):
    """A decision about a job, with its reason.

    Attributes:
        position: Position of the decision in the replicated log, which orders
            decisions.
        wall_seconds: Unix time of the decision, by the clock of the instance
            that made it.
        task: Task that the decision concerns, or empty for the whole job.
        what: Kind of decision, such as `started` or `waits`.
        reason: Why it was made, as a sentence.
    """

    position: int
    wall_seconds: float
    task: str
    what: str
    reason: str


class Task(NamedTuple):
    """A unit of work that runs on at most one worker at a time.

    Attributes:
        task_id: `<job>/<number>` for a batch task,
            `<customer>/<service>/<zone>/<n>` for a service task.
        template: Name of the template that defines the task.
        customer: Name of the customer that the task belongs to.
        state: State of the task.
        attempt: Number of starts so far, which identifies the current lease.
        held: Lease under which a worker runs the task; None unless the task
            runs or is being evicted.
        checkpoint: Last checkpoint that a worker reported, or empty.
        failures: Number of attempts that failed.
        failed_on: Distinct workers on which an attempt failed.
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
        """Return a copy of the task with one more failed attempt.

        The failure is recorded for the worker that holds the lease, if any.
        """
        workers = dict.fromkeys(self.failed_on)
        if self.held is not None:
            workers[self.held.worker] = None
        return self._replace(
            failures=self.failures + 1, failed_on=tuple(workers)
        )

    def has_failed_permanently(self) -> bool:
        """Return whether the task has failed too often to be started again.

        The number of workers that it failed on is limited, and several failures
        on one worker count once, because a faulty worker may fail every task
        that it starts.  The total number of failures is limited as well.
        """
        if self.failures >= MAX_FAILURES:
            return True
        return len(self.failed_on) >= MAX_FAILED_WORKERS


class Job(NamedTuple):
    """A batch job as accepted from its submitter.

    Attributes:
        job_id: Unique id of the job.
        customer: Name of the customer that the job belongs to.
        template: Name of the batch template that defines the job's tasks.
        tasks: Number of tasks of the job.
        deadline_wall_seconds: Unix time by which the job must have finished.
        submitted_wall_seconds: Unix time at which the job was accepted.
        cancelled: Whether a cancellation of the job was accepted.
    """

    job_id: str
    customer: str
    template: str
    tasks: int
    deadline_wall_seconds: float
    submitted_wall_seconds: float
    cancelled: bool = False


def task_id(job_id: str, number: int) -> str:
    """Return the id of a task of a batch job.

    Examples:
        >>> task_id("j1", 0)
        'j1/0'
    """
    return f"{job_id}/{number}"


class Totals(NamedTuple):
    """Totals over the tasks of a job: states, attempts and failures.

    Attributes:
        states: Number of tasks by state; states without tasks are omitted.
        attempts: Total number of starts of all tasks.
        failures: Total number of failed attempts of all tasks.
    """

    states: dict[TaskState, int]
    attempts: int
    failures: int

    @classmethod
    def of_tasks(cls, tasks: Iterable[Task]) -> "Totals":
        """Return the totals over the given tasks of a job."""
        states: dict[TaskState, int] = {}
        attempts = 0
        failures = 0
        for task in tasks:
            states[task.state] = states.get(task.state, 0) + 1
            attempts += task.attempt
            failures += task.failures
        return cls(states, attempts, failures)


def job_state(job: Job, totals: Totals) -> JobState:
    """Derive the state of a job from the states of its tasks.

    Args:
        job: The job.
        totals: Totals over all tasks of the job.

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
