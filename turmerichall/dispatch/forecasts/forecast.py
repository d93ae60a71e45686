"""Forecasts of run times, learned from runs that ended."""

from typing import NamedTuple

from turmerichall.dispatch import durations as run_durations
from turmerichall.dispatch import run_state

__all__ = ["Forecaster", "Kind", "RunForecast"]

# Key of the queue, and image of the step.
Kind = tuple[str, str]


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
        durations: Learned run times.
    """

    def __init__(self, durations: run_durations.DurationEstimator):
        self.durations = durations

    def expected(self, kind: Kind, declared_seconds: float) -> RunForecast:
        """Return the forecast for a run that has not started.

        Args:
            kind: Key of the queue, and image of the step.
            declared_seconds: The caller's estimate.
        """
        seconds = self.durations.estimate(kind, declared_seconds)
        return RunForecast(seconds, seconds)

    def remaining(self, run: run_state.Run, now: float) -> RunForecast:
        """Return the forecast of the rest of a run.

        Args:
            run: The run.
            now: Current time on the steady clock.
        """
        whole = self.expected(
            (run.queue, run.step.image), run.step.estimate_ms / 1000
        )
        at_work = now - run.confirmed_at if run.confirmed_at else 0.0
        return RunForecast(
            max(whole.typical_seconds - at_work, 0.0),
            max(whole.high_seconds - at_work, 0.0),
        )

    def record(self, run: run_state.Run, seconds: float) -> None:
        """Record the duration of a run that completed its task."""
        self.durations.record((run.queue, run.step.image), seconds)
