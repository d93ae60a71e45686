"""Order of waiting batch work by what is left to do of its jobs.

It addresses a burst of batch jobs above capacity, in which an order by slack
gives each job a share, and all become late together.
"""

from collections.abc import Mapping, Sequence
import functools
import math
from typing import NamedTuple

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import ranking
from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.forecasts import forecast
from turmerichall.dispatch.waiting_order import order
from turmerichall.dispatch.waiting_order import remainder as remainders
from turmerichall.dispatch.waiting_order import slack_order
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands
from turmerichall.queues import state as states
from turmerichall.telemetry import lightweight_metrics

__all__ = ["BatchFactors", "RemainingWorkOrder", "rank_batch"]

# Classes of `ranking.rank`, of which this order fills some.
STARVED_CLASS = 0
ON_TIME_CLASS = 2
LATE_CLASS = 5
WORTHLESS_CLASS = 6
CLASS_NAMES = {
    STARVED_CLASS: "starved",
    ON_TIME_CLASS: "on_time",
    LATE_CLASS: "late",
    WORTHLESS_CLASS: "worthless",
}

# Fractions of remaining work are compared in steps of 1 / FRACTION_STEPS, so
# that among jobs that are about as far, the second criterion decides.
FRACTION_STEPS = 20
# Limit of the second criterion in seconds; more than the life of any job.
MAX_SECONDS = 1e6
# Minimum time for which a job without a running task waits until its next task
# goes first.  The bound is otherwise the time after which the job has no value:
# an earlier one would take room from jobs that can still earn theirs.
MIN_STARVED_SECONDS = 10.0
# Minimum time between two jobs that go first because they are starved; without
# it, the jobs that a burst left behind would all go first together.
TURN_INTERVAL_SECONDS = 1.0
# Time for which a starved job goes first if it still finds no room; longer than
# a task of a batch job runs.  Others have their turns then, so that a job that
# fits nowhere doesn't keep them waiting.
TURN_SECONDS = 3.0
# Time for which the estimate of a job is kept while none of its tasks ends.
ESTIMATE_SECONDS = 1.0
# Time for which the number of tasks that a service runs at once is kept.
SLOTS_SECONDS = 1.0
# Minimum time between two log lines of the same kind.
LOG_INTERVAL_SECONDS = 5.0


# Job and occurrence.
_JobName = tuple[str, int]


class BatchFactors(NamedTuple):
    """Factors that determine the rank of a group of waiting batch tasks.

    Attributes:
        priority: Priority of its queue; 0 is the highest.
        age_seconds: Age of the job.
        objective_seconds: Time within which the job should be done.
        remaining_seconds: Forecast time of all that is left to do of the job.
        fraction: Share of the job's work that is not done.
        starved: Whether the job goes first because it has waited for too long.
    """

    priority: int
    age_seconds: float
    objective_seconds: float
    remaining_seconds: float
    fraction: float
    starved: bool = False


def rank_batch(factors: BatchFactors) -> order.Rank:
    """Return a sort key; the group with the lowest key is placed first.

    Examples:
        >>> new = BatchFactors(2, 0.0, 8.0, 4.0, 1.0)
        >>> nearly_done = new._replace(age_seconds=3.0, fraction=0.1)
        >>> tight = new._replace(age_seconds=3.0)
        >>> late = new._replace(age_seconds=5.0, fraction=0.1)
        >>> late_new = new._replace(age_seconds=9.0)
        >>> worthless = new._replace(age_seconds=21.0, fraction=0.1)
        >>> starved = worthless._replace(starved=True)
        >>> groups = [late_new, new, worthless, nearly_done, starved, late,
        ...     tight]
        >>> sorted(groups, key=rank_batch) == [
        ...     starved, nearly_done, tight, new, late, late_new, worthless]
        True
    """
    priority, age, objective, remaining, fraction, starved = factors
    if starved:
        return priority, STARVED_CLASS, -age
    slack = objective - age - remaining
    steps = math.ceil(fraction * FRACTION_STEPS) * 2 * MAX_SECONDS
    if slack >= 0:
        return priority, ON_TIME_CLASS, steps + min(slack, MAX_SECONDS)
    has_value = slack + (ranking.LATE_FACTOR - 1.0) * objective >= 0
    late_class = LATE_CLASS if has_value else WORTHLESS_CLASS
    return priority, late_class, steps - min(age, MAX_SECONDS)


class _JobEntry:
    """What is known of one occurrence of a job.

    Attributes:
        remainder: What is left to do.
        estimated_at: Time of the estimate on the steady clock.
        done: Number of its tasks that were done then.
        served_at: Time at which it last had a running task, or was first seen.
        seen_round: Number of the latest round in which it had waiting tasks.
    """

    __slots__ = (
        "done",
        "estimated_at",
        "remainder",
        "seen_round",
        "served_at",
    )

    def __init__(self, now: float):
        self.remainder = remainders.Remainder(0.0, 0.0, 1.0, 0)
        self.estimated_at = -math.inf
        self.done = 0
        self.served_at = now
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
        self._entries: dict[_JobName, _JobEntry] = {}
        # Processors that tasks can have, by service and whether best-effort,
        # and the number of workers of a service.
        self._obtainable_cpu: dict[tuple[str, bool], float] = {}
        self._worker_counts: dict[str, int] = {}
        self._slots_counted_at = -math.inf
        # The starved job that goes first, and when its turn began.
        self._turn: _JobName | None = None
        self._turn_began_at = -math.inf
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
            lambda: self.class_counts[ON_TIME_CLASS],
        )
        add_gauge(
            "waiting_groups_late",
            "Groups of waiting batch tasks whose job can only be late.",
            lambda: self.class_counts[LATE_CLASS],
        )
        add_gauge(
            "waiting_groups_worthless",
            "Groups of waiting batch tasks whose job can only end too late to "
            "have any value.",
            lambda: self.class_counts[WORTHLESS_CLASS],
        )
        add_gauge(
            "waiting_groups_starved",
            "Groups of waiting batch tasks that go first because their job has "
            "waited for too long.",
            lambda: self.class_counts[STARVED_CLASS],
        )

    def ranked(
        self, groups: Sequence[backlogs.TaskGroup], now: float, now_ms: int
    ) -> list[order.RankedGroup]:
        """See `order.WaitingOrder`."""
        self._round += 1
        if now - self._slots_counted_at >= SLOTS_SECONDS:
            self._count_slots(now)
        rows: list[tuple[backlogs.TaskGroup, BatchFactors | order.Rank]] = []
        longest = 0.0
        candidate: _JobName | None = None
        for group in groups:
            factors = self._slack_order.factors(group, now, now_ms)
            if factors.lasting or factors.priority == 0:
                rows.append((group, ranking.rank(factors)))
                continue
            entry = self._entry(group, now)
            rows.append(
                (
                    group,
                    BatchFactors(
                        factors.priority,
                        factors.age_seconds,
                        factors.objective_seconds,
                        entry.remainder.seconds_after(now - entry.estimated_at),
                        entry.remainder.fraction,
                    ),
                )
            )
            excess = now - entry.served_at - _starved_after(factors)
            if excess > longest:
                longest = excess
                candidate = group.name[:2]
        self._forget_absent()
        self._give_turn(candidate, now)
        ranked: list[order.RankedGroup] = []
        counts = dict.fromkeys(CLASS_NAMES, 0)
        for number, (group, row) in enumerate(rows):
            if isinstance(row, BatchFactors):
                if group.name[:2] == self._turn:
                    row = row._replace(starved=True)
                row = rank_batch(row)
                counts[row[1]] += 1
            ranked.append(order.RankedGroup(row, number, group))
        ranked.sort()
        self.class_counts = counts
        self._log_counts(ranked, now)
        return ranked

    def _entry(self, group: backlogs.TaskGroup, now: float) -> _JobEntry:
        """Return what is known of a group's job, estimated lately."""
        name = group.name[:2]
        entry = self._entries.get(name)
        if entry is None:
            entry = self._entries[name] = _JobEntry(now)
        elif entry.seen_round == self._round:
            return entry
        entry.seen_round = self._round
        done = 0
        for progress in group.job.steps(group.name.occurrence):
            done += progress.done
        if done != entry.done or now - entry.estimated_at >= ESTIMATE_SECONDS:
            entry.remainder = remainders.remainder(
                group.job,
                group.name.occurrence,
                self.forecaster,
                self._find_run,
                functools.partial(self._slots, group.queue.service),
                now,
            )
            entry.estimated_at = now
            entry.done = done
            if entry.remainder.running:
                entry.served_at = now
        return entry

    def _find_run(
        self, task: changes.TaskName, worker_id: str
    ) -> run_state.Run | None:
        worker = self.workers.get(worker_id)
        return worker.runs.get(task) if worker else None

    def _forget_absent(self) -> None:
        """Forget the jobs that have no waiting tasks."""
        for name in [
            name
            for name, entry in self._entries.items()
            if entry.seen_round != self._round
        ]:
            del self._entries[name]

    def _count_slots(self, now: float) -> None:
        """Count the processors that batch tasks can have, by service."""
        self._slots_counted_at = now
        self._obtainable_cpu.clear()
        self._worker_counts.clear()
        for worker in self.workers.values():
            if worker.draining or worker.evacuated or not worker.in_touch:
                continue
            service = worker.record.service
            self._worker_counts[service] = (
                self._worker_counts.get(service, 0) + 1
            )
            for best_effort in (False, True):
                key = (service, best_effort)
                self._obtainable_cpu[key] = self._obtainable_cpu.get(
                    key, 0.0
                ) + worker.obtainable_cpu(best_effort)

    def _slots(self, service: str, step: demands.StepDemand) -> float:
        """Return how many tasks of a step the workers run at the same time."""
        workers = self._worker_counts.get(service, 0)
        if not workers or not step.cpu:
            return math.inf
        slots = self._obtainable_cpu[(service, step.fills)] / step.cpu
        if step.max_per_worker:
            return min(slots, step.max_per_worker * workers)
        return slots

    def _give_turn(self, candidate: _JobName | None, now: float) -> None:
        """Choose the starved job that goes first.

        Args:
            candidate: The job that has waited longest beyond its bound; None if
                none has.
            now: Current time on the steady clock.
        """
        turn_seconds = now - self._turn_began_at
        if self._turn is not None:
            entry = self._entries.get(self._turn)
            if entry is None or entry.served_at > self._turn_began_at:
                self._turn = None
            elif turn_seconds < TURN_SECONDS:
                return
            else:
                entry.served_at = now
                self._turn = None
                return
        if candidate is None or turn_seconds < TURN_INTERVAL_SECONDS:
            return
        self._turn = candidate
        self._turn_began_at = now
        self._log.info(
            "starved job goes first",
            job=candidate[0],
            occurrence=candidate[1],
            waiting_seconds=round(now - self._entries[candidate].served_at, 1),
        )

    def _log_counts(
        self, ranked: Sequence[order.RankedGroup], now: float
    ) -> None:
        """Log now and then how many groups are in each class."""
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        first = next(
            (row for row in ranked if row.group.name[:2] in self._entries),
            None,
        )
        if first is None:
            return
        self._logged_at = now
        remainder = self._entries[first.group.name[:2]].remainder
        self._log.info(
            "order of waiting batch jobs",
            **{
                name: self.class_counts[number]
                for number, name in CLASS_NAMES.items()
            },
            first=first.group.job.id,
            first_class=CLASS_NAMES[first.rank[1]],
            remaining_seconds=round(remainder.seconds, 2),
            remaining_share=round(remainder.fraction, 3),
        )


def _starved_after(factors: ranking.Factors) -> float:
    """Return for how long a job may wait with no task running, in seconds."""
    return max(
        ranking.LATE_FACTOR * factors.objective_seconds, MIN_STARVED_SECONDS
    )
