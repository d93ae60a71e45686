"""Losses that follow each other as soon as the platform allows them."""

from collections.abc import Callable

import pytest
import trio
import trio.testing

from turmerichall.agreement import member
from turmerichall.agreement.tests import cluster as clusters
from turmerichall.agreement.tests import losses_run

Clock = trio.testing.MockClock
CATCH_UP_SECONDS = 4.0
SEEDS = 200
SEEDS_PER_TEST = 10


@pytest.fixture(name="cluster")
async def _cluster(
    nursery: trio.Nursery, autojump_clock: Clock
) -> clusters.Cluster:
    cluster = clusters.Cluster(nursery, timing=losses_run.TIMING, max_voters=3)
    await cluster.start_all()
    leader = await cluster.wait_for_leader()
    await cluster.put(leader, "k=1")
    await cluster.wait_until_applied("k=1")
    return cluster


async def _lose_disk(cluster: clusters.Cluster, name: str) -> None:
    cluster.kill(name)
    cluster.wipe(name)
    await trio.sleep(1.0)
    # The cluster was bootstrapped before.
    cluster.names = []
    await cluster.start(name)


def _choose(cluster: clusters.Cluster, role: str) -> tuple[str, str]:
    """Return the replica to remove and the next one that loses its disk."""
    leader = cluster.leaders()[0]
    first, second = (name for name in cluster.names if name != leader)
    return {
        "followers": (first, second),
        "leader first": (leader, first),
        "leader second": (first, leader),
    }[role]


async def _assert_serves(cluster: clusters.Cluster) -> None:
    """Assert that a leader is found that has all changes."""
    with trio.fail_after(12.0):
        leader = await cluster.wait_for_leader()
        await cluster.put(leader, "k2=2")
        await cluster.wait_until_applied("k=1")


ROLES = pytest.mark.parametrize(
    "role", ["followers", "leader first", "leader second"]
)


class TestDiskLostAfterAReplacement:

    @ROLES
    @pytest.mark.parametrize("second_after", [0.0, 0.3])
    async def test_planned(
        self, cluster: clusters.Cluster, role: str, second_after: float
    ) -> None:
        removed, lost = _choose(cluster, role)
        await cluster.start("d")
        await trio.sleep(CATCH_UP_SECONDS)
        await losses_run.stop(cluster, removed)
        await trio.sleep(second_after)
        await _lose_disk(cluster, lost)
        await _assert_serves(cluster)

    @ROLES
    @pytest.mark.parametrize("power", [True, False])
    async def test_unplanned(
        self, cluster: clusters.Cluster, role: str, power: bool
    ) -> None:
        removed, lost = _choose(cluster, role)
        cluster.kill(removed)
        if not power:
            cluster.hub.silent.add(removed)
        await cluster.start("d")
        await trio.sleep(CATCH_UP_SECONDS)
        await _lose_disk(cluster, lost)
        await _assert_serves(cluster)

    @ROLES
    async def test_during_the_drain(
        self, nursery: trio.Nursery, cluster: clusters.Cluster, role: str
    ) -> None:
        removed, lost = _choose(cluster, role)
        await cluster.start("d")
        await trio.sleep(CATCH_UP_SECONDS)
        nursery.start_soon(losses_run.stop, cluster, removed)
        await trio.sleep(0.005)
        await _lose_disk(cluster, lost)
        await cluster.wait_until(lambda: removed not in cluster.replicas)
        await _assert_serves(cluster)


class TestVote:

    @pytest.fixture(name="voters")
    def _voters(self, cluster: clusters.Cluster) -> Callable[[], set[str]]:
        return lambda: {
            each.name
            for leader in cluster.leaders()
            for each in cluster.replicas[leader].status().members
        }

    async def test_restart_without_a_standby_is_not_delayed(
        self, cluster: clusters.Cluster, voters: Callable[[], set[str]]
    ) -> None:
        began = trio.current_time()
        restarted = _choose(cluster, "followers")[0]
        await losses_run.stop(cluster, restarted)
        assert trio.current_time() - began < 0.1
        await cluster.start(restarted)
        await _assert_serves(cluster)
        assert voters() == {"a", "b", "c"}

    @ROLES
    async def test_restarted_replica_takes_over_the_next_vote(
        self,
        cluster: clusters.Cluster,
        voters: Callable[[], set[str]],
        role: str,
    ) -> None:
        await cluster.start("d")
        await trio.sleep(CATCH_UP_SECONDS)
        first, second = _choose(cluster, role)
        for name in (first, second):
            await losses_run.stop(cluster, name)
            assert name not in voters() and len(voters()) == 3
            await trio.sleep(1.0)
            await cluster.start(name)
            await trio.sleep(1.0)
        assert voters() == {"a", "b", "c", "d"} - {second}

    async def test_learner_gone_for_good_is_removed(
        self, cluster: clusters.Cluster
    ) -> None:
        await cluster.start("d")
        await trio.sleep(CATCH_UP_SECONDS)
        removed = _choose(cluster, "leader first")[0]
        await losses_run.stop(cluster, removed)
        await trio.sleep(40.0)
        members = cluster.replicas["d"].status()
        assert not member.with_name(members.members, removed)
        assert members.learners == ()


class TestHistory:

    @pytest.mark.parametrize("first", range(0, SEEDS, SEEDS_PER_TEST))
    def test_next_losses_are_borne(self, first: int) -> None:
        for seed in range(first, first + SEEDS_PER_TEST):
            report = losses_run.run(seed)
            assert not report.findings, report
