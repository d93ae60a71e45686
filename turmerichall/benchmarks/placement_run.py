"""Runs one policy through one scenario, stepping time."""

import heapq
import itertools
import math
import random
import time
from typing import Any

from turmerichall.benchmarks import placement_result as results
from turmerichall.benchmarks import placement_scenarios as scenarios
from turmerichall.benchmarks import placement_workers as fakes
from turmerichall.placement import decisions
from turmerichall.placement import planner as planners
from turmerichall.placement import views
from turmerichall.state import change as changes

__all__ = ["Run"]

REPORT_PERIOD_SECONDS = 10.0
MAX_LAG_SECONDS = 60.0
LEASE_END_SECONDS = 16.0
MAX_FAILURES = 3
# 440 starts a second.
MAX_STARTS = 880


class Run:
    """One planner in a scenario, with the part of the placing authority.

    Attributes:
        scenario: The scenario.
        planner: The planner under test.
        draw: Source of lags and of noise.
        workers: Fake workers by name.
        due: What happens later, by time.
        saved: Work that the last checkpoint of a task holds, in seconds.
        attempts: Starts so far, by task.
        failures: Failed attempts by task.
        cancelled: Cancelled jobs.
        open: Tasks that have not ended, by id.
        jobs: The same by job.
        seen: What was measured.
        at: When the event that is being carried out was due.
    """

    def __init__(
        self, scenario: scenarios.Scenario, planner: planners.Planner, seed: int
    ) -> None:
        self.scenario = scenario
        self.planner = planner
        self.draw = random.Random(f"run {seed}")
        self.workers = {
            view.name: fakes.FakeWorker(view, scenario.truth)
            for view in scenario.workers
        }
        self.due: list[tuple[float, int, str, Any]] = []
        self.numbers = itertools.count()
        self.saved: dict[str, float] = {}
        self.attempts: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.cancelled: set[str] = set()
        self.open: dict[str, views.TaskView] = {}
        self.jobs: dict[str, dict[str, None]] = {}
        self.seen = results.Measured()
        self.at = 0.0
        for name in scenario.bad_workers:
            self.workers[name].fails_everything = True

    def run(self) -> results.Measured:
        """Runs the scenario to its end and returns what was measured."""
        for team, limit in self.scenario.quotas:
            self.planner.set_quota(team, limit)
        for view in self.scenario.workers:
            self.planner.put_worker(view)
        for event in self.scenario.events:
            self._later(event.at, event.what, event)
        now = 0.0
        while now < self.scenario.fleet.seconds:
            self._carry_out_due(now)
            self._plan(now)
            self._step_workers(now)
            now += self.scenario.step_seconds
        self.seen.finish(list(self.open.values()), now)
        return self.seen

    def _later(self, at: float, what: str, body: Any) -> None:
        heapq.heappush(self.due, (at, next(self.numbers), what, body))

    def _carry_out_due(self, now: float) -> None:
        while self.due and self.due[0][0] <= now:
            self.at, _, what, body = heapq.heappop(self.due)
            getattr(self, f"_on_{what}")(body, now)

    def _close(self, task_id: str) -> views.TaskView | None:
        task = self.open.pop(task_id, None)
        if task is not None:
            del self.jobs[views.job_id_of(task_id)][task_id]
        return task

    # Events of the scenario.

    def _on_submit(self, event: scenarios.Event, now: float) -> None:
        for task in event.tasks:
            self.open[task.task_id] = task
            of_job = self.jobs.setdefault(views.job_id_of(task.task_id), {})
            of_job[task.task_id] = None
            self.seen.submit(task, now, self.at)
            self.planner.put_waiting(task)
        if event.name:
            self._later(now + 300.0, "forecast", event.name)

    def _on_forecast(self, job_id: str, now: float) -> None:
        if self.jobs.get(job_id):
            estimate = self.planner.estimate_finish(job_id, now)
            self.seen.forecast(job_id, estimate.at, now)

    def _on_cancel(self, event: scenarios.Event, now: float) -> None:
        self.cancelled.add(event.name)
        for task_id in list(self.jobs.get(event.name, {})):
            self.seen.cancel(task_id)
            self._close(task_id)
            self.planner.drop_waiting(task_id)
            worker = self.planner.fleet.worker_of.get(task_id)
            if worker is not None:
                self._later(now + 4.0, "stopped", (task_id, worker))

    def _on_stopped(self, body: tuple[str, str], now: float) -> None:
        task_id, worker = body
        self.workers[worker].remove(task_id)
        ending = changes.Ending.CANCELLED
        self.planner.record_end(task_id, worker, ending, now)

    def _on_load(self, event: scenarios.Event, now: float) -> None:
        del now
        for worker in self.workers.values():
            worker.service_factor = event.factor
            worker.slowdowns = None

    def _on_leave(self, event: scenarios.Event, now: float) -> None:
        del now
        worker = self.workers[event.name]
        worker.view = worker.view._replace(leaving=True)
        self.planner.put_worker(worker.view)

    def _on_restart(self, event: scenarios.Event, now: float) -> None:
        self._on_lose(event, now)

    def _on_lose(self, event: scenarios.Event, now: float) -> None:
        worker = self.workers[event.name]
        worker.alive = False
        for running in list(worker.tasks.values()):
            self._lose_work(running)
        worker.tasks.clear()
        worker.slowdowns = None
        self._later(now + 4.0, "missed", event.name)

    def _on_silence(self, event: scenarios.Event, now: float) -> None:
        """The worker runs on unheard until its leases end."""
        self.workers[event.name].reachable = False
        self._later(now + 14.0, "leases_end", event.name)
        self._later(now + 4.0, "missed", event.name)

    def _on_leases_end(self, name: str, now: float) -> None:
        del now
        worker = self.workers[name]
        if not worker.reachable:
            for running in list(worker.tasks.values()):
                self._lose_work(running)
            worker.tasks.clear()
            worker.slowdowns = None

    def _on_missed(self, name: str, now: float) -> None:
        self.planner.drop_worker(name)
        known = self.planner.fleet.workers.get(name)
        held = [] if known is None else list(known.allocations.values())
        for each in held:
            body = (each.task.task_id, name, each.attempt)
            self._later(now + LEASE_END_SECONDS, "lost", body)

    def _on_lost(self, body: tuple[str, str, int], now: float) -> None:
        task_id, worker, attempt = body
        held = self.planner.fleet.allocation(task_id, worker)
        if held is not None and held.attempt == attempt:
            self._end(task_id, worker, changes.Ending.LOST, now)

    def _on_return(self, event: scenarios.Event, now: float) -> None:
        del now
        worker = self.workers[event.name]
        worker.alive = True
        worker.view = worker.view._replace(leaving=False, leaves_at=math.inf)
        self.planner.put_worker(worker.view)

    def _on_heard(self, event: scenarios.Event, now: float) -> None:
        del now
        worker = self.workers[event.name]
        worker.reachable = True
        self.planner.put_worker(worker.view)

    # The part of the placing authority.

    def _plan(self, now: float) -> None:
        began = time.perf_counter()
        plan = self.planner.plan(now, now, MAX_STARTS)
        self.seen.planned(time.perf_counter() - began, plan)
        for start in plan.starts:
            self.attempts[start.task_id] = 1 + self.attempts.get(
                start.task_id, 0
            )
            lag = self.draw.uniform(0.5, 3.0)
            self._later(now + lag, "start", start)
        for throttle in plan.throttles:
            self._later(now + 1.0, "throttle", throttle)
        for eviction in plan.evictions:
            self.seen.evictions += 1
            lag = self.draw.uniform(4.0, 8.0)
            self._later(now + lag, "evict", eviction)

    def _on_start(self, start: decisions.StartDecision, now: float) -> None:
        worker = self.workers[start.worker]
        task_id = start.task_id
        if not worker.alive or not worker.reachable:
            # The start got lost; the lease ends unused.
            attempt = self.attempts[task_id]
            body = (task_id, start.worker, attempt)
            self._later(now + LEASE_END_SECONDS, "lost", body)
            return
        if task_id not in self.open:
            return
        task = self.open[task_id]
        elsewhere = [w for w in self.workers.values() if task_id in w.tasks]
        self.seen.doubled += len(elsewhere)
        running = fakes.RunningTask(
            task,
            self.scenario.truth.templates[task.template],
            self.attempts[task_id],
            self.saved.get(task_id, 0.0),
        )
        if views.job_id_of(task_id) in self.scenario.bad_jobs:
            running.fails_at = now + 20.0
        if not worker.start(running, now):
            self.seen.violations += 1
        self.seen.started(task, now, self.at)
        self.planner.record_start(task_id, start.worker, now)
        first = now + self.draw.uniform(0.0, REPORT_PERIOD_SECONDS)
        self._later(first, "measure", (start.worker, running))

    def _on_measure(
        self, body: tuple[str, fakes.RunningTask], now: float
    ) -> None:
        name, running = body
        worker = self.workers[name]
        if worker.tasks.get(running.task.task_id) is not running:
            return
        if worker.reachable:
            report = worker.report(running, now, self.draw)
            lag = min(MAX_LAG_SECONDS, self.draw.expovariate(1 / 12.0) + 1.0)
            self._later(now + lag, "report", report)
        self._later(now + REPORT_PERIOD_SECONDS, "measure", body)

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
        worker.checkpoint(running, self.draw)
        self._lose_work(running)
        worker.remove(eviction.task_id)
        self._end(
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
                    self._later(now + self.draw.uniform(0, 4), "finish", body)
            self._fail_due(worker, now)
            self.seen.step(worker, self.scenario.step_seconds)

    def _fail_due(self, worker: fakes.FakeWorker, now: float) -> None:
        if not worker.reachable:
            return
        failed = [
            running
            for running in worker.tasks.values()
            if running.fails_at is not None and running.fails_at <= now
        ]
        killed = worker.over_memory()
        if killed is not None and killed not in failed:
            failed.append(killed)
            self.seen.killed += 1
        for running in failed:
            self._lose_work(running)
            worker.remove(running.task.task_id)
            body = (running.task.task_id, worker.view.name)
            self._later(now + self.draw.uniform(0, 4), "failed", body)

    def _on_finish(self, body: tuple[str, str], now: float) -> None:
        task_id, worker = body
        self.planner.record_end(task_id, worker, changes.Ending.FINISHED, now)
        task = self._close(task_id)
        if task is not None:
            truth = self.scenario.truth.templates[task.template]
            self.seen.finished(task, truth, now)

    def _on_failed(self, body: tuple[str, str], now: float) -> None:
        task_id, worker = body
        self.failures[task_id] = self.failures.get(task_id, 0) + 1
        if self.failures[task_id] >= MAX_FAILURES:
            task = self._close(task_id)
            if task is not None:
                bad = views.job_id_of(task_id) in self.scenario.bad_jobs
                self.seen.gave_up(task, bad)
        self._end(task_id, worker, changes.Ending.FAILED, now)

    def _end(
        self, task_id: str, worker: str, ending: changes.Ending, now: float
    ) -> None:
        self.planner.record_end(task_id, worker, ending, now)
        task = self.open.get(task_id)
        if task is None:
            return
        again = task._replace(
            attempt=self.attempts.get(task_id, 0),
            checkpoint="saved" if self.saved.get(task_id) else "",
            evicted=ending != changes.Ending.FAILED,
            failures=self.failures.get(task_id, 0),
        )
        self.seen.waits_again(task, now)
        self.planner.put_waiting(again)

    def _lose_work(self, running: fakes.RunningTask) -> None:
        lost = running.work_seconds - running.saved_seconds
        self.seen.lost_work_seconds += max(0.0, lost)
        self.saved[running.task.task_id] = running.saved_seconds
