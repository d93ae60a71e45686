"""Tests of a cluster of replicas."""

import trio
import trio.testing

from turmerichall.agreement.tests import cluster


class TestReplication:

    async def test_change_through_any_instance_reaches_all(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        made = cluster.Cluster(nursery)
        await made.start_all()
        await made.leader()
        for name in made.names:
            await made.put(name, f"{name}=1")
            assert made.values(name)[name] == "1"
        await made.start("z", disk=False)
        await made.put("z", "z=2")
        await made.settled("z=2")
        applied = [made.machines[name].snapshot() for name in "abcz"]
        assert len(set(applied)) == 1
