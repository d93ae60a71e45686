"""Run times learned from earlier runs.

Callers' estimates alone are off by half or more.
"""

__all__ = ["DurationEstimator"]

# Minimum weight of a new run in the moving average.
MIN_WEIGHT = 0.05
# Number of recorded runs from which on the moving average is used.
MIN_RUNS = 8
# Most kinds of runs that are known; beyond that the oldest is forgotten.
MAX_KINDS = 4096


class DurationEstimator:
    """Moving averages of run times, by queue and image.

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
        """Record the duration of a run that completed its task."""
        count = self._counts.get(kind, 0) + 1
        mean = self._means.get(kind, 0.0)
        weight = max(1.0 / count, MIN_WEIGHT)
        self._means[kind] = mean + weight * (seconds - mean)
        self._counts[kind] = count
        if len(self._counts) > MAX_KINDS:
            oldest = next(iter(self._counts))
            del self._counts[oldest], self._means[oldest]

    def estimate(self, kind: tuple[str, str], estimate_seconds: float) -> float:
        """Return the expected time of a run in seconds.

        It is the mean of the caller's estimate and the moving average, or the
        estimate alone before `MIN_RUNS` runs were recorded.

        Args:
            kind: Key of the queue, and image of the step.
            estimate_seconds: The caller's estimate.
        """
        if self._counts.get(kind, 0) < MIN_RUNS:
            return estimate_seconds
        return (self._means[kind] + estimate_seconds) / 2
