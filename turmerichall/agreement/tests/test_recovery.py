"""Tests of replicas that missed changes, and of disks that fail half way."""

import errno
import os
import pathlib
from collections.abc import Callable
from typing import TypeVar

import pytest
import trio
import trio.testing

from turmerichall.agreement import replica_state
from turmerichall.agreement.tests import cluster as clusters
from turmerichall.storage import files as storage_files
from turmerichall.storage.tests import memory_files

Clock = trio.testing.MockClock
T = TypeVar("T")


async def _start(
    nursery: trio.Nursery, **options: object
) -> tuple[clusters.Cluster, str, list[str]]:
    cluster = clusters.Cluster(nursery, **options)  # type: ignore[arg-type]
    await cluster.start_all()
    leader = await cluster.wait_for_leader()
    await cluster.put(leader, "k=0")
    await cluster.wait_until_applied("k=0")
    return cluster, leader, [n for n in cluster.names if n != leader]


class TestRemovedMeanwhile:

    # The state of a replica whose mark can't be removed stands still, so it
    # does not learn that it was removed, and nobody tells it once it returns.
    @pytest.mark.parametrize("fault", ["full", "sync_fails"])
    async def test_replica_removed_while_its_disk_fails_learns_of_it(
        self, nursery: trio.Nursery, autojump_clock: Clock, fault: str
    ) -> None:
        cluster, leader, (name, _) = await _start(nursery)
        failed = cluster.replicas[name]
        setattr(cluster.files[name], fault, True)
        await cluster.put(leader, "k=1")
        await cluster.wait_until(lambda: failed.status().stopped != "")
        await cluster.replicas[leader].change_members(clusters.REMOVE, name)
        await trio.sleep(10.0)
        setattr(cluster.files[name], fault, False)
        await trio.sleep(60.0)
        assert "removed" in failed.status().stopped
        await cluster.put(leader, "k=2")
        await cluster.wait_until_applied("k=2")

    # For comparison: no disk fails, the replica is cut off meanwhile.
    async def test_replica_removed_while_cut_off_learns_of_it(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader, (name, _) = await _start(nursery)
        cut = cluster.replicas[name]
        cluster.hub.isolate(name, set(cluster.names))
        await trio.sleep(10.0)
        await cluster.replicas[leader].change_members(clusters.REMOVE, name)
        cluster.hub.heal()
        await trio.sleep(60.0)
        assert "removed" in cut.status().stopped

    # As in production, where a standby takes the place of a voter that does
    # not answer for 5 s.
    @pytest.mark.parametrize("fault", ["full", "sync_fails", "cut"])
    async def test_voter_replaced_by_a_standby_takes_part_again(
        self, nursery: trio.Nursery, autojump_clock: Clock, fault: str
    ) -> None:
        cluster = clusters.Cluster(nursery)
        await cluster.start_all()
        await cluster.wait_for_leader()
        await cluster.start("d")
        for each in cluster.replicas.values():
            # pylint: disable-next=protected-access
            each._membership.max_voters = 3
        leader = await cluster.wait_for_leader()
        name = [n for n in cluster.names if n != leader][0]
        await cluster.put(leader, "k=0")
        await cluster.wait_until_applied("k=0")
        if fault == "cut":
            cluster.hub.isolate(name, set(cluster.replicas))
        else:
            setattr(cluster.files[name], fault, True)
        await cluster.put(leader, "k=1")

        def voters() -> list[str]:
            status = cluster.replicas[leader].status()
            return sorted(each.name for each in status.members)

        await cluster.wait_until(lambda: "d" in voters())
        assert name not in voters()
        cluster.hub.heal()
        cluster.files[name].full = cluster.files[name].sync_fails = False
        await trio.sleep(60.0)
        learners = cluster.replicas[leader].status().learners
        assert name in [each.name for each in learners]
        await cluster.put(leader, "k=2")
        with trio.fail_after(30.0):
            await cluster.wait_until_applied("k=2")


class _HangingSnapshots(memory_files.MemoryFiles):
    """Disk that hangs in the write of a snapshot and refuses all others."""

    hangs = False

    async def run_blocking(self, work: Callable[[], T]) -> T:
        with trio.CancelScope(shield=True):
            await trio.sleep(self.sync_seconds)
            try:
                return work()
            except TimeoutError:
                await trio.sleep(12.0)
        raise OSError(errno.EIO, "input/output error")

    def replace(self, name: str, data: bytes) -> None:
        if name == "snapshot" and self.hangs:
            raise TimeoutError
        super().replace(name, data)


class TestSlowStop:

    # Until all tasks of consensus have ended, a leader whose journal failed
    # keeps its role; `save_vote` adopts a newer term before it fails.
    async def test_leader_claims_no_term_that_another_won(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        timing = replica_state.Timing(snapshot_entries=40)
        cluster = clusters.Cluster(nursery, timing=timing)
        for name in cluster.names:
            cluster.files[name] = _HangingSnapshots()
        await cluster.start_all()
        leader = await cluster.wait_for_leader()
        files = cluster.files[leader]
        assert isinstance(files, _HangingSnapshots)
        files.hangs = True
        for number in range(45):
            await cluster.put(leader, f"k={number}")
        files.full = True
        deposed = cluster.replicas[leader]
        own_term = deposed.leader_term()
        nursery.start_soon(deposed.propose, b"x=1", 1.0)
        claimed = set()
        for _ in range(15_000):
            await trio.sleep(0.001)
            claimed.add(deposed.leader_term())
        assert claimed <= {0, own_term}


class TestLeaderThatAppliedBeforeItsDisk:

    # A leader applies what the others hold durably before its own disk does;
    # the folder is still marked as complete.
    async def test_restart_does_not_claim_to_be_recovered(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader, _ = await _start(nursery)
        await trio.sleep(2.0)
        cluster.files[leader].sync_seconds = 5.0
        await cluster.put(leader, "k=1")
        assert cluster.values(leader)["k"] == "1"
        cluster.kill(leader)
        cluster.hub.isolate(leader, set(cluster.names))
        again = await cluster.start(leader)
        await trio.sleep(1.0)
        went_back = cluster.values(leader).get("k") != "1"
        assert not (went_back and again.status().recovered)

    # The newer term of the others replaces the vote by which the first restart
    # tells that the disk may lack something.
    async def test_second_restart_does_not_claim_to_be_recovered_either(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, old, rest = await _start(nursery)
        await trio.sleep(2.0)
        cluster.files[old].sync_seconds = 5.0
        await cluster.put(old, "k=1")
        cluster.kill(old)
        leader = await cluster.wait_for_leader(set(rest))
        cluster.hub.isolate(old, {leader})
        again = await cluster.start(old)
        term = cluster.replicas[leader].status().term
        await cluster.wait_until(lambda: again.status().term == term)
        await trio.sleep(1.0)
        assert not again.status().recovered
        cluster.kill(old)
        cluster.hub.isolate(old, set(cluster.names))
        again = await cluster.start(old)
        await trio.sleep(1.0)
        assert not again.status().recovered
        cluster.hub.heal()
        await cluster.wait_until(lambda: again.status().recovered)
        assert cluster.values(old)["k"] == "1"

    # Nobody but the replicas themselves can tell them what is committed.
    async def test_restart_of_all_recovers(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader, _ = await _start(nursery)
        cluster.files[leader].sync_seconds = 5.0
        await cluster.put(leader, "k=1")
        for name in cluster.names:
            cluster.kill(name)
        await cluster.start_all()
        await cluster.wait_until(
            lambda: all(r.status().recovered for r in cluster.replicas.values())
        )
        assert all(cluster.values(n)["k"] == "1" for n in cluster.names)

    # A leader that lost its quorum leads no more, and its disk has caught up.
    async def test_cut_off_leader_serves_its_state_after_a_restart(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader, _ = await _start(nursery)
        cluster.hub.isolate(leader, set(cluster.names))
        await trio.sleep(10.0)
        cluster.kill(leader)
        again = await cluster.start(leader)
        assert again.status().recovered
        assert cluster.values(leader)["k"] == "0"


class TestFullDisk:

    # What a failed replacement wrote stays, and fills the disk on.
    def test_failed_replacement_leaves_no_file(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        files = storage_files.DiskFiles(tmp_path)
        files.replace("snapshot", b"old")

        def fill(descriptor: int, data: bytes) -> None:
            os.write(descriptor, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "no space left")

        monkeypatch.setattr(storage_files, "_write_all", fill)
        with pytest.raises(OSError):
            files.replace("snapshot", bytes(4096))
        assert [each.name for each in tmp_path.iterdir()] == ["snapshot"]
        assert (tmp_path / "snapshot").read_bytes() == b"old"


class TestRecoveryIndex:

    # A tail that was never committed is dropped for a snapshot; the index up
    # to which the state must be newer is not lowered as on a truncation.
    async def test_replaced_log_does_not_delay_recovery(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, old, rest = await _start(nursery)
        cluster.hub.isolate(old, set(cluster.names))
        async with trio.open_nursery() as writing:
            for number in range(20):
                writing.start_soon(
                    cluster.replicas[old].propose, f"l{number}=1".encode(), 0.5
                )
        await cluster.wait_for_leader(set(rest))
        cluster.kill(old)
        again = await cluster.start(old)
        cluster.files[old].full = True
        await cluster.wait_until(lambda: again.status().stopped != "")
        cluster.hub.heal()
        await trio.sleep(10.0)
        cluster.files[old].full = False
        await trio.sleep(30.0)
        assert again.status().stopped == ""
        assert again.status().recovered
