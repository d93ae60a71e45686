"""Cost of a change of the configuration that adds one route.

    python -m turmerichall.benchmarks.configuration_bytes

Three replicas in this process use loopback and real files.  Each row adds one
route to a configuration in force, with a change that holds the whole
configuration or only what differs.  Bytes sent are those of all replicas, from
the proposal until all have applied the change, with the heartbeats of that
time.  Processor time is that of all replicas together, without the decoding of
the operator's document, which has a column of its own.
"""

import pathlib
import statistics
import tempfile
import time
from typing import NamedTuple

import msgspec
import tabulate
import trio

from turmerichall.agreement import replica as replicas
from turmerichall.benchmarks import state_cluster
from turmerichall.peers import network as networks
from turmerichall.platform import configuration_document
from turmerichall.queues import change as changes
from turmerichall.queues import configuration_edits
from turmerichall.queues import configuration_revision
from turmerichall.queues import state as states

__all__ = ["measure"]

ROUTES = (2_700, 16_000)
TURNS = 3
PROPOSE_SECONDS = 60.0
# Rate of one instance, 2 Mbit/s.
BYTES_PER_SECOND = 250_000


class Cost(NamedTuple):
    """Cost of one change.

    Attributes:
        change_bytes: Size of the change.
        sent_bytes: Bytes that the replicas sent.
        log_bytes: Bytes by which the files of one replica grew.
        processor_seconds: Processor time of all replicas.
        decode_seconds: Processor time to decode the operator's document.
    """

    change_bytes: float
    sent_bytes: float
    log_bytes: float
    processor_seconds: float
    decode_seconds: float


def _document(version: int, routes: int) -> bytes:
    rows = [
        {
            "name": f"route-{number:05d}",
            "host": f"customer-{number % 97}.example",
            "path_prefix": f"/jobs/{number:05d}/",
            "service": "desk",
            "priority": number % 3,
            "max_attempts": 3,
            "stretch": 2.5,
            "target_latency_ms": 1500,
            "timeout_ms": 4000,
        }
        for number in range(routes)
    ]
    document = {
        "version": version,
        "services": [{"name": "desk", "health_path": "/health"}],
        "routes": rows,
        "limits": {"max_body_bytes": 65536},
    }
    return msgspec.json.encode(document)


def _describe(body: bytes) -> configuration_edits.Described:
    decoded = configuration_document.decode(body)
    assert not decoded.errors
    return configuration_edits.Described(decoded.configuration, body)


async def _start(
    nursery: trio.Nursery, folder: pathlib.Path
) -> tuple[replicas.Replica, list[states.QueueState]]:
    """Start three replicas; return the leader and the states of all."""
    links = {
        name: networks.Network(name, state_cluster.KEY)
        for name in state_cluster.NAMES
    }
    addresses = {
        name: await nursery.start(network.run, "127.0.0.1:0")
        for name, network in links.items()
    }
    machines = []
    members = []
    for name, network in links.items():
        network.set_addresses(addresses)
        machines.append(states.QueueState())
        members.append(
            replicas.Replica(
                name, folder / name, network, machines[-1], addresses
            )
        )
        await nursery.start(members[-1].run)
    while True:
        for member in members:
            if member.leader_term() and await member.barrier(1.0) is None:
                return member, machines
        await trio.sleep(0.1)


def _file_bytes(folder: pathlib.Path) -> int:
    files = (path for path in folder.rglob("*") if path.is_file())
    return sum(path.stat().st_size for path in files)


async def _commit(
    leader: replicas.Replica,
    machines: list[states.QueueState],
    change: changes.Change,
    version: int,
) -> int:
    """Commit a change and wait until all apply it; return its size."""
    encoded = changes.encode(change)
    result = await leader.propose(encoded, PROPOSE_SECONDS)
    assert isinstance(result, bytes)
    while any(each.configuration.version < version for each in machines):
        await trio.sleep(0.001)
    return len(encoded)


async def measure(
    routes: int, is_whole: bool, counter: state_cluster.TrafficCounter
) -> Cost:
    """Measure the change that adds one route.

    Args:
        routes: Number of routes before the change.
        is_whole: Whether the change holds the whole configuration.
        counter: Counts the bytes that are sent.
    """
    base = _describe(_document(1, routes))
    body = _document(2, routes + 1)
    began = time.process_time()
    new = _describe(body)
    decode_seconds = time.process_time() - began
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        async with trio.open_nursery() as nursery:
            leader, machines = await _start(nursery, folder)
            first = changes.SetConfiguration(*base)
            await _commit(leader, machines, first, 1)
            await trio.sleep(1.0)
            sent, stored = counter.sent, _file_bytes(folder)
            began = time.process_time()
            change: changes.Change = changes.SetConfiguration(*new)
            if not is_whole:
                change = configuration_revision.make(base, new)
            size = await _commit(leader, machines, change, 2)
            processor_seconds = time.process_time() - began
            assert all(each.document == body for each in machines)
            cost = Cost(
                size,
                counter.sent - sent,
                (_file_bytes(folder) - stored) / len(machines),
                processor_seconds,
                decode_seconds,
            )
            nursery.cancel_scope.cancel()
    return cost


def _main() -> None:
    counter = state_cluster.TrafficCounter()
    counter.install()
    rows = []
    for routes in ROUTES:
        turns: dict[bool, list[Cost]] = {True: [], False: []}
        for _ in range(TURNS):
            for is_whole, costs in turns.items():
                costs.append(trio.run(measure, routes, is_whole, counter))
        for is_whole, costs in turns.items():
            cost = Cost(*map(statistics.median, zip(*costs)))
            rows.append(
                [
                    f"{routes:,}",
                    "whole" if is_whole else "difference",
                    f"{cost.change_bytes:,.0f}",
                    f"{cost.sent_bytes:,.0f}",
                    f"{cost.sent_bytes / BYTES_PER_SECOND:.2f}",
                    f"{cost.log_bytes:,.0f}",
                    f"{1000 * cost.processor_seconds:.1f}",
                    f"{1000 * cost.decode_seconds:.1f}",
                ]
            )
    headers = [
        "Routes",
        "Change",
        "Its bytes",
        "Bytes sent",
        "s at 2 Mbit/s",
        "Log bytes each",
        "Processor ms",
        "Decoding ms",
    ]
    print(tabulate.tabulate(rows, headers, tablefmt="github"))


if __name__ == "__main__":
    _main()
