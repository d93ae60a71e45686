"""Tests of a cluster of replicas."""

import trio
import trio.testing

from turmerichall.agreement.tests import cluster as clusters


class TestReplication:

    async def test_change_through_any_instance_reaches_all(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        cluster = clusters.Cluster(nursery)
        await cluster.start_all()
        await cluster.wait_for_leader()
        for name in cluster.names:
            await cluster.put(name, f"{name}=1")
            assert cluster.values(name)[name] == "1"
        await cluster.start("z", disk=False)
        await cluster.put("z", "z=2")
        await cluster.wait_until_applied("z=2")
        applied = [cluster.machines[name].snapshot() for name in "abcz"]
        assert len(set(applied)) == 1
