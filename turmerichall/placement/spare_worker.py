"""Keeps one worker free of batch tasks for services that have to move."""

from turmerichall.placement import fleet as fleets
from turmerichall.placement import worker_state

__all__ = ["SpareWorkerSelector"]

# A spare worker is kept as long as services move within this time.
KEEP_SECONDS = 600.0
# A worker that leaves within this time is no spare.
MIN_REMAINING_SECONDS = 3600.0
# Room that a worker needs to become and to stay the spare one.
MIN_FREE_SHARE_TO_SELECT = 0.5
MIN_FREE_SHARE_TO_KEEP = 0.1


class SpareWorkerSelector:
    """Chooses the spare worker while workers with services leave.

    Services that leave one worker then stay together on the next, instead of
    going to wherever batch tasks left room.

    Attributes:
        fleet: The workers.
        keep_until: How long a spare worker is kept.
    """

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.keep_until = -1e9

    def update(self, now: float) -> None:
        """Sets `spare` of the fleet.

        Args:
            now: The caller's monotonic clock, in seconds.
        """
        if any(
            _services_leaving(state, now)
            for state in self.fleet.workers.values()
        ):
            self.keep_until = now + KEEP_SECONDS
        previous = self.fleet.spare
        self.fleet.spare = self._select(previous, now)
        if previous != self.fleet.spare:
            self.fleet.rankings.invalidate(previous)
            self.fleet.rankings.invalidate(self.fleet.spare)

    def _select(self, previous: str, now: float) -> str:
        if now >= self.keep_until:
            return ""
        state = self.fleet.workers.get(previous)
        if state is not None and _is_suitable(
            state, MIN_FREE_SHARE_TO_KEEP, now
        ):
            return previous
        return max(
            (
                (state.free.processors, name)
                for name, state in self.fleet.workers.items()
                if _is_suitable(state, MIN_FREE_SHARE_TO_SELECT, now)
            ),
            default=(0.0, ""),
        )[1]


def _services_leaving(state: worker_state.WorkerState, now: float) -> bool:
    """Tells whether services leave a worker, or will soon."""
    if not state.services:
        return False
    return state.view.leaving or state.view.leaves_at < now + KEEP_SECONDS


def _is_suitable(
    state: worker_state.WorkerState, share: float, now: float
) -> bool:
    if (
        not state.takes_work()
        or state.view.leaves_at < now + MIN_REMAINING_SECONDS
    ):
        return False
    if state.free.processors < share * state.view.capacity.processors:
        return False
    return all(
        allocation.task.service for allocation in state.allocations.values()
    )
