"""Limit on how often a message that repeats is logged."""

__all__ = ["DEFAULT_INTERVAL_SECONDS", "RepeatLimit"]

DEFAULT_INTERVAL_SECONDS = 5.0


class RepeatLimit:
    """Allows one message per interval and counts the occurrences in between.

    Attributes:
        interval_seconds: Minimum time between two messages, in seconds.
        next_at: Earliest time of the next message.

    Examples:
        >>> limit = RepeatLimit()
        >>> [limit.count(now) for now in (0.0, 2.0, 4.0, 6.0)]
        [1, 0, 0, 3]
    """

    def __init__(self, interval_seconds: float = DEFAULT_INTERVAL_SECONDS):
        self.interval_seconds = interval_seconds
        self.next_at = -float("inf")
        self._last_at = -float("inf")
        self._count = 0

    def count(self, now: float) -> int:
        """Count an occurrence; return how many a message now stands for.

        Occurrences that were not logged are forgotten once none has followed
        for a whole interval.

        Args:
            now: Time of the occurrence, in seconds of any steady clock.

        Returns:
            The number of occurrences since the last message; 0 if no message
            is due.
        """
        if now - self._last_at > self.interval_seconds:
            self._count = 0
        self._last_at = now
        self._count += 1
        if now < self.next_at:
            return 0
        count, self._count = self._count, 0
        self.next_at = now + self.interval_seconds
        return count
