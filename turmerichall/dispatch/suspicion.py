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
# How long a run that tries an avoided worker keeps further ones away, unless it
# ends earlier.
PROBE_SECONDS = 2.0


class Suspicion:
    """What is known against one worker.

    Attributes:
        outcomes: What the last runs were of, and whether they went well.
        avoided_until: Until when no task is started there, steady seconds.
        probing: Whether it was avoided and has not done well since.

    Examples:
        >>> suspicion = Suspicion()
        >>> for job in ("a", "a", "b", "c"):
        ...     suspicion.note(False, 10.0, job)
        >>> suspicion.allows(10.5), suspicion.allows(12.0)
        (False, True)
        >>> suspicion.note_start(12.0)
        >>> suspicion.allows(13.0), suspicion.allows(14.1)
        (False, True)
    """

    def __init__(self) -> None:
        self.outcomes: collections.deque[tuple[str, bool]] = collections.deque(
            maxlen=REMEMBERED
        )
        self.avoided_until = 0.0
        self.probing = False
        self._probed_until = 0.0
        self._avoid_seconds = AVOID_SECONDS

    def note(self, well: bool, now: float, subject: str = "") -> None:
        """Takes in what became of a run.

        Args:
            well: Whether it went well.
            now: Steady seconds.
            subject: What failures of one cause share, such as the job: a job
                that fails wherever it runs says little about a worker.
        """
        self._probed_until = 0.0
        if well:
            self.outcomes.append((subject, True))
            if self.probing:
                self.outcomes.clear()
                self.probing = False
                self._avoid_seconds = AVOID_SECONDS
            return
        if subject and (subject, False) in self.outcomes:
            return
        self.outcomes.append((subject, False))
        failures = sum(not went_well for _, went_well in self.outcomes)
        if self.probing or failures >= FAILURES:
            self.avoid(now)

    def avoid(self, now: float) -> None:
        """Starts nothing there for a while."""
        if now >= self.avoided_until:
            self.avoided_until = now + self._avoid_seconds
            self._avoid_seconds = min(
                2 * self._avoid_seconds, LONGEST_AVOID_SECONDS
            )
        self.probing = True

    def allows(self, now: float) -> bool:
        """Tells whether a task may be started there now, steady seconds."""
        if now < self.avoided_until:
            return False
        return not self.probing or now >= self._probed_until

    def note_start(self, now: float) -> None:
        """Notes that a task is started there now, steady seconds."""
        if self.probing:
            self._probed_until = now + PROBE_SECONDS
