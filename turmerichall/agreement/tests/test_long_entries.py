"""Tests of entries that are too long for one frame of a connection."""

import random

import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.agreement import replica as replicas
from turmerichall.agreement.tests import cluster as clusters
from turmerichall.agreement.tests import instance
from turmerichall.peers import network as networks
from turmerichall.storage.tests import memory_files

WAIT_SECONDS = 20.0
LONG = b"long=" + bytes(5 * 1024 * 1024)


class _Machine:
    """State machine that keeps the sizes of the changes."""

    def __init__(self) -> None:
        self.sizes: list[int] = []

    def apply(self, index: int, data: bytes) -> bytes:
        self.sizes.append(len(data))
        return str(index).encode()

    def snapshot(self) -> bytes:
        return b""

    def restore(self, data: bytes) -> None:
        del data


class _Instance:
    """A replica on a connection of its own, which can be started again."""

    def __init__(self, name: str):
        self.name = name
        self.files = memory_files.MemoryFiles()
        self.machine = _Machine()
        self.network = networks.Network(name, instance.KEY)
        self._scopes: list[trio.CancelScope] = []
        self.replica: replicas.Replica | None = None

    async def connect(self, nursery: trio.Nursery, address: str) -> str:
        """Listen; return the address."""
        self.machine = _Machine()
        self.network = networks.Network(self.name, instance.KEY)

        async def run(*, task_status: trio.TaskStatus[str]) -> None:
            with self._scope():
                await self.network.run(address, task_status=task_status)

        listening: str = await nursery.start(run)
        return listening

    async def join(
        self, nursery: trio.Nursery, addresses: dict[str, str]
    ) -> None:
        """Start the replica."""
        self.network.set_addresses(addresses)
        replica = self.replica = replicas.Replica(
            self.name,
            None,
            self.network,
            self.machine,
            addresses,
            clusters.NullLog(),
            instance.TIMING,
            self.files,
            random.Random(self.name),
        )

        async def run(*, task_status: trio.TaskStatus[None]) -> None:
            with self._scope():
                await replica.run(task_status=task_status)

        await nursery.start(run)

    def _scope(self) -> trio.CancelScope:
        self._scopes.append(trio.CancelScope())
        return self._scopes[-1]

    def stop(self) -> None:
        """Stop it; the data folder stays."""
        for scope in self._scopes:
            scope.cancel()

    @property
    def leads(self) -> bool:
        """Whether it is the leader and has a current state."""
        return self.replica is not None and self.replica.leader_term() > 0


async def _wait_for_leader(instances: list[_Instance]) -> _Instance:
    with trio.fail_after(WAIT_SECONDS):
        while not any(each.leads for each in instances):
            await trio.sleep(0.01)
    return next(each for each in instances if each.leads)


async def _wait_until_applied(instances: list[_Instance]) -> None:
    with trio.fail_after(WAIT_SECONDS):
        while not all(len(LONG) in each.machine.sizes for each in instances):
            await trio.sleep(0.01)


async def _start(
    nursery: trio.Nursery,
) -> tuple[list[_Instance], dict[str, str]]:
    instances = [_Instance(name) for name in "abc"]
    addresses = {
        each.name: await each.connect(nursery, "127.0.0.1:0")
        for each in instances
    }
    for each in instances:
        await each.join(nursery, addresses)
    return instances, addresses


class TestLongEntry:
    """Each leader that sent it ended, and ended again whenever it led."""

    async def test_is_replicated(self, nursery: trio.Nursery) -> None:
        instances, _ = await _start(nursery)
        leader = await _wait_for_leader(instances)
        assert leader.replica is not None
        result = await leader.replica.propose(LONG, WAIT_SECONDS)
        assert isinstance(result, bytes)
        await _wait_until_applied(instances)

    async def test_in_a_data_folder_is_replicated_after_a_restart(
        self, nursery: trio.Nursery
    ) -> None:
        instances, addresses = await _start(nursery)
        leader = await _wait_for_leader(instances)
        followers = [each for each in instances if each is not leader]
        for each in followers:
            each.stop()
        assert leader.replica is not None
        result = await leader.replica.propose(LONG, 0.3)
        assert isinstance(result, outcomes.Unknown)
        leader.stop()
        await trio.testing.wait_all_tasks_blocked()
        # Only the former leader can be elected by these two.
        pair = [leader, followers[0]]
        for each in pair:
            await each.connect(nursery, addresses[each.name])
        for each in pair:
            await each.join(nursery, addresses)
        await _wait_until_applied(pair)


class TestSlowConnection:
    """Members that got no heartbeats beside a long entry elected a leader."""

    async def test_leader_stays_while_a_long_entry_is_sent(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        cluster = clusters.Cluster(nursery)
        await cluster.start_all()
        leader = await cluster.wait_for_leader()
        await cluster.put(leader, "ready=1")
        replica = cluster.replicas[leader]
        term = replica.state.term
        change = "k=" + "v" * 1024 * 1024
        seconds = 4 * (
            cluster.timing.election_seconds
            + cluster.timing.election_jitter_seconds
        )
        cluster.hub.bytes_per_second = len(change) / seconds
        results: list[object] = []

        async def propose() -> None:
            results.append(await replica.propose(change.encode(), 2 * seconds))

        nursery.start_soon(propose)
        await trio.sleep(seconds / 2)
        assert await replica.barrier(1.0) is None
        await cluster.wait_until(lambda: bool(results), 2 * seconds)
        assert isinstance(results[0], bytes)
        assert replica.state.term == term
        await cluster.wait_until_applied(change)
