"""Fake workers of the placement benchmark: objects that step time."""

import random

from turmerichall import resources
from turmerichall.benchmarks import placement_ground_truth as ground_truths
from turmerichall.placement import views

__all__ = ["FakeWorker", "RunningTask"]

CHECKPOINT_PERIOD_SECONDS = 300.0
CHECKPOINT_FAILS_RATIO = 0.1


class RunningTask:
    """One attempt on a fake worker.

    Attributes:
        task: The task as the planner knows it.
        truth: What it really does.
        attempt: The attempt.
        work_seconds: Work done, in seconds of run time alone.
        saved_seconds: Work that the last checkpoint holds.
        throttle: Share of its processors that it keeps.
        stops_at: When its checkpoint for an eviction is done.
        fails_at: When it fails; None if it does not.
    """

    def __init__(
        self,
        task: views.TaskView,
        truth: ground_truths.TemplateBehavior,
        attempt: int,
        work_seconds: float,
    ) -> None:
        self.task = task
        self.truth = truth
        self.attempt = attempt
        self.work_seconds = work_seconds
        self.saved_seconds = work_seconds
        self.throttle = 1.0
        self.stops_at: float | None = None
        self.fails_at: float | None = None


class FakeWorker:
    """A worker with its running tasks.

    Attributes:
        view: What it announces.
        tasks: Running attempts by task id.
        alive: Whether it runs.
        reachable: Whether it is heard.
        fails_everything: Whether each batch task that it starts fails.
        service_factor: Factor on what services use, which shifts with time.
        slowdowns: True slowdown by template, until something changes.
    """

    def __init__(
        self, view: views.WorkerView, truth: ground_truths.GroundTruth
    ) -> None:
        self.view = view
        self.truth = truth
        self.tasks: dict[str, RunningTask] = {}
        self.alive = True
        self.reachable = True
        self.fails_everything = False
        self.service_factor = 1.0
        self.slowdowns: dict[str, float] | None = None
        self.wanted = 0.0

    def start(self, running: RunningTask, now: float) -> bool:
        """Starts a task; returns whether declared sizes still fit."""
        self.tasks[running.task.task_id] = running
        self.slowdowns = None
        if self.fails_everything and not running.task.service:
            running.fails_at = now + 6.0
        total = resources.ZERO
        for held in self.tasks.values():
            total = total.plus(held.task.size)
        fits = total.fits_in(self.view.capacity)
        return fits and len(self.tasks) <= self.view.slots

    def remove(self, task_id: str) -> RunningTask | None:
        """Removes a task."""
        self.slowdowns = None
        return self.tasks.pop(task_id, None)

    def throttle(self, task_id: str, share: float) -> None:
        """Throttles a task."""
        running = self.tasks.get(task_id)
        if running is not None:
            running.throttle = share
            self.slowdowns = None

    def use(self, running: RunningTask) -> float:
        """Returns the processors that a task wants."""
        if running.task.service:
            return running.truth.used.processors * self.service_factor
        return running.truth.used.processors * running.throttle

    def demand(self) -> float:
        """Returns the processors that all tasks want."""
        self.find_slowdowns()
        return self.wanted

    def find_slowdowns(self) -> dict[str, float]:
        """Returns the true slowdown of each template on this worker."""
        if self.slowdowns is not None:
            return self.slowdowns
        uses: dict[str, float] = {}
        own: dict[str, float] = {}
        for running in self.tasks.values():
            name = running.truth.name
            use = self.use(running)
            uses[name] = uses.get(name, 0.0) + use
            own[name] = use
        room = self.view.capacity.processors
        self.wanted = sum(uses.values())
        self.slowdowns = {
            name: self.truth.slowdown(name, own[name], uses, room)
            for name in uses
        }
        return self.slowdowns

    def step(self, seconds: float) -> list[RunningTask]:
        """Advances all batch tasks; returns those that finished."""
        slowdowns = self.find_slowdowns()
        finished = []
        for running in self.tasks.values():
            if running.task.service:
                continue
            rate = running.throttle / slowdowns[running.truth.name]
            running.work_seconds += seconds * rate
            unsaved = running.work_seconds - running.saved_seconds
            if unsaved >= CHECKPOINT_PERIOD_SECONDS:
                running.saved_seconds = running.work_seconds
            if running.work_seconds >= running.truth.run_seconds:
                finished.append(running)
        return finished

    def checkpoint(self, running: RunningTask, draw: random.Random) -> None:
        """Saves the work done before an eviction, which may fail."""
        if draw.random() >= CHECKPOINT_FAILS_RATIO:
            running.saved_seconds = running.work_seconds

    def over_memory(self) -> RunningTask | None:
        """Returns the batch task to kill if memory is exhausted."""
        used = sum(r.truth.used.memory_mb for r in self.tasks.values())
        if used <= self.view.capacity.memory_mb:
            return None
        batch = [r for r in self.tasks.values() if not r.task.service]
        if not batch:
            return None
        return max(batch, key=lambda r: r.truth.used.memory_mb)

    def report(
        self, running: RunningTask, now: float, draw: random.Random
    ) -> views.UsageReport:
        """Measures one task."""
        slowdown = self.find_slowdowns()[running.truth.name]
        room = self.view.capacity.processors
        granted = min(1.0, room / max(self.demand(), 0.01))
        used = self.use(running) * granted * draw.uniform(0.9, 1.1)
        usage = resources.Resources(used, running.truth.used.memory_mb)
        return views.UsageReport(
            self.view.name,
            running.task.task_id,
            running.attempt,
            usage,
            self.truth.measured(slowdown, draw),
            now,
        )
