"""Keeps one worker free of batch tasks for services that have to move."""

from turmerichall.placement import fleet as fleets
from turmerichall.placement import worker_state

__all__ = ["SpareKeeper"]

# A spare worker is kept as long as services move within this time.
KEEP_SECONDS = 600.0
# A worker that leaves within this time is no spare.
STAYS_SECONDS = 3600.0
# Room that a worker needs to become and to stay the spare one.
MIN_SHARE_TO_START = 0.5
MIN_SHARE_TO_STAY = 0.1


class SpareKeeper:
    """Chooses the spare worker while workers with services leave.

    Services that leave one worker then stay together on the next, instead of
    going to wherever batch tasks left room.

    Attributes:
        fleet: The workers.
        until: How long a spare worker is kept.
    """

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.until = -1e9

    def choose(self, now: float) -> None:
        """Sets `spare` of the fleet.

        Args:
            now: The caller's monotonic clock, in seconds.
        """
        if any(_moves(state, now) for state in self.fleet.workers.values()):
            self.until = now + KEEP_SECONDS
        before = self.fleet.spare
        self.fleet.spare = self._chosen(before, now)
        if before != self.fleet.spare:
            self.fleet.rankings.mark(before)
            self.fleet.rankings.mark(self.fleet.spare)

    def _chosen(self, before: str, now: float) -> str:
        if now >= self.until:
            return ""
        state = self.fleet.workers.get(before)
        if state is not None and _suits(state, MIN_SHARE_TO_STAY, now):
            return before
        return max(
            (
                (state.free.processors, name)
                for name, state in self.fleet.workers.items()
                if _suits(state, MIN_SHARE_TO_START, now)
            ),
            default=(0.0, ""),
        )[1]


def _moves(state: worker_state.WorkerState, now: float) -> bool:
    """Tells whether services leave a worker, or will soon."""
    if not state.services:
        return False
    return state.view.leaving or state.view.leaves_at < now + KEEP_SECONDS


def _suits(state: worker_state.WorkerState, share: float, now: float) -> bool:
    if not state.takes_work() or state.view.leaves_at < now + STAYS_SECONDS:
        return False
    if state.free.processors < share * state.view.capacity.processors:
        return False
    return all(
        allocation.task.service for allocation in state.allocations.values()
    )
