"""Order of waiting batch work by what is left to do of its jobs.

It addresses a burst of batch jobs above capacity, in which an order by slack
gives each job a share, and all become late together.
"""

from collections.abc import Mapping, Sequence
import functools
import math

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import ranking
from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.forecasts import forecast
from turmerichall.dispatch.waiting_order import batch_rank
from turmerichall.dispatch.waiting_order import order
from turmerichall.dispatch.waiting_order import remainder as remainders
from turmerichall.dispatch.waiting_order import slack_order
from turmerichall.dispatch.waiting_order import slots
from turmerichall.dispatch.waiting_order import starvation
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import state as states
from turmerichall.telemetry import lightweight_metrics

__all__ = ["RemainingWorkOrder"]

CLASS_NAMES = {
    batch_rank.STARVED_CLASS: "starved",
    batch_rank.ON_TIME_CLASS: "on_time",
    batch_rank.LATE_CLASS: "late",
    batch_rank.WORTHLESS_CLASS: "worthless",
}
# Time for which the estimate of a job is kept while none of its tasks ends.
ESTIMATE_SECONDS = 1.0
# Minimum time between two log lines with the number of groups by class.
LOG_INTERVAL_SECONDS = 5.0


class _Estimate:
    """Estimate of one occurrence of a job.

    Attributes:
        remainder: What is left to do.
        made_at: Time of the estimate on the steady clock.
        done: Number of its tasks that were done then.
        seen_round: Number of the latest round in which it had waiting tasks.
    """

    __slots__ = ("done", "made_at", "remainder", "seen_round")

    def __init__(self) -> None:
        self.remainder = remainders.Remainder(0.0, 0.0, 1.0, 0)
        self.made_at = -math.inf
        self.done = 0
        self.seen_round = 0


class RemainingWorkOrder:
    """An `order.WaitingOrder` by the remaining work of batch jobs.

    Urgent and long-running tasks keep their ranks of `ranking.rank`.  Estimates
    are in memory only: a new leader makes them from the replicated state, and
    counts the waiting time of jobs from its first round.

    Attributes:
        queue_state: The replicated state.
        forecaster: Forecasts of run times.
        workers: Workers by id.
        class_counts: Number of groups of batch tasks by class, in the latest
            round.
    """

    def __init__(
        self,
        queue_state: states.QueueState,
        forecaster: forecast.Forecaster,
        workers: Mapping[str, worker_state.Worker],
        log: link.Log,
    ):
        self.queue_state = queue_state
        self.forecaster = forecaster
        self.workers = workers
        self.class_counts = dict.fromkeys(CLASS_NAMES, 0)
        self._slack_order = slack_order.SlackOrder(queue_state)
        self._log = log
        self._round = 0
        self._estimates: dict[starvation.JobName, _Estimate] = {}
        self._slots = slots.ServiceSlots()
        self._turns = starvation.Turns()
        self._logged_at = -math.inf
        if forecaster.metrics_registry is not None:
            self._register_gauges(forecaster.metrics_registry)

    def _register_gauges(
        self, metrics_registry: lightweight_metrics.MetricsRegistry
    ) -> None:
        """Register the gauges of this order; those of an earlier term end."""
        add_gauge = metrics_registry.add_gauge
        add_gauge(
            "waiting_groups_on_time",
            "Groups of waiting batch tasks whose job can be on time.",
            lambda: self.class_counts[batch_rank.ON_TIME_CLASS],
        )
        add_gauge(
            "waiting_groups_late",
            "Groups of waiting batch tasks whose job can only be late.",
            lambda: self.class_counts[batch_rank.LATE_CLASS],
        )
        add_gauge(
            "waiting_groups_worthless",
            "Groups of waiting batch tasks whose job can only end too late to "
            "have any value.",
            lambda: self.class_counts[batch_rank.WORTHLESS_CLASS],
        )
        add_gauge(
            "waiting_groups_starved",
            "Groups of waiting batch tasks that go first because their job has "
            "waited for too long.",
            lambda: self.class_counts[batch_rank.STARVED_CLASS],
        )

    def ranked(
        self, groups: Sequence[backlogs.TaskGroup], now: float, now_ms: int
    ) -> list[order.RankedGroup]:
        """See `order.WaitingOrder`."""
        self._round += 1
        self._slots.count(self.workers.values(), now)
        self._turns.begin_round()
        rows: list[batch_rank.BatchFactors | order.Rank] = []
        for group in groups:
            factors = self._slack_order.factors(group, now, now_ms)
            if factors.lasting or factors.priority == 0:
                rows.append(ranking.rank(factors))
            else:
                rows.append(self._batch_factors(group, factors, now))
        if self._turns.end_round(now):
            self._log_turn(now)
        self._forget_absent()
        ranked: list[order.RankedGroup] = []
        counts = dict.fromkeys(CLASS_NAMES, 0)
        for number, (group, row) in enumerate(zip(groups, rows)):
            if isinstance(row, batch_rank.BatchFactors):
                if group.name[:2] == self._turns.holder:
                    row = row._replace(starved=True)
                row = batch_rank.rank_batch(row)
                counts[row[1]] += 1
            ranked.append(order.RankedGroup(row, number, group))
        ranked.sort()
        self.class_counts = counts
        if now - self._logged_at >= LOG_INTERVAL_SECONDS:
            self._log_counts(ranked, now)
        return ranked

    def _batch_factors(
        self, group: backlogs.TaskGroup, factors: ranking.Factors, now: float
    ) -> batch_rank.BatchFactors:
        """Return the factors of a group of batch tasks; record its wait."""
        name = group.name[:2]
        estimate = self._estimate(group, now)
        remainder = estimate.remainder
        self._turns.record(
            name,
            remainder.running > 0,
            starvation.wait_limit(factors.objective_seconds),
            now,
        )
        return batch_rank.BatchFactors(
            factors.priority,
            factors.age_seconds,
            factors.objective_seconds,
            remainder.seconds_after(now - estimate.made_at),
            remainder.fraction,
        )

    def _estimate(self, group: backlogs.TaskGroup, now: float) -> _Estimate:
        """Return the estimate of a group's job, made anew if it is old."""
        name = group.name[:2]
        estimate = self._estimates.get(name)
        if estimate is None:
            estimate = self._estimates[name] = _Estimate()
        elif estimate.seen_round == self._round:
            return estimate
        estimate.seen_round = self._round
        done = 0
        for progress in group.job.steps(group.name.occurrence):
            done += progress.done
        if (
            done != estimate.done
            or now - estimate.made_at >= ESTIMATE_SECONDS
            # A turn ends as soon as a task of the job is running.
            or name == self._turns.holder
        ):
            estimate.remainder = remainders.remainder(
                group.job,
                group.name.occurrence,
                self.forecaster,
                self._find_run,
                functools.partial(self._slots.slots, group.queue.service),
                now,
            )
            estimate.made_at = now
            estimate.done = done
        return estimate

    def _find_run(
        self, task: changes.TaskName, worker_id: str
    ) -> run_state.Run | None:
        worker = self.workers.get(worker_id)
        return worker.runs.get(task) if worker else None

    def _forget_absent(self) -> None:
        """Forget the estimates of jobs that have no waiting tasks."""
        for name in [
            name
            for name, estimate in self._estimates.items()
            if estimate.seen_round != self._round
        ]:
            del self._estimates[name]

    def _log_turn(self, now: float) -> None:
        """Log which job goes first because it has waited for too long."""
        job = self._turns.holder
        if job is not None:
            self._log.info(
                "starved job goes first",
                job=job[0],
                occurrence=job[1],
                waiting_seconds=round(self._turns.waited_seconds(job, now), 1),
            )

    def _log_counts(
        self, ranked: Sequence[order.RankedGroup], now: float
    ) -> None:
        """Log how many groups are in each class, and what comes first."""
        first = next(
            (row for row in ranked if row.group.name[:2] in self._estimates),
            None,
        )
        if first is None:
            return
        self._logged_at = now
        remainder = self._estimates[first.group.name[:2]].remainder
        counts = {
            name: self.class_counts[number]
            for number, name in CLASS_NAMES.items()
        }
        self._log.info(
            "order of waiting batch jobs",
            **counts,
            first=first.group.job.id,
            first_class=CLASS_NAMES[first.rank[1]],
            remaining_seconds=round(remainder.seconds, 2),
            remaining_share=round(remainder.fraction, 3),
        )
