"""How far a worker can be trusted, from what became of its runs.

Answers workers that fail, refuse or never begin all that they are given while
they look well: each such worker would otherwise draw more and more tasks, since
its room is always free, and use up their attempts.
"""

import collections

__all__ = ["CircuitBreaker"]

# Runs that are remembered.
WINDOW_RUNS = 6
# Failures among them from which a worker is avoided.
FAILURE_THRESHOLD = 3
# First time without new tasks; doubles up to the longest.
OPEN_SECONDS = 1.5
MAX_OPEN_SECONDS = 6.0
# How long a run that tries an avoided worker keeps further ones away, unless it
# ends earlier.
TRIAL_SECONDS = 2.0


class CircuitBreaker:
    """What is known against one worker.

    Attributes:
        outcomes: What the last runs were of, and whether they went well.
        avoided_until: Until when no task is started there, steady seconds.
        probing: Whether it was avoided and has not done well since.

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
        """Takes in what became of a run.

        Args:
            well: Whether it went well.
            now: Steady seconds.
            subject: What failures of one cause share, such as the job: a job
                that fails wherever it runs says little about a worker.
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
        """Starts nothing there for a while."""
        if now >= self.open_until:
            self.open_until = now + self._open_seconds
            self._open_seconds = min(2 * self._open_seconds, MAX_OPEN_SECONDS)
        self.tripped = True

    def allows(self, now: float) -> bool:
        """Tells whether a task may be started there now, steady seconds."""
        if now < self.open_until:
            return False
        return not self.tripped or now >= self._trial_until

    def record_start(self, now: float) -> None:
        """Notes that a task is started there now, steady seconds."""
        if self.tripped:
            self._trial_until = now + TRIAL_SECONDS
