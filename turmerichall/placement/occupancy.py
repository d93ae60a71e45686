"""What each worker holds: running tasks, starts and evictions under way."""

from turmerichall import resources
from turmerichall.placement import history
from turmerichall.placement import views

__all__ = ["Held", "Occupancy"]

SLOWDOWN_SMOOTHING = 0.4


class Held:
    """A task that counts against the capacity of a worker.

    Attributes:
        task: The task.
        worker: Name of the worker.
        attempt: The attempt that is held.
        size: What it counts for: the larger of declared and learnt size.
        use: Processors that it is expected to use.
        decided_at: When its start was decided.
        started_at: When its start was confirmed; None while in flight.
        evicting_at: When its eviction was decided; None if it was not.
        throttle: Share of its processors that it keeps.
        throttled_at: When the throttle was last changed.
        reason: Why it was throttled or is being evicted, or empty.
        slowdown: Smoothed measured slowdown; 0.0 before the first.
        over_share: Measured use over declared size, the larger of processors
            and memory; 0.0 before the first measurement.
        measured_at: Time of the newest measurement.
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
        """Takes in a measurement unless a newer one is known.

        Returns:
            Whether it was the newest.
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


class Occupancy:
    """One worker and everything that holds capacity on it.

    Attributes:
        view: The worker as last announced.
        present: Whether it may take work; an absent worker keeps what it
            holds until each end is known.
        held: What it holds, by task id.
        free: Capacity less everything held.
        pressing: Processors that its tasks are expected to use, by template.
        services: Number of service tasks that it holds, by template.
        service_processors: Processors held by service tasks.
        past: Who ran there and when, for late reports.
        version: Grows with each change.
    """

    def __init__(self, view: views.WorkerView) -> None:
        self.view = view
        self.present = True
        self.held: dict[str, Held] = {}
        self.free = view.capacity
        self.pressing: dict[str, float] = {}
        self.services: dict[str, int] = {}
        self.service_processors = 0.0
        self.past = history.History()
        self.version = 0

    def update(self, view: views.WorkerView) -> None:
        """Takes over a new announcement."""
        self.free = self.free.plus(view.capacity.minus(self.view.capacity))
        self.view = view
        self.present = True
        self.version += 1

    def hold(self, held: Held) -> None:
        """Adds a task."""
        self.held[held.task.task_id] = held
        self._count(held, 1)

    def release(self, task_id: str, at: float) -> Held | None:
        """Removes a task and returns what was held for it."""
        held = self.held.pop(task_id, None)
        if held is not None:
            self._count(held, -1)
            self.record(at)
        return held

    def resize(self, held: Held, size: resources.Resources, use: float) -> None:
        """Changes what a held task counts for."""
        self._count(held, -1)
        held.size = size
        held.use = use
        self._count(held, 1)

    def record(self, at: float) -> None:
        """Keeps for late reports who runs here from now on."""
        running = tuple(
            history.Presence(
                task_id, held.attempt, held.task.template, held.use
            )
            for task_id, held in self.held.items()
            if held.started_at is not None
        )
        self.past.append(at, running)

    def has_room(self, size: resources.Resources) -> bool:
        """Tells whether a task of this size fits now."""
        if len(self.held) >= self.view.slots:
            return False
        return size.fits_in(self.free)

    def takes_work(self) -> bool:
        """Tells whether the worker may be given new tasks."""
        return self.present and not self.view.leaving

    def load(self) -> float:
        """Returns the expected use as a share of its processors."""
        use = sum(self.pressing.values())
        return use / max(self.view.capacity.processors, 0.01)

    def _count(self, held: Held, sign: int) -> None:
        self.version += 1
        if sign > 0:
            self.free = self.free.minus(held.size)
        else:
            self.free = self.free.plus(held.size)
        template = held.task.template
        pressing = self.pressing.get(template, 0.0) + sign * held.use
        if pressing > 1e-9:
            self.pressing[template] = pressing
        else:
            self.pressing.pop(template, None)
        if held.task.service:
            count = self.services.get(template, 0) + sign
            if count:
                self.services[template] = count
            else:
                del self.services[template]
            self.service_processors += sign * held.size.processors
