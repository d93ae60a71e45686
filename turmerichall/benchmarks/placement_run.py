"""Simulation of one placement policy in one scenario, in time steps."""

import heapq
import itertools
import math
import random
import time
from typing import Any

from turmerichall.benchmarks import placement_result as results
from turmerichall.benchmarks import placement_scenarios as scenarios
from turmerichall.benchmarks import placement_workers as fake_workers
from turmerichall.placement import decisions
from turmerichall.placement import planner as planners
from turmerichall.placement import views
from turmerichall.state import change as changes

__all__ = ["Simulation"]

REPORT_PERIOD_SECONDS = 10.0
MAX_LAG_SECONDS = 60.0
LEASE_END_SECONDS = 16.0
MAX_FAILURES = 3
# Maximum number of starts in a step: 440 starts a second in steps of 2 s.
MAX_STARTS = 880


class Simulation:
    """A simulation of one planner, its placement authority and its workers.

    Attributes:
        scenario: The scenario.
        planner: The planner under test.
        rng: Source of random delays and noise.
        workers: Fake workers by name.
        event_queue: Heap of future events: time, number, kind and argument.
            An event of kind `x` is handled by the method `_on_x`.
        event_numbers: Numbers of events, by which events of the same time are
            ordered.
        checkpointed_seconds: Work covered by the last checkpoint, by task.
        attempts: Number of starts so far, by task.
        failures: Number of failed attempts, by task.
        cancelled: Ids of cancelled jobs.
        unfinished: Tasks that have not ended, by id.
        unfinished_by_job: Ids of the unfinished tasks, by job.
        metrics: The metrics of the run.
        event_at: Time for which the current event was scheduled.
    """

    def __init__(
        self, scenario: scenarios.Scenario, planner: planners.Planner, seed: int
    ) -> None:
        self.scenario = scenario
        self.planner = planner
        self.rng = random.Random(f"run {seed}")
        self.workers = {
            view.name: fake_workers.FakeWorker(view, scenario.ground_truth)
            for view in scenario.workers
        }
        self.event_queue: list[tuple[float, int, str, Any]] = []
        self.event_numbers = itertools.count()
        self.checkpointed_seconds: dict[str, float] = {}
        self.attempts: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.cancelled: set[str] = set()
        self.unfinished: dict[str, views.TaskView] = {}
        self.unfinished_by_job: dict[str, dict[str, None]] = {}
        self.metrics = results.RunMetrics()
        self.event_at = 0.0
        for name in scenario.bad_workers:
            self.workers[name].fails_all_batch_tasks = True

    def run(self) -> results.RunMetrics:
        """Run the scenario to its end and return its metrics."""
        for team, limit in self.scenario.quotas:
            self.planner.set_quota(team, limit)
        for view in self.scenario.workers:
            self.planner.put_worker(view)
        for event in self.scenario.events:
            self._schedule(event.at, event.what, event)
        now = 0.0
        while now < self.scenario.fleet.seconds:
            self._process_due_events(now)
            self._plan(now)
            self._step_workers(now)
            now += self.scenario.step_seconds
        self.metrics.close(list(self.unfinished.values()), now)
        return self.metrics

    def _schedule(self, at: float, what: str, body: Any) -> None:
        heapq.heappush(
            self.event_queue, (at, next(self.event_numbers), what, body)
        )

    def _process_due_events(self, now: float) -> None:
        while self.event_queue and self.event_queue[0][0] <= now:
            self.event_at, _, what, body = heapq.heappop(self.event_queue)
            getattr(self, f"_on_{what}")(body, now)

    def _remove_unfinished(self, task_id: str) -> views.TaskView | None:
        task = self.unfinished.pop(task_id, None)
        if task is not None:
            del self.unfinished_by_job[views.job_id_of(task_id)][task_id]
        return task

    # Events of the scenario.

    def _on_submit(self, event: scenarios.Event, now: float) -> None:
        for task in event.tasks:
            self.unfinished[task.task_id] = task
            tasks_of_job = self.unfinished_by_job.setdefault(
                views.job_id_of(task.task_id), {}
            )
            tasks_of_job[task.task_id] = None
            self.metrics.record_submission(task, now, self.event_at)
            self.planner.put_waiting(task)
        if event.name:
            self._schedule(now + 300.0, "forecast", event.name)

    def _on_forecast(self, job_id: str, now: float) -> None:
        if self.unfinished_by_job.get(job_id):
            estimate = self.planner.estimate_finish(job_id, now)
            self.metrics.record_forecast(job_id, estimate.at, now)

    def _on_cancel(self, event: scenarios.Event, now: float) -> None:
        self.cancelled.add(event.name)
        for task_id in list(self.unfinished_by_job.get(event.name, {})):
            self.metrics.record_cancellation(task_id)
            self._remove_unfinished(task_id)
            self.planner.drop_waiting(task_id)
            worker = self.planner.fleet.worker_of.get(task_id)
            if worker is not None:
                self._schedule(now + 4.0, "stopped", (task_id, worker))

    def _on_stopped(self, body: tuple[str, str], now: float) -> None:
        task_id, worker = body
        self.workers[worker].remove(task_id)
        ending = changes.Ending.CANCELLED
        self.planner.record_end(task_id, worker, ending, now)

    def _on_load(self, event: scenarios.Event, now: float) -> None:
        del now
        for worker in self.workers.values():
            worker.service_load_factor = event.factor
            worker.slowdowns = None

    def _on_leave(self, event: scenarios.Event, now: float) -> None:
        del now
        worker = self.workers[event.name]
        worker.view = worker.view._replace(leaving=True)
        self.planner.put_worker(worker.view)

    def _on_restart(self, event: scenarios.Event, now: float) -> None:
        self._on_crash(event, now)

    def _on_crash(self, event: scenarios.Event, now: float) -> None:
        worker = self.workers[event.name]
        worker.alive = False
        for running in list(worker.tasks.values()):
            self._record_lost_work(running)
        worker.tasks.clear()
        worker.slowdowns = None
        self._schedule(now + 4.0, "absent", event.name)

    def _on_partition(self, event: scenarios.Event, now: float) -> None:
        """Disconnect a worker; its tasks run until their leases expire."""
        self.workers[event.name].reachable = False
        self._schedule(now + 14.0, "leases_expired", event.name)
        self._schedule(now + 4.0, "absent", event.name)

    def _on_leases_expired(self, name: str, now: float) -> None:
        del now
        worker = self.workers[name]
        if not worker.reachable:
            for running in list(worker.tasks.values()):
                self._record_lost_work(running)
            worker.tasks.clear()
            worker.slowdowns = None

    def _on_absent(self, name: str, now: float) -> None:
        self.planner.drop_worker(name)
        worker_state = self.planner.fleet.workers.get(name)
        allocations = (
            []
            if worker_state is None
            else list(worker_state.allocations.values())
        )
        for allocation in allocations:
            body = (allocation.task.task_id, name, allocation.attempt)
            self._schedule(now + LEASE_END_SECONDS, "lost", body)

    def _on_lost(self, body: tuple[str, str, int], now: float) -> None:
        task_id, worker, attempt = body
        allocation = self.planner.fleet.allocation(task_id, worker)
        if allocation is not None and allocation.attempt == attempt:
            self._end_attempt(task_id, worker, changes.Ending.LOST, now)

    def _on_return(self, event: scenarios.Event, now: float) -> None:
        del now
        worker = self.workers[event.name]
        worker.alive = True
        worker.view = worker.view._replace(leaving=False, leaves_at=math.inf)
        self.planner.put_worker(worker.view)

    def _on_reconnect(self, event: scenarios.Event, now: float) -> None:
        del now
        worker = self.workers[event.name]
        worker.reachable = True
        self.planner.put_worker(worker.view)

    # Duties of the placement authority.

    def _plan(self, now: float) -> None:
        began = time.perf_counter()
        plan = self.planner.plan(now, now, MAX_STARTS)
        self.metrics.record_plan(time.perf_counter() - began, plan)
        for start in plan.starts:
            self.attempts[start.task_id] = 1 + self.attempts.get(
                start.task_id, 0
            )
            delay = self.rng.uniform(0.5, 3.0)
            self._schedule(now + delay, "start", start)
        for throttle in plan.throttles:
            self._schedule(now + 1.0, "throttle", throttle)
        for eviction in plan.evictions:
            self.metrics.evictions += 1
            delay = self.rng.uniform(4.0, 8.0)
            self._schedule(now + delay, "evict", eviction)

    def _on_start(self, start: decisions.StartDecision, now: float) -> None:
        worker = self.workers[start.worker]
        task_id = start.task_id
        if not worker.alive or not worker.reachable:
            # The start command does not reach the worker; the task is lost when
            # its lease expires.
            attempt = self.attempts[task_id]
            body = (task_id, start.worker, attempt)
            self._schedule(now + LEASE_END_SECONDS, "lost", body)
            return
        if task_id not in self.unfinished:
            return
        task = self.unfinished[task_id]
        other_workers = [w for w in self.workers.values() if task_id in w.tasks]
        self.metrics.duplicate_starts += len(other_workers)
        running = fake_workers.RunningTask(
            task,
            self.scenario.ground_truth.templates[task.template],
            self.attempts[task_id],
            self.checkpointed_seconds.get(task_id, 0.0),
        )
        if views.job_id_of(task_id) in self.scenario.bad_jobs:
            running.fails_at = now + 20.0
        if not worker.start(running, now):
            self.metrics.capacity_violations += 1
        self.metrics.record_start(task, now, self.event_at)
        self.planner.record_start(task_id, start.worker, now)
        first = now + self.rng.uniform(0.0, REPORT_PERIOD_SECONDS)
        self._schedule(first, "measure", (start.worker, running))

    def _on_measure(
        self, body: tuple[str, fake_workers.RunningTask], now: float
    ) -> None:
        name, running = body
        worker = self.workers[name]
        if worker.tasks.get(running.task.task_id) is not running:
            return
        if worker.reachable:
            report = worker.report(running, now, self.rng)
            delay = min(MAX_LAG_SECONDS, self.rng.expovariate(1 / 12.0) + 1.0)
            self._schedule(now + delay, "report", report)
        self._schedule(now + REPORT_PERIOD_SECONDS, "measure", body)

    def _on_report(self, report: views.UsageReport, now: float) -> None:
        del now
        self.planner.put_usage(report)

    def _on_throttle(
        self, throttle: decisions.ThrottleDecision, now: float
    ) -> None:
        del now
        self.workers[throttle.worker].throttle(throttle.task_id, throttle.share)

    def _on_evict(self, eviction: decisions.EvictDecision, now: float) -> None:
        worker = self.workers[eviction.worker]
        running = worker.tasks.get(eviction.task_id)
        if running is None or not worker.reachable:
            return
        worker.checkpoint(running, self.rng)
        self._record_lost_work(running)
        worker.remove(eviction.task_id)
        self._end_attempt(
            eviction.task_id, eviction.worker, changes.Ending.EVICTED, now
        )

    def _step_workers(self, now: float) -> None:
        for name, worker in self.workers.items():
            if not worker.alive:
                continue
            for running in worker.step(self.scenario.step_seconds):
                if worker.reachable:
                    worker.remove(running.task.task_id)
                    body = (running.task.task_id, name)
                    self._schedule(now + self.rng.uniform(0, 4), "finish", body)
            self._process_failures(worker, now)
            self.metrics.sample(worker, self.scenario.step_seconds)

    def _process_failures(
        self, worker: fake_workers.FakeWorker, now: float
    ) -> None:
        if not worker.reachable:
            return
        failed = [
            running
            for running in worker.tasks.values()
            if running.fails_at is not None and running.fails_at <= now
        ]
        killed = worker.find_oom_victim()
        if killed is not None and killed not in failed:
            failed.append(killed)
            self.metrics.killed += 1
        for running in failed:
            self._record_lost_work(running)
            worker.remove(running.task.task_id)
            body = (running.task.task_id, worker.view.name)
            self._schedule(now + self.rng.uniform(0, 4), "failed", body)

    def _on_finish(self, body: tuple[str, str], now: float) -> None:
        task_id, worker = body
        self.planner.record_end(task_id, worker, changes.Ending.FINISHED, now)
        task = self._remove_unfinished(task_id)
        if task is not None:
            behavior = self.scenario.ground_truth.templates[task.template]
            self.metrics.record_finish(task, behavior, now)

    def _on_failed(self, body: tuple[str, str], now: float) -> None:
        task_id, worker = body
        self.failures[task_id] = self.failures.get(task_id, 0) + 1
        if self.failures[task_id] >= MAX_FAILURES:
            task = self._remove_unfinished(task_id)
            if task is not None:
                bad = views.job_id_of(task_id) in self.scenario.bad_jobs
                self.metrics.record_abandonment(task, bad)
        self._end_attempt(task_id, worker, changes.Ending.FAILED, now)

    def _end_attempt(
        self, task_id: str, worker: str, ending: changes.Ending, now: float
    ) -> None:
        self.planner.record_end(task_id, worker, ending, now)
        task = self.unfinished.get(task_id)
        if task is None:
            return
        requeued = task._replace(
            attempt=self.attempts.get(task_id, 0),
            checkpoint="saved"
            if self.checkpointed_seconds.get(task_id)
            else "",
            evicted=ending != changes.Ending.FAILED,
            failures=self.failures.get(task_id, 0),
        )
        self.metrics.record_requeue(task, now)
        self.planner.put_waiting(requeued)

    def _record_lost_work(self, running: fake_workers.RunningTask) -> None:
        lost = running.work_seconds - running.saved_seconds
        self.metrics.lost_work_seconds += max(0.0, lost)
        self.checkpointed_seconds[running.task.task_id] = running.saved_seconds
