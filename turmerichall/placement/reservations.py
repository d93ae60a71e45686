"""Room that is being made for work that must not wait."""

from typing import NamedTuple

from turmerichall import resources

__all__ = ["Reservations", "Reservation"]


class Reservation(NamedTuple):
    """Room on a worker, free now or once evictions have ended.

    Attributes:
        worker: The worker.
        size: How much.
        until: When it is given up, by the caller's monotonic clock.
    """

    worker: str
    size: resources.Resources
    until: float


class Reservations:
    """Keeps what was made for one task from being taken by others.

    Attributes:
        by_task: The rooms, by the task that each was made for.

    Examples:
        >>> reservations = Reservations()
        >>> reservations.by_task["u/0"] = Reservation("w0", resources.Resources(4, 10), 60.0)
        >>> reservations.reserved_on("w0").processors
        4.0
        >>> reservations.consume("u/0", "w0")
        >>> reservations.reserved_on("w0").processors
        0.0
    """

    def __init__(self) -> None:
        self.by_task: dict[str, Reservation] = {}

    def reserved_on(self, worker: str) -> resources.Resources:
        """Returns what is reserved on a worker."""
        total = resources.NOTHING
        for reservation in self.by_task.values():
            if reservation.worker == worker:
                total = total.plus(reservation.size)
        return total

    def consume(self, task_id: str, worker: str) -> None:
        """Notes that a task which must not wait was placed on a worker.

        If it took the room of another task, that one gets its room.
        """
        own = self.by_task.pop(task_id, None)
        if own is not None and own.worker == worker:
            return
        for other, reservation in self.by_task.items():
            if reservation.worker == worker:
                break
        else:
            return
        del self.by_task[other]
        if own is not None:
            self.by_task[other] = own

    def expire(self, now: float) -> None:
        """Gives up rooms that were not taken in time."""
        if any(
            now >= reservation.until for reservation in self.by_task.values()
        ):
            self.by_task = {
                task_id: reservation
                for task_id, reservation in self.by_task.items()
                if now < reservation.until
            }
