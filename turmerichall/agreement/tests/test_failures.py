"""Tests of a cluster under kills, cuts, lost disks and failing disks."""

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.agreement import message
from turmerichall.agreement import replica_state
from turmerichall.agreement.tests import cluster
from turmerichall.telemetry import counters

Clock = trio.testing.MockClock
SMALL = replica_state.Timing(
    snapshot_entries=40, retained_entries=10, part_bytes=64, batch_bytes=256
)
MINUTES = 300.0


async def _started(
    nursery: trio.Nursery,
    size: int = 3,
    timing: replica_state.Timing = replica_state.Timing(),
    seed: int = 1,
) -> tuple[cluster.Cluster, str]:
    made = cluster.Cluster(nursery, size, seed, timing)
    await made.start_all()
    leader = await made.leader()
    await made.put(leader, "ready=1")
    await made.settled("ready=1")
    return made, leader


def _others(made: cluster.Cluster, name: str) -> list[str]:
    return [other for other in sorted(made.replicas) if other != name]


class TestKills:

    @pytest.mark.parametrize("seed", range(5))
    @pytest.mark.parametrize("victim", ["leader", "follower"])
    async def test_accepted_changes_survive_a_kill_during_writes(
        self,
        nursery: trio.Nursery,
        autojump_clock: Clock,
        victim: str,
        seed: int,
    ) -> None:
        made, leader = await _started(nursery, seed=seed)
        others = _others(made, leader)
        killed = leader if victim == "leader" else others[0]
        accepted: list[str] = []

        async def write(number: int) -> None:
            change = f"k{number}=1"
            name = others[1] if number % 2 else leader
            if name in made.replicas:
                result = await made.replicas[name].propose(change.encode())
                if isinstance(result, bytes):
                    accepted.append(change)

        async with trio.open_nursery() as writing:
            for number in range(60):
                writing.start_soon(write, number)
                await trio.sleep(made.rng.uniform(0, 0.002))
                if number == 30:
                    made.kill(killed)
        await made.put(others[1], "last=1")
        await made.start(killed)
        await made.settled("last=1")
        for name in made.replicas:
            assert set(accepted) <= set(
                made.machines[name].snapshot().decode().split("\n")
            )
        assert accepted

    async def test_restart_with_hundreds_of_pending_changes(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery, timing=SMALL)
        behind = _others(made, leader)[0]
        made.kill(behind)
        for number in range(400):
            await made.put(leader, f"k={number}")
        await made.start(behind)
        await made.settled("k=399")
        assert made.values(behind) == made.values(leader)
        raft_log = made.replicas[leader].state.raft_log
        assert len(raft_log.entries) <= 2 * SMALL.snapshot_entries

    async def test_all_restart_with_what_was_accepted(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery, timing=SMALL)
        for number in range(95):
            await made.put(leader, f"k{number}=1")
        for name in made.names:
            made.kill(name)
        await made.start_all()
        await made.leader()
        for name in made.names:
            assert await made.replicas[name].barrier(20.0) is None
            assert len(made.values(name)) == 96


class TestPlannedStop:

    async def test_leader_hands_over_without_a_silence(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, old = await _started(nursery)
        rest = set(_others(made, old))
        asked = made.replicas[min(rest)]
        results: list[object] = []

        async def write(number: int) -> None:
            change = f"k{number}=1".encode()
            results.append(await asked.propose(change))

        async with trio.open_nursery() as writing:
            before = trio.current_time()
            for number in range(50):
                writing.start_soon(write, number)
            assert await made.replicas[old].transfer_leadership()
        made.kill(old)
        assert await made.leader(rest) != old
        # Well under the silence that starts an election.
        assert trio.current_time() - before < made.timing.heartbeat_seconds
        assert all(isinstance(result, bytes) for result in results)


class TestCuts:

    async def test_isolated_leader_neither_writes_nor_reads(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, old = await _started(nursery)
        rest = set(_others(made, old))
        made.hub.isolate(old, rest)
        stale = made.replicas[old]
        refused = await stale.barrier(1.0)
        assert isinstance(refused, outcomes.Refusal)
        result = await stale.propose(b"lost=1", 1.0)
        assert isinstance(result, outcomes.Unknown)
        new = await made.leader(rest)
        await made.put(new, "won=1")
        await trio.sleep(MINUTES)
        assert made.leaders() == [new]
        assert await stale.barrier() is not None
        result = await stale.propose(b"lost=2")
        assert isinstance(result, outcomes.Refusal)
        assert result.reason == outcomes.RefusalReason.NO_QUORUM
        assert result.retry_after_seconds is not None
        assert stale.seconds_since_quorum() > MINUTES
        made.hub.heal()
        await made.settled("won=1")
        assert "lost" not in made.values(old)

    async def test_cut_off_instance_refuses_at_once(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        cut = _others(made, leader)[0]
        made.hub.isolate(cut, set(made.names))
        await trio.sleep(MINUTES)
        before = trio.current_time()
        counted = counters.Counters()
        made.replicas[cut].state.counters = counted
        result = await made.replicas[cut].propose(b"k=1", 60.0)
        assert isinstance(result, outcomes.Refusal)
        assert trio.current_time() - before < 5.0
        assert counted.count_of("refusals", "agreement", "no_quorum") == 1

    async def test_returning_minority_does_not_disturb(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery, size=5)
        minority = set(_others(made, leader)[:2])
        for name in minority:
            made.hub.isolate(name, set(made.names) - minority)
        await trio.sleep(MINUTES)
        term = made.replicas[leader].status().term
        made.hub.heal()
        await trio.sleep(60.0)
        await made.put(leader, "k=1")
        await made.settled("k=1")
        assert made.replicas[leader].status().term == term
        assert made.leaders() == [leader]

    @pytest.mark.parametrize("direction", ["from_leader", "to_leader"])
    async def test_one_way_cut_of_the_leader(
        self, nursery: trio.Nursery, autojump_clock: Clock, direction: str
    ) -> None:
        made, old = await _started(nursery)
        rest = _others(made, old)
        for other in rest:
            pair = (old, other) if direction == "from_leader" else (other, old)
            made.hub.cut.add(pair)
        new = await made.leader(set(rest))
        assert new != old
        await made.put(new, "k=1")
        await made.until(lambda: made.leaders() == [new])
        made.hub.heal()
        await made.settled("k=1")

    async def test_one_way_cut_of_a_follower_does_not_disturb(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        deaf = _others(made, leader)[0]
        term = made.replicas[leader].status().term
        made.hub.cut.add((leader, deaf))
        await trio.sleep(MINUTES)
        await made.put(leader, "k=1")
        assert made.replicas[leader].status().term == term

    async def test_change_whose_answer_was_lost_is_unknown(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        asker = _others(made, leader)[0]
        made.hub.cut.add((leader, asker))
        result = await made.replicas[asker].propose(b"k=1", 2.0)
        assert isinstance(result, outcomes.Unknown)
        assert made.values(leader)["k"] == "1"


class TestObservers:

    async def test_observer_changes_a_cut_off_source(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, _ = await _started(nursery, timing=SMALL)
        await made.put("a", "k=0")
        await made.start("z", disk=False)
        for number, name in enumerate(made.names):
            made.hub.isolate(name, set(made.names))
            rest = set(made.names) - {name}
            writer = await made.leader(rest)
            for each in range(60):
                await made.put(writer, f"k={number}{each}")
            await made.settled(f"k={number}59", {"z"})
            made.hub.heal()
            await made.settled(f"k={number}59")
        assert made.replicas["z"].status().role == "observer"

    async def test_stopped_source_serves_nothing_of_its_log(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, old = await _started(nursery)
        made.hub.isolate(old, set(made.names))
        stopping = made.replicas[old]
        await stopping.propose(b"lost=1", 0.5)
        new = await made.leader(set(_others(made, old)))
        await made.put(new, "won=1")
        answers: list[bytes | outcomes.Refusal] = []
        reader = cluster.MemoryNetwork("x", made.hub, {})
        made.hub.networks["x"] = reader

        async def follow() -> None:
            asked = message.Follow(stopping.status().applied, 2.0)
            answers.append(
                await reader.call(old, "follow", message.encode(asked), 5.0)
            )

        async with trio.open_nursery() as following:
            following.start_soon(follow)
            await trio.sleep(0.1)
            made.files[old].full = True
            stopping.state.raft_log.save_commit(stopping.state.commit)
            made.hub.heal()
        assert made.values(old)["won"] == "1"
        assert all(
            isinstance(answer, outcomes.Refusal) or b"lost" not in answer
            for answer in answers
        )


class TestMonotonic:

    async def test_cut_off_restart_is_not_recovered_while_it_may_be_older(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        for number in range(20):
            await made.put(leader, f"k={number}")
        await made.settled("k=19")
        name = _others(made, leader)[0]
        made.kill(name)
        made.hub.isolate(name, set(made.names))
        cut = await made.start(name)
        assert not cut.status().recovered
        made.hub.heal()
        await made.until(lambda: cut.status().recovered)
        assert made.values(name)["k"] == "19"

    async def test_cut_off_restart_after_a_quiet_time_serves_the_newest(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        await made.put(leader, "k=1")
        await trio.sleep(5.0)
        name = _others(made, leader)[0]
        made.kill(name)
        made.hub.isolate(name, set(made.names))
        cut = await made.start(name)
        assert cut.status().recovered
        assert made.values(name)["k"] == "1"

    async def test_restart_after_a_full_disk_does_not_go_back(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        name = _others(made, leader)[0]
        made.files[name].full = True
        failed = made.replicas[name]
        await made.replicas[leader].propose(b"k=1")
        await made.until(lambda: failed.status().stopped != "")
        await made.put(leader, "k=2")
        await made.settled("k=2")
        made.kill(name)
        made.hub.isolate(name, set(made.names))
        again = await made.start(name)
        await trio.sleep(60.0)
        assert not again.status().recovered
        made.hub.heal()
        await made.until(lambda: again.status().recovered)
        assert made.values(name)["k"] == "2"


class TestDisks:

    @pytest.mark.parametrize("fault", ["full", "sync_fails"])
    @pytest.mark.parametrize("victim", ["leader", "follower"])
    async def test_failing_disk_stops_the_replica_with_a_reason(
        self,
        nursery: trio.Nursery,
        autojump_clock: Clock,
        fault: str,
        victim: str,
    ) -> None:
        made, leader = await _started(nursery)
        others = _others(made, leader)
        name = leader if victim == "leader" else others[0]
        setattr(made.files[name], fault, True)
        await made.replicas[leader].propose(b"first=1", 1.0)
        failed = made.replicas[name]
        await made.until(lambda: failed.status().stopped != "")
        assert "failed" in failed.status().stopped
        assert name not in made.leaders()
        await made.put(others[1], "k=1")
        rest = set(made.names) - {name}
        # Without a durable mark that it goes on, the state must stand still.
        follows = fault == "full"
        await made.settled("k=1", set(made.names) if follows else rest)
        assert ("k" in made.values(name)) == follows
        assert failed.status().role == replica_state.Role.OBSERVER

    async def test_no_quorum_of_good_disks_accepts_nothing(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        for name in _others(made, leader):
            made.files[name].sync_fails = True
        result = await made.replicas[leader].propose(b"k=1")
        assert not isinstance(result, bytes)
        assert all("k" not in made.values(name) for name in made.names)

    async def test_torn_tail_is_truncated_and_caught_up(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        await made.put(leader, "k=1")
        name = _others(made, leader)[0]
        made.kill(name)
        files = made.files[name]
        files.content["log"] = files.content["log"][:-3]
        again = await made.start(name)
        assert again.status().stopped == ""
        await made.settled("k=1")

    async def test_flipped_byte_stops_the_replica(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        await made.put(leader, "k=1")
        name = _others(made, leader)[0]
        made.kill(name)
        log = bytearray(made.files[name].content["log"])
        log[len(log) // 2] ^= 1
        made.files[name].content["log"] = bytes(log)
        damaged = await made.start(name)
        assert "checksum" in damaged.status().stopped
        made.kill(leader)
        rest = [other for other in made.replicas if other != name][0]
        result = await made.replicas[rest].propose(b"k=2", 30.0)
        assert not isinstance(result, bytes)
        await made.start(leader)
        await made.put(rest, "k=3")
        await made.settled("k=3")
