"""Measures decision time against workers and queue length.

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
SERVICES_RATIO = 3.8
RUNNING_RATIO = 7.5


class Cost(NamedTuple):
    """What planning costs at one size.

    Attributes:
        workers: Workers.
        queued: Waiting tasks.
        step_p50_ms: Time of one step of `STARTS_PER_STEP` starts.
        step_p99_ms: The same, exceeded by one step in 100.
        start_us: Planning time for each start.
        report_us: Time to take in one usage report.
        cancel_us: Time to drop one waiting task.
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


class Load:
    """A planner kept at a number of workers and waiting tasks.

    Attributes:
        planner: The planner.
        running: Workers of running batch tasks.
    """

    def __init__(self, workers: int, queued: int, seed: int) -> None:
        self.draw = random.Random(seed)
        self.planner = planners.Planner()
        self.now = 0.0
        self.number = 0
        self.running: dict[str, str] = {}
        for number in range(workers):
            rack = f"r{number // 16}"
            zone = f"z{number * 10 // workers}"
            view = views.WorkerView(f"w{number}", rack, zone, CAPACITY, 32)
            self.planner.put_worker(view)
        for number in range(int(SERVICES_RATIO * workers)):
            self.planner.put_waiting(self._service(number))
        self.fill()
        for _ in range(int(RUNNING_RATIO * workers)):
            self.planner.put_waiting(self.task())
        self.fill()
        while len(self.planner.waiting) < queued:
            self.planner.put_waiting(self.task())

    def fill(self) -> None:
        """Starts what waits, without a bound on the starts of a step."""
        while True:
            self.now += STEP_SECONDS
            if not self.start(512):
                return

    def start(self, most: int) -> int:
        """Plans one step, confirms its starts and returns their number."""
        plan = self.planner.plan(self.now, self.now, most)
        for start in plan.starts:
            self.planner.record_start(start.task_id, start.worker, self.now)
            if not start.task_id.startswith("svc:"):
                self.running[start.task_id] = start.worker
        return len(plan.starts)

    def task(self) -> views.TaskView:
        """Makes a batch task."""
        self.number += 1
        template = self.draw.randrange(TEMPLATES)
        processors = (2.0, 3.0, 4.0, 5.0)[template % 4]
        size = resources.Resources(processors, int(3000 * processors))
        return views.TaskView(
            f"j{self.number // 8}/{self.number}",
            f"batch-{template}",
            "night",
            f"team-{self.draw.randrange(TEAMS)}",
            self.draw.choice(
                (customers.Urgency.NORMAL, customers.Urgency.DEFERRABLE)
            ),
            False,
            size,
            300.0,
            40_000.0 + self.draw.randrange(100),
        )

    def _service(self, number: int) -> views.TaskView:
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

    def end_some(self, count: int) -> None:
        """Ends running batch tasks and submits as many."""
        for task_id in list(self.running)[:count]:
            worker = self.running.pop(task_id)
            ending = changes.Ending.FINISHED
            self.planner.record_end(task_id, worker, ending, self.now)
            self.planner.put_waiting(self.task())

    def reports(self, count: int) -> list[views.UsageReport]:
        """Makes usage reports of running tasks."""
        worker_of = self.planner.fleet.worker_of
        made = []
        for task_id in self.draw.sample(sorted(worker_of), count):
            held = self.planner.fleet.allocation(task_id, worker_of[task_id])
            assert held is not None
            made.append(
                views.UsageReport(
                    held.worker,
                    task_id,
                    held.attempt,
                    held.task.size,
                    self.draw.uniform(1.0, 1.3),
                    self.now - self.draw.uniform(0.0, 30.0),
                )
            )
        return made


def measure(workers: int, queued: int, seed: int = 1) -> Cost:
    """Measures the costs at one size."""
    load = Load(workers, queued, seed)
    gc.collect()
    steps = []
    starts = 0
    report_seconds = 0.0
    reports = 0
    for _ in range(STEPS):
        load.now += STEP_SECONDS
        load.end_some(STARTS_PER_STEP)
        count = min(90, len(load.planner.fleet.worker_of))
        made = load.reports(count)
        began = time.perf_counter()
        for report in made:
            load.planner.put_usage(report)
        report_seconds += time.perf_counter() - began
        reports += count
        began = time.perf_counter()
        starts += load.start(STARTS_PER_STEP)
        steps.append(time.perf_counter() - began)
    names = load.draw.sample(
        sorted(load.planner.waiting.bucket_of),
        min(1000, len(load.planner.waiting)),
    )
    began = time.perf_counter()
    for name in names:
        load.planner.drop_waiting(name)
    cancel_seconds = time.perf_counter() - began
    steps.sort()
    return Cost(
        workers,
        queued,
        1e3 * steps[len(steps) // 2],
        1e3 * steps[int(0.99 * len(steps))],
        1e6 * sum(steps) / max(1, starts),
        1e6 * report_seconds / reports,
        1e6 * cancel_seconds / max(1, len(names)),
        starts / sum(steps),
    )


def main() -> None:
    """Prints the costs against workers, then against queue length."""
    rows = [measure(workers, 10_000) for workers in (79, 200, 400, 790)]
    rows += [measure(790, queued) for queued in (1_000, 3_000, 30_000)]
    print(
        tabulate.tabulate(rows, Cost._fields, tablefmt="github", floatfmt=".4g")
    )


if __name__ == "__main__":
    fire.Fire(main)
