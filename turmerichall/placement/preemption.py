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

__all__ = ["Preemptor"]

IsPlaceable = Callable[
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


class Preemptor:
    """Finds the worker on which room costs the least lost work.

    Services displace any batch task, urgent batch work displaces other batch
    work, and work within its team's quota displaces what others borrowed.

    Attributes:
        fleet: The workers.
        scoring: Tells where the task would not be placed, even with room.
        quotas: What teams hold.
        budget: Evictions for the sake of batch work that is not urgent.
        retry_at: When room may be made again, by task.
    """

    def __init__(
        self, policy: policies.Policy, quotas: quotas_of_teams.Quotas
    ) -> None:
        self.fleet = policy.fleet
        self.scoring = policy.scoring
        self.quotas = quotas
        self.retry_at: dict[str, float] = {}
        self.budget = budget.Budget()

    def preempt(
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
        if task.task_id in reserved.by_task:
            return []
        if now < self.retry_at.get(task.task_id, -1e9):
            return []
        self._drop_expired(now)
        is_high_priority = waiting.is_high_priority(task)
        best = self._cheapest_victims(task, now, self._is_placeable)
        if is_high_priority and not task.service and not best:
            best = self._cheapest_victims(
                task, now, self._is_placeable_without_victims
            )
        delay = RETRY_SECONDS if is_high_priority else PENDING_SECONDS
        self.retry_at[task.task_id] = now + delay
        self.budget.refill(len(self.fleet.workers), now)
        if not best or (not is_high_priority and not self.budget.take()):
            return []
        worker = best[0].worker
        size = self.fleet.size_on(task, self.fleet.workers[worker])
        until = now + PENDING_SECONDS
        reserved.by_task[task.task_id] = reservations.Reservation(
            worker, size, until
        )
        self.fleet.rankings.invalidate(worker)
        reason = f"makes room for {task.task_id}"
        return [eviction.evict(allocation, reason, now) for allocation in best]

    def _cheapest_victims(
        self, task: views.TaskView, now: float, is_placeable: IsPlaceable
    ) -> list[worker_state.Allocation]:
        """Returns the victims that lose the least work, or none."""
        best: list[worker_state.Allocation] = []
        best_lost = float("inf")
        for state in self.fleet.workers.values():
            victims = self._select_victims(task, state, now, is_placeable)
            lost = sum(
                eviction.lost_work(allocation, now) for allocation in victims
            )
            if victims and lost < best_lost:
                best, best_lost = victims, lost
        return best

    def _is_placeable(
        self,
        task: views.TaskView,
        state: worker_state.WorkerState,
        victims: list[worker_state.Allocation],
        now: float,
    ) -> bool:
        """Tells whether the task may go there as things are."""
        del victims
        return self.scoring.cost(task, state, now) is not None

    def _is_placeable_without_victims(
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
        is_placeable = self._is_placeable(task, state, victims, now)
        for allocation, size, use in before:
            state.resize(allocation, size, use)
        return is_placeable

    def _drop_expired(self, now: float) -> None:
        if len(self.retry_at) > 1000:
            self.retry_at = {
                task_id: at for task_id, at in self.retry_at.items() if now < at
            }

    def _select_victims(
        self,
        task: views.TaskView,
        state: worker_state.WorkerState,
        now: float,
        is_placeable: IsPlaceable,
    ) -> list[worker_state.Allocation]:
        if not state.takes_work():
            return []
        if task.zones and state.view.zone not in task.zones:
            return []
        if not self.fleet.health.accepts(state.view.name, task, now):
            return []
        size = self.fleet.size_on(task, state)
        free = _free_soon(state)
        free = free.minus(self.fleet.reservations.reserved_on(state.view.name))
        chosen: list[worker_state.Allocation] = []
        preemptible = [
            allocation
            for allocation in state.allocations.values()
            if self._may_preempt(allocation, task)
        ]
        preemptible.sort(
            key=lambda allocation: eviction.lost_work(allocation, now)
        )
        for allocation in preemptible:
            if size.fits_in(free) and is_placeable(task, state, chosen, now):
                return chosen
            if len(chosen) >= MAX_VICTIMS:
                return []
            chosen.append(allocation)
            free = free.plus(allocation.size)
        if size.fits_in(free) and is_placeable(task, state, chosen, now):
            return chosen
        return []

    def _may_preempt(
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
