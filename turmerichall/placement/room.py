"""Makes room for work that must not wait, by evicting what can."""

from collections.abc import Callable

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import budget
from turmerichall.placement import decisions
from turmerichall.placement import eviction
from turmerichall.placement import worker_state
from turmerichall.placement import policy as policies
from turmerichall.placement import quotas as quotas_of_teams
from turmerichall.placement import reservations
from turmerichall.placement import views
from turmerichall.placement import waiting

__all__ = ["RoomMaker"]

SuitsOf = Callable[
    [
        views.TaskView,
        worker_state.WorkerState,
        list[worker_state.Allocation],
        float,
    ],
    bool,
]

# Room made for a task is not made again for it within this time.
PENDING_SECONDS = 60.0
# Where none was found for a task that must run, it is tried again after this.
RETRY_SECONDS = 2.0
MAX_VICTIMS = 6


class RoomMaker:
    """Finds the worker on which room costs the least lost work.

    Services displace any batch task, urgent batch work displaces other batch
    work, and work within its team's quota displaces what others borrowed.

    Attributes:
        fleet: The workers.
        scoring: Tells where the task would not be placed, even with room.
        quotas: What teams hold.
        budget: Evictions for the sake of batch work that is not urgent.
        pending: When room may be made again, by task.
    """

    def __init__(
        self, policy: policies.Policy, quotas: quotas_of_teams.Quotas
    ) -> None:
        self.fleet = policy.fleet
        self.scoring = policy.scoring
        self.quotas = quotas
        self.pending: dict[str, float] = {}
        self.budget = budget.Budget()

    def make(
        self, task: views.TaskView, now: float
    ) -> list[decisions.EvictDecision]:
        """Evicts batch tasks so that a waiting task will have room.

        Args:
            task: The waiting task.
            now: The caller's monotonic clock, in seconds.

        Returns:
            The evictions; none if room is being made or cannot be made.
        """
        reserved = self.fleet.reservations
        if task.task_id in reserved.rooms:
            return []
        if now < self.pending.get(task.task_id, -1e9):
            return []
        self._forget_old(now)
        must_run = waiting.must_run(task)
        best = self._cheapest(task, now, self._suits)
        if must_run and not task.service and not best:
            best = self._cheapest(task, now, self._would_suit)
        delay = RETRY_SECONDS if must_run else PENDING_SECONDS
        self.pending[task.task_id] = now + delay
        self.budget.refill(len(self.fleet.workers), now)
        if not best or (not must_run and not self.budget.take()):
            return []
        worker = best[0].worker
        size = self.fleet.size_on(task, self.fleet.workers[worker])
        until = now + PENDING_SECONDS
        reserved.rooms[task.task_id] = reservations.Room(worker, size, until)
        self.fleet.rankings.mark(worker)
        reason = f"makes room for {task.task_id}"
        return [eviction.evict(allocation, reason, now) for allocation in best]

    def _cheapest(
        self, task: views.TaskView, now: float, suits: SuitsOf
    ) -> list[worker_state.Allocation]:
        """Returns the victims that lose the least work, or none."""
        best: list[worker_state.Allocation] = []
        best_lost = float("inf")
        for state in self.fleet.workers.values():
            victims = self._victims(task, state, now, suits)
            lost = sum(
                eviction.lost_work(allocation, now) for allocation in victims
            )
            if victims and lost < best_lost:
                best, best_lost = victims, lost
        return best

    def _suits(
        self,
        task: views.TaskView,
        state: worker_state.WorkerState,
        victims: list[worker_state.Allocation],
        now: float,
    ) -> bool:
        """Tells whether the task may go there as things are."""
        del victims
        return self.scoring.cost(task, state, now) is not None

    def _would_suit(
        self,
        task: views.TaskView,
        state: worker_state.WorkerState,
        victims: list[worker_state.Allocation],
        now: float,
    ) -> bool:
        """Tells whether the task may go there once the victims are gone."""
        before = [
            (allocation, allocation.size, allocation.use)
            for allocation in victims
        ]
        for allocation in victims:
            state.resize(allocation, resources.NOTHING, 0.0)
        suits = self._suits(task, state, victims, now)
        for allocation, size, use in before:
            state.resize(allocation, size, use)
        return suits

    def _forget_old(self, now: float) -> None:
        if len(self.pending) > 1000:
            self.pending = {
                task_id: at for task_id, at in self.pending.items() if now < at
            }

    def _victims(
        self,
        task: views.TaskView,
        state: worker_state.WorkerState,
        now: float,
        suits: SuitsOf,
    ) -> list[worker_state.Allocation]:
        if not state.takes_work():
            return []
        if task.zones and state.view.zone not in task.zones:
            return []
        if not self.fleet.health.accepts(state.view.name, task, now):
            return []
        size = self.fleet.size_on(task, state)
        free = _free_soon(state)
        free = free.minus(self.fleet.reservations.on(state.view.name))
        chosen: list[worker_state.Allocation] = []
        yielding = [
            allocation
            for allocation in state.allocations.values()
            if self._yields(allocation, task)
        ]
        yielding.sort(
            key=lambda allocation: eviction.lost_work(allocation, now)
        )
        for allocation in yielding:
            if size.fits_in(free) and suits(task, state, chosen, now):
                return chosen
            if len(chosen) >= MAX_VICTIMS:
                return []
            chosen.append(allocation)
            free = free.plus(allocation.size)
        if size.fits_in(free) and suits(task, state, chosen, now):
            return chosen
        return []

    def _yields(
        self, allocation: worker_state.Allocation, task: views.TaskView
    ) -> bool:
        if allocation.task.service or allocation.evicting_at is not None:
            return False
        if allocation.started_at is None:
            return False
        if task.service:
            return True
        if allocation.task.urgency == customers.Urgency.URGENT:
            return False
        if task.urgency == customers.Urgency.URGENT:
            return True
        team = allocation.task.team
        return team != task.team and self.quotas.borrows(
            team, resources.NOTHING
        )


def _free_soon(state: worker_state.WorkerState) -> resources.Resources:
    """Returns the free capacity once all evictions under way have ended."""
    free = state.free
    for allocation in state.allocations.values():
        if allocation.evicting_at is not None:
            free = free.plus(allocation.size)
    return free
