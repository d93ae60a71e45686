"""Counterparts of the leader for `control_io`, in a process of their own.

    python -m turmerichall.benchmarks.control_io_peers workers
    python -m turmerichall.benchmarks.control_io_peers heartbeats ADDRESS COUNT
    python -m turmerichall.benchmarks.control_io_peers followers SEED...

`workers` answers the calls of all workers on one address, which it prints.
`heartbeats` sends heartbeats one after the other.  `followers` runs a replica
for each seed but the first, which is the leader's.
"""

import socket
import sys
from typing import Any

import msgspec
import trio

from turmerichall.agreement import replica as replicas
from turmerichall.agreement import replica_state
from turmerichall.dispatch import replica_daemon
from turmerichall.http1 import message
from turmerichall.http1 import server
from turmerichall.peers import network as networks
from turmerichall.storage import files as storage_files
from turmerichall.storage.tests import memory_files

__all__ = ["CLUSTER_KEY", "NullMachine", "RUNS", "WORKERS", "heartbeat"]

CLUSTER_KEY = b"key"
WORKERS = 246
# Runs that each worker lists, as (task, image or empty, tail or processors in
# use): as on the large deployment, most are best-effort.
RUNS = (
    ("00000000000000a0.0.0.0", 9),
    ("00000000000000a0.0.0.1", 11),
    ("00000000000000b0.0.0.0", 700),
    ("00000000000000b0.0.0.1", 700),
    ("00000000000000b0.0.0.2", 700),
    ("00000000000000c0.0.0.0", 800),
    ("00000000000000c0.0.0.1", 800),
)
# The followers never campaign, so that the measured process leads.
FOLLOWER_ELECTION_SECONDS = 600.0


class NullMachine:
    """State machine whose changes have no effect."""

    def apply(self, _position: int, _change: bytes) -> bytes:
        """See `replica_state.StateMachine`."""
        return b""

    def snapshot(self) -> bytes:
        """See `replica_state.StateMachine`."""
        return b""

    def restore(self, _snapshot: bytes) -> None:
        """See `replica_state.StateMachine`."""


def heartbeat(number: int, sequence: int) -> dict[str, Any]:
    """Return a heartbeat of a worker, as on the wire."""
    return {
        "service": "desk",
        "address": f"127.0.0.1:{10_000 + number}",
        "zone": "kingston-hall",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
        "labels": ["a", "r1-3"],
        "machine": f"m-{number}",
        "clock_ms": 482_113 + sequence,
        "seq": sequence,
    }


class _Workers:
    """Answers of all workers; a poll is answered at once."""

    def __init__(self) -> None:
        self.clock_ms = 482_113

    async def answer(self, request: message.Request) -> message.Response:
        """Carry out an order, or answer a poll."""
        self.clock_ms += 1
        body: dict[str, Any] = {"clock_ms": self.clock_ms}
        if request.target == "/v1/hold":
            body["running"] = [[task, 1, "", 40, load] for task, load in RUNS]
            body["ended_runs"] = []
        return message.Response(200, msgspec.json.encode(body))


async def _serve_workers() -> None:
    async with trio.open_nursery() as nursery:
        workers = server.Server(_Workers().answer)
        print(await nursery.start(workers.run, "127.0.0.1:0"), flush=True)


def _send_heartbeats(address: str, count: int) -> None:
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as connection:
        for sequence in range(count):
            number = sequence % WORKERS
            body = msgspec.json.encode(heartbeat(number, sequence))
            head = (
                f"POST /v1/instances/i-{number:08x}/heartbeat HTTP/1.1\r\n"
                f"host: {address}\r\ncontent-type: application/json\r\n"
                f"content-length: {len(body)}\r\n\r\n"
            )
            connection.sendall(head.encode() + body)
            answer = connection.recv(65536)
            assert answer.startswith(b"HTTP/1.1 200"), answer


async def _follow(seeds: list[str]) -> None:
    timing = replica_daemon.TIMING._replace(
        election_seconds=FOLLOWER_ELECTION_SECONDS
    )
    async with trio.open_nursery() as nursery:
        for seed in seeds[1:]:
            # A sync takes a fixed time, so that runs compare.
            await start_replica(
                nursery, seed, seeds, memory_files.MemoryFiles(), timing
            )
        print("ready", flush=True)


async def start_replica(
    nursery: trio.Nursery,
    own: str,
    seeds: list[str],
    files: storage_files.Files,
    timing: replica_state.Timing,
) -> replicas.Replica:
    """Start one of the replicas that found a cluster.

    Args:
        nursery: Nursery in which it runs.
        own: Its address, host:port, which is its name.
        seeds: Addresses of all replicas.
        files: Files of its data folder.
        timing: Its periods and limits.
    """
    members = {seed: seed for seed in seeds}
    network = networks.Network(
        own, CLUSTER_KEY, members, timing=replica_daemon.CONNECTION_TIMING
    )
    replica = replicas.Replica(
        own,
        None,
        network,
        NullMachine(),
        bootstrap_members=members,
        timing=timing,
        files=files,
        max_voters=len(seeds),
    )
    await nursery.start(network.run, own, own)
    await nursery.start(replica.run)
    return replica


def main() -> None:
    """Run the counterpart that the command line names."""
    mode, *arguments = sys.argv[1:]
    if mode == "workers":
        trio.run(_serve_workers)
    elif mode == "heartbeats":
        _send_heartbeats(arguments[0], int(arguments[1]))
    else:
        trio.run(_follow, arguments)


if __name__ == "__main__":
    main()
