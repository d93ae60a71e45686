"""Tests of calls that are in progress when a replica leaves consensus."""

import errno

import trio
import trio.testing

from turmerichall.agreement import replica_state
from turmerichall.agreement.tests import cluster as clusters
from turmerichall.storage.tests import memory_files

Clock = trio.testing.MockClock
TIMING = replica_state.Timing(snapshot_entries=40)
SLOW_SYNC_SECONDS = 1.0


class _NoSnapshots(memory_files.MemoryFiles):
    """Data folder whose disk has no room for a snapshot."""

    def replace(self, name: str, data: bytes) -> None:
        if name == "snapshot" and self.full:
            raise OSError(errno.ENOSPC, "no space left")
        full, self.full = self.full, False
        super().replace(name, data)
        self.full = full

    def append(self, name: str, data: bytes) -> None:
        full, self.full = self.full, False
        super().append(name, data)
        self.full = full


class TestCallsInProgress:

    # Appends that were waiting for the journal never ended; each of them held
    # one of the calls that a connection may have in progress.
    async def test_they_end_when_a_snapshot_can_not_be_written(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster = clusters.Cluster(nursery, timing=TIMING)
        for name in cluster.names:
            cluster.files[name] = _NoSnapshots()
        await cluster.start_all()
        leader = await cluster.wait_for_leader()
        name = [each for each in cluster.names if each != leader][0]
        failed = cluster.replicas[name]
        network = cluster.hub.networks[name]
        handler = network.handlers["append"]
        running = 0

        async def counted(sender: str, body: bytes) -> bytes | None:
            nonlocal running
            running += 1
            try:
                return await handler(sender, body)
            finally:
                running -= 1

        network.handlers["append"] = counted
        for number in range(30):
            await cluster.put(leader, f"k={number}")
        cluster.files[name].sync_seconds = SLOW_SYNC_SECONDS
        cluster.files[name].full = True
        with trio.fail_after(60.0):
            while not failed.status().stopped:
                await cluster.put(leader, "k=last")
        await trio.sleep(60.0)
        assert running == 0
