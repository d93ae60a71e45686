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

__all__ = ["Loads", "Outlook", "busy_share"]

# A figure older than this says nothing of the present, seconds: workers are
# looked at every 0.4 s while filling tasks run beside lasting ones.
FRESH_SECONDS = 0.9
# A task that known neighbours slow by more is not compared with.
UNDISTURBED = 0.1
# Between two entries of the history, seconds.
STEP_SECONDS = 0.4
# How long a peak is remembered, seconds: longer than the waves of load that
# were seen (10 s).
PEAK_SECONDS = 12.0
# Peak to expect of a step that was not watched for that long.
UNKNOWN_PEAK = 0.6
# Load of a step of which no tail was seen.
UNKNOWN_LEVEL = 0.45
# How far ahead the slope is followed, seconds: a look, an order, and the time
# until the pace holds.
LEAD_SECONDS = 0.8
# The steepest rise that is believed, per second.
STEEPEST = 0.2
# The least tail seen is taken to be this much above that of an idle task, ms:
# tails come in whole milliseconds.
ABOVE_IDLE_MS = 0.25


def busy_share(tail_ms: float, idle_ms: float) -> float:
    """Returns the share of time that a task with this tail is busy.

    Examples:
        >>> busy_share(16.0, 4.0), busy_share(3.0, 4.0)
        (0.75, 0.0)
    """
    return max(0.0, 1.0 - idle_ms / tail_ms) if tail_ms > 0 else 0.0


class Outlook(NamedTuple):
    """The load of a step without what its neighbours add.

    Attributes:
        soon: Share of time in use that is expected in `LEAD_SECONDS`.
        peak: The same at the highest of the last waves.
    """

    soon: float
    peak: float


UNKNOWN = Outlook(UNKNOWN_LEVEL, UNKNOWN_PEAK)


class _Figure(NamedTuple):
    """What one task showed last.

    Attributes:
        at: When, steady seconds.
        busy: Share of time in use.
        slowed: Slowdown by its neighbours, as far as it is known.
        worker: Where it runs.
    """

    at: float
    busy: float
    slowed: float
    worker: str


def _low(loads: list[float]) -> float | None:
    """Returns a low one of several figures of one load.

    Neighbours only ever raise a tail, so the lower figures are the better
    ones; the lowest may be an error of rounding.
    """
    return sorted(loads)[(len(loads) - 1) // 3] if loads else None


class _Step:
    """Figures of one step.

    Attributes:
        latest: The last figure of each task.
        history: Time and load of the step.
        begun_at: When the first figure came, steady seconds.
    """

    __slots__ = ("begun_at", "history", "latest")

    def __init__(self, now: float):
        self.latest: dict[changes.TaskName, _Figure] = {}
        self.history: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self.begun_at = now

    def undisturbed(self, now: float, beside: str) -> float | None:
        """Returns the load that tasks on other workers show."""
        return _low(
            [
                figure.busy
                for figure in self.latest.values()
                if figure.worker != beside
                and figure.slowed < UNDISTURBED
                and now - figure.at < FRESH_SECONDS
            ]
        )

    def keep(self, now: float) -> None:
        """Adds the present load to the history, if that is due."""
        if self.history and now - self.history[-1][0] < STEP_SECONDS:
            return
        level = _low(
            [
                figure.busy / (1 + figure.slowed)
                for figure in self.latest.values()
                if now - figure.at < FRESH_SECONDS
            ]
        )
        if level is None:
            return
        self.history.append((now, level))
        while now - self.history[0][0] > PEAK_SECONDS:
            self.history.popleft()


class Loads:
    """Load of the steps of lasting jobs.

    Examples:
        >>> loads = Loads()
        >>> tasks = [changes.TaskName("a", 0, 0, i) for i in range(4)]
        >>> for task, busy in zip(tasks, (0.3, 0.31, 0.29, 0.8)):
        ...     loads.note(task, f"w{task.number}", busy, 0.0, 10.0)
        >>> loads.level(10.0, tasks[3], "w3")
        0.29
        >>> loads.level(12.0, tasks[3], "w3") is None
        True
    """

    def __init__(self) -> None:
        self._steps: dict[tuple[str, int, int], _Step] = {}
        self._idle: dict[str, float] = {}

    def idle_ms(self, image: str, tail_ms: float) -> float:
        """Takes in a tail; returns that of an idle task of the image, ms."""
        least = min(self._idle.get(image, tail_ms), tail_ms)
        self._idle[image] = least
        return max(least - ABOVE_IDLE_MS, least / 2)

    def note(
        self,
        task: changes.TaskName,
        worker: str,
        busy: float,
        slowed: float,
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
        step.latest[task] = _Figure(now, busy, slowed, worker)
        step.keep(now)

    def level(
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
        return step.undisturbed(now, worker) if step else None

    def outlook(self, task: changes.TaskName, now: float) -> Outlook:
        """Returns what to expect of a task's step.

        Args:
            task: A task of the step.
            now: Steady seconds.
        """
        step = self._steps.get(task[:3])
        if step is None or not step.history:
            return UNKNOWN
        at, level = step.history[-1]
        slope = 0.0
        for earlier, load in reversed(step.history):
            if at - earlier >= LEAD_SECONDS:
                slope = (level - load) / (at - earlier)
                break
        slope = max(-STEEPEST, min(STEEPEST, slope))
        soon = max(0.0, level + slope * LEAD_SECONDS)
        peak = max(load for _, load in step.history)
        if now - step.begun_at < PEAK_SECONDS:
            peak = max(peak, UNKNOWN_PEAK)
        return Outlook(soon, max(peak, soon))

    def forget_job(self, job_id: str) -> None:
        """Forgets the steps of a job that has ended."""
        for key in [key for key in self._steps if key[0] == job_id]:
            del self._steps[key]
