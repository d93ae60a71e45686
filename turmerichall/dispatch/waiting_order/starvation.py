"""Turns of jobs that have waited for too long.

Jobs that can only be late come last, and under a load that stays above capacity
they would never run.  A job that has had no running task for as long as it
would have value therefore has a turn, in which it goes before others of its
priority.  An earlier turn would take room from jobs that still have value.
"""

import math

from turmerichall.dispatch import ranking

__all__ = ["JobName", "Turns", "wait_limit"]

# Job and occurrence.
JobName = tuple[str, int]

# Minimum time for which a job without a running task waits for a turn.
MIN_WAIT_SECONDS = 10.0
# Minimum time from the begin of one turn to that of the next; without it, the
# jobs that a burst left behind would all go first together.
TURN_INTERVAL_SECONDS = 1.0
# Time after which a turn ends if the job still finds no room; longer than a
# batch task runs.  A job that fits nowhere doesn't keep the others waiting.
TURN_SECONDS = 3.0


def wait_limit(objective_seconds: float) -> float:
    """Return for how long a job may wait with no task running, in seconds.

    Examples:
        >>> wait_limit(2.0), wait_limit(8.0)
        (10.0, 24.0)
    """
    return max(ranking.LATE_FACTOR * objective_seconds, MIN_WAIT_SECONDS)


class _Wait:
    """Waiting time of a job.

    Attributes:
        served_at: Time at which it last had a running task, or was first seen.
        limit_seconds: For how long it may wait without one.
    """

    __slots__ = ("limit_seconds", "served_at")

    def __init__(self, now: float):
        self.served_at = now
        self.limit_seconds = 0.0


class Turns:
    """Waiting times of jobs, and the job that has a turn.

    Attributes:
        holder: The job that has a turn; None if none has.

    Examples:
        >>> turns = Turns()
        >>> for now in (0.0, 9.0, 11.0):
        ...     turns.record(("a", 0), False, 10.0, now)
        ...     print(turns.update(now), turns.holder)
        False None
        False None
        True ('a', 0)
    """

    def __init__(self) -> None:
        self.holder: JobName | None = None
        self._began_at = -math.inf
        self._checked_at = -math.inf
        self._waits: dict[JobName, _Wait] = {}

    def record(
        self, job: JobName, running: bool, limit_seconds: float, now: float
    ) -> None:
        """Record a job with waiting tasks.

        Args:
            job: The job.
            running: Whether other tasks of it are running.
            limit_seconds: For how long it may wait without one.
            now: Current time on the steady clock.
        """
        wait = self._waits.get(job)
        if wait is None:
            wait = self._waits[job] = _Wait(now)
        wait.limit_seconds = limit_seconds
        if running:
            wait.served_at = now

    def forget(self, job: JobName) -> None:
        """Forget a job that has no waiting tasks."""
        self._waits.pop(job, None)

    def waited_seconds(self, job: JobName, now: float) -> float:
        """Return for how long a job has had no running task."""
        return now - self._waits[job].served_at if job in self._waits else 0.0

    def update(self, now: float) -> bool:
        """Decide which job has a turn; return whether a turn begins.

        Called in each placing round, after the waiting jobs were recorded.
        """
        if self.holder is not None:
            wait = self._waits.get(self.holder)
            if wait is not None and wait.served_at <= self._began_at:
                if now - self._began_at < TURN_SECONDS:
                    return False
                # It waits for its next turn from now on.
                wait.served_at = now
            self.holder = None
        if now - max(self._began_at, self._checked_at) < TURN_INTERVAL_SECONDS:
            return False
        self._checked_at = now
        longest = 0.0
        for job, wait in self._waits.items():
            excess = now - wait.served_at - wait.limit_seconds
            if excess > longest:
                longest = excess
                self.holder = job
        if self.holder is None:
            return False
        self._began_at = now
        return True
