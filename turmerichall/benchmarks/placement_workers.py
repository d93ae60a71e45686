"""Fake workers of the placement benchmark, simulated in time steps."""

import random

from turmerichall import resources
from turmerichall.benchmarks import placement_ground_truth as ground_truths
from turmerichall.placement import views

__all__ = ["FakeWorker", "RunningTask"]

CHECKPOINT_PERIOD_SECONDS = 300.0
CHECKPOINT_FAILURE_RATIO = 0.1


class RunningTask:
    """A running attempt of a task on a fake worker.

    Attributes:
        task: The task as the planner knows it.
        behavior: The true behavior of the task, hidden from the planner.
        attempt: Number of the attempt.
        work_seconds: Work done, as the seconds that it takes a task that runs
            alone and unthrottled.
        saved_seconds: Work covered by the last checkpoint, in the same unit.
        throttle: Share of the processors it needs that throttling allows it;
            1.0 without throttling.
        stops_at: When its checkpoint for an eviction is complete.
        fails_at: When the attempt fails; None if it does not.
    """

    def __init__(
        self,
        task: views.TaskView,
        behavior: ground_truths.TemplateBehavior,
        attempt: int,
        work_seconds: float,
    ) -> None:
        self.task = task
        self.behavior = behavior
        self.attempt = attempt
        self.work_seconds = work_seconds
        self.saved_seconds = work_seconds
        self.throttle = 1.0
        self.stops_at: float | None = None
        self.fails_at: float | None = None


class FakeWorker:
    """A fake worker with its running tasks.

    Attributes:
        view: The worker's properties, as it announces them to the planner.
        ground_truth: True behavior of templates and interference between them.
        tasks: Running attempts by task id.
        alive: Whether the worker's process runs.
        reachable: Whether the worker is connected to the planner.
        fails_all_batch_tasks: Whether each batch task that it starts fails.
        service_load_factor: Factor by which the load of services multiplies the
            processors that they use.
        slowdowns: Cached true slowdowns by template; None if out of date.
        demanded_processors: Processors that all tasks demand, cached with
            `slowdowns`.
    """

    def __init__(
        self, view: views.WorkerView, ground_truth: ground_truths.GroundTruth
    ) -> None:
        self.view = view
        self.ground_truth = ground_truth
        self.tasks: dict[str, RunningTask] = {}
        self.alive = True
        self.reachable = True
        self.fails_all_batch_tasks = False
        self.service_load_factor = 1.0
        self.slowdowns: dict[str, float] | None = None
        self.demanded_processors = 0.0

    def start(self, running: RunningTask, now: float) -> bool:
        """Start a task, even if it does not fit.

        Returns:
            Whether the declared sizes of all tasks fit in the capacity of the
            worker, and their number in its slots.
        """
        self.tasks[running.task.task_id] = running
        self.slowdowns = None
        if self.fails_all_batch_tasks and not running.task.service:
            running.fails_at = now + 6.0
        total = resources.ZERO
        for allocated in self.tasks.values():
            total = total.plus(allocated.task.size)
        fits = total.fits_in(self.view.capacity)
        return fits and len(self.tasks) <= self.view.slots

    def remove(self, task_id: str) -> RunningTask | None:
        """Remove a task and return it, or None if it does not run here."""
        self.slowdowns = None
        return self.tasks.pop(task_id, None)

    def throttle(self, task_id: str, share: float) -> None:
        """Throttle a task to a share of its processors."""
        running = self.tasks.get(task_id)
        if running is not None:
            running.throttle = share
            self.slowdowns = None

    def requested_processors(self, running: RunningTask) -> float:
        """Return the processors that a task demands."""
        if running.task.service:
            return running.behavior.used.processors * self.service_load_factor
        return running.behavior.used.processors * running.throttle

    def demand(self) -> float:
        """Return the processors that all tasks together demand."""
        self.find_slowdowns()
        return self.demanded_processors

    def find_slowdowns(self) -> dict[str, float]:
        """Return the true slowdown of each template on this worker."""
        if self.slowdowns is not None:
            return self.slowdowns
        uses: dict[str, float] = {}
        own: dict[str, float] = {}
        for running in self.tasks.values():
            name = running.behavior.name
            use = self.requested_processors(running)
            uses[name] = uses.get(name, 0.0) + use
            own[name] = use
        capacity = self.view.capacity.processors
        self.demanded_processors = sum(uses.values())
        self.slowdowns = {
            name: self.ground_truth.slowdown(name, own[name], uses, capacity)
            for name in uses
        }
        return self.slowdowns

    def step(self, seconds: float) -> list[RunningTask]:
        """Advance all batch tasks by `seconds`; return those that finished."""
        slowdowns = self.find_slowdowns()
        finished = []
        for running in self.tasks.values():
            if running.task.service:
                continue
            rate = running.throttle / slowdowns[running.behavior.name]
            running.work_seconds += seconds * rate
            unsaved = running.work_seconds - running.saved_seconds
            if unsaved >= CHECKPOINT_PERIOD_SECONDS:
                running.saved_seconds = running.work_seconds
            if running.work_seconds >= running.behavior.run_seconds:
                finished.append(running)
        return finished

    def checkpoint(self, running: RunningTask, rng: random.Random) -> None:
        """Take a checkpoint before an eviction; it fails at random."""
        if rng.random() >= CHECKPOINT_FAILURE_RATIO:
            running.saved_seconds = running.work_seconds

    def find_oom_victim(self) -> RunningTask | None:
        """Return the batch task that uses the most memory.

        None if memory is not exhausted or no batch task runs.
        """
        used = sum(r.behavior.used.memory_mb for r in self.tasks.values())
        if used <= self.view.capacity.memory_mb:
            return None
        batch = [r for r in self.tasks.values() if not r.task.service]
        if not batch:
            return None
        return max(batch, key=lambda r: r.behavior.used.memory_mb)

    def report(
        self, running: RunningTask, now: float, rng: random.Random
    ) -> views.UsageReport:
        """Return a usage report of one task with noisy measurements."""
        slowdown = self.find_slowdowns()[running.behavior.name]
        capacity = self.view.capacity.processors
        granted = min(1.0, capacity / max(self.demand(), 0.01))
        used = (
            self.requested_processors(running) * granted * rng.uniform(0.9, 1.1)
        )
        usage = resources.Resources(used, running.behavior.used.memory_mb)
        return views.UsageReport(
            self.view.name,
            running.task.task_id,
            running.attempt,
            usage,
            self.ground_truth.measure_with_noise(slowdown, rng),
            now,
        )
