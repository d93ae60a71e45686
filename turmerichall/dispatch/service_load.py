"""How busy callers keep lasting jobs, from the tails of their tasks.

Answers load that rises and falls within seconds, the same for all tasks of a
step, wherever they run: a tail that rises on every worker at once is the
callers' doing, one that rises on a single worker is its neighbours'.

A tail grows as in a queue with one server, `idle / (1 - busy)`, where `busy` is
the share of time in use, so `1 - idle / tail` is proportional to the load and
to the slowdown by neighbours, and stays below 1 where tails grow without bound.

References:
    Kleinrock, "Queueing Systems", volume 1, section 3.2 (M/M/1).
"""

import collections
from typing import NamedTuple

from turmerichall.queues import change as changes

__all__ = ["LoadForecast", "LoadTracker", "estimate_utilization"]

# A figure older than this says nothing of the present, seconds: workers are
# looked at every 0.4 s while filling tasks run beside lasting ones.
MAX_SAMPLE_AGE_SECONDS = 0.9
# A task that known neighbours slow by more is not compared with.
MAX_UNDISTURBED_SLOWDOWN = 0.1
# Between two entries of the history, seconds.
HISTORY_INTERVAL_SECONDS = 0.4
# How long a peak is remembered, seconds: longer than the waves of load that
# were seen (10 s).
PEAK_WINDOW_SECONDS = 12.0
# Peak to expect of a step that was not watched for that long.
DEFAULT_PEAK = 0.6
# Load of a step of which no tail was seen.
DEFAULT_LOAD = 0.45
# How far ahead the slope is followed, seconds: a look, an order, and the time
# until the pace holds.
FORECAST_SECONDS = 0.8
# The steepest rise that is believed, per second.
MAX_SLOPE_PER_SECOND = 0.2
# The least tail seen is taken to be this much above that of an idle task, ms:
# tails come in whole milliseconds.
IDLE_ROUNDING_MS = 0.25


def estimate_utilization(tail_ms: float, idle_ms: float) -> float:
    """Returns the share of time that a task with this tail is busy.

    Examples:
        >>> estimate_utilization(16.0, 4.0), estimate_utilization(3.0, 4.0)
        (0.75, 0.0)
    """
    return max(0.0, 1.0 - idle_ms / tail_ms) if tail_ms > 0 else 0.0


class LoadForecast(NamedTuple):
    """The load of a step without what its neighbours add.

    Attributes:
        soon: Share of time in use that is expected in `LEAD_SECONDS`.
        peak: The same at the highest of the last waves.
    """

    soon: float
    peak: float


DEFAULT_FORECAST = LoadForecast(DEFAULT_LOAD, DEFAULT_PEAK)


class _Sample(NamedTuple):
    """What one task showed last.

    Attributes:
        at: When, steady seconds.
        busy: Share of time in use.
        slowed: Slowdown by its neighbours, as far as it is known.
        worker: Where it runs.
    """

    at: float
    utilization: float
    known_slowdown: float
    worker: str


def _lower_tercile(utilizations: list[float]) -> float | None:
    """Returns a low one of several figures of one load.

    Neighbours only ever raise a tail, so the lower figures are the better
    ones; the lowest may be an error of rounding.
    """
    return (
        sorted(utilizations)[(len(utilizations) - 1) // 3]
        if utilizations
        else None
    )


class _Step:
    """Figures of one step.

    Attributes:
        latest: The last figure of each task.
        history: Time and load of the step.
        begun_at: When the first figure came, steady seconds.
    """

    __slots__ = ("first_sample_at", "history", "latest")

    def __init__(self, now: float):
        self.latest: dict[changes.TaskName, _Sample] = {}
        self.history: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self.first_sample_at = now

    def undisturbed_load(self, now: float, beside: str) -> float | None:
        """Returns the load that tasks on other workers show."""
        return _lower_tercile(
            [
                sample.utilization
                for sample in self.latest.values()
                if sample.worker != beside
                and sample.known_slowdown < MAX_UNDISTURBED_SLOWDOWN
                and now - sample.at < MAX_SAMPLE_AGE_SECONDS
            ]
        )

    def update_history(self, now: float) -> None:
        """Adds the present load to the history, if that is due."""
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


class LoadTracker:
    """Load of the steps of lasting jobs.

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
        """Takes in a tail; returns that of an idle task of the image, ms."""
        least = min(self._min_tails_ms.get(image, tail_ms), tail_ms)
        self._min_tails_ms[image] = least
        return max(least - IDLE_ROUNDING_MS, least / 2)

    def record(
        self,
        task: changes.TaskName,
        worker: str,
        utilization: float,
        known_slowdown: float,
        now: float,
    ) -> None:
        """Takes in the load of a task.

        Args:
            task: The task.
            worker: Where it runs.
            busy: Share of time in use, with what its neighbours add.
            slowed: Slowdown by its neighbours, as far as it is known.
            now: Steady seconds.
        """
        step = self._steps.get(task[:3])
        if step is None:
            step = self._steps[task[:3]] = _Step(now)
        step.latest[task] = _Sample(now, utilization, known_slowdown, worker)
        step.update_history(now)

    def undisturbed_load(
        self, now: float, task: changes.TaskName, worker: str
    ) -> float | None:
        """Returns the load that a task's step shows where nothing disturbs it.

        Args:
            now: Steady seconds.
            task: The task.
            worker: Where it runs; its own figures and those beside it are
                left out.

        Returns:
            None if no such task was looked at lately.
        """
        step = self._steps.get(task[:3])
        return step.undisturbed_load(now, worker) if step else None

    def forecast(self, task: changes.TaskName, now: float) -> LoadForecast:
        """Returns what to expect of a task's step.

        Args:
            task: A task of the step.
            now: Steady seconds.
        """
        step = self._steps.get(task[:3])
        if step is None or not step.history:
            return DEFAULT_FORECAST
        at, step_load = step.history[-1]
        slope = 0.0
        for earlier, load in reversed(step.history):
            if at - earlier >= FORECAST_SECONDS:
                slope = (step_load - load) / (at - earlier)
                break
        slope = max(-MAX_SLOPE_PER_SECOND, min(MAX_SLOPE_PER_SECOND, slope))
        soon = max(0.0, step_load + slope * FORECAST_SECONDS)
        peak = max(load for _, load in step.history)
        if now - step.first_sample_at < PEAK_WINDOW_SECONDS:
            peak = max(peak, DEFAULT_PEAK)
        return LoadForecast(soon, max(peak, soon))

    def forget_job(self, job_id: str) -> None:
        """Forgets the steps of a job that has ended."""
        for key in [key for key in self._steps if key[0] == job_id]:
            del self._steps[key]
