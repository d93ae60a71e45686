"""Selection of the worker for a task."""

from typing import NamedTuple

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.placement import decisions
from turmerichall.placement import fleet as fleets
from turmerichall.placement import policy as policies
from turmerichall.placement import quotas as quotas_of_teams
from turmerichall.placement import views
from turmerichall.placement import waiting
from turmerichall.placement import worker_state

__all__ = ["Selection", "WorkerSelector"]


class Selection(NamedTuple):
    """The worker selected for a task.

    Attributes:
        known: State of the worker.
        is_low_cost: Whether the cost of placing the task there is at most
            slightly above the typical one for tasks of its shape.
    """

    known: worker_state.WorkerState
    is_low_cost: bool


class WorkerSelector:
    """Selector of the cheapest worker that may be given a task.

    It checks the quota of the team, the processors that batch tasks may still
    use, and the capacity and health of the workers.

    Attributes:
        policy: Placement policy with the cost function.
        fleet: State of the workers.
        quotas: Quotas of teams and their use.
    """

    def __init__(
        self, policy: policies.Policy, quotas: quotas_of_teams.Quotas
    ) -> None:
        self.policy = policy
        self.fleet: fleets.Fleet = policy.fleet
        self.quotas = quotas

    def select(
        self,
        task: views.TaskView,
        size: resources.Resources,
        now: float,
        headroom: float,
    ) -> Selection | outcomes.Refusal:
        """Return the cheapest worker for a task, or a refusal with the reason.

        A worker on which the task failed before is selected only if no other
        worker fits and none was refused for its health.

        Args:
            task: The task.
            size: Resources that the task will be allocated.
            now: The caller's monotonic clock, in seconds.
            headroom: Number of processors that batch tasks may still use.
        """
        if not task.service:
            refused = self.quotas.refuse(task.team, size)
            if refused is not None:
                return refused
            if size.processors > headroom and not waiting.is_high_priority(
                task
            ):
                return outcomes.Refusal(
                    outcomes.RefusalReason.NO_CAPACITY,
                    "what is free is kept for services of a lost worker",
                )

        spare = self.fleet.spare
        ranking = self.fleet.rankings.for_shape(
            waiting.Shape.of(task), list(self.fleet.workers)
        )

        def cost_of(name: str) -> float | None:
            ranking.rejected_by_policy.discard(name)
            state = self.fleet.workers.get(name)
            if state is None or not _may_use(task, state, spare):
                return None
            if not self._has_room(task, state):
                return None
            cost = self.policy.scoring.cost(task, state, now)
            if cost is None:
                ranking.rejected_by_policy.add(name)
            return cost

        refused_by_health = False
        failed_on: str | None = None
        for name in ranking.cheapest(cost_of):
            if not self._accepts(name, task, now):
                refused_by_health = True
            elif self._failed_before(name, task):
                failed_on = failed_on or name
            else:
                is_low_cost = ranking.is_low_cost(ranking.costs[name])
                return Selection(self.fleet.workers[name], is_low_cost)
        if failed_on is not None and not refused_by_health:
            return Selection(self.fleet.workers[failed_on], False)
        if refused_by_health:
            return outcomes.Refusal(
                outcomes.RefusalReason.QUARANTINED,
                "workers with room are quarantined",
            )
        return outcomes.Refusal(
            outcomes.RefusalReason.NO_CAPACITY,
            _no_capacity_reason(ranking.rejected_by_policy),
        )

    def _failed_before(self, name: str, task: views.TaskView) -> bool:
        if not self.policy.quarantines:
            return False
        return self.fleet.health.avoids(name, task.task_id)

    def _has_room(
        self, task: views.TaskView, state: worker_state.WorkerState
    ) -> bool:
        size = self.fleet.size_on(task, state)
        if not state.has_room(size):
            return False
        if self.fleet.reservations.by_task and not waiting.is_high_priority(
            task
        ):
            reserved = self.fleet.reservations.reserved_on(state.view.name)
            if not size.plus(reserved).fits_in(state.free):
                return False
        if size.accelerators:
            return True
        kept = self.fleet.accelerator_reserve(state)
        return kept == resources.ZERO or size.plus(kept).fits_in(state.free)

    def place(
        self, task: views.TaskView, chosen: Selection, now: float
    ) -> decisions.StartDecision:
        """Allocate capacity of the selected worker to a task."""
        name = chosen.known.view.name
        reason = self.policy.scoring.reason(task, chosen.known, now)
        self.fleet.allocate(task, name, task.attempt + 1, now)
        if waiting.is_high_priority(task):
            self.fleet.reservations.consume(task.task_id, name)
        if not task.service:
            self.quotas.add(task.team, task.size)
        return decisions.StartDecision(task.task_id, name, reason)

    def _accepts(self, name: str, task: views.TaskView, now: float) -> bool:
        if not self.policy.quarantines:
            return True
        return self.fleet.health.accepts(name, task, now)


def _no_capacity_reason(rejected_by_policy: set[str]) -> str:
    """Return the message that explains why a task has no worker.

    Args:
        rejected_by_policy: Names of workers with room that are not used because
            the task might slow the tasks on them too much.

    Examples:
        >>> _no_capacity_reason(set())
        'no worker has room now'
        >>> _no_capacity_reason({"w1"})
        'workers with room, such as w1, run tasks that it might slow too much'
    """
    if not rejected_by_policy:
        return "no worker has room now"
    return (
        f"workers with room, such as {min(rejected_by_policy)}, run tasks that"
        " it might slow too much"
    )


def _may_use(
    task: views.TaskView, state: worker_state.WorkerState, spare: str
) -> bool:
    if not state.takes_work():
        return False
    if state.view.name == spare and not waiting.is_high_priority(task):
        return False
    return not task.zones or state.view.zone in task.zones
