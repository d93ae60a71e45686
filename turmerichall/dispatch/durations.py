"""Learnt run times, since declared ones are off by half and more."""

__all__ = ["DurationEstimator"]

# Weight of the newest run in the mean of its queue.
MIN_WEIGHT = 0.05
# Runs after which the mean is trusted more than the estimate.
MIN_RUNS = 8


class DurationEstimator:
    """Mean run times by queue and image, beside callers' estimates.

    Examples:
        >>> estimator = DurationEstimator()
        >>> estimator.estimate(("q", ""), 2.0)
        2.0
        >>> for _ in range(20):
        ...     estimator.record(("q", ""), 1.0)
        >>> estimator.estimate(("q", ""), 2.0)
        1.5
    """

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], float] = {}
        self._counts: dict[tuple[str, str], int] = {}

    def record(self, kind: tuple[str, str], seconds: float) -> None:
        """Takes in the time of a run that was done."""
        count = self._counts.get(kind, 0) + 1
        mean = self._means.get(kind, 0.0)
        weight = max(1.0 / count, MIN_WEIGHT)
        self._means[kind] = mean + weight * (seconds - mean)
        self._counts[kind] = count

    def estimate(self, kind: tuple[str, str], estimate_seconds: float) -> float:
        """Returns how long a run may be expected to take, in seconds."""
        if self._counts.get(kind, 0) < MIN_RUNS:
            return estimate_seconds
        return (self._means[kind] + estimate_seconds) / 2
