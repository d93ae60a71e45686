"""Change by which what has ended leaves the replicated state.

Answers months of service: jobs, removed workers and queues would add up until
the memory of all replicas is used up at the same time.  The change names what
leaves, so that no replica decides by its own clock; it has no effect on what is
still needed.
"""

from collections.abc import Iterable, MutableMapping
from typing import Protocol, TypeVar

import msgspec

__all__ = ["Forget", "Job", "forget_jobs", "may_leave"]


class Forget(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Change that removes records of what has ended.

    Attributes:
        jobs: Ids of jobs that have ended.
        gone: Ids of removed workers; heartbeats of them may register them
            again.
        silent: Ids of registered workers without runs that have been silent
            for long; they register again when they return.
        queues: Keys of queues that are not configured any more.
        withdrawn: Ids of jobs that were canceled before they were known.
    """

    jobs: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    queues: tuple[str, ...] = ()
    withdrawn: tuple[str, ...] = ()


class Job(Protocol):
    """What is to be known of a job; `job.Job` implements it."""

    @property
    def open(self) -> bool:
        """Whether tasks of the job may still start."""

    def runs(self) -> Iterable[object]:
        """Iterate over the tasks that have a current run."""


J = TypeVar("J", bound=Job)


def may_leave(job: Job) -> bool:
    """Return whether a job has ended, and none of its runs is left."""
    return not job.open and not any(True for _ in job.runs())


def forget_jobs(jobs: MutableMapping[str, J], ids: Iterable[str]) -> list[J]:
    """Remove the jobs that may leave; return them.

    Args:
        jobs: Jobs by id.
        ids: Ids of the jobs to remove.
    """
    removed = []
    for job_id in ids:
        job = jobs.get(job_id)
        if job is not None and may_leave(job):
            removed.append(jobs.pop(job_id))
    return removed
