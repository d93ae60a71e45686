"""Load of long-running jobs, estimated from the tail latencies of their tasks.

The load that callers cause rises and falls within seconds, and is the same for
all tasks of a step wherever they run.  So a tail latency that rises on every
worker at once is caused by callers, and one that rises on a single worker is
caused by the neighbours there.

Tail latency grows as in a queue with a single server: it is
`idle / (1 - utilization)`.  So `1 - idle / tail` is proportional to the load
and to the slowdown by neighbours, and stays below 1 where tail latencies grow
without bound.

References:
    Kleinrock, "Queueing Systems", volume 1, section 3.2 (M/M/1).
"""

import collections
from typing import NamedTuple

from turmerichall.queues import change as changes

__all__ = ["LoadForecast", "LoadTracker", "estimate_utilization"]

# Older samples are ignored; workers are polled every 0.4 s while best-effort
# tasks share them with long-running ones.
MAX_SAMPLE_AGE_SECONDS = 0.9
# Most images whose idle latency is known; beyond that the oldest is forgotten.
MAX_IMAGES = 4096
# A task that known neighbours slow by more than this share is not used to
# estimate the load of its step.
MAX_UNDISTURBED_SLOWDOWN = 0.1
# Time between two entries of the history of a step's load.
HISTORY_INTERVAL_SECONDS = 0.4
# Time for which a peak of load is remembered; longer than the waves of load in
# practice (10 s).
PEAK_WINDOW_SECONDS = 12.0
# Assumed peak utilization of a step that was observed for less than
# `PEAK_WINDOW_SECONDS`.
DEFAULT_PEAK = 0.6
# Assumed utilization of a step without samples.
DEFAULT_LOAD = 0.45
# Time by which the load is extrapolated with its current slope: the time of a
# poll and an order, and the time until a new pace takes effect.
FORECAST_SECONDS = 0.8
# Limit on the slope with which the load is extrapolated, in utilization per
# second.
MAX_SLOPE_PER_SECOND = 0.2
# Amount by which the lowest tail latency is taken to exceed that of an idle
# task, because workers report whole milliseconds.
IDLE_ROUNDING_MS = 0.25


def estimate_utilization(tail_ms: float, idle_ms: float) -> float:
    """Return the share of time for which a task is busy.

    Examples:
        >>> estimate_utilization(16.0, 4.0), estimate_utilization(3.0, 4.0)
        (0.75, 0.0)
    """
    return max(0.0, 1.0 - idle_ms / tail_ms) if tail_ms > 0 else 0.0


class LoadForecast(NamedTuple):
    """Predicted load of a step, without the slowdown by neighbours.

    Attributes:
        soon: Utilization expected in `FORECAST_SECONDS`.
        peak: Highest utilization expected at a peak of load.
    """

    soon: float
    peak: float


DEFAULT_FORECAST = LoadForecast(DEFAULT_LOAD, DEFAULT_PEAK)


class _Sample(NamedTuple):
    """The latest sample of one task.

    Attributes:
        at: Time on the steady clock.
        utilization: Share of time for which the task was busy.
        known_slowdown: Slowdown by its neighbours according to the model.
        worker: Id of the worker on which it runs.
    """

    at: float
    utilization: float
    known_slowdown: float
    worker: str


def _lower_tercile(utilizations: list[float]) -> float | None:
    """Return the lower tercile of estimates of a load; None without any.

    Neighbours can only raise a tail latency, so low estimates are more
    accurate; the lowest may be a rounding error.
    """
    return (
        sorted(utilizations)[(len(utilizations) - 1) // 3]
        if utilizations
        else None
    )


class _Step:
    """Samples of one step.

    Attributes:
        latest: The latest sample of each task.
        history: Times and loads of the step, oldest first.
        first_sample_at: Time of the first sample on the steady clock.
        extrapolated: Forecast from the history alone; None while that is empty.
    """

    __slots__ = ("extrapolated", "first_sample_at", "history", "latest")

    def __init__(self, now: float):
        self.latest: dict[changes.TaskName, _Sample] = {}
        self.history: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self.first_sample_at = now
        self.extrapolated: LoadForecast | None = None

    def undisturbed_load(
        self, now: float, excluded_worker: str
    ) -> float | None:
        """Return the load of tasks that known neighbours hardly slow.

        Args:
            now: Current time on the steady clock.
            excluded_worker: Id of the worker whose tasks are left out.

        Returns:
            The utilization, or None without a recent sample of such a task.
        """
        return _lower_tercile(
            [
                sample.utilization
                for sample in self.latest.values()
                if sample.worker != excluded_worker
                and sample.known_slowdown < MAX_UNDISTURBED_SLOWDOWN
                and now - sample.at < MAX_SAMPLE_AGE_SECONDS
            ]
        )

    def update_history(self, now: float) -> None:
        """Add the step's load to the history, unless an entry is recent."""
        if (
            self.history
            and now - self.history[-1][0] < HISTORY_INTERVAL_SECONDS
        ):
            return
        step_load = _lower_tercile(
            [
                sample.utilization / (1 + sample.known_slowdown)
                for sample in self.latest.values()
                if now - sample.at < MAX_SAMPLE_AGE_SECONDS
            ]
        )
        if step_load is None:
            return
        self.history.append((now, step_load))
        while now - self.history[0][0] > PEAK_WINDOW_SECONDS:
            self.history.popleft()
        self.extrapolated = self._extrapolate()

    def _extrapolate(self) -> LoadForecast:
        """Return the load expected soon, and the peak in the history."""
        at, step_load = self.history[-1]
        slope = 0.0
        for earlier, load in reversed(self.history):
            if at - earlier >= FORECAST_SECONDS:
                slope = (step_load - load) / (at - earlier)
                break
        slope = max(-MAX_SLOPE_PER_SECOND, min(MAX_SLOPE_PER_SECOND, slope))
        soon = max(0.0, step_load + slope * FORECAST_SECONDS)
        peak = max(load for _, load in self.history)
        return LoadForecast(soon, max(peak, soon))


class LoadTracker:
    """Load of the steps of long-running jobs.

    Examples:
        >>> tracker = LoadTracker()
        >>> tasks = [changes.TaskName("a", 0, 0, i) for i in range(4)]
        >>> for task, utilization in zip(tasks, (0.3, 0.31, 0.29, 0.8)):
        ...     tracker.record(task, f"w{task.number}", utilization, 0.0, 10.0)
        >>> tracker.undisturbed_load(10.0, tasks[3], "w3")
        0.29
        >>> tracker.undisturbed_load(12.0, tasks[3], "w3") is None
        True
    """

    def __init__(self) -> None:
        self._steps: dict[tuple[str, int, int], _Step] = {}
        self._min_tails_ms: dict[str, float] = {}

    def update_idle_ms(self, image: str, tail_ms: float) -> float:
        """Record a tail latency, and return that of an idle task.

        Args:
            image: Image of the task.
            tail_ms: Its tail latency.

        Returns:
            Estimated tail latency of an idle task of the image, in ms.
        """
        least = min(self._min_tails_ms.get(image, tail_ms), tail_ms)
        self._min_tails_ms[image] = least
        if len(self._min_tails_ms) > MAX_IMAGES:
            del self._min_tails_ms[next(iter(self._min_tails_ms))]
        return max(least - IDLE_ROUNDING_MS, least / 2)

    def record(
        self,
        task: changes.TaskName,
        worker: str,
        utilization: float,
        known_slowdown: float,
        now: float,
    ) -> None:
        """Record the load of a task.

        Args:
            task: The task.
            worker: Id of the worker on which it runs.
            utilization: Share of time for which it was busy, including the
                slowdown by its neighbours.
            known_slowdown: Slowdown by its neighbours according to the model.
            now: Current time on the steady clock.
        """
        step = self._steps.get(task[:3])
        if step is None:
            step = self._steps[task[:3]] = _Step(now)
        step.latest[task] = _Sample(now, utilization, known_slowdown, worker)
        step.update_history(now)

    def undisturbed_load(
        self, now: float, task: changes.TaskName, worker: str
    ) -> float | None:
        """Return the load of a task's step, estimated on other workers.

        Only tasks that known neighbours hardly slow are considered.

        Args:
            now: Current time on the steady clock.
            task: The task.
            worker: Id of the worker on which it runs; samples from there are
                left out.

        Returns:
            The utilization, or None without a recent sample of such a task.
        """
        step = self._steps.get(task[:3])
        return step.undisturbed_load(now, worker) if step else None

    def forecast(self, task: changes.TaskName, now: float) -> LoadForecast:
        """Return the predicted load of a task's step.

        Args:
            task: A task of the step.
            now: Current time on the steady clock.
        """
        step = self._steps.get(task[:3])
        if step is None or step.extrapolated is None:
            return DEFAULT_FORECAST
        forecast = step.extrapolated
        is_new = now - step.first_sample_at < PEAK_WINDOW_SECONDS
        if is_new and forecast.peak < DEFAULT_PEAK:
            return forecast._replace(peak=DEFAULT_PEAK)
        return forecast

    def forget_job(self, job_id: str) -> None:
        """Forget the steps of a job that has ended."""
        for key in [key for key in self._steps if key[0] == job_id]:
            del self._steps[key]
