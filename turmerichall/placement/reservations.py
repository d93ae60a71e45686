"""Reservations of capacity that evictions free for waiting tasks."""

from typing import NamedTuple

from turmerichall import resources

__all__ = ["Reservation", "Reservations"]


class Reservation(NamedTuple):
    """Capacity of a worker that is reserved for a waiting task.

    It is free now or once the evictions in progress have ended.

    Attributes:
        worker: Name of the worker.
        size: Reserved resources.
        until: Time of expiry, in seconds on the caller's monotonic clock.
    """

    worker: str
    size: resources.Resources
    until: float


class Reservations:
    """Reservations that keep tasks of lower priority off freed capacity.

    Attributes:
        by_task: Reservations by id of the task that each is held for.

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
        """Remove a reservation after a task of high priority was placed.

        If the task was placed on capacity reserved for another task, it is the
        other one's reservation that is removed, and the other task gets the
        reservation of the placed one if that had any.

        Args:
            task_id: Id of the placed task.
            worker: Name of the worker that it was placed on.
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
        """Remove the reservations whose time of expiry has come."""
        if any(
            now >= reservation.until for reservation in self.by_task.values()
        ):
            self.by_task = {
                task_id: reservation
                for task_id, reservation in self.by_task.items()
                if now < reservation.until
            }
