"""What each worker holds: running tasks, starts and evictions under way."""

from typing import NamedTuple

from turmerichall import resources
from turmerichall.placement import views

__all__ = ["Held", "Occupancy"]


class Held(NamedTuple):
    """A task that counts against the capacity of a worker.

    Attributes:
        task: The task.
        worker: Name of the worker.
        size: What it counts for: the larger of declared and learnt size.
        decided_at: When its start was decided.
        started_at: When its start was confirmed; None while in flight.
        evicting: Whether its eviction was decided.
        throttle: Share of its processors that it keeps.
    """

    task: views.TaskView
    worker: str
    size: resources.Resources
    decided_at: float
    started_at: float | None = None
    evicting: bool = False
    throttle: float = 1.0


class Occupancy:
    """One worker and everything that holds capacity on it.

    Attributes:
        view: The worker as last announced.
        present: Whether it may take work; an absent worker keeps what it
            holds until each end is known.
        held: What it holds, by task id.
        free: Capacity less everything held.
    """

    def __init__(self, view: views.WorkerView) -> None:
        self.view = view
        self.present = True
        self.held: dict[str, Held] = {}
        self.free = view.capacity

    def update(self, view: views.WorkerView) -> None:
        """Takes over a new announcement."""
        self.free = self.free.plus(view.capacity.minus(self.view.capacity))
        self.view = view
        self.present = True

    def hold(self, held: Held) -> None:
        """Adds a task, or replaces what is held for it."""
        self.release(held.task.task_id)
        self.held[held.task.task_id] = held
        self.free = self.free.minus(held.size)

    def release(self, task_id: str) -> Held | None:
        """Removes a task and returns what was held for it."""
        held = self.held.pop(task_id, None)
        if held is not None:
            self.free = self.free.plus(held.size)
        return held

    def has_room(self, size: resources.Resources) -> bool:
        """Tells whether a task of this size fits now."""
        if len(self.held) >= self.view.slots:
            return False
        return size.fits_in(self.free)

    def takes_work(self) -> bool:
        """Tells whether the worker may be given new tasks."""
        return self.present and not self.view.leaving
