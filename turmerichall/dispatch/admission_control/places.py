"""Places kept for jobs that were refused and are expected to return.

They address callers that come back in a wave and find that newcomers took the
capacity for which they were told to wait.  A place is in the leader's memory
only: it is worth less than a commit, and a new leader treats newcomers and
returning jobs alike.
"""

from typing import NamedTuple

__all__ = ["Place", "PlacedWork", "Places", "Pool"]

# Maximum number of places.
MAX_PLACES = 512
# A place expires this long after its time: a caller that was given N seconds
# may need its whole timeout of 3 s for the call, and a second for the way.
GRACE_SECONDS = 4.0
# A caller is taken for punctual if it returns up to this long before its time.
EARLY_SECONDS = 0.5

# Service, whether tasks are best-effort, and priority: jobs of one pool compete
# for the same capacity.
Pool = tuple[str, bool, int]


class Place(NamedTuple):
    """A place kept for a job.

    Attributes:
        pool: Pool of the job.
        work: Work of the job in core-seconds.
        first_seen_at: Time of its first submission on the steady clock.
        due_at: Time at which its caller was told to return.
        refusals: Number of times that it was refused.
        can_be_on_time: Whether the job can be on time if its caller is.
    """

    pool: Pool
    work: float
    first_seen_at: float
    due_at: float
    refusals: int
    can_be_on_time: bool

    def is_due(self, now: float) -> bool:
        """Return whether the caller returns in time or later."""
        return now >= self.due_at - EARLY_SECONDS


class PlacedWork(NamedTuple):
    """Work for which places are kept, in core-seconds.

    Attributes:
        on_time_due: Work of jobs that are due by a time and can be on time.
        due: Work of all jobs that are due by a time.
        on_time: Work of all jobs that can be on time.
        total: Work of all jobs.
    """

    on_time_due: float = 0.0
    due: float = 0.0
    on_time: float = 0.0
    total: float = 0.0


class Places:
    """All places.

    Attributes:
        by_job: Places by id of the job.
        expired: Number of places that expired since it was last reset.
    """

    def __init__(self) -> None:
        self.by_job: dict[str, Place] = {}
        self.expired = 0

    def keep(self, job: str, place: Place) -> bool:
        """Keep a place; return False if there are too many."""
        if job not in self.by_job and len(self.by_job) >= MAX_PLACES:
            return False
        self.by_job[job] = place
        return True

    def find(self, job: str, now: float) -> Place | None:
        """Return the place of a job if it has not expired.

        Args:
            job: Id of the job.
            now: Current time on the steady clock.
        """
        place = self.by_job.get(job)
        if place is not None and now > place.due_at + GRACE_SECONDS:
            del self.by_job[job]
            self.expired += 1
            return None
        return place

    def drop(self, job: str) -> None:
        """Remove the place of a job, if it has one."""
        self.by_job.pop(job, None)

    def expire(self, now: float) -> None:
        """Remove all expired places."""
        for job in list(self.by_job):
            self.find(job, now)

    def work(
        self, pool: Pool, besides: str, on_time_until: float, until: float
    ) -> PlacedWork:
        """Return the work for which places are kept.

        Args:
            pool: Pool of the jobs.
            besides: Id of a job that is left out.
            on_time_until: Time on the steady clock; `on_time_due` counts jobs
                that are due no later.
            until: As `on_time_until`, for `due`.
        """
        on_time_due = due = on_time = total = 0.0
        for job, place in self.by_job.items():
            if place.pool != pool or job == besides:
                continue
            total += place.work
            if place.due_at <= until:
                due += place.work
            if place.can_be_on_time:
                on_time += place.work
                if place.due_at <= on_time_until:
                    on_time_due += place.work
        return PlacedWork(on_time_due, due, on_time, total)
