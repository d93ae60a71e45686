"""Room that is being made for work that must not wait."""

from typing import NamedTuple

from turmerichall import resources

__all__ = ["Reservations", "Room"]


class Room(NamedTuple):
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
        rooms: The rooms, by the task that each was made for.

    Examples:
        >>> made = Reservations()
        >>> made.rooms["u/0"] = Room("w0", resources.Resources(4, 10), 60.0)
        >>> made.on("w0").processors
        4.0
        >>> made.take("u/0", "w0")
        >>> made.on("w0").processors
        0.0
    """

    def __init__(self) -> None:
        self.rooms: dict[str, Room] = {}

    def on(self, worker: str) -> resources.Resources:
        """Returns what is reserved on a worker."""
        total = resources.NOTHING
        for room in self.rooms.values():
            if room.worker == worker:
                total = total.plus(room.size)
        return total

    def take(self, task_id: str, worker: str) -> None:
        """Notes that a task which must not wait was placed on a worker.

        If it took the room of another task, that one gets its room.
        """
        own = self.rooms.pop(task_id, None)
        if own is not None and own.worker == worker:
            return
        for other, room in self.rooms.items():
            if room.worker == worker:
                break
        else:
            return
        del self.rooms[other]
        if own is not None:
            self.rooms[other] = own

    def expire(self, now: float) -> None:
        """Gives up rooms that were not taken in time."""
        if any(now >= room.until for room in self.rooms.values()):
            self.rooms = {
                task_id: room
                for task_id, room in self.rooms.items()
                if now < room.until
            }
