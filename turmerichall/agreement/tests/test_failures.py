"""Tests of a cluster under kills, network partitions and disk failures."""

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.agreement import message
from turmerichall.agreement import replica_state
from turmerichall.agreement.tests import cluster as clusters
from turmerichall.telemetry import counters

Clock = trio.testing.MockClock
SMALL_LIMITS = replica_state.Timing(
    snapshot_entries=40, retained_entries=10, part_bytes=64, batch_bytes=256
)
PARTITION_SECONDS = 300.0
FAULT_SECONDS = 10.0
# Time after the end of a fault at which an instance must take part again.
CATCH_UP_SECONDS = 4.0


async def _start_cluster(
    nursery: trio.Nursery,
    size: int = 3,
    timing: replica_state.Timing = replica_state.Timing(),
    seed: int = 1,
) -> tuple[clusters.Cluster, str]:
    cluster = clusters.Cluster(nursery, size, seed, timing)
    await cluster.start_all()
    leader = await cluster.wait_for_leader()
    await cluster.put(leader, "ready=1")
    await cluster.wait_until_applied("ready=1")
    return cluster, leader


def _others(cluster: clusters.Cluster, name: str) -> list[str]:
    return [other for other in sorted(cluster.replicas) if other != name]


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
        cluster, leader = await _start_cluster(nursery, seed=seed)
        others = _others(cluster, leader)
        killed = leader if victim == "leader" else others[0]
        accepted: list[str] = []

        async def write(number: int) -> None:
            change = f"k{number}=1"
            name = others[1] if number % 2 else leader
            if name in cluster.replicas:
                result = await cluster.replicas[name].propose(change.encode())
                if isinstance(result, bytes):
                    accepted.append(change)

        async with trio.open_nursery() as writing:
            for number in range(60):
                writing.start_soon(write, number)
                await trio.sleep(cluster.rng.uniform(0, 0.002))
                if number == 30:
                    cluster.kill(killed)
        await cluster.put(others[1], "last=1")
        await cluster.start(killed)
        await cluster.wait_until_applied("last=1")
        for name in cluster.replicas:
            assert set(accepted) <= set(
                cluster.machines[name].snapshot().decode().split("\n")
            )
        assert accepted

    async def test_restart_with_hundreds_of_pending_changes(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery, timing=SMALL_LIMITS)
        lagging = _others(cluster, leader)[0]
        cluster.kill(lagging)
        for number in range(400):
            await cluster.put(leader, f"k={number}")
        await cluster.start(lagging)
        await cluster.wait_until_applied("k=399")
        assert cluster.values(lagging) == cluster.values(leader)
        raft_log = cluster.replicas[leader].state.raft_log
        assert len(raft_log.entries) <= 2 * SMALL_LIMITS.snapshot_entries

    async def test_accepted_changes_survive_a_restart_of_all(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery, timing=SMALL_LIMITS)
        for number in range(95):
            await cluster.put(leader, f"k{number}=1")
        for name in cluster.names:
            cluster.kill(name)
        await cluster.start_all()
        await cluster.wait_for_leader()
        for name in cluster.names:
            assert await cluster.replicas[name].barrier(20.0) is None
            assert len(cluster.values(name)) == 96


class TestPlannedStop:

    async def test_leadership_transfer_takes_less_than_an_election_timeout(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, old = await _start_cluster(nursery)
        rest = set(_others(cluster, old))
        requester = cluster.replicas[min(rest)]
        results: list[object] = []

        async def write(number: int) -> None:
            change = f"k{number}=1".encode()
            results.append(await requester.propose(change))

        async with trio.open_nursery() as writing:
            before = trio.current_time()
            for number in range(50):
                writing.start_soon(write, number)
            assert await cluster.replicas[old].transfer_leadership()
        cluster.kill(old)
        assert await cluster.wait_for_leader(rest) != old
        # Well under the election timeout.
        assert trio.current_time() - before < cluster.timing.heartbeat_seconds
        assert all(isinstance(result, bytes) for result in results)


class TestCuts:

    async def test_isolated_leader_neither_writes_nor_reads(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, old = await _start_cluster(nursery)
        rest = set(_others(cluster, old))
        cluster.hub.isolate(old, rest)
        stale = cluster.replicas[old]
        refused = await stale.barrier(1.0)
        assert isinstance(refused, outcomes.Refusal)
        result = await stale.propose(b"lost=1", 1.0)
        assert isinstance(result, outcomes.Unknown)
        new = await cluster.wait_for_leader(rest)
        await cluster.put(new, "won=1")
        await trio.sleep(PARTITION_SECONDS)
        assert cluster.leaders() == [new]
        assert await stale.barrier() is not None
        result = await stale.propose(b"lost=2")
        assert isinstance(result, outcomes.Refusal)
        assert result.reason == outcomes.RefusalReason.NO_QUORUM
        assert result.retry_after_seconds is not None
        assert stale.seconds_since_quorum() > PARTITION_SECONDS
        cluster.hub.heal()
        await cluster.wait_until_applied("won=1")
        assert "lost" not in cluster.values(old)

    async def test_isolated_instance_refuses_at_once(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        cut = _others(cluster, leader)[0]
        cluster.hub.isolate(cut, set(cluster.names))
        await trio.sleep(PARTITION_SECONDS)
        before = trio.current_time()
        counted = counters.Counters()
        cluster.replicas[cut].state.counters = counted
        result = await cluster.replicas[cut].propose(b"k=1", 60.0)
        assert isinstance(result, outcomes.Refusal)
        assert trio.current_time() - before < 5.0
        assert counted.count_of("refusals", "agreement", "no_quorum") == 1

    async def test_returning_minority_does_not_disturb(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery, size=5)
        minority = set(_others(cluster, leader)[:2])
        for name in minority:
            cluster.hub.isolate(name, set(cluster.names) - minority)
        await trio.sleep(PARTITION_SECONDS)
        term = cluster.replicas[leader].status().term
        cluster.hub.heal()
        await trio.sleep(60.0)
        await cluster.put(leader, "k=1")
        await cluster.wait_until_applied("k=1")
        assert cluster.replicas[leader].status().term == term
        assert cluster.leaders() == [leader]

    @pytest.mark.parametrize("direction", ["from_leader", "to_leader"])
    async def test_one_way_cut_of_the_leader(
        self, nursery: trio.Nursery, autojump_clock: Clock, direction: str
    ) -> None:
        cluster, old = await _start_cluster(nursery)
        rest = _others(cluster, old)
        for other in rest:
            pair = (old, other) if direction == "from_leader" else (other, old)
            cluster.hub.cut.add(pair)
        new = await cluster.wait_for_leader(set(rest))
        assert new != old
        await cluster.put(new, "k=1")
        await cluster.wait_until(lambda: cluster.leaders() == [new])
        cluster.hub.heal()
        await cluster.wait_until_applied("k=1")

    async def test_one_way_cut_of_a_follower_does_not_disturb(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        deaf = _others(cluster, leader)[0]
        term = cluster.replicas[leader].status().term
        cluster.hub.cut.add((leader, deaf))
        await trio.sleep(PARTITION_SECONDS)
        await cluster.put(leader, "k=1")
        assert cluster.replicas[leader].status().term == term

    async def test_outcome_is_unknown_when_the_answer_was_lost(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        requester = _others(cluster, leader)[0]
        cluster.hub.cut.add((leader, requester))
        result = await cluster.replicas[requester].propose(b"k=1", 2.0)
        assert isinstance(result, outcomes.Unknown)
        assert cluster.values(leader)["k"] == "1"


class TestObservers:

    async def test_observer_switches_from_an_isolated_source(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, _ = await _start_cluster(nursery, timing=SMALL_LIMITS)
        await cluster.put("a", "k=0")
        await cluster.start("z", disk=False)
        for number, name in enumerate(cluster.names):
            cluster.hub.isolate(name, set(cluster.names))
            rest = set(cluster.names) - {name}
            writer = await cluster.wait_for_leader(rest)
            for each in range(60):
                await cluster.put(writer, f"k={number}{each}")
            await cluster.wait_until_applied(f"k={number}59", {"z"})
            cluster.hub.heal()
            await cluster.wait_until_applied(f"k={number}59")
        assert cluster.replicas["z"].status().role == "observer"

    async def test_source_with_a_failed_disk_serves_no_uncommitted_entries(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, old = await _start_cluster(nursery)
        cluster.hub.isolate(old, set(cluster.names))
        stopping = cluster.replicas[old]
        await stopping.propose(b"lost=1", 0.5)
        new = await cluster.wait_for_leader(set(_others(cluster, old)))
        await cluster.put(new, "won=1")
        answers: list[bytes | outcomes.Refusal] = []
        reader = clusters.MemoryNetwork("x", cluster.hub, {})
        cluster.hub.networks["x"] = reader

        async def follow() -> None:
            asked = message.Follow(stopping.status().applied, 2.0)
            answers.append(
                await reader.call(old, "follow", message.encode(asked), 5.0)
            )

        async with trio.open_nursery() as following:
            following.start_soon(follow)
            await trio.sleep(0.1)
            cluster.files[old].full = True
            stopping.state.raft_log.save_commit(stopping.state.commit)
            cluster.hub.heal()
        assert cluster.values(old)["won"] == "1"
        assert all(
            isinstance(answer, outcomes.Refusal) or b"lost" not in answer
            for answer in answers
        )


class TestMonotonic:

    async def test_isolated_restart_is_not_recovered_while_it_may_be_stale(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        for number in range(20):
            await cluster.put(leader, f"k={number}")
        await cluster.wait_until_applied("k=19")
        name = _others(cluster, leader)[0]
        cluster.kill(name)
        cluster.hub.isolate(name, set(cluster.names))
        cut = await cluster.start(name)
        assert not cut.status().recovered
        cluster.hub.heal()
        await cluster.wait_until(lambda: cut.status().recovered)
        assert cluster.values(name)["k"] == "19"

    async def test_isolated_restart_without_recent_writes_serves_its_state(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        await cluster.put(leader, "k=1")
        await trio.sleep(5.0)
        name = _others(cluster, leader)[0]
        cluster.kill(name)
        cluster.hub.isolate(name, set(cluster.names))
        cut = await cluster.start(name)
        assert cut.status().recovered
        assert cluster.values(name)["k"] == "1"

    async def test_restart_after_a_full_disk_does_not_serve_an_older_state(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        name = _others(cluster, leader)[0]
        cluster.files[name].full = True
        failed = cluster.replicas[name]
        await cluster.replicas[leader].propose(b"k=1")
        await cluster.wait_until(lambda: failed.status().stopped != "")
        await cluster.put(leader, "k=2")
        await cluster.wait_until_applied("k=2")
        cluster.kill(name)
        cluster.hub.isolate(name, set(cluster.names))
        again = await cluster.start(name)
        await trio.sleep(60.0)
        assert not again.status().recovered
        cluster.hub.heal()
        await cluster.wait_until(lambda: again.status().recovered)
        assert cluster.values(name)["k"] == "2"


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
        cluster, leader = await _start_cluster(nursery)
        others = _others(cluster, leader)
        name = leader if victim == "leader" else others[0]
        setattr(cluster.files[name], fault, True)
        await cluster.replicas[leader].propose(b"first=1", 1.0)
        failed = cluster.replicas[name]
        await cluster.wait_until(lambda: failed.status().stopped != "")
        assert "failed" in failed.status().stopped
        assert name not in cluster.leaders()
        await cluster.put(others[1], "k=1")
        rest = set(cluster.names) - {name}
        # A failed sync means that the data folder can't be marked as
        # incomplete, so the state must not advance.
        follows = fault == "full"
        await cluster.wait_until_applied(
            "k=1", set(cluster.names) if follows else rest
        )
        assert ("k" in cluster.values(name)) == follows
        assert failed.status().role == replica_state.Role.OBSERVER

    @pytest.mark.parametrize("fault", ["full", "sync_fails"])
    async def test_leader_whose_disk_fails_is_replaced_before_it_is_missed(
        self, nursery: trio.Nursery, autojump_clock: Clock, fault: str
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        setattr(cluster.files[leader], fault, True)
        failed = cluster.replicas[leader]
        nursery.start_soon(failed.propose, b"first=1", 1.0)
        await cluster.wait_until(lambda: failed.status().stopped != "")
        stopped_at = trio.current_time()
        others = _others(cluster, leader)
        new = await cluster.wait_for_leader(set(others))
        assert new in others
        elapsed = trio.current_time() - stopped_at
        assert elapsed < cluster.timing.election_seconds / 2

    async def test_nothing_is_accepted_without_a_quorum_of_working_disks(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        for name in _others(cluster, leader):
            cluster.files[name].sync_fails = True
        result = await cluster.replicas[leader].propose(b"k=1")
        assert not isinstance(result, bytes)
        assert all("k" not in cluster.values(name) for name in cluster.names)

    async def test_torn_record_is_dropped_and_fetched_again(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        await cluster.put(leader, "k=1")
        name = _others(cluster, leader)[0]
        cluster.kill(name)
        files = cluster.files[name]
        files.content["log"] = files.content["log"][:-3]
        again = await cluster.start(name)
        assert again.status().stopped == ""
        await cluster.wait_until_applied("k=1")

    async def test_flipped_byte_stops_the_replica(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        await cluster.put(leader, "k=1")
        name = _others(cluster, leader)[0]
        cluster.kill(name)
        log = bytearray(cluster.files[name].content["log"])
        log[len(log) // 2] ^= 1
        cluster.files[name].content["log"] = bytes(log)
        damaged = await cluster.start(name)
        assert "checksum" in damaged.status().stopped
        cluster.kill(leader)
        rest = [other for other in cluster.replicas if other != name][0]
        result = await cluster.replicas[rest].propose(b"k=2", 30.0)
        assert not isinstance(result, bytes)
        await cluster.start(leader)
        await cluster.put(rest, "k=3")
        await cluster.wait_until_applied("k=3")


class TestDisksThatRecover:

    # Replicas whose disk had been full stayed out of consensus until they were
    # restarted, so faults of two disks, one after the other, cost the quorum.
    @pytest.mark.parametrize("fault", ["full", "sync_fails"])
    async def test_disks_that_fail_in_turn_do_not_cost_the_quorum(
        self, nursery: trio.Nursery, autojump_clock: Clock, fault: str
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        for name in [*_others(cluster, leader), leader]:
            await _fail_and_recover(cluster, name, fault)

    @pytest.mark.parametrize("fault", ["full", "sync_fails"])
    async def test_entries_written_after_a_fault_survive_a_loss_of_power(
        self, nursery: trio.Nursery, autojump_clock: Clock, fault: str
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        name, other = _others(cluster, leader)
        await _fail_and_recover(cluster, name, fault)
        cluster.hub.isolate(other, set(cluster.names))
        await cluster.put(leader, "k=1")
        for each in list(cluster.replicas):
            cluster.kill(each)
        cluster.hub.heal()
        for each in (name, other):
            await cluster.start(each)
        await cluster.wait_for_leader()
        assert cluster.replicas[name].status().stopped == ""
        await cluster.wait_until_applied("k=1")

    async def test_deposed_leader_drops_its_uncommitted_entries(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, old = await _start_cluster(nursery)
        cluster.hub.isolate(old, set(cluster.names))
        deposed = cluster.replicas[old]
        await deposed.propose(b"lost=1", 0.5)
        new = await cluster.wait_for_leader(set(_others(cluster, old)))
        await cluster.put(new, "won=1")
        cluster.files[old].full = True
        deposed.state.raft_log.save_commit(deposed.state.commit)
        await cluster.wait_until(lambda: deposed.status().stopped != "")
        cluster.hub.heal()
        await cluster.wait_until_applied("won=1")
        cluster.files[old].full = False
        await cluster.wait_until(
            lambda: deposed.status().stopped == "", CATCH_UP_SECONDS
        )
        await cluster.put(new, "after=1")
        await cluster.wait_until_applied("after=1")
        assert not any("lost" in cluster.values(name) for name in cluster.names)
        cluster.kill(old)
        again = await cluster.start(old)
        assert again.status().stopped == ""
        await cluster.wait_until_applied("after=1")
        assert "lost" not in cluster.values(old)

    async def test_applied_state_without_a_log_is_kept_as_a_snapshot(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery, timing=SMALL_LIMITS)
        name = _others(cluster, leader)[0]
        cluster.files[name].full = True
        failed = cluster.replicas[name]
        # Fewer than after which a snapshot is taken anyway.
        for number in range(SMALL_LIMITS.snapshot_entries // 2):
            await cluster.put(leader, f"k={number}")
        await cluster.put(leader, "last=1")
        await cluster.wait_until_applied("last=1")
        assert failed.status().stopped != ""
        cluster.files[name].full = False
        await cluster.wait_until(
            lambda: failed.status().stopped == "", CATCH_UP_SECONDS
        )
        cluster.kill(name)
        cluster.hub.isolate(name, set(cluster.names))
        await cluster.start(name)
        assert cluster.values(name)["last"] == "1"


async def _fail_and_recover(
    cluster: clusters.Cluster, name: str, fault: str
) -> None:
    """Make the disk of an instance fail for a while."""
    files, failed = cluster.files[name], cluster.replicas[name]
    writer = _others(cluster, name)[0]
    setattr(files, fault, True)
    await cluster.put(writer, f"{name}=fails")
    await cluster.wait_until(lambda: failed.status().stopped != "")
    await trio.sleep(FAULT_SECONDS)
    setattr(files, fault, False)
    await cluster.wait_until(
        lambda: failed.status().stopped == "", CATCH_UP_SECONDS
    )
    await cluster.put(writer, f"{name}=works")
    await cluster.wait_until_applied(f"{name}=works")


class TestResignation:

    async def test_a_leader_that_resigns_is_followed_by_a_newer_term(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        replica = cluster.replicas[leader]
        term = replica.leader_term()
        replica.resign(term)
        assert replica.leader_term() == 0
        assert cluster.leaders() == []
        next_leader = await cluster.wait_for_leader()
        assert cluster.replicas[next_leader].status().term > term
        await cluster.put(next_leader, "k=1")
        await cluster.wait_until_applied("k=1")

    async def test_a_resignation_of_another_term_changes_nothing(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        replica = cluster.replicas[leader]
        term = replica.leader_term()
        replica.resign(term - 1)
        replica.resign(term + 1)
        for other in _others(cluster, leader):
            cluster.replicas[other].resign(term)
        await trio.sleep(10.0)
        assert replica.leader_term() == term
