"""Benchmark of the size of a replica's data folder, memory and start.

python -m turmerichall.benchmarks.log_size
"""

import gc
import json
import pathlib
import resource
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Iterator
from typing import Any, NamedTuple

import fire
import msgspec
import tabulate
import trio

from turmerichall import outcomes
from turmerichall.agreement import replica as replicas
from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands
from turmerichall.queues import state as states

__all__ = ["main"]

NAME = "replica"
ROUTES = 2_700
CONFIGURATION_CHANGES = 200
JOB_CHANGES = 50_000
CHECKPOINTS = 4
WRITERS = 64
SAMPLE_SECONDS = 0.005
WORKERS = 100
STARTUP_SECONDS = 60.0
JOB_COUNTS = (5_000, 10_000, 20_000)
MEGABYTE = 1e6


class _Checkpoint(NamedTuple):
    """What a replica uses after a number of changes.

    Attributes:
        changes: Number of changes so far.
        disk_bytes: Highest size of the data folder so far.
        memory_bytes: Highest resident memory of the process so far.
        seconds: Time since the first change.
    """

    changes: int
    disk_bytes: int
    memory_bytes: int
    seconds: float


class _NoNetwork:
    """The network of a replica without peers."""

    name = NAME
    listen_address = "127.0.0.1:1"

    def __init__(self) -> None:
        self.addresses: dict[str, str] = {}

    def handle(
        self, kind: str, handler: Any, is_critical: bool = False
    ) -> None:
        """Ignore a handler, since no message arrives."""

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Ignore addresses, since there are no peers."""

    async def call(self, *_: Any) -> bytes | outcomes.Refusal:
        """Return that the peer is unreachable."""
        await trio.sleep(0.001)
        return outcomes.Refusal(outcomes.RefusalReason.UNREACHABLE)


class _NullLog:
    """A log that discards everything."""

    def info(self, message: str, **fields: object) -> None:
        """Discard the line."""

    warning = info
    error = info


def _new_replica(
    folder: pathlib.Path, machine: states.QueueState
) -> replicas.Replica:
    return replicas.Replica(
        NAME,
        folder,
        _NoNetwork(),
        machine,
        {NAME: _NoNetwork.listen_address},
        _NullLog(),
    )


def _configuration_change(version: int) -> bytes:
    queues = tuple(
        configurations.Queue(
            f"route-{number:05}",
            f"customer-{number:05}.example.org",
            f"/v1/customer-{number:05}/jobs/",
            f"service-{number % 50}",
        )
        for number in range(ROUTES)
    )
    document = msgspec.json.encode(
        [queue._asdict() for queue in queues], order="deterministic"
    )
    configuration = configurations.Configuration(version, queues)
    return changes.encode(changes.SetConfiguration(configuration, document))


def _configuration_changes() -> Iterator[bytes]:
    for version in range(1, CONFIGURATION_CHANGES + 1):
        yield _configuration_change(version)


def _registrations() -> Iterator[bytes]:
    for number in range(WORKERS):
        worker = changes.WorkerRecord(
            f"worker-{number:04}",
            f"machine-{number:04}",
            f"10.1.2.{number}:7200",
            "service-1",
            "z1",
            "",
            (),
            32_000,
            125_000,
            0,
        )
        yield changes.encode(changes.RegisterWorker(worker))


def _job_changes(jobs: int, first: int = 0) -> Iterator[bytes]:
    """Yield the acceptance, the start and the end of each job."""
    demand = demands.JobDemand("", (demands.StepDemand(1, 1000),))
    for number in range(first, first + jobs):
        name = f"job-20261205-{number:08}"
        task = changes.TaskName(name, 0, 0, 0)
        worker = f"worker-{number % WORKERS:04}"
        accepted = changes.AcceptJob(name, "a.example/", demand, 1_796_000_000)
        yield changes.encode(accepted)
        started = changes.StartedRun(task, 1, worker)
        yield changes.encode(changes.StartRuns((started,)))
        ended = changes.EndedRun(task, 1, changes.Ending.DONE, "")
        yield changes.encode(changes.EndRuns((ended,)))


def _folder_bytes(folder: pathlib.Path) -> int:
    total = 0
    for path in folder.iterdir():
        try:
            total += path.stat().st_size
        except FileNotFoundError:
            # The file was renamed or removed meanwhile.
            pass
    return total


def _peak_memory_bytes() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


class _Load:
    """Changes that several writers propose to one replica.

    Attributes:
        folder: Data folder of the replica.
        disk_bytes: Highest size of the folder so far.
        checkpoints: What the replica used so far.
    """

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.disk_bytes = 0
        self.checkpoints: list[_Checkpoint] = []
        self._done = 0
        self._started = 0.0

    async def run(self, proposals: Iterator[bytes], total: int) -> None:
        """Start a replica and commit all changes."""
        writers = 1 if total == CONFIGURATION_CHANGES else WRITERS
        async with trio.open_nursery() as nursery:
            replica = _new_replica(self.folder, states.QueueState())
            await nursery.start(replica.run)
            nursery.start_soon(self._watch_disk)
            while not replica.leader_term():
                await trio.sleep(0.01)
            for change in _registrations():
                await replica.propose(change)
            self._started = trio.current_time()
            async with trio.open_nursery() as writing:
                for _ in range(writers):
                    writing.start_soon(self._write, replica, proposals, total)
            nursery.cancel_scope.cancel()

    async def _write(
        self, replica: replicas.Replica, proposals: Iterator[bytes], total: int
    ) -> None:
        for change in proposals:
            result = await replica.propose(change, 30.0)
            if not isinstance(result, bytes):
                raise RuntimeError(f"change {self._done}: {result}")
            self._done += 1
            if self._done % (total // CHECKPOINTS) == 0:
                self._add_checkpoint()

    def _add_checkpoint(self) -> None:
        self.checkpoints.append(
            _Checkpoint(
                self._done,
                self.disk_bytes,
                _peak_memory_bytes(),
                trio.current_time() - self._started,
            )
        )

    async def _watch_disk(self) -> None:
        while True:
            self.disk_bytes = max(self.disk_bytes, _folder_bytes(self.folder))
            await trio.sleep(SAMPLE_SECONDS)


def write_configurations(folder: str) -> None:
    """Commit configuration changes to a folder and print the checkpoints."""
    load = _Load(pathlib.Path(folder))
    trio.run(load.run, _configuration_changes(), CONFIGURATION_CHANGES)
    print(json.dumps(load.checkpoints))


def write_jobs(folder: str) -> None:
    """Commit changes of jobs to a folder and print the checkpoints."""
    load = _Load(pathlib.Path(folder))
    # Each job is three changes.
    trio.run(load.run, _interleaved_jobs(-(-JOB_CHANGES // 3)), JOB_CHANGES)
    print(json.dumps(load.checkpoints))


def _interleaved_jobs(jobs: int) -> Iterator[bytes]:
    """Yield changes such that concurrent writers keep the order of a job's."""
    for first in range(0, jobs, WRITERS):
        count = min(WRITERS, jobs - first)
        proposals = list(_job_changes(count, first))
        for kind in range(3):
            yield from proposals[kind::3]


def restart(folder: str) -> None:
    """Start a replica on a folder and print its start time and memory."""

    async def start() -> float:
        started = time.perf_counter()
        replica = _new_replica(pathlib.Path(folder), states.QueueState())
        async with trio.open_nursery() as nursery:
            await nursery.start(replica.run)
            seconds = time.perf_counter() - started
            with trio.fail_after(STARTUP_SECONDS):
                while not replica.leader_term():
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        return seconds

    before = _peak_memory_bytes()
    seconds = trio.run(start)
    print(json.dumps([seconds, before, _peak_memory_bytes()]))


def _run_process(command: str, folder: str) -> Any:
    """Run a command of this module as a process and return what it printed."""
    module = [sys.executable, "-m", "turmerichall.benchmarks.log_size"]
    finished = subprocess.run(
        [*module, command, folder], stdout=subprocess.PIPE, check=True
    )
    return json.loads(finished.stdout)


def _finished_jobs(jobs: int) -> states.QueueState:
    machine = states.QueueState()
    for change in _registrations():
        machine.apply(0, change)
    for change in _job_changes(jobs):
        machine.apply(0, change)
    return machine


def slopes() -> None:
    """Print what finished jobs add to the snapshot and to the memory."""
    rows = []
    for jobs in JOB_COUNTS:
        gc.collect()
        tracemalloc.start()
        machine = _finished_jobs(jobs)
        gc.collect()
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        started = time.perf_counter()
        size = len(machine.snapshot())
        rows.append(
            (
                jobs,
                size / jobs,
                memory / jobs,
                1000 * (time.perf_counter() - started),
            )
        )
    heads = ["Finished jobs", "Snapshot B/job", "Memory B/job", "Encode ms"]
    print(tabulate.tabulate(rows, heads, tablefmt="github", floatfmt=".1f"))


def snapshot() -> None:
    """Print the size of a snapshot of a configuration, and its cost."""
    machine = states.QueueState()
    machine.apply(1, _configuration_change(1))
    started = time.perf_counter()
    size = len(machine.snapshot())
    milliseconds = 1000 * (time.perf_counter() - started)
    print(f"{ROUTES} routes: {size} B, encoded in {milliseconds:.1f} ms")


def table() -> None:
    """Print disk, memory and start time after each kind of load."""
    rows: list[tuple[object, ...]] = []
    for command in ("write_configurations", "write_jobs"):
        with tempfile.TemporaryDirectory() as folder:
            for each in _run_process(command, folder):
                point = _Checkpoint(*each)
                rows.append(
                    (
                        command,
                        point.changes,
                        point.disk_bytes / MEGABYTE,
                        point.memory_bytes / MEGABYTE,
                        point.seconds,
                    )
                )
            disk = _folder_bytes(pathlib.Path(folder))
            seconds, _, memory = _run_process("restart", folder)
            rows.append(
                ("restart", "", disk / MEGABYTE, memory / MEGABYTE, seconds)
            )
    heads = ["Load", "Changes", "Peak disk MB", "Peak memory MB", "Seconds"]
    print(tabulate.tabulate(rows, heads, tablefmt="github", floatfmt=".1f"))


def main() -> None:
    """Run one command, or all measurements without one."""
    if len(sys.argv) > 1:
        fire.Fire(
            {
                "write_configurations": write_configurations,
                "write_jobs": write_jobs,
                "restart": restart,
                "slopes": slopes,
                "snapshot": snapshot,
                "table": table,
            }
        )
        return
    table()
    print()
    slopes()
    print()
    snapshot()


if __name__ == "__main__":
    main()
