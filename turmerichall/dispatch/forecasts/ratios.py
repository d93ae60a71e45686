"""Ratio of measured to declared run time, learned by kind of run."""

import bisect
import collections

__all__ = ["Kind", "KindRatios", "StepRatios"]

# Key of the queue, and image of the step.
Kind = tuple[str, str]

# Number of latest runs of a kind that count.  The 90th percentile of 64 runs
# rests on six, and 3 % of runs that take many times as long stay above it.
WINDOW_RUNS = 64
# Number of recorded runs from which on a kind's ratios are used.
MIN_RUNS = 8
# Ratios are limited, so that a declared time near zero doesn't dominate.
MIN_RATIO = 0.02
MAX_RATIO = 50.0
# Quantile that about one run in ten exceeds.
HIGH_QUANTILE = 0.9
# Maximum number of kinds, and time after which an unseen one is evicted.
MAX_KINDS = 512
KEPT_SECONDS = 600.0
# Number of runs from which on the mean of a step's ratios is taken for what its
# runs have in common.
MIN_STEP_RUNS = 3
# Maximum number of steps, each of a job, of which ratios are kept.
MAX_STEPS = 4096
# Number of runs that the ratio of a kind counts for beside those of a step.
KIND_WEIGHT_RUNS = 2
# A run of a step counts for at most this many times the ratio of its kind, so
# that one slow run doesn't make a whole step look slow.
MAX_STEP_EXCESS = 3.0


class _Window:
    """The latest ratios of one kind.

    Attributes:
        recorded: Ratios in the order in which they were recorded.
        ordered: The same ratios, ascending.
        recorded_at: Time of the latest one on the steady clock.
    """

    __slots__ = ("ordered", "recorded", "recorded_at")

    def __init__(self) -> None:
        self.recorded: collections.deque[float] = collections.deque()
        self.ordered: list[float] = []
        self.recorded_at = 0.0

    def add(self, ratio: float) -> None:
        """Add a ratio; the oldest leaves a full window."""
        if len(self.recorded) == WINDOW_RUNS:
            oldest = self.recorded.popleft()
            del self.ordered[bisect.bisect_left(self.ordered, oldest)]
        self.recorded.append(ratio)
        bisect.insort(self.ordered, ratio)

    def quantile(self, share: float) -> float:
        """Return the ratio that a share of the runs does not exceed."""
        return self.ordered[int(share * (len(self.ordered) - 1))]


class KindRatios:
    """Learned ratios of measured to declared run time, by kind.

    Quantiles are used instead of a mean, which a few runs of many times the
    usual length would raise for all.

    Examples:
        >>> ratios = KindRatios()
        >>> for number in range(20):
        ...     ratios.record(("q", ""), 14.0 if number == 9 else 2.0, 0.0)
        >>> ratios.typical_and_high(("q", ""))
        (2.0, 2.0)
        >>> ratios.typical_and_high(("q", "other")) is None
        True
    """

    def __init__(self) -> None:
        # Ordered by the time of the latest run, oldest first.
        self._windows: dict[Kind, _Window] = {}

    def __len__(self) -> int:
        return len(self._windows)

    def record(self, kind: Kind, ratio: float, now: float) -> None:
        """Record the ratio of a run that completed its task.

        Args:
            kind: Kind of the run.
            ratio: Measured time divided by declared time.
            now: Current time on the steady clock.
        """
        window = self._windows.pop(kind, None) or _Window()
        window.add(min(max(ratio, MIN_RATIO), MAX_RATIO))
        window.recorded_at = now
        self._windows[kind] = window
        while True:
            oldest = next(iter(self._windows))
            if (
                len(self._windows) <= MAX_KINDS
                and now - self._windows[oldest].recorded_at <= KEPT_SECONDS
            ):
                return
            del self._windows[oldest]

    def typical_and_high(self, kind: Kind) -> tuple[float, float] | None:
        """Return the median and the 90th percentile of a kind's ratios.

        None before `MIN_RUNS` runs were recorded.
        """
        typical = self.quantile(kind, 0.5)
        high = self.quantile(kind, HIGH_QUANTILE)
        return None if typical is None or high is None else (typical, high)

    def quantile(self, kind: Kind, share: float) -> float | None:
        """Return the ratio that a share of a kind's runs does not exceed.

        None before `MIN_RUNS` runs were recorded.
        """
        window = self._windows.get(kind)
        if window is None or len(window.ordered) < MIN_RUNS:
            return None
        return window.quantile(share)


class StepRatios:
    """Mean ratio of measured to declared run time of single steps.

    The tasks of a step share one declared time, and so its error.

    Examples:
        >>> ratios = StepRatios()
        >>> step = ("job", 0, 1)
        >>> ratios.blended(step, 1.0)
        1.0
        >>> ratios.record(step, 4.0, 1.0)
        >>> ratios.record(step, 2.0, 1.0)
        >>> ratios.blended(step, 1.0), ratios.blended(("job", 0, 2), 1.0)
        (1.75, 1.0)
    """

    def __init__(self) -> None:
        # Number of runs and sum of their ratios, by step in the order of their
        # latest runs, oldest first.
        self._sums: dict[tuple[str, int, int], tuple[int, float]] = {}

    def __len__(self) -> int:
        return len(self._sums)

    def record(
        self, step: tuple[str, int, int], ratio: float, kind_ratio: float
    ) -> None:
        """Record the ratio of a run that completed its task.

        Args:
            step: Job, occurrence and number of the step.
            ratio: Measured time divided by declared time.
            kind_ratio: The typical ratio of its kind.
        """
        count, total = self._sums.pop(step, (0, 0.0))
        ratio = min(ratio, MAX_STEP_EXCESS * kind_ratio)
        self._sums[step] = (count + 1, total + ratio)
        if len(self._sums) > MAX_STEPS:
            del self._sums[next(iter(self._sums))]

    def mean(self, step: tuple[str, int, int]) -> float | None:
        """Return the mean ratio of a step; None if too few runs ended."""
        count, total = self._sums.get(step, (0, 0.0))
        return total / count if count >= MIN_STEP_RUNS else None

    def blended(self, step: tuple[str, int, int], kind_ratio: float) -> float:
        """Return the mean of the ratios of a step and that of its kind."""
        count, total = self._sums.get(step, (0, 0.0))
        return (KIND_WEIGHT_RUNS * kind_ratio + total) / (
            KIND_WEIGHT_RUNS + count
        )
