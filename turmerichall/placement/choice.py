"""Chooses a worker for one task, or says why there is none."""

from typing import NamedTuple

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.placement import decisions
from turmerichall.placement import fleet as fleets
from turmerichall.placement import worker_state
from turmerichall.placement import policy as policies
from turmerichall.placement import quotas as quotas_of_teams
from turmerichall.placement import views
from turmerichall.placement import waiting

__all__ = ["Choice", "Chooser"]


class Choice(NamedTuple):
    """The cheapest worker for a task.

    Attributes:
        state: The worker.
        good: Whether the cost is at most what is usual for the shape.
    """

    state: worker_state.WorkerState
    good: bool


class Chooser:
    """Checks quota, headroom, capacity and health, and takes the cheapest.

    Attributes:
        policy: What a placement costs.
        fleet: The workers.
        quotas: What teams hold and may hold.
    """

    def __init__(
        self, policy: policies.Policy, quotas: quotas_of_teams.Quotas
    ) -> None:
        self.policy = policy
        self.fleet: fleets.Fleet = policy.fleet
        self.quotas = quotas

    def choose(
        self,
        task: views.TaskView,
        size: resources.Resources,
        now: float,
        headroom: float,
    ) -> Choice | outcomes.Refusal:
        """Returns the cheapest worker that may be given a task.

        Args:
            task: The task.
            size: What it counts for.
            now: The caller's monotonic clock, in seconds.
            headroom: Processors that batch tasks may still take.
        """
        if not task.service:
            refused = self.quotas.refuse(task.team, size)
            if refused is not None:
                return refused
            if size.processors > headroom and not waiting.must_run(task):
                return outcomes.Refusal(
                    outcomes.RefusalReason.NO_CAPACITY,
                    "what is free is kept for services of a lost worker",
                )

        spare = self.fleet.spare
        ranking = self.fleet.rankings.of(
            waiting.Shape.of(task), list(self.fleet.workers)
        )

        def cost_of(name: str) -> float | None:
            ranking.withheld.discard(name)
            state = self.fleet.workers.get(name)
            if state is None or not _may_use(task, state, spare):
                return None
            if not self._has_room(task, state):
                return None
            cost = self.policy.scoring.cost(task, state, now)
            if cost is None:
                ranking.withheld.add(name)
            return cost

        refused_by_health = False
        failed_on: str | None = None
        for name in ranking.cheapest(cost_of):
            if not self._accepts(name, task, now):
                refused_by_health = True
            elif self._avoids(name, task):
                failed_on = failed_on or name
            else:
                good = ranking.is_good(ranking.costs[name])
                return Choice(self.fleet.workers[name], good)
        if failed_on is not None and not refused_by_health:
            return Choice(self.fleet.workers[failed_on], False)
        if refused_by_health:
            return outcomes.Refusal(
                outcomes.RefusalReason.QUARANTINED,
                "workers with room are quarantined",
            )
        return outcomes.Refusal(
            outcomes.RefusalReason.NO_CAPACITY, _why(ranking.withheld)
        )

    def _avoids(self, name: str, task: views.TaskView) -> bool:
        if not self.policy.watches_health:
            return False
        return self.fleet.health.avoids(name, task.task_id)

    def _has_room(
        self, task: views.TaskView, state: worker_state.WorkerState
    ) -> bool:
        size = self.fleet.size_on(task, state)
        if not state.has_room(size):
            return False
        if self.fleet.reservations.rooms and not waiting.must_run(task):
            reserved = self.fleet.reservations.on(state.view.name)
            if not size.plus(reserved).fits_in(state.free):
                return False
        if size.accelerators:
            return True
        kept = self.fleet.kept_for_accelerators(state)
        return kept == resources.NOTHING or size.plus(kept).fits_in(state.free)

    def place(
        self, task: views.TaskView, chosen: Choice, now: float
    ) -> decisions.StartDecision:
        """Counts a task against the chosen worker from now on."""
        name = chosen.state.view.name
        reason = self.policy.scoring.reason(task, chosen.state, now)
        self.fleet.allocate(task, name, task.attempt + 1, now)
        if waiting.must_run(task):
            self.fleet.reservations.take(task.task_id, name)
        if not task.service:
            self.quotas.add(task.team, task.size)
        return decisions.StartDecision(task.task_id, name, reason)

    def _accepts(self, name: str, task: views.TaskView, now: float) -> bool:
        if not self.policy.watches_health:
            return True
        return self.fleet.health.accepts(name, task, now)


def _why(withheld: set[str]) -> str:
    """Says why no worker was chosen.

    Examples:
        >>> _why(set())
        'no worker has room now'
        >>> _why({"w1"})
        'workers with room, such as w1, run tasks that it might slow too much'
    """
    if not withheld:
        return "no worker has room now"
    return (
        f"workers with room, such as {min(withheld)}, run tasks that it might"
        " slow too much"
    )


def _may_use(
    task: views.TaskView, state: worker_state.WorkerState, spare: str
) -> bool:
    if not state.takes_work():
        return False
    if state.view.name == spare and not waiting.must_run(task):
        return False
    return not task.zones or state.view.zone in task.zones
