"""A replica as a process, for tests with signals.

python -m turmerichall.agreement.tests.instance NAME FOLDER ADDRESSES
"""

import json
import pathlib
import sys

import trio

from turmerichall.agreement import replica
from turmerichall.agreement import replica_state
from turmerichall.agreement.tests import cluster as clusters
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
    """Handles the reads and writes of a test client."""

    def __init__(
        self, own_replica: replica.Replica, machine: clusters.KeyValueMachine
    ):
        self.replica = own_replica
        self.machine = machine

    async def put(self, _: str, body: bytes) -> bytes:
        """Propose a change; answer `ok` only if it was accepted."""
        result = await self.replica.propose(body, 2.0)
        return b"ok" if isinstance(result, bytes) else b""

    async def read(self, _: str, body: bytes) -> bytes:
        """Answer with the current value; empty if the read failed."""
        if await self.replica.barrier(2.0) is not None:
            return b""
        return self.machine.values.get(body.decode(), "none").encode()

    async def leader(self, _: str, __: bytes) -> bytes:
        """Answer with the name of the leader; empty if it is not known."""
        return self.replica.status().leader.encode()


async def _main(name: str, folder: str, addresses: dict[str, str]) -> None:
    others = network.Network(name, KEY, addresses)
    machine = clusters.KeyValueMachine()
    own_replica = replica.Replica(
        name, pathlib.Path(folder), others, machine, addresses, timing=TIMING
    )
    instance = _Instance(own_replica, machine)
    others.handle("put", instance.put)
    others.handle("read", instance.read)
    others.handle("leader", instance.leader)
    async with trio.open_nursery() as nursery:
        await nursery.start(others.run, addresses[name])
        nursery.start_soon(own_replica.run)


if __name__ == "__main__":
    trio.run(_main, sys.argv[1], sys.argv[2], json.loads(sys.argv[3]))
