"""Cost functions that rank the workers on which a task could be placed."""

from typing import Protocol

from turmerichall.placement import fleet as fleets
from turmerichall.placement import views
from turmerichall.placement import waiting
from turmerichall.placement import weights as weighing
from turmerichall.placement import worker_state

__all__ = ["BestFit", "FirstFit", "InterferenceScoring", "Scoring", "WorstFit"]

RACK_COST = 4.0
# If more than this share of a service's tasks run on one worker, losing that
# worker affects the service noticeably.
MAX_WORKER_SHARE = 0.16
CROWDED_COST = 2.0
# Excess slowdown of a task per increase of the squared load of its worker by 1,
# where load is the used share of the worker's processors.
LOAD_FACTOR = 0.2
# Converts lost work, expressed as a share of a worker's processors, into whole
# tasks, the unit of the throughput weight.
WORK_FACTOR = 10.0
# A batch task that is not urgent is not placed on a worker where the slowdown
# that it adds would almost certainly cost other batch tasks more than this
# share of the work that the task itself does.
MAX_LOST_SHARE = 0.5
ACCELERATOR_COST = 1.0
DRAIN_COST = 2.0
SERVICE_DRAIN_SECONDS = 1800.0


class Scoring(Protocol):
    """Cost function for placing a task on a worker that it fits on."""

    def cost(
        self, task: views.TaskView, state: worker_state.WorkerState, now: float
    ) -> float | None:
        """Return the cost, lower is better; None excludes the worker."""

    def reason(
        self, task: views.TaskView, state: worker_state.WorkerState, now: float
    ) -> str:
        """Return why the worker was selected, as a message for operators.

        It must be called before the task is placed.
        """


class FirstFit:
    """Preference for the worker that became known first."""

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}

    def cost(
        self, task: views.TaskView, state: worker_state.WorkerState, now: float
    ) -> float | None:
        """Return the number of the worker in the order of first appearance."""
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
        """Return the free share of the worker's processors as the cost."""
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
        """Return the negated number of free processors as the cost."""
        del task, now
        return -state.free.processors

    def reason(
        self, task: views.TaskView, state: worker_state.WorkerState, now: float
    ) -> str:
        """Return the number of free processors as the reason."""
        del task, now
        return f"most free processors ({state.free.processors:g})"


class InterferenceScoring:
    """Cost function that includes the expected slowdowns.

    The cost of placing a task on a worker is a sum of terms for the slowdowns
    of the task and of its neighbours, for many tasks of a service on one rack
    or worker, for the free share of the processors and for a drain that is
    expected before the task ends.

    Attributes:
        weights: Coefficients of some of these terms.
        fleet: State of the workers and the learnt estimates.
    """

    def __init__(self, weights: weighing.Weights, fleet: fleets.Fleet) -> None:
        self.weights = weights
        self.fleet = fleet

    def cost(
        self, task: views.TaskView, state: worker_state.WorkerState, now: float
    ) -> float | None:
        """Return the cost; None if the task might slow others too much."""
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
        """Return the expected slowdown and the worker's load as the reason.

        For a service task, the number of tasks of the service in the rack is
        added.
        """
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
        if not task.at_risk:
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
        """Return the cost of having many tasks of a service in one place.

        A place is a rack or a worker.
        """
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
