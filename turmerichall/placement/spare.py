"""Selection of a spare worker for service tasks that have to move.

It is kept free of batch tasks that are not urgent.
"""

from turmerichall.placement import fleet as fleets
from turmerichall.placement import worker_state

__all__ = ["SpareWorkerSelector"]

# A spare worker is kept for this long after workers with services last
# drained; a worker that is going to drain within this time counts as
# draining.
KEEP_SECONDS = 600.0
# A worker that is going to drain within this time is not used as the spare one.
MIN_REMAINING_SECONDS = 3600.0
# Free share of its processors that a worker needs to be selected as the spare
# worker, and to remain it.
MIN_FREE_SHARE_TO_SELECT = 0.5
MIN_FREE_SHARE_TO_KEEP = 0.1


class SpareWorkerSelector:
    """Selector of a spare worker while workers that run services drain.

    The service tasks of a draining worker then move to the spare worker
    together, instead of being scattered over workers where batch tasks leave
    capacity.

    Attributes:
        fleet: State of the workers.
        keep_until: Time until which there is to be a spare worker.
    """

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.keep_until = -1e9

    def update(self, now: float) -> None:
        """Select the spare worker, if one is needed, and set `fleet.spare`.

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
    """Return whether a worker runs services and drains now or soon."""
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
