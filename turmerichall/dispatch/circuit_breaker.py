"""Circuit breakers that keep tasks away from workers whose runs fail.

A faulty worker may fail, refuse or never start every run although it looks
healthy.  Without a breaker it would attract more and more tasks, since it
always has room, and use up their attempts.
"""

import collections

__all__ = ["CircuitBreaker"]

# Number of a worker's latest runs whose outcomes are counted.
WINDOW_RUNS = 6
# Number of failures among these runs at which the breaker opens.
FAILURE_THRESHOLD = 3
# Time for which the breaker stays open; doubles each time that it opens again
# before a run has succeeded, up to the maximum.
OPEN_SECONDS = 1.5
MAX_OPEN_SECONDS = 6.0
# Once the open time is over, a single trial run may start.  No further run
# starts on the worker for this time, or until the trial run ends.
TRIAL_SECONDS = 2.0


class CircuitBreaker:
    """The circuit breaker of one worker.

    Attributes:
        outcomes: For each of the latest runs, the cause passed to `record`, and
            whether the run succeeded.
        open_until: Time on the steady clock until which the worker gets no
            tasks.
        tripped: Whether the breaker is open or half-open: it tripped, and no
            run has succeeded since.

    Examples:
        >>> breaker = CircuitBreaker()
        >>> for job in ("a", "a", "b", "c"):
        ...     breaker.record(False, 10.0, job)
        >>> breaker.allows(10.5), breaker.allows(12.0)
        (False, True)
        >>> breaker.record_start(12.0)
        >>> breaker.allows(13.0), breaker.allows(14.1)
        (False, True)
    """

    def __init__(self) -> None:
        self.outcomes: collections.deque[tuple[str, bool]] = collections.deque(
            maxlen=WINDOW_RUNS
        )
        self.open_until = 0.0
        self.tripped = False
        self._trial_until = 0.0
        self._open_seconds = OPEN_SECONDS

    def record(self, succeeded: bool, now: float, cause: str = "") -> None:
        """Record the outcome of a run.

        Args:
            succeeded: Whether the run succeeded.
            now: Current time on the steady clock.
            cause: Name that failures with the same cause share, such as the id
                of the job; they count once, because a job that fails wherever
                it runs says little about a worker.
        """
        self._trial_until = 0.0
        if succeeded:
            self.outcomes.append((cause, True))
            if self.tripped:
                self.outcomes.clear()
                self.tripped = False
                self._open_seconds = OPEN_SECONDS
            return
        if cause and (cause, False) in self.outcomes:
            return
        self.outcomes.append((cause, False))
        failures = sum(not was_success for _, was_success in self.outcomes)
        if self.tripped or failures >= FAILURE_THRESHOLD:
            self.trip(now)

    def trip(self, now: float) -> None:
        """Open the breaker for a while; `now` is on the steady clock."""
        if now >= self.open_until:
            self.open_until = now + self._open_seconds
            self._open_seconds = min(2 * self._open_seconds, MAX_OPEN_SECONDS)
        self.tripped = True

    def allows(self, now: float) -> bool:
        """Return whether a task may start at a time on the steady clock."""
        if now < self.open_until:
            return False
        return not self.tripped or now >= self._trial_until

    def record_start(self, now: float) -> None:
        """Record that a task starts at a time on the steady clock."""
        if self.tripped:
            self._trial_until = now + TRIAL_SECONDS
