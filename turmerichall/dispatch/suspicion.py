"""How far a worker can be trusted, from what became of its runs.

Answers workers that fail, refuse or never begin all that they are given while
they look well: each such worker would otherwise draw more and more tasks, since
its room is always free, and use up their attempts.
"""

import collections

__all__ = ["Suspicion"]

# Runs that are remembered.
REMEMBERED = 6
# Failures among them from which a worker is avoided.
FAILURES = 3
# First time without new tasks; doubles up to the longest.
AVOID_SECONDS = 1.5
LONGEST_AVOID_SECONDS = 6.0
# Runs that a worker gets at once when it is tried again.
PROBES = 1


class Suspicion:
    """What is known against one worker.

    Attributes:
        outcomes: Whether each of the last runs went well.
        avoided_until: Until when no task is started there, steady seconds.
        probing: Whether it was avoided and has not done well since.

    Examples:
        >>> suspicion = Suspicion()
        >>> for _ in range(3):
        ...     suspicion.note(False, 10.0)
        >>> suspicion.allows(10.5, 0), suspicion.allows(12.0, 0)
        (False, True)
    """

    def __init__(self) -> None:
        self.outcomes: collections.deque[bool] = collections.deque(
            maxlen=REMEMBERED
        )
        self.avoided_until = 0.0
        self.probing = False
        self._avoid_seconds = AVOID_SECONDS

    def note(self, well: bool, now: float) -> None:
        """Takes in what became of a run."""
        self.outcomes.append(well)
        if well:
            if self.probing:
                self.outcomes.clear()
                self.probing = False
                self._avoid_seconds = AVOID_SECONDS
            return
        if self.probing or self.outcomes.count(False) >= FAILURES:
            self.avoid(now)

    def avoid(self, now: float) -> None:
        """Starts nothing there for a while."""
        if now >= self.avoided_until:
            self.avoided_until = now + self._avoid_seconds
            self._avoid_seconds = min(
                2 * self._avoid_seconds, LONGEST_AVOID_SECONDS
            )
        self.probing = True

    def allows(self, now: float, running: int) -> bool:
        """Tells whether a task may be started there.

        Args:
            now: Steady seconds.
            running: Runs that were started there and are under way.
        """
        if now < self.avoided_until:
            return False
        return not self.probing or running < PROBES
