"""Forecasts of run times, learned from runs that ended.

Callers' estimates are off by up to 90 %, and some runs take many times as long
as others of their kind.  What is learned is lost with the term: a new leader
starts from the declared times, and knows a kind again after
`ratios.MIN_RUNS` of its runs.
"""

from typing import NamedTuple

from turmerichall.dispatch import durations as run_durations
from turmerichall.dispatch import run_state
from turmerichall.dispatch.forecasts import ratios
from turmerichall.telemetry import lightweight_metrics

__all__ = ["Forecaster", "Kind", "RunForecast", "remaining_of"]

Kind = ratios.Kind

# Progress in percent from which on its rate is used: progress is listed in
# whole percents, and starts slowly on cold workers.
MIN_PROGRESS_PERCENT = 10
# Share of its age that a run is expected to need further once it has outlived
# its forecast.  If run times have a heavy tail, the expected rest grows in
# proportion to the age.
OUTLIVED_SHARE = 0.5
# Pace below which a forecast doesn't count, in percent; the run is stopped or
# moved soon.
MIN_PACE_PERCENT = 10
# Bounds of the histogram of measured to forecast time.
ERROR_BOUNDS = (0.1, 0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 4.0, 8.0)
# Declared times below this are taken for it, in seconds.
MIN_DECLARED_SECONDS = 0.001


class RunForecast(NamedTuple):
    """Forecast of a time in seconds.

    Attributes:
        typical_seconds: The expected time.
        high_seconds: Time that about one run in ten exceeds.
    """

    typical_seconds: float
    high_seconds: float


class Forecaster:
    """Forecasts of the run times of one term's leader.

    Attributes:
        durations: Run times for the admission control that knows no ratios.
        metrics_registry: Metrics of this process; None if nothing is measured.
        kind_ratios: Learned ratios of measured to declared time, by kind.
        step_ratios: The same of single steps, from the runs of each.
        spreads: Ratios of a run's time to that of other runs of its step, by
            kind.

    Examples:
        >>> forecaster = Forecaster(run_durations.DurationEstimator())
        >>> forecaster.expected(("q", ""), 2.0)
        RunForecast(typical_seconds=2.0, high_seconds=2.0)
        >>> for _ in range(8):
        ...     forecaster.kind_ratios.record(("q", ""), 1.5, 0.0)
        >>> forecaster.expected(("q", ""), 2.0).typical_seconds
        3.0
    """

    def __init__(
        self,
        durations: run_durations.DurationEstimator,
        metrics_registry: lightweight_metrics.MetricsRegistry | None = None,
    ):
        self.durations = durations
        self.metrics_registry = metrics_registry
        self.kind_ratios = ratios.KindRatios()
        self.step_ratios = ratios.StepRatios()
        self.spreads = ratios.KindRatios()

    def expected(self, kind: Kind, declared_seconds: float) -> RunForecast:
        """Return the forecast for a run that has not started.

        Args:
            kind: Key of the queue, and image of the step.
            declared_seconds: The caller's estimate.
        """
        learned = self.kind_ratios.typical_and_high(kind)
        if learned is None:
            return RunForecast(declared_seconds, declared_seconds)
        return RunForecast(
            declared_seconds * learned[0], declared_seconds * learned[1]
        )

    def expected_of_step(
        self,
        step: tuple[str, int, int],
        kind: Kind,
        declared_seconds: float,
    ) -> RunForecast:
        """Return the forecast for a run of a step of which others have ended.

        Args:
            step: Job, occurrence and number of the step.
            kind: Key of the queue, and image of the step.
            declared_seconds: The caller's estimate.
        """
        typical, high = self.kind_ratios.typical_and_high(kind) or (1.0, 1.0)
        blended = self.step_ratios.blended(step, typical)
        return RunForecast(
            declared_seconds * blended,
            declared_seconds * max(high, blended),
        )

    def slowest(self, kind: Kind, typical_seconds: float, count: int) -> float:
        """Return the expected time of the slowest of some runs of one step.

        Runs of many times the usual length, which are moved to other workers,
        are not expected.

        Args:
            kind: Key of the queue, and image of the step.
            typical_seconds: Expected time of each run.
            count: Number of runs.
        """
        share = min(count / (count + 1), ratios.HIGH_QUANTILE)
        spread = self.spreads.quantile(kind, share)
        return typical_seconds * max(spread or 1.0, 1.0)

    def remaining(self, run: run_state.Run, now: float) -> RunForecast:
        """Return the forecast of the rest of a run.

        Args:
            run: The run.
            now: Current time on the steady clock.
        """
        whole = self.expected_of_step(
            run.task[:3],
            (run.queue, run.step.image),
            run.step.estimate_ms / 1000,
        )
        return remaining_of(run, whole, now)

    def record(self, run: run_state.Run, seconds: float) -> None:
        """Record the duration of a run that completed its task."""
        kind = (run.queue, run.step.image)
        self.durations.record(kind, seconds)
        if not _is_whole(run):
            return
        step = run.task[:3]
        declared = max(run.step.estimate_ms / 1000, MIN_DECLARED_SECONDS)
        ratio = seconds / declared
        if self.metrics_registry is not None:
            whole = self.expected_of_step(step, kind, declared)
            self.metrics_registry.record_ratio(
                "run_forecast_error",
                seconds / whole.typical_seconds,
                ERROR_BOUNDS,
            )
        ended_at = run.confirmed_at + seconds
        step_mean = self.step_ratios.mean(step)
        if step_mean:
            self.spreads.record(kind, ratio / step_mean, ended_at)
        kind_ratio = self.kind_ratios.quantile(kind, 0.5) or 1.0
        self.step_ratios.record(step, ratio, kind_ratio)
        self.kind_ratios.record(kind, ratio, ended_at)


def remaining_of(
    run: run_state.Run, whole: RunForecast, now: float
) -> RunForecast:
    """Return the forecast of the rest of a run.

    The rest by the forecast of the whole run and the rest by the rate of its
    progress are weighted by the progress, so that a run is judged more and more
    by itself.

    Args:
        run: The run.
        whole: Forecast of the whole run at full pace.
        now: Current time on the steady clock.
    """
    if not run.confirmed_at:
        return whole
    at_work = run.seconds_at_work(now)
    # What a whole run listed first was made by itself.
    initial = 0 if _is_whole(run) else max(run.initial_percent, 0)
    whole_left = 1.0 - initial / 100
    if 0 <= run.pace_percent < 100:
        # Its age tells nothing of what a throttled run has done.
        left = (100 - run.progress_percent) / max(
            run.pace_percent, MIN_PACE_PERCENT
        )
        rests = [seconds * left for seconds in whole]
    else:
        rests = [
            _rest_by_forecast(seconds * whole_left, at_work)
            for seconds in whole
        ]
    gained = run.progress_percent - initial
    listed_after = run.progressed_at - run.confirmed_at
    if gained < MIN_PROGRESS_PERCENT or listed_after <= 0:
        return RunForecast(*rests)
    rate = gained / listed_after
    since_listed = max(now - run.progressed_at, 0.0)
    by_rate = (100 - run.progress_percent) / rate - since_listed
    if by_rate <= 0:
        by_rate = since_listed * OUTLIVED_SHARE
    weight = run.progress_percent / 100
    return RunForecast(
        *(weight * by_rate + (1 - weight) * rest for rest in rests)
    )


def _is_whole(run: run_state.Run) -> bool:
    """Return whether a run was at work only since it was confirmed.

    Others may have resumed from a checkpoint, or began in an earlier term.
    """
    return not run.adopted and (run.number == 1 or not run.step.checkpoints)


def _rest_by_forecast(whole_seconds: float, at_work_seconds: float) -> float:
    """Return the rest of a run by its age alone.

    A run that is older than its forecast is one that the forecast is wrong
    about: its expected rest grows with its age.  Before that age it must not,
    or the end of each run recedes, and a gang never gets the room of several.

    Examples:
        >>> [_rest_by_forecast(2.0, age) for age in (0.0, 1.5, 3.0, 4.0, 8.0)]
        [2.0, 0.5, 1.0, 2.0, 4.0]
    """
    over_seconds = at_work_seconds - whole_seconds
    if over_seconds <= 0:
        return -over_seconds
    return min(over_seconds, at_work_seconds * OUTLIVED_SHARE)
