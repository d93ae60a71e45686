"""One replica as a process of its own, for tests with signals.

python -m turmerichall.agreement.tests.instance NAME FOLDER ADDRESSES
"""

import json
import pathlib
import sys

import trio

from turmerichall.agreement import replica
from turmerichall.agreement import replica_state
from turmerichall.agreement.tests import cluster
from turmerichall.peers import network

__all__ = ["KEY"]

KEY = b"test"
TIMING = replica_state.Timing(
    heartbeat_seconds=0.1,
    election_seconds=0.6,
    election_jitter_seconds=0.6,
    call_seconds=0.5,
)


class _Instance:
    """Serves reads and writes of the test."""

    def __init__(self, made: replica.Replica, machine: cluster.KeyValues):
        self.replica = made
        self.machine = machine

    async def put(self, _: str, body: bytes) -> bytes:
        """Answers `ok` only if the change was accepted."""
        result = await self.replica.propose(body, 2.0)
        return b"ok" if isinstance(result, bytes) else b""

    async def read(self, _: str, body: bytes) -> bytes:
        """Answers with the current value, or nothing."""
        if await self.replica.barrier(2.0) is not None:
            return b""
        return self.machine.values.get(body.decode(), "none").encode()

    async def leader(self, _: str, __: bytes) -> bytes:
        """Answers with the leader's name, or nothing."""
        return self.replica.status().leader.encode()


async def _main(name: str, folder: str, addresses: dict[str, str]) -> None:
    others = network.Network(name, KEY, addresses)
    machine = cluster.KeyValues()
    made = replica.Replica(
        name, pathlib.Path(folder), others, machine, addresses, timing=TIMING
    )
    instance = _Instance(made, machine)
    others.handle("put", instance.put)
    others.handle("read", instance.read)
    others.handle("leader", instance.leader)
    async with trio.open_nursery() as nursery:
        await nursery.start(others.run, addresses[name])
        nursery.start_soon(made.run)


if __name__ == "__main__":
    trio.run(_main, sys.argv[1], sys.argv[2], json.loads(sys.argv[3]))
