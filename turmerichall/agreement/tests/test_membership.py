"""Tests of bootstrap and membership changes."""

import functools

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.agreement import member
from turmerichall.agreement import replica_state
from turmerichall.agreement.tests import cluster as clusters

Clock = trio.testing.MockClock
SMALL_LIMITS = replica_state.Timing(
    snapshot_entries=40, retained_entries=10, part_bytes=256, batch_bytes=256
)


async def _start_cluster(
    nursery: trio.Nursery, size: int = 3
) -> tuple[clusters.Cluster, str]:
    cluster = clusters.Cluster(nursery, size, timing=SMALL_LIMITS)
    await cluster.start_all()
    return cluster, await cluster.wait_for_leader()


def _voters(cluster: clusters.Cluster, name: str) -> dict[str, str]:
    members = cluster.replicas[name].status().members
    return {each.name: each.identity for each in members}


def _others(cluster: clusters.Cluster, name: str) -> list[str]:
    return [other for other in sorted(cluster.replicas) if other != name]


def _votes(cluster: clusters.Cluster, witness: str, name: str) -> bool:
    return name in _voters(cluster, witness)


async def _wait_until_replaced(
    cluster: clusters.Cluster,
    name: str,
    old: str,
    among: set[str] | None = None,
) -> None:
    """Wait until an instance is a voter with a new identity."""
    witnesses = among or set(cluster.replicas)
    await cluster.wait_until(
        lambda: all(
            _voters(cluster, each).get(name, old) != old for each in witnesses
        )
    )


class TestBootstrap:

    async def test_waits_for_all_initial_members(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster = clusters.Cluster(nursery)
        await cluster.start("a")
        await cluster.start("b")
        await trio.sleep(60.0)
        assert not cluster.leaders()
        await cluster.start("c")
        await cluster.wait_for_leader()

    async def test_lost_disks_do_not_bootstrap_a_second_cluster(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        await cluster.put(leader, "k=1")
        await cluster.wait_until_applied("k=1")
        for name in "ab":
            cluster.kill(name)
            cluster.wipe(name)
        cluster.hub.isolate("c", {"a", "b"})
        await cluster.start("a")
        await cluster.start("b")
        await trio.sleep(300.0)
        cluster.hub.heal()
        await trio.sleep(300.0)
        assert not cluster.leaders()
        assert cluster.values("c") == {"k": "1"}


class TestLostDisk:

    async def test_instance_rejoins_with_a_new_identity(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        for number in range(100):
            await cluster.put(leader, f"k{number}=1")
        lost = _others(cluster, leader)[0]
        old = _voters(cluster, leader)[lost]
        cluster.kill(lost)
        cluster.wipe(lost)
        await cluster.start(lost)
        await _wait_until_replaced(cluster, lost, old)
        await cluster.put(lost, "k=2")
        await cluster.wait_until_applied("k=2")
        assert len(cluster.values(lost)) == 101
        assert len(cluster.replicas[leader].status().members) == 3

    async def test_new_identity_does_not_vote_as_the_old_one(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        lost, lagging = _others(cluster, leader)
        cluster.hub.isolate(lagging, set(cluster.names))
        await cluster.put(leader, "k=1")
        for name in (lost, leader):
            cluster.kill(name)
        cluster.wipe(lost)
        cluster.hub.heal()
        # The two running instances are a majority by name, but only one of
        # them still has its identity.
        await cluster.start(lost)
        await trio.sleep(300.0)
        assert not cluster.leaders()
        await cluster.start(leader)
        await cluster.wait_until_applied("k=1")

    @pytest.mark.parametrize("second", ["leader", "follower"])
    @pytest.mark.parametrize("moment", ["during", "after"])
    async def test_no_change_is_lost_with_a_second_disk(
        self,
        nursery: trio.Nursery,
        autojump_clock: Clock,
        moment: str,
        second: str,
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        for number in range(100):
            await cluster.put(leader, f"k{number}=1")
        first, other = _others(cluster, leader)
        next_lost = leader if second == "leader" else other
        old = _voters(cluster, leader)
        cluster.kill(first)
        cluster.wipe(first)
        await cluster.start(first)
        if moment == "during":
            status = cluster.replicas[leader].status
            await cluster.wait_until(lambda: status().learners != ())
        else:
            await _wait_until_replaced(
                cluster, first, old[first], {leader, other}
            )
        cluster.kill(next_lost)
        if moment == "during":
            # Until the first disk is replaced, two of three disks hold all
            # entries; the one killed here returns with its disk.
            await trio.sleep(60.0)
            await cluster.start(next_lost)
        else:
            cluster.wipe(next_lost)
            await cluster.start(next_lost)
            await _wait_until_replaced(cluster, next_lost, old[next_lost])
        await cluster.put(first, "last=1")
        await cluster.wait_until_applied("last=1")
        for name in cluster.names:
            assert len(cluster.values(name)) == 101

    async def test_replica_whose_join_was_not_committed_joins_again(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery, size=5)
        await cluster.put(leader, "k=1")
        await cluster.wait_until_applied("k=1")
        lost, *rest = _others(cluster, leader)
        old = _voters(cluster, leader)[lost]
        cluster.kill(lost)
        cluster.wipe(lost)
        for name in (leader, lost):
            cluster.hub.isolate(name, set(rest))
        again = await cluster.start(lost)
        await cluster.wait_until(lambda: again.status().members != ())
        new = await cluster.wait_for_leader(set(rest))
        await cluster.put(new, "k=2")
        cluster.hub.heal()
        await _wait_until_replaced(cluster, lost, old)
        await cluster.wait_until_applied("k=2")

    async def test_five_members_lose_two_disks_at_once(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery, size=5)
        await cluster.put(leader, "k=1")
        old = _voters(cluster, leader)
        lost = _others(cluster, leader)[:2]
        for name in lost:
            cluster.kill(name)
            cluster.wipe(name)
        for name in lost:
            await cluster.start(name)
        for name in lost:
            await _wait_until_replaced(cluster, name, old[name])
        await cluster.wait_until_applied("k=1")
        assert len(_voters(cluster, leader)) == 5


class TestOperators:

    async def test_grow_and_shrink(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        for number in range(60):
            await cluster.put(leader, f"k{number}=1")
        requester = cluster.replicas[_others(cluster, leader)[0]]
        for name in "de":
            await cluster.start(name)
            added = await requester.change_members(
                clusters.ADD, name, f"{name}:1"
            )
            assert isinstance(added, tuple) and not isinstance(
                added, (outcomes.Refusal, outcomes.Unknown)
            )
            await cluster.wait_until(
                functools.partial(_votes, cluster, leader, name)
            )
        await requester.change_members(clusters.REMOVE, leader)
        await cluster.wait_until(lambda: leader not in cluster.leaders())
        cluster.kill(leader)
        new = await cluster.wait_for_leader()
        assert sorted(_voters(cluster, new)) == sorted(set("abcde") - {leader})
        await cluster.put(new, "last=1")
        await cluster.wait_until_applied("last=1")
        assert len(cluster.values("e")) == 61

    async def test_removed_replica_becomes_an_observer(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        removed = _others(cluster, leader)[0]
        await cluster.replicas[leader].change_members(clusters.REMOVE, removed)
        status = cluster.replicas[removed].status
        await cluster.wait_until(lambda: "removed" in status().stopped)
        await cluster.put(leader, "k=1")
        await cluster.wait_until_applied("k=1")
        assert status().role == replica_state.Role.OBSERVER
        assert len(cluster.replicas[leader].status().members) == 2

    async def test_learners_do_not_count_towards_a_quorum(
        self,
        nursery: trio.Nursery,
        autojump_clock: Clock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setattr(member, "next_change", lambda *_: None)
        cluster, leader = await _start_cluster(nursery)
        followers = _others(cluster, leader)
        for name in "de":
            await cluster.start(name)
            await cluster.replicas[leader].change_members(
                clusters.ADD, name, f"{name}:1"
            )
        await cluster.put(leader, "k=1")
        await cluster.wait_until_applied("k=1")
        for name in followers:
            cluster.kill(name)
        result = await cluster.replicas[leader].propose(b"k=2", 2.0)
        assert not isinstance(result, bytes)

    async def test_learner_votes_only_once_caught_up(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        slow = replica_state.Timing(batch_bytes=256)
        cluster = clusters.Cluster(nursery, timing=slow)
        await cluster.start_all()
        leader = await cluster.wait_for_leader()
        async with trio.open_nursery() as writing:
            for number in range(2000):
                writing.start_soon(cluster.put, leader, f"k{number}=1")
        added = await cluster.start("d")
        cluster.hub.isolate("d", set(cluster.names))
        cluster.hub.cut -= {("d", leader), (leader, "d")}
        await cluster.replicas[leader].change_members(clusters.ADD, "d", "d:1")
        await cluster.wait_until(
            functools.partial(_votes, cluster, leader, "d")
        )
        assert added.state.raft_log.last_index > 1900

    async def test_removal_that_would_lose_the_quorum_is_refused(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        dead, alive = _others(cluster, leader)
        cluster.kill(dead)
        await trio.sleep(10.0)
        refused = await cluster.replicas[leader].change_members(
            clusters.REMOVE, alive
        )
        assert isinstance(refused, outcomes.Refusal)
        assert refused.reason == outcomes.RefusalReason.NO_QUORUM


class TestNextChange:

    def test_majorities_before_and_after_a_change_overlap(self) -> None:
        members = tuple(member.Member(name, name, "") for name in "abc")
        learner = member.Member("a", "new", "", voter=False)
        before = members + (learner,)
        while step := member.next_change(before, frozenset(["new"])):
            changed = set(member.voters(before)) ^ set(member.voters(step))
            assert len(changed) == 1
            before = step
        assert {each.identity for each in before} == {"b", "c", "new"}
