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


class Turns:
    """Waiting times of jobs, and the job that has a turn.

    Attributes:
        holder: The job that has a turn; None if none has.

    Examples:
        >>> turns = Turns()
        >>> for now in (0.0, 9.0, 11.0):
        ...     turns.begin_round()
        ...     turns.record(("a", 0), False, 10.0, now)
        ...     print(turns.end_round(now), turns.holder)
        False None
        False None
        True ('a', 0)
    """

    def __init__(self) -> None:
        self.holder: JobName | None = None
        self._began_at = -math.inf
        # When each waiting job last had a running task, or was first seen.
        self._served_at: dict[JobName, float] = {}
        self._seen: set[JobName] = set()
        self._longest_excess = 0.0
        self._candidate: JobName | None = None

    def begin_round(self) -> None:
        """Begin a placing round."""
        self._seen.clear()
        self._candidate = None
        self._longest_excess = 0.0

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
        self._seen.add(job)
        if running:
            self._served_at[job] = now
            return
        excess = now - self._served_at.setdefault(job, now) - limit_seconds
        if excess > self._longest_excess:
            self._longest_excess = excess
            self._candidate = job

    def waited_seconds(self, job: JobName, now: float) -> float:
        """Return for how long a job has had no running task."""
        return now - self._served_at.get(job, now)

    def end_round(self, now: float) -> bool:
        """Decide which job has a turn; return whether a turn begins.

        Call this after all waiting jobs were recorded; the others are
        forgotten.
        """
        if len(self._seen) < len(self._served_at):
            for job in self._served_at.keys() - self._seen:
                del self._served_at[job]
        if self.holder is not None:
            served_at = self._served_at.get(self.holder, now)
            if served_at <= self._began_at:
                if now - self._began_at < TURN_SECONDS:
                    return False
                # It waits for its next turn from now on.
                self._served_at[self.holder] = now
            self.holder = None
            return False
        if now - self._began_at < TURN_INTERVAL_SECONDS:
            return False
        if self._candidate is None:
            return False
        self.holder = self._candidate
        self._began_at = now
        return True
