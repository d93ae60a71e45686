"""Condition variable for the tasks of a replica."""

from collections.abc import Callable

import trio

__all__ = ["Condition"]


class Condition:
    """Condition variable for tasks of one event loop, without a lock."""

    def __init__(self) -> None:
        self._notified: trio.Event | None = None
        # Predicates of the waiting tasks, by the event that wakes each task.
        self._predicates: dict[trio.Event, Callable[[], bool]] = {}

    def notify_all(self) -> None:
        """Wake the waiting tasks, except those whose predicate is false.

        A predicate is called here, since waking a task costs far more than that
        and most are woken in vain.  What it reads must have changed before.
        """
        if self._notified is not None:
            self._notified.set()
            self._notified = None
        for event, predicate in self._predicates.items():
            if predicate():
                event.set()

    async def wait(self, deadline: float = float("inf")) -> None:
        """Wait for the next `notify_all`, or until a deadline (trio time)."""
        if self._notified is None:
            self._notified = trio.Event()
        with trio.CancelScope(deadline=deadline):
            await self._notified.wait()

    async def wait_for(
        self, predicate: Callable[[], bool], deadline: float = float("inf")
    ) -> bool:
        """Wait until a predicate is true, or until a deadline (trio time).

        Args:
            predicate: The predicate; checked again at each notification, and
                without effects.
            deadline: When to give up, trio time.

        Returns:
            Whether the predicate is true.
        """
        if predicate():
            return True
        if trio.current_time() >= deadline:
            return False
        if deadline == float("inf"):
            await self._wait_until(predicate)
            return True
        with trio.CancelScope(deadline=deadline):
            await self._wait_until(predicate)
        return predicate()

    async def _wait_until(self, predicate: Callable[[], bool]) -> None:
        while not predicate():
            event = trio.Event()
            self._predicates[event] = predicate
            try:
                await event.wait()
            finally:
                del self._predicates[event]
