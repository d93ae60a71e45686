"""Preemption: eviction of batch tasks for waiting tasks of higher priority."""

from collections.abc import Callable

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import budget
from turmerichall.placement import decisions
from turmerichall.placement import eviction
from turmerichall.placement import policy as policies
from turmerichall.placement import quotas as quotas_of_teams
from turmerichall.placement import reservations
from turmerichall.placement import views
from turmerichall.placement import waiting
from turmerichall.placement import worker_state

__all__ = ["Preemptor"]

SuitsTask = Callable[
    [
        views.TaskView,
        worker_state.WorkerState,
        list[worker_state.Allocation],
        float,
    ],
    bool,
]

# Time for which freed capacity stays reserved for the task that others were
# evicted for; also the interval between preemption attempts for a task that is
# not of high priority.
RESERVATION_SECONDS = 60.0
# Interval between preemption attempts for a task of high priority.
RETRY_SECONDS = 2.0
MAX_VICTIMS = 6


class Preemptor:
    """Eviction of batch tasks so that a waiting task fits on a worker.

    It chooses the worker where the least work is lost.

    Service tasks preempt any batch task, urgent batch tasks preempt other batch
    tasks, and tasks of teams within their quota preempt tasks that are not
    urgent of other teams that exceed theirs.

    Attributes:
        fleet: State of the workers.
        scoring: Cost function; it excludes workers on which the task must not
            be placed even if it fits.
        quotas: Quotas of teams and their use.
        budget: Rate limit of preemptions for batch tasks that are not urgent.
        retry_at: Earliest time of the next preemption attempt, by id of the
            waiting task.
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
        """Evict batch tasks so that a waiting task will fit on a worker.

        The freed capacity is reserved for the task.

        Args:
            task: The waiting task.
            now: The caller's monotonic clock, in seconds.

        Returns:
            The evictions; none if capacity is already reserved for the task, if
            the last attempt was too recent, if no suitable tasks can be
            evicted or if the budget is spent.
        """
        reserved = self.fleet.reservations
        if task.task_id in reserved.by_task:
            return []
        if now < self.retry_at.get(task.task_id, -1e9):
            return []
        self._drop_expired(now)
        is_high_priority = waiting.is_high_priority(task)
        best = self._cheapest(task, now, self._suits_now)
        if is_high_priority and not task.service and not best:
            best = self._cheapest(task, now, self._suits_without_victims)
        delay = RETRY_SECONDS if is_high_priority else RESERVATION_SECONDS
        self.retry_at[task.task_id] = now + delay
        self.budget.refill(len(self.fleet.workers), now)
        if not best or (not is_high_priority and not self.budget.take()):
            return []
        worker = best[0].worker
        size = self.fleet.size_on(task, self.fleet.workers[worker])
        until = now + RESERVATION_SECONDS
        reserved.by_task[task.task_id] = reservations.Reservation(
            worker, size, until
        )
        self.fleet.rankings.invalidate(worker)
        reason = f"makes room for {task.task_id}"
        return [eviction.evict(allocation, reason, now) for allocation in best]

    def _cheapest(
        self, task: views.TaskView, now: float, suits: SuitsTask
    ) -> list[worker_state.Allocation]:
        """Return the tasks to evict on the worker where least work is lost."""
        best: list[worker_state.Allocation] = []
        best_lost = float("inf")
        for state in self.fleet.workers.values():
            victims = self._select_victims(task, state, now, suits)
            lost = sum(
                eviction.lost_work(allocation, now) for allocation in victims
            )
            if victims and lost < best_lost:
                best, best_lost = victims, lost
        return best

    def _suits_now(
        self,
        task: views.TaskView,
        state: worker_state.WorkerState,
        victims: list[worker_state.Allocation],
        now: float,
    ) -> bool:
        """Return whether the cost function allows a task on a worker now."""
        del victims
        return self.scoring.cost(task, state, now) is not None

    def _suits_without_victims(
        self,
        task: views.TaskView,
        state: worker_state.WorkerState,
        victims: list[worker_state.Allocation],
        now: float,
    ) -> bool:
        """Return whether the cost function allows a task without `victims`."""
        before = [
            (allocation, allocation.size, allocation.use)
            for allocation in victims
        ]
        for allocation in victims:
            state.resize(allocation, resources.ZERO, 0.0)
        suits = self._suits_now(task, state, victims, now)
        for allocation, size, use in before:
            state.resize(allocation, size, use)
        return suits

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
        suits: SuitsTask,
    ) -> list[worker_state.Allocation]:
        if not state.takes_work():
            return []
        if task.zones and state.view.zone not in task.zones:
            return []
        if not self.fleet.health.accepts(state.view.name, task, now):
            return []
        size = self.fleet.size_on(task, state)
        free = _free_after_evictions(state)
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
            if size.fits_in(free) and suits(task, state, chosen, now):
                return chosen
            if len(chosen) >= MAX_VICTIMS:
                return []
            chosen.append(allocation)
            free = free.plus(allocation.size)
        if size.fits_in(free) and suits(task, state, chosen, now):
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
        return team != task.team and self.quotas.borrows(team, resources.ZERO)


def _free_after_evictions(
    state: worker_state.WorkerState,
) -> resources.Resources:
    """Return a worker's free capacity once evictions in progress have ended."""
    free = state.free
    for allocation in state.allocations.values():
        if allocation.evicting_at is not None:
            free = free.plus(allocation.size)
    return free
