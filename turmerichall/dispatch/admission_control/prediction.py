"""Prediction of when a submitted job would be done.

It addresses bursts of jobs above capacity, in which the time that a job waits,
and not its own run time, decides whether it is on time.  The waiting jobs are
taken in the order in which they will be placed, as a fluid that is served at
the rate of the processors that their kind can have.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from turmerichall.queues import demand as demands

__all__ = [
    "JobShape",
    "WaitingJob",
    "WorkAhead",
    "job_shape",
    "service_seconds",
    "work_ahead",
]

# Returns the expected run time in seconds of a task of a step.
ExpectedSeconds = Callable[[demands.StepDemand], float]


class JobShape(NamedTuple):
    """Work of a job that has not started.

    Attributes:
        chain_seconds: Expected time of its longest chain of steps.
        work: All its work, in core-seconds.
        first_cores: Processors of the tasks that can start at once, in cores.
    """

    chain_seconds: float
    work: float
    first_cores: float


class WaitingJob(NamedTuple):
    """What an accepted job still needs.

    Attributes:
        service: Name of the service whose workers run it.
        best_effort: Whether all its tasks are best-effort.
        priority: Priority of its queue.
        fraction_left: Share of its work that is not done.
        slack_seconds: Time left to its objective beyond its remaining chain.
        work: Work that has not started, in core-seconds.
        ready_cores: Processors of its tasks that wait for room, in cores.
    """

    service: str
    best_effort: bool
    priority: int
    fraction_left: float
    slack_seconds: float
    work: float
    ready_cores: float


class WorkAhead(NamedTuple):
    """Waiting work of a kind, from the view of a new job.

    Attributes:
        on_time: Work of jobs that go before a new job, in core-seconds.
        late: Work of jobs that can't be on time any more and follow it.
        ready_cores: Processors of all tasks that wait for room, in cores.
    """

    on_time: float = 0.0
    late: float = 0.0
    ready_cores: float = 0.0


def job_shape(
    steps: Sequence[demands.StepDemand], expected_seconds: ExpectedSeconds
) -> JobShape:
    """Return the shape of a job.

    Examples:
        >>> steps = (demands.StepDemand(10, cpu=2000, estimate_ms=500),
        ...     demands.StepDemand(10, cpu=2000, estimate_ms=500, after=(0,)))
        >>> job_shape(steps, lambda step: step.estimate_ms / 1000)
        JobShape(chain_seconds=1.0, work=20.0, first_cores=20.0)
    """
    ends: list[float] = []
    work = first_cores = 0.0
    for step in steps:
        seconds = expected_seconds(step)
        ends.append(max((ends[i] for i in step.after), default=0.0) + seconds)
        cores = step.count * step.cpu / 1000
        work += cores * seconds
        if not step.after:
            first_cores += cores
    return JobShape(max(ends, default=0.0), work, first_cores)


def service_seconds(shape: JobShape, rate: float) -> float:
    """Return the time of a job once it is served.

    It is the chain, or the time that the job's work takes on all processors if
    the job is wider than they are.

    Args:
        shape: The job.
        rate: Processors that the job's kind can have, in cores.

    Examples:
        >>> service_seconds(JobShape(1.0, 20.0, 20.0), 100.0)
        1.0
        >>> service_seconds(JobShape(1.0, 20.0, 20.0), 8.0)
        2.5
    """
    return max(shape.chain_seconds, shape.work / rate)


def work_ahead(
    jobs: Iterable[WaitingJob], rate: float, late_jobs_yield: bool
) -> WorkAhead:
    """Return the work of waiting jobs that goes before a new job, and the rest.

    Args:
        jobs: Waiting jobs of the kind, of no lower priority than the new job.
        rate: Processors that the kind can have, in cores.
        late_jobs_yield: Whether placement judges a job by all its remaining
            work, so that a job that can't be on time follows new ones at once.
            Otherwise it goes before them until its objective has passed.

    Examples:
        >>> job = WaitingJob("s", True, 2, 1.0, 4.0, 300.0, 20.0)
        >>> work_ahead([job, job, job], 100.0, True)
        WorkAhead(on_time=600.0, late=300.0, ready_cores=60.0)
        >>> work_ahead([job, job, job], 100.0, False).on_time
        900.0
    """
    on_time = late = ready_cores = 0.0
    if late_jobs_yield:
        ordered = sorted(
            jobs, key=lambda job: (job.priority, job.fraction_left)
        )
    else:
        ordered = list(jobs)
    for job in ordered:
        ready_cores += job.ready_cores
        wait = on_time / rate if late_jobs_yield else 0.0
        if wait <= job.slack_seconds:
            on_time += job.work
        else:
            late += job.work
    return WorkAhead(on_time, late, ready_cores)
