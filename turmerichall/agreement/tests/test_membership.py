"""Tests of founding and of changes of the members."""

import functools

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.agreement import member
from turmerichall.agreement import replica_state
from turmerichall.agreement.tests import cluster

Clock = trio.testing.MockClock
SMALL = replica_state.Timing(
    snapshot_entries=40, retained_entries=10, part_bytes=256, batch_bytes=256
)


async def _started(
    nursery: trio.Nursery, size: int = 3
) -> tuple[cluster.Cluster, str]:
    made = cluster.Cluster(nursery, size, timing=SMALL)
    await made.start_all()
    return made, await made.leader()


def _voters(made: cluster.Cluster, name: str) -> dict[str, str]:
    members = made.replicas[name].status().members
    return {each.name: each.identity for each in members}


def _others(made: cluster.Cluster, name: str) -> list[str]:
    return [other for other in sorted(made.replicas) if other != name]


def _votes(made: cluster.Cluster, witness: str, name: str) -> bool:
    return name in _voters(made, witness)


async def _replaced(
    made: cluster.Cluster, name: str, old: str, among: set[str] | None = None
) -> None:
    """Waits until an instance votes under a new identity."""
    witnesses = among or set(made.replicas)
    await made.until(
        lambda: all(
            _voters(made, each).get(name, old) != old for each in witnesses
        )
    )


class TestFounding:

    async def test_waits_for_all_first_members(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made = cluster.Cluster(nursery)
        await made.start("a")
        await made.start("b")
        await trio.sleep(60.0)
        assert not made.leaders()
        await made.start("c")
        await made.leader()

    async def test_lost_disks_found_no_second_cluster(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        await made.put(leader, "k=1")
        await made.settled("k=1")
        for name in "ab":
            made.kill(name)
            made.wipe(name)
        made.hub.isolate("c", {"a", "b"})
        await made.start("a")
        await made.start("b")
        await trio.sleep(300.0)
        made.hub.heal()
        await trio.sleep(300.0)
        assert not made.leaders()
        assert made.values("c") == {"k": "1"}


class TestLostDisk:

    async def test_comes_back_under_a_new_identity(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        for number in range(100):
            await made.put(leader, f"k{number}=1")
        lost = _others(made, leader)[0]
        old = _voters(made, leader)[lost]
        made.kill(lost)
        made.wipe(lost)
        await made.start(lost)
        await _replaced(made, lost, old)
        await made.put(lost, "k=2")
        await made.settled("k=2")
        assert len(made.values(lost)) == 101
        assert len(made.replicas[leader].status().members) == 3

    async def test_does_not_vote_as_the_old_one(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        lost, behind = _others(made, leader)
        made.hub.isolate(behind, set(made.names))
        await made.put(leader, "k=1")
        for name in (lost, leader):
            made.kill(name)
        made.wipe(lost)
        made.hub.heal()
        # The two that are left form a majority by name, but not by disk.
        await made.start(lost)
        await trio.sleep(300.0)
        assert not made.leaders()
        await made.start(leader)
        await made.settled("k=1")

    @pytest.mark.parametrize("second", ["leader", "follower"])
    @pytest.mark.parametrize("moment", ["during", "after"])
    async def test_second_loss_loses_nothing(
        self,
        nursery: trio.Nursery,
        autojump_clock: Clock,
        moment: str,
        second: str,
    ) -> None:
        made, leader = await _started(nursery)
        for number in range(100):
            await made.put(leader, f"k{number}=1")
        first, other = _others(made, leader)
        next_lost = leader if second == "leader" else other
        old = _voters(made, leader)
        made.kill(first)
        made.wipe(first)
        await made.start(first)
        if moment == "during":
            status = made.replicas[leader].status
            await made.until(lambda: status().learners != ())
        else:
            await _replaced(made, first, old[first], {leader, other})
        made.kill(next_lost)
        if moment == "during":
            # Before the repair two disks of three hold everything; one of
            # them comes back with its disk.
            await trio.sleep(60.0)
            await made.start(next_lost)
        else:
            made.wipe(next_lost)
            await made.start(next_lost)
            await _replaced(made, next_lost, old[next_lost])
        await made.put(first, "last=1")
        await made.settled("last=1")
        for name in made.names:
            assert len(made.values(name)) == 101

    async def test_disk_whose_joining_was_lost_asks_again(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery, size=5)
        await made.put(leader, "k=1")
        await made.settled("k=1")
        lost, *rest = _others(made, leader)
        old = _voters(made, leader)[lost]
        made.kill(lost)
        made.wipe(lost)
        for name in (leader, lost):
            made.hub.isolate(name, set(rest))
        again = await made.start(lost)
        await made.until(lambda: again.status().members != ())
        new = await made.leader(set(rest))
        await made.put(new, "k=2")
        made.hub.heal()
        await _replaced(made, lost, old)
        await made.settled("k=2")

    async def test_five_members_lose_two_disks_at_once(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery, size=5)
        await made.put(leader, "k=1")
        old = _voters(made, leader)
        lost = _others(made, leader)[:2]
        for name in lost:
            made.kill(name)
            made.wipe(name)
        for name in lost:
            await made.start(name)
        for name in lost:
            await _replaced(made, name, old[name])
        await made.settled("k=1")
        assert len(_voters(made, leader)) == 5


class TestOperators:

    async def test_grow_and_shrink(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        for number in range(60):
            await made.put(leader, f"k{number}=1")
        asked = made.replicas[_others(made, leader)[0]]
        for name in "de":
            await made.start(name)
            added = await asked.change_members(cluster.ADD, name, f"{name}:1")
            assert isinstance(added, tuple) and not isinstance(
                added, (outcomes.Refusal, outcomes.Unknown)
            )
            await made.until(functools.partial(_votes, made, leader, name))
        await asked.change_members(cluster.REMOVE, leader)
        await made.until(lambda: leader not in made.leaders())
        made.kill(leader)
        new = await made.leader()
        assert sorted(_voters(made, new)) == sorted(set("abcde") - {leader})
        await made.put(new, "last=1")
        await made.settled("last=1")
        assert len(made.values("e")) == 61

    async def test_removed_replica_goes_on_as_an_observer(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        removed = _others(made, leader)[0]
        await made.replicas[leader].change_members(cluster.REMOVE, removed)
        status = made.replicas[removed].status
        await made.until(lambda: "removed" in status().stopped)
        await made.put(leader, "k=1")
        await made.settled("k=1")
        assert status().role == replica_state.Role.OBSERVER
        assert len(made.replicas[leader].status().members) == 2

    async def test_learners_do_not_count(
        self,
        nursery: trio.Nursery,
        autojump_clock: Clock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setattr(member, "next_change", lambda *_: None)
        made, leader = await _started(nursery)
        followers = _others(made, leader)
        for name in "de":
            await made.start(name)
            await made.replicas[leader].change_members(
                cluster.ADD, name, f"{name}:1"
            )
        await made.put(leader, "k=1")
        await made.settled("k=1")
        for name in followers:
            made.kill(name)
        result = await made.replicas[leader].propose(b"k=2", 2.0)
        assert not isinstance(result, bytes)

    async def test_votes_only_once_caught_up(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        slow = replica_state.Timing(batch_bytes=256)
        made = cluster.Cluster(nursery, timing=slow)
        await made.start_all()
        leader = await made.leader()
        async with trio.open_nursery() as writing:
            for number in range(2000):
                writing.start_soon(made.put, leader, f"k{number}=1")
        added = await made.start("d")
        made.hub.isolate("d", set(made.names))
        made.hub.cut -= {("d", leader), (leader, "d")}
        await made.replicas[leader].change_members(cluster.ADD, "d", "d:1")
        await made.until(functools.partial(_votes, made, leader, "d"))
        assert added.state.raft_log.last_index > 1900

    async def test_removal_that_would_lose_the_quorum_is_refused(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        dead, alive = _others(made, leader)
        made.kill(dead)
        await trio.sleep(10.0)
        refused = await made.replicas[leader].change_members(
            cluster.REMOVE, alive
        )
        assert isinstance(refused, outcomes.Refusal)
        assert refused.reason == outcomes.RefusalReason.NO_QUORUM


class TestSteps:

    def test_majorities_of_neighbouring_steps_overlap(self) -> None:
        members = tuple(member.Member(name, name, "") for name in "abc")
        learner = member.Member("a", "new", "", voter=False)
        before = members + (learner,)
        while step := member.next_change(before, frozenset(["new"])):
            changed = set(member.voters(before)) ^ set(member.voters(step))
            assert len(changed) == 1
            before = step
        assert {each.identity for each in before} == {"b", "c", "new"}
