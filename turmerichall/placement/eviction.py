"""Throttling and eviction of batch tasks that slow services or use too much."""

from typing import Protocol

from turmerichall.placement import budget
from turmerichall.placement import decisions
from turmerichall.placement import fleet as fleets
from turmerichall.placement import weights as weighing
from turmerichall.placement import worker_state

__all__ = [
    "Evictor",
    "GradualEvictor",
    "ImmediateEvictor",
    "NoEvictor",
    "lost_work",
]

THROTTLE_SHARE = 0.4
# A measured slowdown shows the effect of a throttle or an eviction only if it
# was measured more than this long after the decision.
MEASUREMENT_DELAY_SECONDS = 10.0
# Minimum time between throttling a task and evicting it.
THROTTLE_WAIT_SECONDS = 30.0
# Minimum time between throttling a task and lifting the throttle.
MIN_THROTTLE_SECONDS = 60.0
# A task whose throttle cannot be lifted is evicted only if its remaining run
# time is longer than this.
MIN_EVICT_REMAINING_SECONDS = 90.0
# Period in which, on average, one task per worker may be evicted because its
# throttle cannot be lifted.
THROTTLED_PERIOD_SECONDS = 300.0
# Throttles are lifted while the excess slowdown of services, their slowdown
# minus 1, is below this share of the permitted one, `service_margin` minus 1.
UNTHROTTLE_RATIO = 0.85
# Tasks are throttled or evicted while that excess slowdown is above this share
# of the permitted one; the share exceeds 1.0 because measurements are noisy.
ACT_RATIO = 1.25
RESTART_SECONDS = 15.0
CHECKPOINT_PERIOD_SECONDS = 300.0
ALMOST_FINISHED_SECONDS = 45.0
# Batch tasks on a draining worker get this long to finish; then those that are
# expected to run for even longer than this are evicted.
DRAIN_GRACE_SECONDS = 60.0
OVER_SHARE_RATIO = 1.25

Decision = decisions.ThrottleDecision | decisions.EvictDecision


class Evictor(Protocol):
    """Policy that decides which running tasks to throttle or evict."""

    def decide(self, now: float) -> list[Decision]:
        """Check the workers in `Fleet.pending_checks`; return the decisions."""


class NoEvictor:
    """Evictor that neither throttles nor evicts any task."""

    def decide(self, now: float) -> list[Decision]:
        """Return no decisions."""
        del now
        return []


class ImmediateEvictor:
    """Evictor that never throttles.

    On a worker with a slow service it evicts the batch task with the most
    processors, and on a draining worker all batch tasks.

    Attributes:
        fleet: State of the workers.
        margin: Slowdown above which a service counts as slow.
    """

    def __init__(self, fleet: fleets.Fleet, margin: float) -> None:
        self.fleet = fleet
        self.margin = margin

    def decide(self, now: float) -> list[Decision]:
        """Return evictions for workers that drain or run a slow service."""
        found: list[Decision] = []
        for name in list(self.fleet.pending_checks):
            del self.fleet.pending_checks[name]
            state = self.fleet.workers.get(name)
            if state is None or _is_evicting(state):
                continue
            slowdown = _highest_slowdown(state)
            batch = _candidates(state)
            leaving = state.view.leaving
            if batch and leaving:
                found += [evict(h, "worker is leaving", now) for h in batch]
            elif batch and slowdown > self.margin:
                largest = max(
                    batch, key=lambda allocation: allocation.size.processors
                )
                reason = f"largest beside a service slowed to {slowdown:.2f}"
                found.append(evict(largest, reason, now))
        return found


class GradualEvictor:
    """Evictor that throttles tasks before it evicts them, within budgets.

    If a service stays slow although the batch tasks on its worker are
    throttled, it evicts the one that adds most slowdown relative to the work
    that is lost.  Evictions that free memory or drain a worker need neither a
    throttle before them nor a budget.

    Attributes:
        fleet: State of the workers.
        weights: Weights, which include the highest permitted slowdown of
            services.
        budget: Rate limit of evictions where throttling did not suffice.
        throttled_budget: Rate limit of evictions of tasks whose throttle cannot
            be lifted.
        leaving_since: Time at which each draining worker was first found
            draining, by its name.
        acted_at: Time of the last decision about each worker, by its name;
            slowdowns measured before it took effect are ignored.
    """

    def __init__(self, fleet: fleets.Fleet, weights: weighing.Weights) -> None:
        self.fleet = fleet
        self.weights = weights
        self.budget = budget.Budget()
        self.throttled_budget = budget.Budget(THROTTLED_PERIOD_SECONDS)
        self.acted_at: dict[str, float] = {}
        self.leaving_since: dict[str, float] = {}

    def decide(self, now: float) -> list[Decision]:
        """Check the workers in `Fleet.pending_checks`; return the decisions."""
        self.budget.refill(len(self.fleet.workers), now)
        self.throttled_budget.refill(len(self.fleet.workers), now)
        found: list[Decision] = []
        for name in list(self.fleet.pending_checks):
            state = self.fleet.workers.get(name)
            if state is None or not state.allocations:
                self.fleet.pending_checks.pop(name)
                self.leaving_since.pop(name, None)
                continue
            if _is_evicting(state) and not state.view.leaving:
                continue
            decided = self._check_worker(state, now)
            if decided:
                self.acted_at[name] = now
                self.fleet.rankings.invalidate(name)
            elif not _needs_further_checks(state):
                self.leaving_since.pop(name, None)
                self.fleet.pending_checks.pop(name, None)
            found += decided
        return found

    def _check_worker(
        self, state: worker_state.WorkerState, now: float
    ) -> list[Decision]:
        if state.view.leaving:
            return self._drain(state, now)
        if state.free.memory_mb < 0:
            return self._free_memory(state, now)
        slowdown = _highest_slowdown(
            state, self.acted_at.get(state.view.name, -1e9)
        )
        margin = self.weights.service_margin - 1
        if slowdown > 1 + ACT_RATIO * margin:
            return self._reduce_interference(state, slowdown, now)
        if state.free.processors < 0:
            return self._throttle_over_share(state, now)
        if slowdown < 1 + UNTHROTTLE_RATIO * margin:
            return self._unthrottle(state, slowdown > 0, now)
        return []

    def _drain(
        self, state: worker_state.WorkerState, now: float
    ) -> list[Decision]:
        reason = "worker is leaving"
        found: list[Decision] = []
        since = self.leaving_since.setdefault(state.view.name, now)
        for allocation in _candidates(state):
            long_running = (
                self._remaining(allocation, now) > DRAIN_GRACE_SECONDS
            )
            if long_running and now >= since + DRAIN_GRACE_SECONDS:
                found.append(evict(allocation, reason, now))
        services = [
            allocation
            for allocation in state.allocations.values()
            if allocation.task.service
        ]
        for allocation in services:
            if (
                allocation.started_at is None
                or allocation.evicting_at is not None
            ):
                continue
            if self.fleet.may_move(allocation.task, now):
                self.fleet.mark_moving(allocation.task, now)
                found.append(evict(allocation, reason, now))
        return found

    def _free_memory(
        self, state: worker_state.WorkerState, now: float
    ) -> list[Decision]:
        batch = _candidates(state)
        if not batch:
            return []
        worst = max(batch, key=lambda allocation: (allocation.over_share, -now))
        if worst.over_share <= 1.0:
            worst = min(
                batch, key=lambda allocation: lost_work(allocation, now)
            )
        reason = "memory in use exceeds the worker"
        if worst.over_share > 1.0:
            reason += f"; uses {worst.over_share:.1f} times its share"
        return [evict(worst, reason, now)]

    def _reduce_interference(
        self, state: worker_state.WorkerState, slowdown: float, now: float
    ) -> list[Decision]:
        batch = _candidates(state)
        added_excess = {
            allocation.task.task_id: self._added_excess(state, allocation)
            for allocation in batch
        }
        batch = [
            allocation
            for allocation in batch
            if added_excess[allocation.task.task_id] > 0.01
        ]
        if not batch:
            return []
        beside = f"beside a service slowed to {slowdown:.2f}"
        unthrottled = [
            allocation for allocation in batch if allocation.throttle >= 1.0
        ]
        if unthrottled:
            return self._throttle_enough(
                unthrottled, added_excess, slowdown, now
            )
        newest = max(allocation.throttled_at for allocation in batch)
        if now < newest + THROTTLE_WAIT_SECONDS:
            return []
        return self._evict_cheapest(batch, added_excess, beside, now)

    def _throttle_enough(
        self,
        unthrottled: list[worker_state.Allocation],
        added_excess: dict[str, float],
        slowdown: float,
        now: float,
    ) -> list[Decision]:
        """Throttle tasks, beginning with those that slow services most.

        As many are throttled as should bring the slowdown back to the
        permitted one.
        """
        reason = f"beside a service slowed to {slowdown:.2f}"
        excess = slowdown - self.weights.service_margin
        unthrottled.sort(
            key=lambda allocation: -added_excess[allocation.task.task_id]
        )
        found: list[Decision] = []
        for allocation in unthrottled:
            if excess <= 0:
                break
            excess -= (1.0 - THROTTLE_SHARE) * added_excess[
                allocation.task.task_id
            ]
            found.append(throttle(allocation, THROTTLE_SHARE, reason, now))
        return found

    def _evict_cheapest(
        self,
        batch: list[worker_state.Allocation],
        added_excess: dict[str, float],
        beside: str,
        now: float,
    ) -> list[Decision]:
        long_running = [
            allocation
            for allocation in batch
            if self._remaining(allocation, now) > ALMOST_FINISHED_SECONDS
        ]
        if not long_running or not self.budget.take():
            return []
        chosen = max(
            long_running,
            key=lambda allocation: added_excess[allocation.task.task_id]
            / lost_work(allocation, now),
        )
        lost = lost_work(chosen, now)
        reason = f"throttling did not help {beside}; loses {lost:.0f} s at most"
        return [evict(chosen, reason, now)]

    def _throttle_over_share(
        self, state: worker_state.WorkerState, now: float
    ) -> list[Decision]:
        over = [
            allocation
            for allocation in _candidates(state)
            if allocation.over_share > OVER_SHARE_RATIO
        ]
        unthrottled = [
            allocation for allocation in over if allocation.throttle >= 1.0
        ]
        if unthrottled:
            worst = max(
                unthrottled, key=lambda allocation: allocation.over_share
            )
            share = max(0.05, 1.0 / worst.over_share)
            reason = f"uses {worst.over_share:.1f} times its share"
            return [throttle(worst, share, reason, now)]
        still_over = [
            allocation
            for allocation in over
            if now > allocation.throttled_at + THROTTLE_WAIT_SECONDS
            and allocation.measured_at
            > allocation.throttled_at + MEASUREMENT_DELAY_SECONDS
        ]
        if not still_over or not self.budget.take():
            return []
        worst = min(
            still_over, key=lambda allocation: lost_work(allocation, now)
        )
        reason = f"uses {worst.over_share:.1f} times its share when throttled"
        return [evict(worst, reason, now)]

    def _unthrottle(
        self, state: worker_state.WorkerState, measured: bool, now: float
    ) -> list[Decision]:
        """Lift a throttle, or evict a task whose throttle cannot be lifted.

        Args:
            state: State of the worker.
            measured: Whether the slowdown of a service on the worker was
                measured since the last decision about the worker took effect.
            now: The caller's monotonic clock, in seconds.
        """
        for allocation in _candidates(state):
            if allocation.throttle >= 1.0:
                continue
            if now < allocation.throttled_at + MIN_THROTTLE_SECONDS:
                continue
            exceeds = allocation.over_share > OVER_SHARE_RATIO
            if exceeds and state.free.processors < 1.0:
                continue
            if not self._fits_unthrottled(state, allocation, now):
                if measured and self._may_evict_throttled(allocation, now):
                    reason = "would slow services again without its throttle"
                    return [evict(allocation, reason, now)]
                continue
            reason = "services on the worker are within their margin"
            return [throttle(allocation, 1.0, reason, now)]
        return []

    def _fits_unthrottled(
        self,
        state: worker_state.WorkerState,
        allocation: worker_state.Allocation,
        now: float,
    ) -> bool:
        """Return whether lifting a throttle keeps services in their margin."""
        margin = self.weights.service_margin - 1
        more = max(
            0.0, self.fleet.expected_use(allocation.task) - allocation.use
        )
        share = more / state.view.capacity.processors
        excess = self.fleet.excess_on(state, now)
        estimator = self.fleet.estimator
        return all(
            excess.get(victim, 0.0)
            + share
            * estimator.added_slowdown(victim, allocation.task.template).mean
            <= margin
            for victim in state.services
        )

    def _may_evict_throttled(
        self, allocation: worker_state.Allocation, now: float
    ) -> bool:
        if self._remaining(allocation, now) <= MIN_EVICT_REMAINING_SECONDS:
            return False
        return self.throttled_budget.take()

    def _added_excess(
        self,
        state: worker_state.WorkerState,
        allocation: worker_state.Allocation,
    ) -> float:
        """Return the expected excess slowdown that a task adds to services.

        Only services on its worker that are slowed at present count.
        """
        share = allocation.use / state.view.capacity.processors
        added = 0.0
        for other in state.allocations.values():
            if other.task.service and other.slowdown > 1.0:
                pair = self.fleet.estimator.added_slowdown(
                    other.task.template, allocation.task.template
                )
                added += pair.mean * share + 0.1 * share
        return added

    def _remaining(
        self, allocation: worker_state.Allocation, now: float
    ) -> float:
        started = (
            now if allocation.started_at is None else allocation.started_at
        )
        return self.fleet.run_seconds(allocation.task) - (now - started)


def lost_work(allocation: worker_state.Allocation, now: float) -> float:
    """Return the most run time that evicting a task may lose, in seconds.

    The task resumes from its last checkpoint, so it loses at most the time
    between two checkpoints and the time of the restart.
    """
    started = now if allocation.started_at is None else allocation.started_at
    return min(now - started, CHECKPOINT_PERIOD_SECONDS) + RESTART_SECONDS


def evict(
    allocation: worker_state.Allocation, reason: str, now: float
) -> decisions.EvictDecision:
    """Mark a task as being evicted and return the decision to evict it."""
    allocation.evicting_at = now
    return decisions.EvictDecision(
        allocation.task.task_id, allocation.worker, reason
    )


def throttle(
    allocation: worker_state.Allocation, share: float, reason: str, now: float
) -> decisions.ThrottleDecision:
    """Set the share of processors a task may use and return the decision."""
    allocation.throttle = share
    allocation.throttled_at = now
    return decisions.ThrottleDecision(
        allocation.task.task_id, allocation.worker, share, reason
    )


def _is_evicting(state: worker_state.WorkerState) -> bool:
    return any(
        allocation.evicting_at is not None
        for allocation in state.allocations.values()
    )


def _needs_further_checks(state: worker_state.WorkerState) -> bool:
    if state.view.leaving:
        return True
    return any(
        allocation.throttle < 1 for allocation in state.allocations.values()
    )


def _candidates(
    state: worker_state.WorkerState,
) -> list[worker_state.Allocation]:
    return [
        allocation
        for allocation in state.allocations.values()
        if not allocation.task.service
        and allocation.started_at is not None
        and allocation.evicting_at is None
    ]


def _highest_slowdown(
    state: worker_state.WorkerState, since: float = -1e9
) -> float:
    """Return the highest slowdown of a service on a worker.

    Only slowdowns measured more than `MEASUREMENT_DELAY_SECONDS` after `since`
    count.  Returns 0.0 if there are none.
    """
    return max(
        (
            allocation.slowdown
            for allocation in state.allocations.values()
            if allocation.task.service
            and allocation.measured_at > since + MEASUREMENT_DELAY_SECONDS
        ),
        default=0.0,
    )
