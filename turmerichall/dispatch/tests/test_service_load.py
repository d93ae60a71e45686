"""Tests of the load of long-running jobs."""

import random

import pytest

from turmerichall.dispatch import service_load
from turmerichall.queues import change as changes


def plain_forecast(
    tracker: service_load.LoadTracker, task: changes.TaskName, now: float
) -> service_load.LoadForecast:
    """Compute a forecast from the history of a step, with nothing kept."""
    step = getattr(tracker, "_steps").get(task[:3])
    if step is None or not step.history:
        return service_load.DEFAULT_FORECAST
    at, load = step.history[-1]
    slopes = [
        (load - other) / (at - earlier)
        for earlier, other in step.history
        if at - earlier >= service_load.FORECAST_SECONDS
    ]
    limit = service_load.MAX_SLOPE_PER_SECOND
    slope = min(max(slopes[-1], -limit), limit) if slopes else 0.0
    soon = max(0.0, load + slope * service_load.FORECAST_SECONDS)
    peaks = [soon, *(other for _, other in step.history)]
    if now - step.first_sample_at < service_load.PEAK_WINDOW_SECONDS:
        peaks.append(service_load.DEFAULT_PEAK)
    return service_load.LoadForecast(soon, max(peaks))


class TestForecast:

    @pytest.mark.parametrize("seed", range(5))
    def test_kept_forecasts_are_those_of_the_history(self, seed: int) -> None:
        """Guards against a forecast that outlives a change of its history."""
        drawn = random.Random(seed)
        tracker = service_load.LoadTracker()
        tasks = [changes.TaskName(job, 0, 0, i) for job in "ab" for i in (0, 1)]
        now = 10.0
        for _ in range(400):
            now += drawn.choice((0.05, 0.3, 0.3, 3.0))
            load = drawn.uniform(0.0, 0.9)
            task = drawn.choice(tasks)
            tracker.record(task, f"w{task.number}", load, 0.1 * load, now)
            if drawn.random() < 0.01:
                tracker.forget_job("a")
            later = now + drawn.uniform(0.0, 2.0)
            for task in tasks:
                assert tracker.forecast(task, later) == plain_forecast(
                    tracker, task, later
                )
