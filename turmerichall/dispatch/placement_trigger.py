"""When the leader places tasks."""

import trio

__all__ = ["PlacementTrigger"]

# Maximum time between two placements: changes of tail latencies and circuit
# breakers affect placement, but don't request one, since each poll brings some.
INTERVAL_SECONDS = 0.25
# Minimum time from a placement to the next one that only changed room requests,
# as a multiple of the time that it took.  Room changes hundreds of times a
# second on a large site, and a leader short of processor time would place tasks
# all the time.
PAUSE_FACTOR = 3.0


class PlacementTrigger:
    """Requests for a placement, at once or when there is time for one."""

    def __init__(self) -> None:
        self._is_set = trio.Event()
        self._room_changed = False
        # Time from which on changed room requests a placement.
        self._pause_until = -float("inf")
        self._wait = trio.CancelScope()

    def set(self) -> None:
        """Request a placement at once: new tasks or urgent ones wait."""
        self._is_set.set()

    def set_room_changed(self) -> None:
        """Request a placement, because the room on some worker has changed."""
        self._room_changed = True
        self._wait.deadline = min(self._wait.deadline, self._pause_until)

    async def wait(self) -> None:
        """Wait for a request, at most `INTERVAL_SECONDS`."""
        until = trio.current_time() + INTERVAL_SECONDS
        if self._room_changed:
            until = min(until, self._pause_until)
        self._wait = trio.CancelScope(deadline=until)
        with self._wait:
            await self._is_set.wait()

    def begin_placement(self) -> None:
        """Drop the requests, which the placement that begins answers."""
        self._is_set = trio.Event()
        self._room_changed = False

    def end_placement(self, seconds: float, is_cut: bool = False) -> None:
        """Record that a placement has ended.

        Args:
            seconds: For how long it has kept the leader busy.
            is_cut: Whether it left out tasks that may have room.
        """
        self._pause_until = trio.current_time() + PAUSE_FACTOR * seconds
        if is_cut:
            self.set()
