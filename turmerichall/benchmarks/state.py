"""Benchmark of the replicated state: commits, recovery, memory, resources.

python -m turmerichall.benchmarks.state
"""

import gc
import pathlib
import statistics
import tempfile
import time
import tracemalloc
from typing import NamedTuple

import fire
import tabulate
import trio

from turmerichall import resources
from turmerichall.agreement import applier
from turmerichall.agreement import message
from turmerichall.agreement import replica as replicas
from turmerichall.agreement import replica_state
from turmerichall.benchmarks import state_cluster
from turmerichall.customers import customer
from turmerichall.peers import network as networks
from turmerichall.state import change as changes
from turmerichall.state import machine as machines
from turmerichall.templates import template

__all__ = ["main"]

ROUNDS = 3
CLIENTS = 64
CHANGES_PER_CLIENT = 25
BURST = 200
DIGEST_ENTRIES = 10_000
NO_LIMIT = 1 << 30
LOG_SIZES = (2_000, 4_000, 8_000, 16_000)
JOB_SIZES = (2_000, 4_000, 8_000)
PHASES = (
    state_cluster.Phase("idle", 0.0, 0, 20.0),
    state_cluster.Phase("440 starts/s in 44 changes/s", 44.0, 10, 10.0),
    state_cluster.Phase("440 starts/s in 440 changes/s", 440.0, 1, 10.0),
)


class _Commits(NamedTuple):
    """Rate and latency of commits in one round."""

    per_second: float
    median_ms: float
    p99_ms: float


def _operation(number: int) -> changes.Operation:
    return changes.Operation(f"{number:032x}", "ann", 1.0)


def _publish(number: int) -> bytes:
    size = resources.Resources(1, 100)
    body = template.Template(f"t{number}", template.Kind.BATCH, size)
    change = changes.PublishTemplate(_operation(number), 0, body)
    return changes.encode(change)


class _Cluster:
    """Three replicas in this process that use loopback and real files."""

    def __init__(self, folder: pathlib.Path, max_batch_records: int):
        self.folder = folder
        self.max_batch_records = max_batch_records
        self.replicas: list[replicas.Replica] = []

    async def start(self, nursery: trio.Nursery) -> replicas.Replica:
        """Start all replicas and return the leader once it can commit."""
        names = state_cluster.NAMES
        networks_by_name = {
            name: networks.Network(name, state_cluster.KEY) for name in names
        }
        addresses = {}
        for name, network in networks_by_name.items():
            addresses[name] = await nursery.start(network.run, "127.0.0.1:0")
        for name, network in networks_by_name.items():
            network.set_addresses(addresses)
            replica = replicas.Replica(
                name,
                self.folder / name,
                network,
                machines.StateMachine(),
                addresses,
                max_batch_records=self.max_batch_records,
            )
            self.replicas.append(replica)
            await nursery.start(replica.run)
        while True:
            for replica in self.replicas:
                leads = replica.status().role == replica_state.Role.LEADER
                if leads and await replica.barrier(1.0) is None:
                    return replica
            await trio.sleep(0.1)


async def _commits(max_batch_records: int) -> _Commits:
    latencies: list[float] = []
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            cluster = _Cluster(pathlib.Path(folder), max_batch_records)
            leader = await cluster.start(nursery)

            async def client(first: int) -> None:
                for number in range(first, first + CHANGES_PER_CLIENT):
                    began = time.perf_counter()
                    result = await leader.propose(_publish(number), 60.0)
                    assert isinstance(result, bytes)
                    latencies.append(time.perf_counter() - began)

            began = time.perf_counter()
            async with trio.open_nursery() as clients:
                for number in range(CLIENTS):
                    clients.start_soon(client, number * CHANGES_PER_CLIENT)
            seconds = time.perf_counter() - began
            nursery.cancel_scope.cancel()
    latencies.sort()
    return _Commits(
        len(latencies) / seconds,
        statistics.median(latencies) * 1000,
        latencies[int(len(latencies) * 0.99)] * 1000,
    )


def commits() -> None:
    """Compare commits with and without group commit, in alternating rounds."""
    rounds: dict[str, list[_Commits]] = {"on": [], "off": []}
    for _ in range(ROUNDS):
        rounds["off"].append(trio.run(_commits, 1))
        rounds["on"].append(trio.run(_commits, NO_LIMIT))
    rows = []
    for name, measured_rounds in rounds.items():
        medians = [
            statistics.median(values) for values in zip(*measured_rounds)
        ]
        rows.append((name, *medians))
    headers = ("group commit", "commits/s", "median ms", "p99 ms")
    print(tabulate.tabulate(rows, headers, floatfmt=".1f"))
    print(f"ratio of commits/s: {rows[0][1] / rows[1][1]:.1f}\n")


async def _burst() -> list[float]:
    """Return the time in seconds that each change of a burst took.

    It is measured from the proposal until all replicas have applied the change.
    """
    seconds: list[float] = []
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            cluster = _Cluster(pathlib.Path(folder), NO_LIMIT)
            await cluster.start(nursery)

            async def change(number: int) -> None:
                began = time.perf_counter()
                proposer = cluster.replicas[number % len(cluster.replicas)]
                result = await proposer.propose(_publish(number), 60.0)
                assert isinstance(result, bytes)
                index = changes.decode_result(result).position
                for replica in cluster.replicas:
                    await replica.wait_applied(index)
                seconds.append(time.perf_counter() - began)

            async with trio.open_nursery() as writers:
                for number in range(BURST):
                    writers.start_soon(change, number)
            nursery.cancel_scope.cancel()
    return sorted(seconds)


def burst() -> None:
    """Measure how soon all replicas have applied a burst of changes."""
    seconds = trio.run(_burst)
    median_ms = statistics.median(seconds) * 1000
    print(
        f"burst of {BURST} changes through three instances, in force on all:"
        f" median {median_ms:.0f} ms, last {seconds[-1] * 1000:.0f} ms\n"
    )


async def _recovery(entries: int) -> tuple[float, float]:
    """Return the times to recover from a log and to take a snapshot, in ms."""
    timing = replica_state.Timing(
        snapshot_entries=NO_LIMIT, max_proposals=NO_LIMIT
    )
    with tempfile.TemporaryDirectory() as folder:
        seconds = 0.0
        for _ in range(2):
            network = networks.Network("a", state_cluster.KEY)
            network.listen_address = "127.0.0.1:1"
            machine = machines.StateMachine()
            replica = replicas.Replica(
                "a",
                pathlib.Path(folder),
                network,
                machine,
                {"a": "127.0.0.1:1"},
                timing=timing,
            )
            async with trio.open_nursery() as nursery:
                began = time.perf_counter()
                await nursery.start(replica.run)
                seconds = time.perf_counter() - began
                if machine.applied_index == 0:
                    assert await replica.barrier(20.0) is None
                    async with trio.open_nursery() as writers:
                        for number in range(entries):
                            writers.start_soon(
                                replica.propose, _publish(number), 120.0
                            )
                    await trio.sleep(2 * timing.commit_save_seconds)
                nursery.cancel_scope.cancel()
        assert machine.applied_index >= entries
        began = time.perf_counter()
        machine.snapshot()
        return seconds * 1000, (time.perf_counter() - began) * 1000


def recovery() -> None:
    """Measure the times of recovery and snapshots by number of log entries."""
    rows = []
    for entries in LOG_SIZES:
        rows.append((entries, *trio.run(_recovery, entries)))
    headers = ("entries", "recovery ms", "snapshot ms")
    print(tabulate.tabulate(rows, headers, floatfmt=".1f"))
    for column, name in ((1, "recovery"), (2, "snapshot")):
        slope = statistics.linear_regression(
            [row[0] for row in rows], [row[column] for row in rows]
        ).slope
        print(f"slope of {name}: {slope * 1000:.1f} ms for 1000 entries")
    print()


def _allocated_bytes(jobs: int) -> int:
    gc.collect()
    tracemalloc.start()
    machine = machines.StateMachine()
    size = resources.Resources(1, 100)
    body = template.Template("r", template.Kind.BATCH, size)
    owner = customer.Customer("c", "team", customer.Urgency.NORMAL, (), {})
    setup: list[changes.Change] = [
        changes.PublishTemplate(_operation(0), 0, body),
        changes.SetCustomer(_operation(1), 0, owner),
        changes.TakeGrant("z1", "a", 0, 0),
    ]
    for number in range(jobs):
        name = f"job-{number:08d}"
        setup.append(
            changes.AcceptJob(_operation(number + 2), name, "c", "r", 1, 9.0)
        )
        start = changes.Start(
            f"{name}/0", 1, f"worker-{number % 790}", 1, "fits"
        )
        setup.append(changes.StartTasks("z1", 1, 1.0, [start]))
    for index, change in enumerate(setup, 1):
        machine.apply(index, changes.encode(change))
    setup.clear()
    gc.collect()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated


def memory() -> None:
    """Measure memory by number of jobs, each of which has a running task."""
    allocated = [_allocated_bytes(jobs) for jobs in JOB_SIZES]
    slope = statistics.linear_regression(JOB_SIZES, allocated).slope
    rows = [(jobs, size / 1e6) for jobs, size in zip(JOB_SIZES, allocated)]
    print(tabulate.tabulate(rows, ("jobs held", "MB"), floatfmt=".2f"))
    print(f"slope: {slope:.0f} bytes a job with its task and operation id\n")


def digest() -> None:
    """Compare the cost of the log's digest with that of applying changes."""
    rows = []
    for _ in range(ROUNDS):
        machine = machines.StateMachine()
        entries = [
            message.Entry(index, 1, message.EntryKind.CHANGE, _publish(index))
            for index in range(1, DIGEST_ENTRIES + 1)
        ]
        began = time.process_time()
        results = [
            machine.apply(entry.position, entry.data) for entry in entries
        ]
        applied = time.process_time() - began
        last_digest = 0
        began = time.process_time()
        for entry, result in zip(entries, results):
            last_digest = applier.next_digest(last_digest, entry, result)
        digested = time.process_time() - began
        rows.append((applied, digested))
    applied, digested = (statistics.median(values) for values in zip(*rows))
    scale = 1e6 / DIGEST_ENTRIES
    print(
        f"apply {applied * scale:.1f} us a change, digest"
        f" {digested * scale:.2f} us: {digested / applied:.1%} of it\n"
    )


def cost() -> None:
    """Measure the resources that instances use when idle and under load."""
    usages = state_cluster.measure(PHASES)
    headers = (
        "phase",
        "instance",
        "role",
        "processor ms/s",
        "sent bytes/s",
        "writes/s",
        "entries/s",
    )
    rows = sorted(usages, key=lambda usage: (usage.phase, usage.instance))
    print(tabulate.tabulate(rows, headers, floatfmt=".1f"))
    print()


def main(only: str = "") -> None:
    """Run all measurements, or one of them, and print the results.

    Args:
        only: Name of the measurement: commits, burst, recovery, memory, digest
            or cost; all if empty.
    """
    measurements = {
        "commits": commits,
        "burst": burst,
        "recovery": recovery,
        "memory": memory,
        "digest": digest,
        "cost": cost,
    }
    for name, measurement in measurements.items():
        if only in ("", name):
            measurement()


if __name__ == "__main__":
    fire.Fire(main)
