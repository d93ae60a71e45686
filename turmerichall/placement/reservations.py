"""Capacity reserved for tasks for which others are evicted."""

from typing import NamedTuple

from turmerichall import resources

__all__ = ["Reservation", "Reservations"]


class Reservation(NamedTuple):
    """Capacity of a worker, free now or once evictions have ended.

    Attributes:
        worker: Name of the worker.
        size: Reserved resources.
        until: Expiry by the caller's monotonic clock, in seconds.
    """

    worker: str
    size: resources.Resources
    until: float


class Reservations:
    """Reservations that keep freed capacity from tasks of lower priority.

    Attributes:
        by_task: Reservations by the id of the task that each was made for.

    Examples:
        >>> reservations = Reservations()
        >>> size = resources.Resources(4, 10)
        >>> reservations.by_task["u/0"] = Reservation("w0", size, 60.0)
        >>> reservations.reserved_on("w0").processors
        4.0
        >>> reservations.consume("u/0", "w0")
        >>> reservations.reserved_on("w0").processors
        0.0
    """

    def __init__(self) -> None:
        self.by_task: dict[str, Reservation] = {}

    def reserved_on(self, worker: str) -> resources.Resources:
        """Return the total of all reservations on a worker."""
        total = resources.ZERO
        for reservation in self.by_task.values():
            if reservation.worker == worker:
                total = total.plus(reservation.size)
        return total

    def consume(self, task_id: str, worker: str) -> None:
        """Release a reservation after a task of high priority was placed.

        If the task used the reservation of another task, that task gets the
        reservation of the placed one.

        Args:
            task_id: The placed task.
            worker: Worker that it was placed on.
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
        """Remove reservations that were not used in time."""
        if any(
            now >= reservation.until for reservation in self.by_task.values()
        ):
            self.by_task = {
                task_id: reservation
                for task_id, reservation in self.by_task.items()
                if now < reservation.until
            }
