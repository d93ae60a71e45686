"""Tests of a replica whose disk fills up."""

import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.agreement import disk_pressure
from turmerichall.agreement import replica_state
from turmerichall.agreement.tests import cluster as clusters
from turmerichall.agreement.tests import test_log_size

Clock = trio.testing.MockClock

NO_ROOM = outcomes.RefusalReason.NO_ROOM
LARGE = "x" * disk_pressure.LARGE_CHANGE_BYTES


class TestGrowingState:

    # The replicas of a cluster fill their disks at the same time, and none of
    # them comes back from a full one.
    async def test_large_changes_are_refused_before_the_disk_is_full(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        disk_bytes = 4_000_000
        timing = replica_state.Timing().fitted_to(disk_bytes, 0)
        cluster = clusters.Cluster(
            nursery, 1, timing=timing, log=test_log_size.RecordingLog
        )
        cluster.files["a"] = test_log_size.LimitedFiles(disk_bytes)
        await cluster.start_all()
        await cluster.wait_for_leader()
        replica = cluster.replicas["a"]
        log = cluster.logs["a"]
        assert isinstance(log, test_log_size.RecordingLog)
        accepted = 0
        while not any("almost full" in line for line in log.messages):
            medium = f"{accepted}={LARGE[: len(LARGE) // 2]}"
            assert await cluster.put("a", medium)
            accepted += 1
            await trio.sleep(disk_pressure.CHECK_SECONDS)
        assert accepted > 20
        assert "disk is filling up" in log.messages
        assert replica.is_disk_almost_full()
        refused = await replica.propose(f"large={LARGE}".encode())
        assert isinstance(refused, outcomes.Refusal)
        assert refused.reason == NO_ROOM
        # The work of the leader consists of small changes.
        for number in range(100):
            assert await cluster.put("a", f"small={number}")
        cluster.kill("a")
        await cluster.start("a")
        await cluster.wait_until_applied("small=99")
        assert "large" not in cluster.values("a")


class TestUnappliedChanges:

    # Compaction can't remove them, and each replica holds them in memory.
    async def test_large_ones_are_refused_beyond_a_size(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        timing = replica_state.Timing(snapshot_bytes=3 * len(LARGE))
        cluster = clusters.Cluster(nursery, timing=timing)
        await cluster.start_all()
        leader = await cluster.wait_for_leader()
        cluster.hub.isolate(leader, set(cluster.names))
        reasons = []

        async def propose(number: int) -> None:
            change = f"{number}={LARGE}".encode()
            result = await cluster.replicas[leader].propose(change, 0.5)
            assert not isinstance(result, bytes)
            reasons.append(result.reason)

        async with trio.open_nursery() as proposing:
            for number in range(4):
                proposing.start_soon(propose, number)
        assert reasons.count(NO_ROOM) == 2
