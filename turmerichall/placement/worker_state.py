"""State of one worker and of the capacity that is allocated to tasks on it."""

from turmerichall import resources
from turmerichall.placement import history
from turmerichall.placement import views

__all__ = ["Allocation", "WorkerState"]

SLOWDOWN_SMOOTHING = 0.4


class Allocation:
    """Capacity of a worker that is allocated to a task.

    It exists from the decision to start the task until the end of the attempt.

    Attributes:
        task: The task.
        worker: Name of the worker.
        attempt: Number of the attempt.
        size: Allocated resources, at least the declared size; they grow to the
            learnt size and to the measured usage.
        use: Number of processors that the task is expected to use.
        decided_at: Time at which the start was decided.
        started_at: Time at which the worker started the task; None before the
            start is confirmed.
        evicting_at: Time at which the eviction was decided; None if it was not.
        throttle: Share of its processors that the task may use, up to 1.0.
        throttled_at: Time of the last change of the throttle.
        reason: Why it was throttled or is being evicted, or empty.
        slowdown: Smoothed measured slowdown; 0.0 before the first measurement.
        over_share: Ratio of measured use to declared size, the larger of those
            of processors and memory; 0.0 before the first measurement.
        measured_at: Time of the newest measurement; negative before the first.
    """

    def __init__(
        self,
        task: views.TaskView,
        worker: str,
        attempt: int,
        size: resources.Resources,
        use: float,
        decided_at: float,
    ) -> None:
        self.task = task
        self.worker = worker
        self.attempt = attempt
        self.size = size
        self.use = use
        self.decided_at = decided_at
        self.started_at: float | None = None
        self.evicting_at: float | None = None
        self.throttle = 1.0
        self.throttled_at = decided_at
        self.reason = ""
        self.slowdown = 0.0
        self.over_share = 0.0
        self.measured_at = -1.0

    def measure(self, report: views.UsageReport) -> bool:
        """Apply a measurement unless it is older than the last one.

        Returns:
            Whether the measurement was applied.
        """
        if report.measured_at <= self.measured_at:
            return False
        self.measured_at = report.measured_at
        if report.slowdown > 0:
            step = SLOWDOWN_SMOOTHING if self.slowdown else 1.0
            self.slowdown += step * (report.slowdown - self.slowdown)
        declared = self.task.size
        self.over_share = max(
            report.usage.processors / max(declared.processors, 0.01),
            report.usage.memory_mb / max(declared.memory_mb, 1),
        )
        return True


class WorkerState:
    """A worker with its allocations.

    Attributes:
        view: Description of the worker from its last announcement.
        present: Whether the worker may be given tasks.  The allocations of an
            absent worker remain until the end of each is recorded.
        allocations: Allocations by task id.
        free: Capacity that is not allocated; negative if over-allocated.
        use_by_template: Number of processors that the tasks on it are expected
            to use, summed by template.
        services: Number of service tasks by template.
        service_processors: Number of processors allocated to service tasks.
        history: Tasks that ran recently, to attribute late usage reports.
        version: Counter of the changes of the worker or its allocations.
    """

    def __init__(self, view: views.WorkerView) -> None:
        self.view = view
        self.present = True
        self.allocations: dict[str, Allocation] = {}
        self.free = view.capacity
        self.use_by_template: dict[str, float] = {}
        self.services: dict[str, int] = {}
        self.service_processors = 0.0
        self.history = history.History()
        self.version = 0

    def update(self, view: views.WorkerView) -> None:
        """Apply a new announcement of the worker."""
        self.free = self.free.plus(view.capacity.minus(self.view.capacity))
        self.view = view
        self.present = True
        self.version += 1

    def allocate(self, allocation: Allocation) -> None:
        """Add an allocation."""
        self.allocations[allocation.task.task_id] = allocation
        self._count(allocation, 1)

    def release(self, task_id: str, at: float) -> Allocation | None:
        """Remove and return the allocation of a task; None if there is none."""
        allocation = self.allocations.pop(task_id, None)
        if allocation is not None:
            self._count(allocation, -1)
            self.record_running(at)
        return allocation

    def resize(
        self, allocation: Allocation, size: resources.Resources, use: float
    ) -> None:
        """Change the size and the expected use of an allocation."""
        self._count(allocation, -1)
        allocation.size = size
        allocation.use = use
        self._count(allocation, 1)

    def record_running(self, at: float) -> None:
        """Record in the history which tasks run from `at` on."""
        running = tuple(
            history.RunningTask(
                task_id,
                allocation.attempt,
                allocation.task.template,
                allocation.use,
            )
            for task_id, allocation in self.allocations.items()
            if allocation.started_at is not None
        )
        self.history.append(at, running)

    def has_room(self, size: resources.Resources) -> bool:
        """Return whether a task of this size fits on the worker now."""
        if len(self.allocations) >= self.view.slots:
            return False
        return size.fits_in(self.free)

    def takes_work(self) -> bool:
        """Return whether the worker may be given new tasks."""
        return self.present and not self.view.leaving

    def load(self) -> float:
        """Return the expected use as a share of the worker's processors."""
        use = sum(self.use_by_template.values())
        return use / max(self.view.capacity.processors, 0.01)

    def _count(self, allocation: Allocation, sign: int) -> None:
        self.version += 1
        if sign > 0:
            self.free = self.free.minus(allocation.size)
        else:
            self.free = self.free.plus(allocation.size)
        template = allocation.task.template
        use_by_template = (
            self.use_by_template.get(template, 0.0) + sign * allocation.use
        )
        if use_by_template > 1e-9:
            self.use_by_template[template] = use_by_template
        else:
            self.use_by_template.pop(template, None)
        if allocation.task.service:
            count = self.services.get(template, 0) + sign
            if count:
                self.services[template] = count
            else:
                del self.services[template]
            self.service_processors += sign * allocation.size.processors
