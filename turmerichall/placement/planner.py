"""The planner, which decides what tasks to start, throttle and evict.

It reads no clock, draws no random numbers and does no input or output, so that
the daemon and the benchmark run the same code.
"""

import itertools

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.placement import decisions
from turmerichall.placement import feasibility
from turmerichall.placement import finish
from turmerichall.placement import policy as policies
from turmerichall.placement import preemption
from turmerichall.placement import priority as priorities
from turmerichall.placement import quotas
from turmerichall.placement import scheduling_cycle
from turmerichall.placement import selection
from turmerichall.placement import slack
from turmerichall.placement import spare
from turmerichall.placement import views
from turmerichall.placement import waiting
from turmerichall.placement import weights as weighing
from turmerichall.placement import worker_state
from turmerichall.state import change as changes

__all__ = ["Planner"]

MAX_STARTS = 64
# Maximum number of waiting tasks of one `waiting.Bucket` that other tasks are
# evicted for in one scheduling cycle.
MAX_PREEMPTIONS = 16


class Planner:
    """Planner that places tasks on the workers that were added to it.

    A task occupies its allocation from the decision to start it until
    `record_end`, also while it is being evicted.

    Attributes:
        policy: Placement policy.
        fleet: State of the workers, with the learnt estimates.
        waiting: Queue of waiting tasks.
        quotas: Quotas of teams and their use.
        selector: Selects the worker of a task.
        preemptor: Evicts tasks for waiting tasks of higher priority.
        spare_selector: Selects a spare worker for services that move.
        finish: Estimates when jobs finish.
        resubmitted: Tasks to queue once the end of their attempt is recorded.
        unschedulable: Waiting tasks that fit on no known worker.
        reported_waits: Job and reason of the last reported `WaitDecision`, by
            bucket.
        now: Latest time passed to any method, in seconds on the caller's
            monotonic clock.
    """

    def __init__(
        self,
        weights: weighing.Weights = weighing.BALANCED,
        policy: policies.Policy | None = None,
    ) -> None:
        self.policy = policy or policies.named(policies.CURRENT, weights)
        self.fleet = self.policy.fleet
        self.waiting = waiting.WaitingTasks()
        self.quotas = quotas.Quotas()
        self.selector = selection.WorkerSelector(self.policy, self.quotas)
        self.preemptor = preemption.Preemptor(self.policy, self.quotas)
        self.spare_selector = spare.SpareWorkerSelector(self.fleet)
        self.finish = finish.FinishEstimator(self.fleet, self.waiting)
        self.resubmitted: dict[str, views.TaskView] = {}
        self.unschedulable = feasibility.UnschedulableTasks()
        self.reported_waits: dict[waiting.BucketKey, tuple[str, str]] = {}
        self.now = 0.0

    def put_worker(self, view: views.WorkerView) -> None:
        """Add a worker or apply its new announcement."""
        state = self.fleet.workers.get(view.name)
        previous = None if state is None else state.view.capacity
        self.fleet.put_worker(view, self.now)
        if previous != view.capacity:
            self._sum_capacity()
            for task in self.unschedulable.reset():
                self.waiting.put(task)

    def drop_worker(self, name: str) -> None:
        """Place no more tasks on a worker.

        Its allocations remain until `record_end`.
        """
        self.fleet.drop_worker(name)
        self._sum_capacity()

    def put_waiting(self, task: views.TaskView) -> None:
        """Queue a task, at once or when its running attempt has ended."""
        if task.task_id in self.fleet.worker_of:
            self.resubmitted[task.task_id] = task
            return
        self.unschedulable.tasks.pop(task.task_id, None)
        self.fleet.record_accelerator_task(task)
        if task.service:
            self.fleet.add_service_task(task)
        self.waiting.put(task)

    def drop_waiting(self, task_id: str) -> None:
        """Remove a waiting task, in a time independent of how many wait."""
        self.resubmitted.pop(task_id, None)
        self.unschedulable.tasks.pop(task_id, None)
        self.fleet.reservations.by_task.pop(task_id, None)
        task = self.waiting.drop(task_id)
        if task is not None and task.service:
            self.fleet.remove_service_task(task)

    def put_running(self, task: views.TaskView, worker: str, at: float) -> None:
        """Add a running task that another planner started.

        If this planner decided to start the same task on another worker and the
        end of that attempt is not recorded, that start counts as refused.

        Args:
            task: The task with the number of the running attempt.
            worker: Worker that runs it.
            at: Time of its start or, if that is unknown, the present time.
        """
        previous = self.fleet.worker_of.get(task.task_id)
        if previous == worker:
            self.record_start(task.task_id, worker, at)
            return
        if previous is not None:
            self.record_end(task.task_id, previous, changes.Ending.REFUSED, at)
        self.drop_waiting(task.task_id)
        allocation = self.fleet.allocate(task, worker, task.attempt, at)
        self._count(allocation, 1)
        self.fleet.record_start(allocation, at)

    def record_start(self, task_id: str, worker: str, at: float) -> None:
        """Record that a worker has started a task."""
        self.now = max(self.now, at)
        allocation = self.fleet.allocation(task_id, worker)
        if allocation is not None:
            self.fleet.record_start(allocation, at)

    def record_end(
        self, task_id: str, worker: str, ending: changes.Ending, at: float
    ) -> None:
        """Record the end of an attempt and release its allocation.

        A task that is to run again is queued by `put_waiting`, called before or
        after this method.

        Args:
            task_id: Id of the task.
            worker: Worker that the task was placed on.
            ending: How it ended; `REFUSED` if the start was not carried out.
            at: Time of the end.
        """
        self.now = max(self.now, at)
        allocation = self.fleet.release(task_id, worker, at)
        if allocation is None:
            return
        self._count(allocation, -1)
        self._record_outcome(allocation, ending, at)
        again = self.resubmitted.pop(task_id, None)
        if again is not None:
            self.waiting.put(again)
        elif allocation.task.service and ending == changes.Ending.CANCELLED:
            self.fleet.remove_service_task(allocation.task)

    def record_eviction_failure(self, task_id: str, worker: str) -> None:
        """Record that the eviction of a task was not carried out."""
        allocation = self.fleet.allocation(task_id, worker)
        if allocation is not None:
            allocation.evicting_at = None

    def set_quota(self, team: str, limit: resources.Resources | None) -> None:
        """Set the quota of a team's batch tasks; None removes the limit."""
        self.quotas.set_limit(team, limit)

    def put_usage(self, report: views.UsageReport) -> None:
        """Apply a usage report, which may be late or out of order."""
        self.fleet.put_usage(report, max(self.now, report.measured_at))

    def estimate_finish(
        self, job_id: str, now: float
    ) -> decisions.FinishEstimate:
        """Estimate when the last task of a job finishes."""
        return self.finish.estimate(job_id, now)

    def plan(
        self, now: float, wall_now: float, max_starts: int = MAX_STARTS
    ) -> decisions.Plan:
        """Run a scheduling cycle.

        Args:
            now: The caller's monotonic clock, in seconds.
            wall_now: Unix time.
            max_starts: Maximum number of starts.

        Returns:
            The decisions; the planner assumes that they are carried out, until
            it is told otherwise.
        """
        self.now = max(self.now, now)
        throttles = []
        evictions = []
        for decision in self.policy.evictor.decide(now):
            self._record_reason(decision)
            if isinstance(decision, decisions.ThrottleDecision):
                throttles.append(decision)
            else:
                evictions.append(decision)
        known_workers = list(self.fleet.workers)
        self.fleet.rankings.invalidate_next(known_workers, now)
        worker_views = [w.view for w in self.fleet.workers.values()]
        waits = self.unschedulable.collect(self.waiting, worker_views, now)
        self.fleet.margin_share = slack.margin_share(
            self.waiting, self.fleet, wall_now
        )
        self.fleet.reservations.expire(now)
        if self.policy.preempts:
            self.spare_selector.update(now)
        cycle = scheduling_cycle.SchedulingCycle(
            self.waiting, self.selector, now, wall_now, self._headroom()
        )
        cycle.run(max_starts)
        for refused in cycle.refused:
            waits += self._report_wait(refused)
            for eviction in self._preempt(refused, now):
                self._record_reason(eviction)
                evictions.append(eviction)
        self._trim_reported_waits()
        return decisions.Plan(
            tuple(cycle.starts),
            tuple(throttles),
            tuple(evictions),
            tuple(waits),
        )

    def _record_reason(
        self, decision: decisions.ThrottleDecision | decisions.EvictDecision
    ) -> None:
        allocation = self.fleet.allocation(decision.task_id, decision.worker)
        if allocation is not None:
            allocation.reason = decision.reason

    def _preempt(
        self, refused: scheduling_cycle.RefusedTask, now: float
    ) -> list[decisions.EvictDecision]:
        if not self.policy.preempts:
            return []
        if refused.refusal.reason != outcomes.RefusalReason.NO_CAPACITY:
            return []
        if refused.priority.priority_class > priorities.PriorityClass.AT_RISK:
            return []
        tasks = [refused.task]
        if waiting.is_high_priority(refused.task):
            bucket_tasks = self.waiting.buckets[refused.key].live.values()
            waits = itertools.islice(bucket_tasks, MAX_PREEMPTIONS)
            tasks = [task for _, task in waits]
        made = []
        for task in tasks:
            made += self.preemptor.preempt(task, now)
        return made

    def _headroom(self) -> float:
        """Return how many processors batch tasks may use in this cycle.

        As many processors are kept free in total as the services of any one
        worker use, so that they can be placed again at once if that worker is
        lost.  Free processors of the spare worker count towards this reserve.
        """
        if not self.policy.preempts:
            return float("inf")
        free = 0.0
        kept = 0.0
        largest = 0.0
        for state in self.fleet.workers.values():
            largest = max(largest, state.service_processors)
            if not state.takes_work():
                continue
            if state.view.name == self.fleet.spare:
                kept = state.free.processors
            else:
                free += max(0.0, state.free.processors)
        return free - max(0.0, largest - kept)

    def _report_wait(
        self, refused: scheduling_cycle.RefusedTask
    ) -> list[decisions.WaitDecision]:
        task_id = refused.task.task_id
        reason = refused.refusal.reason
        report = (views.job_id_of(task_id), reason.value)
        if self.reported_waits.get(refused.key) == report:
            return []
        self.reported_waits[refused.key] = report
        detail = refused.refusal.detail
        return [decisions.WaitDecision(task_id, reason, detail)]

    def _trim_reported_waits(self) -> None:
        if len(self.reported_waits) > 2 * len(self.waiting.buckets) + 100:
            self.reported_waits = {
                key: report
                for key, report in self.reported_waits.items()
                if key in self.waiting.buckets
            }

    def _record_outcome(
        self,
        allocation: worker_state.Allocation,
        ending: changes.Ending,
        at: float,
    ) -> None:
        task = allocation.task
        health = self.fleet.health
        if ending == changes.Ending.FAILED:
            health.record_failure(allocation.worker, task.task_id, at)
        elif ending == changes.Ending.FINISHED:
            if health.record_success(allocation.worker, task.task_id):
                self.fleet.rankings.invalidate(allocation.worker)
        else:
            health.record_inconclusive_end(allocation.worker, task.task_id)
        started = allocation.started_at
        if ending != changes.Ending.FINISHED or started is None:
            return
        if not task.checkpoint and task.run_seconds > 0:
            ratio = (at - started) / task.run_seconds
            self.fleet.learnt.stats_of(task.template).add_run_time(ratio)

    def _count(self, allocation: worker_state.Allocation, sign: int) -> None:
        if allocation.task.service:
            return
        if sign > 0:
            self.quotas.add(allocation.task.team, allocation.task.size)
        else:
            self.quotas.subtract(allocation.task.team, allocation.task.size)

    def _sum_capacity(self) -> None:
        total = resources.ZERO
        self.quotas.shares.clear()
        for state in self.fleet.workers.values():
            total = total.plus(state.view.capacity)
        self.quotas.total = total
