"""Benchmark of sending the replicated log to instances without a disk.

    python -m turmerichall.benchmarks.fan_out [--observers 19]

Three replicas and a number of instances without a disk (observers) run as
processes in ten zones.  The leader proposes 44 changes a second, each of which
starts ten tasks.  With a tree, the instances relay the log among themselves;
without one, each instance receives it from a replica.
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
SETTLE_SECONDS = 5.0


class _ProcessArguments(NamedTuple):
    """Arguments of the process of one instance.

    Attributes:
        name: Name of the instance.
        addresses: Addresses of all instances by name.
        folder: Folder for the data of replicas.
        zones: Zones of all instances by name; empty to run without a tree.
        starts_at: Wall-clock time at which the load starts.
    """

    name: str
    addresses: dict[str, str]
    folder: str
    zones: dict[str, str]
    starts_at: float


class _InstanceResult(NamedTuple):
    """Measurements of the process of one instance.

    Attributes:
        usage: Resources that the instance used under load.
        applied: Monotonic time at which it applied each change, by position in
            the log.
        committed: Monotonic time at which each of its own proposals was
            committed, by position in the log.
    """

    usage: state_cluster.ResourceUsage
    applied: dict[int, float]
    committed: dict[int, float]


class _TimestampingStateMachine(machines.StateMachine):
    """A state machine that records when each change is applied."""

    def __init__(self) -> None:
        super().__init__()
        self.applied_at: dict[int, float] = {}

    def apply(self, index: int, data: bytes) -> bytes:
        self.applied_at[index] = time.monotonic()
        return super().apply(index, data)


async def _instance(arguments: _ProcessArguments) -> _InstanceResult:
    traffic = state_cluster.TrafficCounter()
    traffic.install()
    is_replica = arguments.name in state_cluster.NAMES
    founder_addresses = {
        name: arguments.addresses[name] for name in state_cluster.NAMES
    }
    peers = {
        k: v for k, v in arguments.addresses.items() if k != arguments.name
    }
    network = networks.Network(arguments.name, state_cluster.KEY, peers)
    machine = _TimestampingStateMachine()
    folder = (
        pathlib.Path(arguments.folder) / arguments.name if is_replica else None
    )
    replica = replicas.Replica(
        arguments.name,
        folder,
        network,
        machine,
        founder_addresses if is_replica else {},
        zones=lambda: arguments.zones,
    )
    committed: dict[int, float] = {}

    def on_result(result: bytes) -> None:
        position = changes.decode_result(result).position
        committed[position] = time.monotonic()

    async with trio.open_nursery() as nursery:
        await nursery.start(network.run, arguments.addresses[arguments.name])
        await nursery.start(replica.run)
        await trio.sleep(arguments.starts_at - time.time())
        usage = await state_cluster.measure_phase(
            replica, LOAD, traffic, arguments.name, on_result
        )
        await trio.sleep(SETTLE_SECONDS)
        nursery.cancel_scope.cancel()
    return _InstanceResult(usage, machine.applied_at, committed)


def _process(arguments: _ProcessArguments) -> _InstanceResult:
    return trio.run(_instance, arguments)


def _run(observers: int, tree: bool) -> list[_InstanceResult]:
    names = [f"o{number:02}" for number in range(observers)]
    names = [*state_cluster.NAMES, *names]
    zones = {name: f"z{place % ZONES}" for place, name in enumerate(names)}
    addresses = state_cluster.free_addresses(tuple(names))
    with tempfile.TemporaryDirectory() as folder:
        starts_at = time.time() + STARTUP_SECONDS
        all_arguments = [
            _ProcessArguments(
                name, addresses, folder, zones if tree else {}, starts_at
            )
            for name in names
        ]
        context = multiprocessing.get_context("spawn")
        with context.Pool(len(names)) as pool:
            return pool.map(_process, all_arguments, chunksize=1)


def _row(
    label: str, observers: int, results: list[_InstanceResult]
) -> list[object]:
    """Return the row of the printed table for one run."""
    leading = replica_state.Role.LEADER.value
    leader = next(each for each in results if each.usage.role == leading)
    followers = [each for each in results if each.usage.role != leading]
    apply_delays = [
        max(each.applied.get(position, float("inf")) for each in results) - at
        for position, at in leader.committed.items()
    ]
    max_follower_bytes = max(each.usage.sent_bytes for each in followers)
    return [
        label,
        observers,
        f"{leader.usage.processor_ms:.0f}",
        f"{leader.usage.sent_bytes:,.0f}",
        f"{max_follower_bytes:,.0f}",
        f"{leader.usage.changes:.0f}",
        f"{statistics.median(apply_delays) * 1000:.0f}",
        f"{max(apply_delays) * 1000:.0f}",
    ]


def main(observers: int = 19, turns: int = 2, trees: str = "no,yes") -> None:
    """Print a row for each run, in turn without and with the tree.

    Args:
        observers: Number of instances without a disk.
        turns: Number of runs with the tree and of runs without it.
        trees: Whether to run with the tree: "no", "yes" or both, separated by
            a comma.
    """
    rows = []
    for _ in range(turns):
        for tree in trees.split(","):
            results = _run(observers, tree == "yes")
            rows.append(_row(f"tree: {tree}", observers, results))
    headers = [
        "", "Observers", "Leader ms/s", "Leader B/s", "Most B/s of others",
        "Changes/s", "Last has it, median ms", "longest ms",
    ]  # fmt: skip
    print(tabulate.tabulate(rows, headers=headers, tablefmt="github"))


if __name__ == "__main__":
    fire.Fire(main)
