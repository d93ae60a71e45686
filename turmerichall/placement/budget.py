"""Rate limit of evictions.

Slowdowns are measured with noise; if many services seem slow at once, this must
not lead to a wave of evictions.
"""

__all__ = ["Budget"]

PERIOD_SECONDS = 1800.0
MIN_BURST = 2.0
BURST_RATIO = 0.125


class Budget:
    """Token bucket that limits evictions.

    On average, it permits one eviction per worker and period.

    Attributes:
        period_seconds: Period in which one token per worker is added.
        left: Number of tokens in the bucket; each eviction takes one.
        at: Time of the last refill on the caller's monotonic clock, in seconds;
            None before the first.

    Examples:
        >>> budget = Budget()
        >>> budget.refill(workers=8, now=0.0)
        >>> budget.take(), budget.take(), budget.take()
        (True, True, False)
    """

    def __init__(self, period_seconds: float = PERIOD_SECONDS) -> None:
        self.period_seconds = period_seconds
        self.left = MIN_BURST
        self.at: float | None = None

    def refill(self, workers: int, now: float) -> None:
        """Add the tokens for the time since the last refill.

        Args:
            workers: Number of workers.
            now: The caller's monotonic clock, in seconds.
        """
        if self.at is not None:
            passed = max(0.0, now - self.at)
            self.left += passed * workers / self.period_seconds
        self.at = now
        self.left = min(self.left, max(MIN_BURST, workers * BURST_RATIO))

    def take(self) -> bool:
        """Take a token if there is one, and return whether there was."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
