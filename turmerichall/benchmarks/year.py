"""Benchmark of the replicated state over a year of service.

python -m turmerichall.benchmarks.year

Drives the state machine and the leader's removal of records through the load of
docs/CAPACITY.md, on a mocked clock and without a network.  Changes are encoded,
decoded and applied as from the log; the log itself is not written.
"""

import gc
import random
import resource
import time
from collections.abc import Iterator
from typing import NamedTuple

import fire
import tabulate
import trio
import trio.testing

from turmerichall.dispatch import worker_state
from turmerichall.dispatch.retention import retention as retentions
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands
from turmerichall.queues import forgetting
from turmerichall.queues import state as states
from turmerichall.telemetry import lightweight_metrics

__all__ = ["Figures", "main", "play"]

DAY_SECONDS = 86_400
JOBS_A_DAY = 9_700
WORKERS_REPLACED_A_DAY = 66
CONFIGURATIONS_A_DAY = 2_200
WORKERS = 790
ROUTES = 50
# Time that each step of the benchmark stands for.
STEP_SECONDS = 300
REPORT_DAYS = (1, 30, 90, 365)
MEGABYTE = 1e6


class Figures(NamedTuple):
    """What the state takes at the end of a day.

    Attributes:
        day: Number of the day, from 1.
        jobs: Number of jobs.
        removed_workers: Number of removed workers that are known.
        queues: Number of queues that are known.
        snapshot_bytes: Size of a snapshot.
        jobs_bytes: Estimated memory of the jobs.
        memory_bytes: Highest resident memory of the process so far.
        restore_seconds: Time to load the snapshot.
        check_seconds: Mean time of a look of that day, with its changes.
    """

    day: int
    jobs: int
    removed_workers: int
    queues: int
    snapshot_bytes: int
    jobs_bytes: int
    memory_bytes: int
    restore_seconds: float
    check_seconds: float


class _NullLog:
    """A log that discards everything."""

    def info(self, message: str, **fields: object) -> None:
        """Discard the line."""

    warning = info
    error = info


class _Leader:
    """A leader whose commits succeed at once."""

    def __init__(self) -> None:
        self.queue_state = states.QueueState()
        self.workers: dict[str, worker_state.Worker] = {}
        self.log: link.Log = _NullLog()
        self.metrics_registry = lightweight_metrics.MetricsRegistry()

    def apply(self, change: changes.Change) -> None:
        """Apply a change as from the log."""
        self.queue_state.apply(0, changes.encode(change))

    async def commit_or_resign(self, change: changes.Change) -> None:
        """See `retention.Owner`."""
        self.apply(change)

    async def records_forgotten(self, change: forgetting.Forget) -> None:
        """See `retention.Owner`."""


class _Load:
    """The load of a fleet: jobs, workers and configurations."""

    def __init__(self, leader: _Leader, seed: int):
        self.leader = leader
        self.rng = random.Random(seed)
        self.version = 0
        self.route = 0
        self.routes: list[configurations.Queue] = []
        self.workers = list(range(WORKERS))
        self.next_worker = WORKERS
        for number in self.workers:
            self._register(number)
        for _ in range(ROUTES):
            self._add_route()

    def _register(self, number: int) -> None:
        record = changes.WorkerRecord(
            f"i-{number:08x}",
            f"m-{number:08x}",
            f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7200",
            "desk",
            "z1",
            "",
            (),
            32_000,
            125_000,
            0,
        )
        self.leader.apply(changes.RegisterWorker(record))

    def replace_worker(self) -> None:
        """Remove a worker and register another one."""
        place = self.rng.randrange(len(self.workers))
        self.leader.apply(changes.LoseWorker(f"i-{self.workers[place]:08x}"))
        self.workers[place] = self.next_worker
        self._register(self.next_worker)
        self.next_worker += 1

    def _add_route(self) -> None:
        self.route += 1
        self.routes.append(
            configurations.Queue(
                f"route-{self.route}", "a.example", f"/{self.route}/", "desk"
            )
        )

    def configure(self) -> None:
        """Replace a route by a new one."""
        self._add_route()
        del self.routes[0]
        self.version += 1
        configuration = configurations.Configuration(
            self.version, tuple(self.routes)
        )
        self.leader.apply(changes.SetConfiguration(configuration, b"{}"))

    def run_job(self) -> None:
        """Accept a job with one task, and run it to its end."""
        job = f"{self.rng.getrandbits(64):016x}"
        queue = self.rng.choice(self.routes).key
        task = changes.TaskName(job, 0, 0, 0)
        worker = f"i-{self.rng.choice(self.workers):08x}"
        demand = demands.JobDemand("spec " * 40, (demands.StepDemand(1, 1000),))
        ending = self.rng.choices(
            (changes.Ending.DONE, changes.Ending.FAILED), (0.95, 0.05)
        )[0]
        ended = changes.EndedRun(task, 1, ending, "")
        self.leader.apply(changes.AcceptJob(job, queue, demand, 0))
        started = changes.StartedRun(task, 1, worker)
        self.leader.apply(changes.StartRuns((started,)))
        self.leader.apply(changes.EndRuns((ended,)))


def _figures(leader: _Leader, day: int, check_seconds: float) -> Figures:
    state = leader.queue_state
    snapshot = state.snapshot()
    gc.collect()
    began_at = time.perf_counter()
    states.QueueState().restore(snapshot)
    restore_seconds = time.perf_counter() - began_at
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return Figures(
        day,
        len(state.jobs),
        len(state.gone),
        len(state.queues),
        len(snapshot),
        state.jobs_bytes,
        usage.ru_maxrss * 1024,
        restore_seconds,
        check_seconds,
    )


def _spread(total: int, steps: int) -> Iterator[int]:
    """Yield a number of events for each step, which add up to a total."""
    for step in range(steps):
        yield total * (step + 1) // steps - total * step // steps


def play(
    days: int,
    report_days: tuple[int, ...] = REPORT_DAYS,
    seed: int = 1,
    options: retentions.Options = retentions.Options(),
) -> list[Figures]:
    """Play some days, and return the figures of those that are reported.

    Args:
        days: Number of days.
        report_days: Days whose figures are returned.
        seed: Seed of the load.
        options: How long records are kept.
    """
    steps = DAY_SECONDS // STEP_SECONDS
    found = []

    async def run() -> None:
        leader = _Leader()
        load = _Load(leader, seed)
        retention = retentions.Retention(leader, options, trio.current_time)
        for day in range(1, days + 1):
            spent = 0.0
            for jobs, replaced, configured in zip(
                _spread(JOBS_A_DAY, steps),
                _spread(WORKERS_REPLACED_A_DAY, steps),
                _spread(CONFIGURATIONS_A_DAY, steps),
            ):
                for _ in range(configured):
                    load.configure()
                for _ in range(jobs):
                    load.run_job()
                for _ in range(replaced):
                    load.replace_worker()
                began_at = time.perf_counter()
                await retention.check()
                spent += time.perf_counter() - began_at
                await trio.sleep(STEP_SECONDS)
            if day in report_days:
                found.append(_figures(leader, day, spent / steps))

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return found


def report(days: int = 365, seed: int = 1) -> None:
    """Print the figures of a year.

    Args:
        days: Number of days.
        seed: Seed of the load.
    """
    rows = [
        (
            each.day,
            each.jobs,
            each.removed_workers,
            each.queues,
            each.snapshot_bytes / MEGABYTE,
            each.jobs_bytes / MEGABYTE,
            each.memory_bytes / MEGABYTE,
            1000 * each.restore_seconds,
            1000 * each.check_seconds,
        )
        for each in play(days, (*REPORT_DAYS, days), seed)
    ]
    headers = (
        "Day",
        "Jobs",
        "Removed workers",
        "Queues",
        "Snapshot MB",
        "Estimate MB",
        "Memory MB",
        "Load ms",
        "Look ms",
    )
    print(tabulate.tabulate(rows, headers, "github", floatfmt=".2f"))


def main() -> None:
    """Run the benchmark."""
    fire.Fire(report)


if __name__ == "__main__":
    main()
