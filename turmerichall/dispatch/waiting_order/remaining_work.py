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
        factors: Factors of its rank.
        rank: Rank of its groups.
        good_until: Time on the steady clock until which the rank holds if no
            task ends.
        done: Number of tasks that were done when it was made.
        seen_round: Number of the latest round in which it had waiting tasks.
    """

    __slots__ = (
        "done",
        "factors",
        "good_until",
        "rank",
        "remainder",
        "seen_round",
    )

    def __init__(
        self,
        remainder: remainders.Remainder,
        factors: batch_rank.BatchFactors,
        done: int,
    ):
        self.remainder = remainder
        self.factors = factors
        self.rank = batch_rank.rank_batch(factors)
        self.good_until = min(
            factors.now + ESTIMATE_SECONDS,
            batch_rank.class_ends_at(factors, remainder.waiting_seconds),
        )
        self.done = done
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
        queues = self.queue_state.queues
        ranked: list[order.RankedGroup] = []
        for number, group in enumerate(groups):
            if group.step.lasting or not queues[group.job.queue].priority:
                rank = ranking.rank(
                    self._slack_order.factors(group, now, now_ms)
                )
            else:
                rank = self._estimate(group, now, now_ms).rank
            ranked.append(order.RankedGroup(rank, number, group))
        self._forget_absent()
        if self._turns.update(now):
            self._log_turn(now)
        if self._turns.holder is not None:
            self._rank_starved(ranked, self._turns.holder)
        ranked.sort()
        self._count_classes(ranked)
        if now - self._logged_at >= LOG_INTERVAL_SECONDS:
            self._log_counts(ranked, now)
        return ranked

    def _rank_starved(
        self, ranked: list[order.RankedGroup], holder: starvation.JobName
    ) -> None:
        """Put the groups of the job that has a turn first."""
        for number, row in enumerate(ranked):
            if row.group.name[:2] == holder:
                estimate = self._estimates.get(holder)
                if estimate is not None:
                    factors = estimate.factors._replace(starved=True)
                    rank = batch_rank.rank_batch(factors)
                    ranked[number] = row._replace(rank=rank)

    def _estimate(
        self, group: backlogs.TaskGroup, now: float, now_ms: int
    ) -> _Estimate:
        """Return the estimate of a group's job, made anew if it is old."""
        name = group.name[:2]
        group.queue = self.queue_state.queues[group.job.queue]
        done = 0
        for progress in group.job.steps(group.name.occurrence):
            done += progress.done
        estimate = self._estimates.get(name)
        if (
            estimate is None
            or done != estimate.done
            or now >= estimate.good_until
            # A turn ends as soon as a task of the job is running.
            or name == self._turns.holder
        ):
            factors = self._slack_order.factors(group, now, now_ms)
            remainder = remainders.remainder(
                group.job,
                group.name.occurrence,
                self.forecaster,
                self._find_run,
                functools.partial(self._slots.room, group.queue.service),
                now,
            )
            self._turns.record(
                name,
                remainder.running > 0,
                starvation.wait_limit(factors.objective_seconds),
                now,
            )
            estimate = self._estimates[name] = _Estimate(
                remainder,
                batch_rank.BatchFactors(
                    now,
                    factors.priority,
                    factors.age_seconds,
                    factors.objective_seconds,
                    remainder.seconds,
                    remainder.fraction,
                ),
                done,
            )
        estimate.seen_round = self._round
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
            self._turns.forget(name)

    def _count_classes(self, ranked: Sequence[order.RankedGroup]) -> None:
        """Count the groups of batch tasks by class."""
        counts = dict.fromkeys(CLASS_NAMES, 0)
        for rank, _, group in ranked:
            if rank[0] and not group.step.lasting:
                counts[rank[1]] += 1
        self.class_counts = counts

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
