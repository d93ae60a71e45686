"""Benchmark of planning time by number of workers and of waiting tasks.

python -m turmerichall.benchmarks.placement_scale
"""

import gc
import random
import time
from typing import NamedTuple

import fire
import tabulate

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import planner as planners
from turmerichall.placement import views
from turmerichall.state import change as changes

__all__ = ["Cost", "main", "measure"]

CAPACITY = resources.Resources(64, 250_000, 0)
STEP_SECONDS = 0.1
STARTS_PER_STEP = 44
STEPS = 60
TEMPLATES = 20
TEAMS = 37
SERVICE_TASKS_PER_WORKER = 3.8
BATCH_TASKS_PER_WORKER = 7.5


class Cost(NamedTuple):
    """Costs of planning for a number of workers and waiting tasks.

    Attributes:
        workers: Number of workers.
        queued: Number of waiting tasks.
        step_p50_ms: Median time of a planning step with at most
            `STARTS_PER_STEP` starts.
        step_p99_ms: 99th percentile of the same time.
        start_us: Mean planning time for each start.
        report_us: Mean time to process a usage report.
        cancel_us: Mean time to remove a waiting task from the planner.
        starts_per_second: Starts for each second of planning time.
    """

    workers: int
    queued: int
    step_p50_ms: float
    step_p99_ms: float
    start_us: float
    report_us: float
    cancel_us: float
    starts_per_second: float


class PlannerLoad:
    """A planner with a constant number of workers and of waiting tasks.

    Attributes:
        planner: The planner under test.
        running: Worker of each running batch task, by task id.
    """

    def __init__(self, workers: int, queued: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.planner = planners.Planner()
        self.now = 0.0
        self.number = 0
        self.running: dict[str, str] = {}
        for number in range(workers):
            rack = f"r{number // 16}"
            zone = f"z{number * 10 // workers}"
            view = views.WorkerView(f"w{number}", rack, zone, CAPACITY, 32)
            self.planner.put_worker(view)
        for number in range(int(SERVICE_TASKS_PER_WORKER * workers)):
            self.planner.put_waiting(self._make_service_task(number))
        self.start_all()
        for _ in range(int(BATCH_TASKS_PER_WORKER * workers)):
            self.planner.put_waiting(self.make_batch_task())
        self.start_all()
        while len(self.planner.waiting) < queued:
            self.planner.put_waiting(self.make_batch_task())

    def start_all(self) -> None:
        """Start all waiting tasks that fit, up to 512 in each planning step."""
        while True:
            self.now += STEP_SECONDS
            if not self.plan_step(512):
                return

    def plan_step(self, max_starts: int) -> int:
        """Run a planning step, record its starts and return their number."""
        plan = self.planner.plan(self.now, self.now, max_starts)
        for start in plan.starts:
            self.planner.record_start(start.task_id, start.worker, self.now)
            if not start.task_id.startswith("svc:"):
                self.running[start.task_id] = start.worker
        return len(plan.starts)

    def make_batch_task(self) -> views.TaskView:
        """Return a new batch task."""
        self.number += 1
        template = self.rng.randrange(TEMPLATES)
        processors = (2.0, 3.0, 4.0, 5.0)[template % 4]
        size = resources.Resources(processors, int(3000 * processors))
        return views.TaskView(
            f"j{self.number // 8}/{self.number}",
            f"batch-{template}",
            "night",
            f"team-{self.rng.randrange(TEAMS)}",
            self.rng.choice(
                (customers.Urgency.NORMAL, customers.Urgency.DEFERRABLE)
            ),
            False,
            size,
            300.0,
            40_000.0 + self.rng.randrange(100),
        )

    def _make_service_task(self, number: int) -> views.TaskView:
        size = resources.Resources(4.0, 12_000)
        return views.TaskView(
            f"svc:desk/service-{number % 12}/z/{number}",
            f"service-{number % 12}",
            "desk",
            "desk",
            customers.Urgency.URGENT,
            True,
            size,
        )

    def replace_running_tasks(self, count: int) -> None:
        """End `count` running batch tasks and submit as many new ones."""
        for task_id in list(self.running)[:count]:
            worker = self.running.pop(task_id)
            ending = changes.Ending.FINISHED
            self.planner.record_end(task_id, worker, ending, self.now)
            self.planner.put_waiting(self.make_batch_task())

    def make_reports(self, count: int) -> list[views.UsageReport]:
        """Return usage reports of `count` running tasks, drawn at random."""
        worker_of = self.planner.fleet.worker_of
        usage_reports = []
        for task_id in self.rng.sample(sorted(worker_of), count):
            allocation = self.planner.fleet.allocation(
                task_id, worker_of[task_id]
            )
            assert allocation is not None
            usage_reports.append(
                views.UsageReport(
                    allocation.worker,
                    task_id,
                    allocation.attempt,
                    allocation.task.size,
                    self.rng.uniform(1.0, 1.3),
                    self.now - self.rng.uniform(0.0, 30.0),
                )
            )
        return usage_reports


def measure(workers: int, queued: int, seed: int = 1) -> Cost:
    """Measure the costs for a number of workers and waiting tasks."""
    load = PlannerLoad(workers, queued, seed)
    gc.collect()
    steps = []
    starts = 0
    report_seconds = 0.0
    reports = 0
    for _ in range(STEPS):
        load.now += STEP_SECONDS
        load.replace_running_tasks(STARTS_PER_STEP)
        count = min(90, len(load.planner.fleet.worker_of))
        usage_reports = load.make_reports(count)
        began = time.perf_counter()
        for report in usage_reports:
            load.planner.put_usage(report)
        report_seconds += time.perf_counter() - began
        reports += count
        began = time.perf_counter()
        starts += load.plan_step(STARTS_PER_STEP)
        steps.append(time.perf_counter() - began)
    task_ids = load.rng.sample(
        sorted(load.planner.waiting.bucket_of),
        min(1000, len(load.planner.waiting)),
    )
    began = time.perf_counter()
    for task_id in task_ids:
        load.planner.drop_waiting(task_id)
    cancel_seconds = time.perf_counter() - began
    steps.sort()
    return Cost(
        workers,
        queued,
        1e3 * steps[len(steps) // 2],
        1e3 * steps[int(0.99 * len(steps))],
        1e6 * sum(steps) / max(1, starts),
        1e6 * report_seconds / reports,
        1e6 * cancel_seconds / max(1, len(task_ids)),
        starts / sum(steps),
    )


def main() -> None:
    """Print the costs by number of workers, then by waiting tasks."""
    rows = [measure(workers, 10_000) for workers in (79, 200, 400, 790)]
    rows += [measure(790, queued) for queued in (1_000, 3_000, 30_000)]
    print(
        tabulate.tabulate(rows, Cost._fields, tablefmt="github", floatfmt=".4g")
    )


if __name__ == "__main__":
    fire.Fire(main)
