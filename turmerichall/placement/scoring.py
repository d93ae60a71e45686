"""Cost functions that rank the workers on which a task could be placed."""

from typing import Protocol

from turmerichall.placement import fleet as fleets
from turmerichall.placement import views
from turmerichall.placement import waiting
from turmerichall.placement import weights as weighing
from turmerichall.placement import worker_state

__all__ = ["BestFit", "FirstFit", "InterferenceScoring", "Scoring", "WorstFit"]

RACK_COST = 4.0
# Share of a service's tasks on one worker above which the loss of the worker
# would affect the service noticeably.
MAX_WORKER_SHARE = 0.16
CROWDED_COST = 2.0
# Excess slowdown per increase of the squared load, where load is the used share
# of a worker's processors.
LOAD_FACTOR = 0.2
# Scales lost work from shares of a worker's processors to whole tasks.
WORK_FACTOR = 10.0
# A batch task is not placed where its neighbours almost certainly lose more
# than this share of the work that it does itself.
MAX_LOST_SHARE = 0.5
ACCELERATOR_COST = 1.0
DRAIN_COST = 2.0
SERVICE_DRAIN_SECONDS = 1800.0


class Scoring(Protocol):
    """Cost function for placing a task on a worker that it fits on."""

    def cost(
        self, task: views.TaskView, state: worker_state.WorkerState, now: float
    ) -> float | None:
        """Return the cost, or None if the worker must not be selected."""

    def reason(
        self, task: views.TaskView, state: worker_state.WorkerState, now: float
    ) -> str:
        """Return why the worker was selected; called before the placement."""


class FirstFit:
    """Preference for the worker that became known first."""

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}

    def cost(
        self, task: views.TaskView, state: worker_state.WorkerState, now: float
    ) -> float | None:
        """Return the worker's position in the order of appearance."""
        del task, now
        return self.numbers.setdefault(state.view.name, len(self.numbers))

    def reason(
        self, task: views.TaskView, state: worker_state.WorkerState, now: float
    ) -> str:
        """Return a constant reason."""
        del task, state, now
        return "first worker with room"


class BestFit:
    """Preference for the worker with the smallest free share of processors."""

    def cost(
        self, task: views.TaskView, state: worker_state.WorkerState, now: float
    ) -> float | None:
        """Return the free share of the worker's processors."""
        del task, now
        return state.free.processors / state.view.capacity.processors

    def reason(
        self, task: views.TaskView, state: worker_state.WorkerState, now: float
    ) -> str:
        """Return the number of free processors as the reason."""
        del task, now
        return f"least free processors ({state.free.processors:g})"


class WorstFit:
    """Preference for the worker with the most free processors."""

    def cost(
        self, task: views.TaskView, state: worker_state.WorkerState, now: float
    ) -> float | None:
        """Return the negated number of free processors."""
        del task, now
        return -state.free.processors

    def reason(
        self, task: views.TaskView, state: worker_state.WorkerState, now: float
    ) -> str:
        """Return the number of free processors as the reason."""
        del task, now
        return f"most free processors ({state.free.processors:g})"


class InterferenceScoring:
    """Sum of the costs of expected slowdowns, rack spread, packing and drains.

    Attributes:
        weights: Coefficients of the cost terms.
        fleet: State of the workers and the learnt estimates.
    """

    def __init__(self, weights: weighing.Weights, fleet: fleets.Fleet) -> None:
        self.weights = weights
        self.fleet = fleet

    def cost(
        self, task: views.TaskView, state: worker_state.WorkerState, now: float
    ) -> float | None:
        """Return the cost, or None if neighbours would be slowed too much."""
        slowdown = self._slowdown_cost(task, state, now)
        if slowdown is None:
            return None
        packing = self.weights.packing
        if state.view.name == self.fleet.spare:
            packing = 0.0
        elif task.service:
            packing = self.weights.service_packing
        cost = slowdown + packing * _free_share(state)
        cost += self._drain_cost(task, state, now)
        if task.service:
            cost += self._spread_cost(task, state)
        elif not task.size.accelerators:
            cost += ACCELERATOR_COST * min(1, state.free.accelerators)
        return cost

    def reason(
        self, task: views.TaskView, state: worker_state.WorkerState, now: float
    ) -> str:
        """Return the expected slowdown, the load and a service's rack use."""
        del now
        own = self._own_excess(task, state)
        racks = self.fleet.service_racks.get((task.customer, task.template), {})
        reason = f"expected slowdown {1 + own:.2f}, load {state.load():.2f}"
        if task.service:
            same = racks.get(state.view.rack, 0)
            reason += f", {same} of the service in rack {state.view.rack}"
        return reason

    def _slowdown_cost(
        self, task: views.TaskView, state: worker_state.WorkerState, now: float
    ) -> float | None:
        capacity = state.view.capacity.processors
        share = self.fleet.expected_use(task) / capacity
        load = state.load()
        load_step = (load + share) ** 2 - load**2
        margin = self.weights.service_margin - 1.0
        margin *= self.fleet.margin_share
        excess = self.fleet.excess_on(state, now)
        estimator = self.fleet.estimator
        cost = 0.0
        lost_work = 0.0
        surely_lost = 0.0
        load_cost = LOAD_FACTOR * load_step
        for victim, use in state.use_by_template.items():
            effect = estimator.added_slowdown(victim, task.template)
            added = share * effect.mean + load_cost
            before = excess.get(victim, 0.0)
            count = state.services.get(victim, 0)
            if not count:
                weight = use / capacity / (1 + before) ** 2
                lost_work += added * weight
                surely_lost += share * effect.lower_bound * weight
                continue
            if not task.service and self.fleet.is_measured(victim, now):
                if excess.get(victim + "+", 0.0) + added > margin:
                    return None
            squares = (before + added) ** 2 - before**2
            cost += self.weights.latency * count * (squares + 0.2 * added)
        own = self._own_excess(task, state)
        if task.service:
            return cost + self.weights.latency * (own * own + 0.2 * own)
        if not waiting.is_high_priority(task):
            if surely_lost > MAX_LOST_SHARE * share / (1 + own):
                return None
        lost_work += own * share
        return cost + self.weights.throughput * WORK_FACTOR * lost_work

    def _own_excess(
        self, task: views.TaskView, state: worker_state.WorkerState
    ) -> float:
        use = self.fleet.expected_use(task)
        use_by_template = dict(state.use_by_template)
        use_by_template[task.template] = (
            use_by_template.get(task.template, 0.0) + use
        )
        capacity = state.view.capacity.processors
        colocated = fleets.colocation(
            task.template, use, use_by_template, capacity
        )
        return self.fleet.estimator.estimate(colocated).excess

    def _drain_cost(
        self, task: views.TaskView, state: worker_state.WorkerState, now: float
    ) -> float:
        left = state.view.leaves_at - now
        needed = SERVICE_DRAIN_SECONDS
        if not task.service:
            needed = 1.2 * self.fleet.run_seconds(task)
        if left >= needed:
            return 0.0
        return DRAIN_COST * (1.0 - max(0.0, left) / needed)

    def _spread_cost(
        self, task: views.TaskView, state: worker_state.WorkerState
    ) -> float:
        """Return the cost of concentrating a service on a rack or worker."""
        group = (task.customer, task.template)
        racks = self.fleet.service_racks.get(group, {})
        in_all = len(self.fleet.service_tasks.get(group, ()))
        in_rack = 1 + racks.get(state.view.rack, 0)
        on_worker = 1 + sum(
            (allocation.task.customer, allocation.task.template) == group
            for allocation in state.allocations.values()
        )
        cost = RACK_COST * in_rack / max(1, in_all)
        if on_worker > max(1.0, MAX_WORKER_SHARE * in_all):
            cost += CROWDED_COST * on_worker
        return cost


def _free_share(state: worker_state.WorkerState) -> float:
    return state.free.processors / state.view.capacity.processors
