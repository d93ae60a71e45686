"""Processor time of placing decisions against the size of the fleet.

    python -m turmerichall.benchmarks.dispatch

Long-running tasks ask for nearly all processors of the fleet, as on the large
site.  Measured for each size: a best-effort step placed with one look at all
workers a task (`choose_worker`) and with one look at each worker a step
(`Candidates`), and the choice of the long-running runs that give room to urgent
tasks.  A second measurement plays a load above capacity, with tasks of several
sizes, and takes the time of a placing round with and without backfill.  A third
drives a whole leader over fakes with the load of a large site, and takes the
time of its decisions by part.  The tables go to standard output.
"""

import math
import time

import tabulate

from turmerichall.dispatch import interference_model as interference_models
from turmerichall.dispatch import placement
from turmerichall.dispatch import preemption
from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_state
from turmerichall.benchmarks import leader_load
from turmerichall.benchmarks import placing_replay as replays
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

__all__ = ["make_fleet", "measure", "measure_round"]

FLEET_SIZES = (30, 100, 270, 790)
LEADER_SIZES = (30, 100, 246, 500, 790)
WORKER_CPU = 32000
LONG_RUNNING_TASKS = 5
LONG_RUNNING_IMAGES = 16
STEP_TASKS = 40
URGENT_TASKS = 9
REPEATS = 5
# Load of the measurement of rounds: best-effort jobs of 20 tasks, of which one
# in eight has large tasks, at 1.3 times what the fleet can do.
ROUND_WORKER_CPU = 24000
ROUND_SECONDS = 6.0
TASK_SECONDS = 1.7
TASK_CPU = (1800, 1800, 1800, 1800, 2700, 2700, 3600, 7200)
LOAD = 1.3


def make_fleet(size: int) -> list[worker_state.Worker]:
    """Return workers whose processors long-running tasks ask for."""
    workers = []
    for number in range(size):
        fake = fakes.FakeWorker(f"w{number}", WORKER_CPU)
        worker = worker_state.Worker(fake.record, fake, 0.0)
        worker.in_touch = True
        for index in range(LONG_RUNNING_TASKS):
            step = demands.StepDemand(
                1,
                cpu=WORKER_CPU // LONG_RUNNING_TASKS,
                memory_mb=1000,
                lasting=True,
                target_ms=18,
                image=f"service{(number + index // 3) % LONG_RUNNING_IMAGES}",
            )
            task = changes.TaskName(f"{number:016x}", 0, 0, index)
            run = run_state.Run(task, 1, step, "services")
            run.phase = run_state.Phase.RUNNING
            worker.add(run)
        workers.append(worker)
    return workers


def _place(
    step: demands.StepDemand, workers: list[worker_state.Worker], scan: bool
) -> list[tuple[worker_state.Worker, run_state.Run]]:
    """Place the tasks of a step, with a scan a task or one a step."""
    model = interference_models.InterferenceModel()
    siblings: dict[str, int] = {}
    candidates = (
        None
        if scan
        else placement.Candidates(step, workers, 0.0, model, siblings)
    )
    placed = []
    for number in range(step.count):
        worker = (
            placement.choose_worker(step, workers, 0.0, model, (), siblings)
            if candidates is None
            else candidates.best()
        )
        if worker is None:
            break
        task = changes.TaskName("f" * 16, 0, 0, number)
        run = run_state.Run(task, 1, step, "batch")
        worker.add(run)
        placed.append((worker, run))
        name = worker.record.id
        siblings[name] = siblings.get(name, 0) + 1
        if candidates is not None:
            candidates.update(worker)
    return placed


def measure(size: int) -> dict[str, float]:
    """Return processor time in ms a task, by decision; the least of repeats.

    Args:
        size: Number of workers.
    """
    workers = make_fleet(size)
    batch = demands.StepDemand(
        STEP_TASKS, cpu=800, memory_mb=500, fills=True, image="batch"
    )
    urgent = demands.StepDemand(URGENT_TASKS, cpu=6400, memory_mb=1000)
    waiting = preemption.WaitingTasks("a" * 16, urgent, URGENT_TASKS, {})
    least: dict[str, float] = {}
    for _ in range(REPEATS):
        for name, scan in (("scan", True), ("candidates", False)):
            began = time.process_time()
            placed = _place(batch, workers, scan)
            spent = (time.process_time() - began) * 1000 / STEP_TASKS
            least[name] = min(least.get(name, spent), spent)
            for worker, run in placed:
                worker.remove(run)
        began = time.process_time()
        preemption.choose_stops([waiting], workers, 10.0, lambda run: True)
        spent = (time.process_time() - began) * 1000 / URGENT_TASKS
        least["preemption"] = min(least.get("preemption", spent), spent)
    return least


def measure_round(size: int, backfill: bool) -> float:
    """Return the mean processor time of a placing round, in ms.

    Args:
        size: Number of workers.
        backfill: Whether blocked groups hold reservations.
    """
    replay = replays.Replay(
        replays.make_workers(size, ROUND_WORKER_CPU, 12), backfill
    )
    lasting = demands.StepDemand(
        3, cpu=3200, memory_mb=1000, lasting=True, image="service"
    )
    for number in range(size):
        replay.submit(f"service{number}", replays.URGENT, lasting)
    mean_cpu = sum(TASK_CPU) / len(TASK_CPU)
    job_work = STEP_TASKS // 2 * mean_cpu * TASK_SECONDS
    unused_cpu = ROUND_WORKER_CPU - lasting.count * lasting.cpu / 2
    interval = job_work / (LOAD * size * unused_cpu)
    for number in range(int(2 * ROUND_SECONDS / interval)):
        step = demands.StepDemand(
            STEP_TASKS // 2,
            cpu=TASK_CPU[number % len(TASK_CPU)],
            memory_mb=500,
            estimate_ms=int(1000 * TASK_SECONDS),
            fills=True,
            image="batch",
        )
        replay.submit(f"b{number}", replays.BATCH, step, number * interval)
    replay.run(ROUND_SECONDS)
    replay.planning_seconds = 0.0
    replay.run(ROUND_SECONDS)
    rounds = ROUND_SECONDS / replays.ROUND_SECONDS
    return replay.planning_seconds * 1000 / rounds


def main() -> None:
    """Print the tables, and how the times grow from the least to the most."""
    rows = [(size, measure(size)) for size in FLEET_SIZES]
    print(
        tabulate.tabulate(
            [
                (size, row["scan"], row["candidates"], row["preemption"])
                for size, row in rows
            ],
            ("workers", "scan a task, ms", "candidates, ms", "preemption, ms"),
            tablefmt="github",
            floatfmt=".3f",
        )
    )
    (least, first), (most, last) = rows[0], rows[-1]
    for name, milliseconds in last.items():
        power = math.log(milliseconds / first[name]) / math.log(most / least)
        print(f"{name}: grows with the power {power:.2f} of the workers")
    print(
        tabulate.tabulate(
            [
                (size, measure_round(size, False), measure_round(size, True))
                for size in FLEET_SIZES
            ],
            ("workers", "round, ms", "round with backfill, ms"),
            tablefmt="github",
            floatfmt=".3f",
        )
    )
    parts = [leader_load.measure_parts(size) for size in LEADER_SIZES]
    rows_by_part = [
        (part, *(row[part] for row in parts)) for part in leader_load.PARTS
    ]
    rows_by_part.append(("all", *(sum(row.values()) for row in parts)))
    print("Decisions, ms a started task, by number of workers")
    print(
        tabulate.tabulate(
            rows_by_part,
            ("part", *map(str, LEADER_SIZES)),
            tablefmt="github",
            floatfmt=".3f",
        )
    )


if __name__ == "__main__":
    main()
