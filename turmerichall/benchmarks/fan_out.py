"""Measures what the leader spends on instances without a disk.

    python -m turmerichall.benchmarks.fan_out [--observers 19]

Three replicas and a number of instances without a disk run as processes, in ten
zones.  The leader is given 44 changes of ten starts a second.  With a tree, the
instances pass the log on among them; without one, each follows a replica.
"""

import multiprocessing
import pathlib
import statistics
import tempfile
import time
from typing import NamedTuple

import fire
import tabulate
import trio

from turmerichall.agreement import replica as replicas
from turmerichall.agreement import replica_state
from turmerichall.benchmarks import state_cluster
from turmerichall.peers import network as networks
from turmerichall.state import change as changes
from turmerichall.state import machine as machines

__all__ = ["main"]

ZONES = 10
STARTUP_SECONDS = 12.0
LOAD = state_cluster.Phase("load", 44, 10, 10.0)
REST_SECONDS = 5.0


class _Job(NamedTuple):
    """What one process is told."""

    name: str
    addresses: dict[str, str]
    folder: str
    zones: dict[str, str]
    begins_at: float


class _Seen(NamedTuple):
    """What one process measured.

    Attributes:
        spent: What it spent.
        applied: When it applied each change, by position, monotonic time.
        committed: When it had each change that it proposed committed.
    """

    spent: state_cluster.Spent
    applied: dict[int, float]
    committed: dict[int, float]


class _Watched(machines.StateMachine):
    """Notes when each change is applied."""

    def __init__(self) -> None:
        super().__init__()
        self.seen: dict[int, float] = {}

    def apply(self, index: int, data: bytes) -> bytes:
        self.seen[index] = time.monotonic()
        return super().apply(index, data)


async def _instance(job: _Job) -> _Seen:
    traffic = state_cluster.Traffic()
    traffic.install()
    is_replica = job.name in state_cluster.NAMES
    founding = {name: job.addresses[name] for name in state_cluster.NAMES}
    others = {k: v for k, v in job.addresses.items() if k != job.name}
    network = networks.Network(job.name, state_cluster.KEY, others)
    machine = _Watched()
    folder = pathlib.Path(job.folder) / job.name if is_replica else None
    replica = replicas.Replica(
        job.name,
        folder,
        network,
        machine,
        founding if is_replica else {},
        zones=lambda: job.zones,
    )
    committed: dict[int, float] = {}

    def note(result: bytes) -> None:
        position = changes.decode_result(result).position
        committed[position] = time.monotonic()

    async with trio.open_nursery() as nursery:
        await nursery.start(network.run, job.addresses[job.name])
        await nursery.start(replica.run)
        await trio.sleep(job.begins_at - time.time())
        spent = await state_cluster.measure_phase(
            replica, LOAD, traffic, job.name, note
        )
        await trio.sleep(REST_SECONDS)
        nursery.cancel_scope.cancel()
    return _Seen(spent, machine.seen, committed)


def _process(job: _Job) -> _Seen:
    return trio.run(_instance, job)


def _run(observers: int, tree: bool) -> list[_Seen]:
    names = [f"o{number:02}" for number in range(observers)]
    names = [*state_cluster.NAMES, *names]
    zones = {name: f"z{place % ZONES}" for place, name in enumerate(names)}
    addresses = state_cluster.free_addresses(tuple(names))
    with tempfile.TemporaryDirectory() as folder:
        begins_at = time.time() + STARTUP_SECONDS
        jobs = [
            _Job(name, addresses, folder, zones if tree else {}, begins_at)
            for name in names
        ]
        context = multiprocessing.get_context("spawn")
        with context.Pool(len(names)) as pool:
            return pool.map(_process, jobs, chunksize=1)


def _row(label: str, observers: int, seen: list[_Seen]) -> list[object]:
    """Returns a row of the table."""
    leading = replica_state.Role.LEADER.value
    leader = next(each for each in seen if each.spent.role == leading)
    following = [each for each in seen if each.spent.role != leading]
    late = [
        max(each.applied.get(position, float("inf")) for each in seen) - at
        for position, at in leader.committed.items()
    ]
    most = max(each.spent.sent_bytes for each in following)
    return [
        label,
        observers,
        f"{leader.spent.processor_ms:.0f}",
        f"{leader.spent.sent_bytes:,.0f}",
        f"{most:,.0f}",
        f"{leader.spent.changes:.0f}",
        f"{statistics.median(late) * 1000:.0f}",
        f"{max(late) * 1000:.0f}",
    ]


def main(observers: int = 19, turns: int = 2, trees: str = "no,yes") -> None:
    """Prints a row for each turn without and with the tree."""
    rows = []
    for _ in range(turns):
        for tree in trees.split(","):
            seen = _run(observers, tree == "yes")
            rows.append(_row(f"tree: {tree}", observers, seen))
    headers = [
        "", "Observers", "Leader ms/s", "Leader B/s", "Most B/s of others",
        "Changes/s", "Last has it, median ms", "longest ms",
    ]  # fmt: skip
    print(tabulate.tabulate(rows, headers=headers, tablefmt="github"))


if __name__ == "__main__":
    fire.Fire(main)
