"""Control loop that keeps tail latencies on one worker below their targets."""

import math
from typing import Protocol

from turmerichall.dispatch import interference_model as interference_models
from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import pacing
from turmerichall.dispatch import run_state
from turmerichall.dispatch import service_load
from turmerichall.dispatch import worker_client
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.colocation import careful_policy
from turmerichall.dispatch.colocation import pace_orders
from turmerichall.queues import change as changes
from turmerichall.telemetry import lightweight_metrics

__all__ = ["Owner", "TailLatencyController"]

# Minimum change of a pace that is sent to the worker, in percent of full speed;
# changes to 0 and 100, and of an unknown pace, are always sent.
PACE_STEP_PERCENT = 8
# Time after a change of pace in which tail latencies still reflect the old one.
PACE_SETTLE_SECONDS = 1.0
# Time between two orders of an unchanged pace, while a late order may change it
# back.
PACE_REPEAT_SECONDS = 2.0
# Share of its target up to which a tail latency is not likely to reach it
# before the next poll.
QUIET_SHARE = 0.5
# Standard deviation of the rounding error of tail latencies, which workers
# report in whole milliseconds.
ROUNDING_MS = 0.29
# Largest standard deviation of a slowdown from which careful colocation learns.
MAX_NOISE = 1.3 * interference_models.NOISE
# Utilization of a step up to which tail latencies say too little about
# interference to learn from them.
MIN_STEP_LOAD = 0.1
# From this multiple of the target on, a tail latency mostly shows how long
# requests have been queueing, so it is only a lower bound of the slowdown.
QUEUEING_RATIO = 1.5
# A tail latency is unexplained if the load that it implies exceeds that of its
# step and known neighbours by this factor plus this offset.
UNEXPLAINED_FACTOR = 1.2
UNEXPLAINED_OFFSET = 0.08


class Owner(Protocol):
    """Interface of the leader for a controller; `Leadership` implements it."""

    token: int
    interference_model: interference_models.InterferenceModel
    load_tracker: service_load.LoadTracker
    metrics_registry: lightweight_metrics.MetricsRegistry
    colocation: careful_policy.CarefulPolicy | None

    def fenced(self, worker: worker_state.Worker) -> None:
        """End the leader's work, because a worker obeys a newer term."""


class TailLatencyController:
    """Controller of the paces of best-effort runs on one worker.

    It also learns interference and load from the tail latencies there.

    Attributes:
        owner: The leader.
        worker: The worker.
    """

    def __init__(self, owner: Owner, worker: worker_state.Worker):
        self.owner = owner
        self.worker = worker
        self._paced_at = -math.inf
        # Time since which each long-running task's tail latency has not been
        # below its target.
        self._over_since: dict[changes.TaskName, float] = {}
        self._long_running_tasks: list[pacing.LongRunningTask] = []

    async def adjust(self) -> None:
        """Learn from the latest poll, and set the paces of best-effort runs."""
        worker, load_tracker = self.worker, self.owner.load_tracker
        cpu = max(worker.capacity.cpu, 1)
        now = leases.steady_seconds()
        best_effort_runs = [
            run
            for run in worker.runs.values()
            if run.step.fills and run.confirmed_at
        ]
        shares: dict[str, float] = {}
        for run in best_effort_runs:
            share = run.load / cpu
            shares[run.step.image] = shares.get(run.step.image, 0.0) + share
        long_running_tasks: list[pacing.LongRunningTask] = []
        for run in worker.runs.values():
            if run.step.lasting and run.step.target_ms and run.load > 0:
                long_running_tasks.append(self._read_tail(run, shares, now))
        self._long_running_tasks = long_running_tasks
        for task in [
            task for task in self._over_since if task not in worker.runs
        ]:
            del self._over_since[task]
        worker.long_running_load = sum(
            run.step.cpu * load_tracker.forecast(run.task, now).soon
            for run in worker.runs.values()
            if run.step.lasting
        )
        worker.changed = True
        await self.pace()

    async def pace(self) -> None:
        """Set the paces of best-effort runs from the latest tail latencies.

        Also called when a best-effort run has just started.
        """
        worker = self.worker
        cpu = max(worker.capacity.cpu, 1)
        paced_runs = [
            run
            for run in worker.runs.values()
            if run.step.fills
            and run.phase == run_state.Phase.RUNNING
            and not run.stopping
        ]
        if not paced_runs:
            return
        model, colocation = self.owner.interference_model, self.owner.colocation
        limits, max_rise = [], pacing.MAX_RISE_PERCENT
        now = leases.steady_seconds()
        if colocation is not None:
            limits = colocation.first_paces(worker, paced_runs, now)
            max_rise = careful_policy.MAX_RISE_PERCENT
        paces = pacing.pace_percents(
            [
                pacing.BestEffortTask(
                    run.step.image, run.step.cpu / cpu, run.pace_percent
                )
                for run in paced_runs
            ],
            self._long_running_tasks,
            pacing.UNCONTENDED_SHARE
            - (worker.long_running_load + worker.cpu_batch) / cpu,
            model.weight,
            model.upper_weight,
            limits,
            max_rise,
        )
        unanswered = False
        for run, percent in zip(paced_runs, paces):
            if colocation is not None:
                order = colocation.next_order(run, percent, now)
            else:
                order = _plain_order(run, percent)
            if order is not None:
                unanswered |= not await self._set_pace(
                    run, order.percent, order.reason
                )
            elif not unanswered:
                # Each order without an answer delays the next poll, which
                # renews the lease.
                unanswered = not await self._set_pace(
                    run, run.pace_percent, "repeat"
                )

    def is_quiet(self) -> bool:
        """Return whether no tail latency is likely to miss its target soon.

        All of them are known and far below their targets, although no
        best-effort run is throttled.
        """
        for run in self.worker.runs.values():
            step = run.step
            if step.lasting and step.target_ms:
                if not 0 < run.load < QUIET_SHARE * step.target_ms:
                    return False
            elif step.fills and (
                run.pace_percent != 100 or run.late_pace_possible()
            ):
                return False
        return True

    def _read_tail(
        self, run: run_state.Run, shares: dict[str, float], now: float
    ) -> pacing.LongRunningTask:
        """Learn from the tail latency of one long-running run.

        Args:
            run: The run.
            shares: Share of the processors that each best-effort image uses.
            now: Current time on the steady clock.

        Returns:
            Load and tail latency of the run, from which paces are computed.
        """
        interference_model, load_tracker = (
            self.owner.interference_model,
            self.owner.load_tracker,
        )
        long_running_image, target_ms = run.step.image, run.step.target_ms
        idle_ms = load_tracker.update_idle_ms(long_running_image, run.load)
        utilization = service_load.estimate_utilization(run.load, idle_ms)
        known_slowdown = interference_model.slowdown(long_running_image, shares)
        step_load = load_tracker.undisturbed_load(
            now, run.task, self.worker.record.id
        )
        is_settled = now - self._paced_at > PACE_SETTLE_SECONDS
        is_serving = run.progress_percent >= 100
        if step_load is not None and step_load > MIN_STEP_LOAD and is_serving:
            rounding = idle_ms / run.load**2 * ROUNDING_MS / step_load
            noise = math.hypot(interference_models.NOISE, 1.4 * rounding)
            slowdown = utilization / step_load - 1
            is_queueing = run.load > QUEUEING_RATIO * target_ms
            if self.owner.colocation is not None:
                # Paces that follow the load are high where tail latencies are
                # low, and their rounding would count as interference.
                is_settled &= noise < MAX_NOISE
            if is_settled and (slowdown > known_slowdown or not is_queueing):
                interference_model.learn(
                    long_running_image, shares, slowdown, noise
                )
        if is_serving:
            load_tracker.record(
                run.task,
                self.worker.record.id,
                utilization,
                known_slowdown,
                now,
            )
        forecast = load_tracker.forecast(run.task, now)
        self.worker.neighbours[run.task[:3]] = worker_state.Neighbour(
            long_running_image, idle_ms / target_ms, forecast
        )
        soon = forecast.soon
        is_unexplained = (
            step_load is not None
            and utilization
            > UNEXPLAINED_FACTOR * step_load * (1 + known_slowdown)
            + UNEXPLAINED_OFFSET
        )
        return pacing.LongRunningTask(
            long_running_image,
            idle_ms / target_ms,
            max(soon, utilization / (1 + known_slowdown))
            if is_unexplained
            else soon,
            self._over_seconds(run, now),
            is_unexplained,
        )

    def _over_seconds(self, run: run_state.Run, now: float) -> float:
        """Return for how many seconds a tail latency has missed its target."""
        if run.load < run.step.target_ms:
            self._over_since.pop(run.task, None)
            return 0.0
        since = self._over_since.setdefault(run.task, now)
        return max(now - since, 0.001)

    async def _set_pace(
        self, run: run_state.Run, percent: int, reason: str
    ) -> bool:
        """Send a run's pace to the worker, unless it is known to be set.

        An order without an answer may be carried out late, after newer orders,
        so the pace is repeated until that can no longer happen.

        Args:
            run: The run.
            percent: The pace.
            reason: Why it is set, for the counter of orders.

        Returns:
            False if an order was sent and not answered.
        """
        now = leases.steady_seconds()
        changes_pace = run.pace_percent != percent
        if not changes_pace and not _must_repeat(run, now):
            return True
        self.owner.metrics_registry.count("pace_orders", reason=reason)
        result = await self.worker.client.pace(
            run.order(), percent, self.owner.token
        )
        verdict = result.verdict
        answered = verdict != worker_client.Verdict.UNANSWERED
        if verdict == worker_client.Verdict.DONE:
            run.pace_percent = percent
            run.pace_told_at = now
        elif not answered:
            run.late_pace_until = (
                leases.steady_seconds() + worker_state.LATE_ORDER_SECONDS
            )
            if changes_pace:
                run.pace_percent = run_state.UNKNOWN_PACE
        else:
            if verdict == worker_client.Verdict.FENCED:
                self.owner.fenced(self.worker)
            return True
        if changes_pace:
            self._paced_at = leases.steady_seconds()
        return answered


def _plain_order(
    run: run_state.Run, percent: int
) -> pace_orders.PaceOrder | None:
    """Return the order of a pace that differs enough from the last one."""
    unknown = run.pace_percent == run_state.UNKNOWN_PACE
    if (
        unknown
        or percent in (0, 100)
        or abs(percent - run.pace_percent) >= PACE_STEP_PERCENT
    ):
        reason = "cut" if percent < run.pace_percent else "rise"
        return pace_orders.PaceOrder(percent, "unknown" if unknown else reason)
    return None


def _must_repeat(run: run_state.Run, now: float) -> bool:
    """Return whether an unchanged pace is to be sent again at a time."""
    if not run.late_pace_possible():
        return False
    is_last = now > run.late_pace_until
    return is_last or now >= run.pace_told_at + PACE_REPEAT_SECONDS
