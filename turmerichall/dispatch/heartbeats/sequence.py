"""Decision whether a numbered report of a worker is newer than those before.

Answers a report of another writer with a number that the worker itself reaches
only after years: all reports of the worker counted as late from then on, so a
drain and a smaller capacity had no effect.

`registry.Registry` asks for heartbeats, `session.WorkerSession` for the ends of
runs.
"""

__all__ = ["SERIES_SECONDS", "HeartbeatOrder", "last_plausible"]

# Time over which lower numbers have to rise, with none above the highest one
# between them, to show that the highest was not the worker's.  Delayed reports
# arrive together, or beside newer ones.
SERIES_SECONDS = 3.0
# Number by which the number of an end may exceed the one before: a worker
# numbers its ends one by one, and has far fewer runs than this.
MAX_END_LEAP = 1_000_000


class HeartbeatOrder:
    """Order of the heartbeats of one incarnation of a worker.

    Attributes:
        highest: Highest number that counts; 0 before the first heartbeat.
    """

    def __init__(self) -> None:
        self.highest = 0
        self._lower = 0
        self._lower_since = 0.0

    def is_newest(self, number: int, now: float) -> bool:
        """Record a heartbeat; return whether its contents are the newest.

        Args:
            number: Its number.
            now: Current time in seconds, on a steady clock.

        Examples:
            >>> order = HeartbeatOrder()
            >>> [order.is_newest(number, 0.0) for number in (3, 4, 2)]
            [True, True, False]
            >>> order.is_newest(10**15, 1.0)
            True
            >>> [order.is_newest(4 + n, 1.0 + n) for n in range(1, 5)]
            [False, False, False, True]
        """
        if number < self.highest:
            if number <= self._lower or not self._lower:
                self._lower_since = now
            self._lower = number
            if now - self._lower_since < SERIES_SECONDS:
                return False
        self.highest = number
        self._lower = 0
        return True


def last_plausible(number: int, before: int) -> int:
    """Return up to which number ends may be acknowledged after one is read.

    Args:
        number: Number of the end that was read.
        before: Number up to which ends were read before it.

    Examples:
        >>> last_plausible(58, 57), last_plausible(10**15, 57)
        (58, 57)
    """
    if before < number <= before + MAX_END_LEAP:
        return number
    return before
