"""A budget of evictions, so that waves of noise do not become waves of them."""

__all__ = ["Budget"]

PERIOD_SECONDS = 1800.0
MIN_BURST = 2.0
BURST_RATIO = 0.125


class Budget:
    """Allows each worker one eviction a period on average, with a burst.

    Attributes:
        period_seconds: Time in which each worker has one eviction.
        left: Evictions that may be decided now.
        at: When `left` was last brought up to date.

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
        """Adds what the passed time allows."""
        if self.at is not None:
            passed = max(0.0, now - self.at)
            self.left += passed * workers / self.period_seconds
        self.at = now
        self.left = min(self.left, max(MIN_BURST, workers * BURST_RATIO))

    def take(self) -> bool:
        """Takes one eviction, if one is left."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
