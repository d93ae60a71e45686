"""Tests of the return of a replica to consensus after a disk failure."""

import errno
import unittest.mock
from collections.abc import Callable
from typing import TypeVar

import pytest
import trio
import trio.testing

from turmerichall import errors
from turmerichall.agreement import entry_log
from turmerichall.agreement import message
from turmerichall.agreement import replica_state
from turmerichall.agreement.tests import cluster as clusters
from turmerichall.storage import journal
from turmerichall.storage.tests import memory_files

# Some of what must hold has no public view.
# pylint: disable=protected-access

Clock = trio.testing.MockClock
T = TypeVar("T")


class _Counting(memory_files.MemoryFiles):
    """Counts replacements by name; can crash at an operation.

    With `visible_only`, a replacement fails after the rename, as if the
    folder's sync had failed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.counts: dict[str, int] = {}
        self.steps: list[str] = []
        self.crash_at = -1
        self.crashed = False
        self.on_crash: Callable[[], None] | None = None
        self.visible_only: set[str] = set()

    def replace(self, name: str, data: bytes) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
        super().replace(name, data)
        if name in self.visible_only:
            raise OSError(errno.EIO, "input/output error")

    async def run_blocking(self, work: Callable[[], T]) -> T:
        await trio.sleep(self.sync_seconds)
        self.steps.append("")
        if 0 <= self.crash_at < len(self.steps):
            self.crashed = True
            await trio.sleep_forever()
        return work()


async def _start(
    nursery: trio.Nursery, **options: object
) -> tuple[clusters.Cluster, str, list[str]]:
    cluster = clusters.Cluster(nursery, **options)  # type: ignore[arg-type]
    for name in cluster.names:
        cluster.files[name] = _Counting()
    await cluster.start_all()
    leader = await cluster.wait_for_leader()
    await cluster.put(leader, "k=0")
    await cluster.wait_until_applied("k=0")
    return cluster, leader, [n for n in cluster.names if n != leader]


def _counting(cluster: clusters.Cluster, name: str) -> _Counting:
    files = cluster.files[name]
    assert isinstance(files, _Counting)
    return files


class TestReturn:

    # It had seen the newer term as an observer.
    async def test_term_does_not_go_back(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, old, rest = await _start(nursery)
        name = rest[0]
        failed = cluster.replicas[name]
        cluster.files[name].full = True
        await cluster.put(old, "k=1")
        await cluster.wait_until(lambda: failed.status().stopped != "")
        term = failed.status().term
        await cluster.replicas[old].transfer_leadership()
        await cluster.put(old, "k=2")
        await cluster.wait_until_applied("k=2")
        newer = failed.status().term
        assert newer > term
        cluster.hub.isolate(name, set(cluster.names))
        cluster.files[name].full = False
        await cluster.wait_until(lambda: failed.status().stopped == "")
        assert failed.status().term >= newer
        cluster.kill(name)
        again = await cluster.start(name)
        assert again.status().term >= newer

    # A forgotten vote could be given twice in a term.
    async def test_vote_is_kept(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader, (name, _) = await _start(nursery)
        failed = cluster.replicas[name]
        before = failed.state.raft_log.vote_state
        assert before.voted_for
        cluster.files[name].full = True
        await cluster.put(leader, "k=1")
        await cluster.wait_until(lambda: failed.status().stopped != "")
        cluster.files[name].full = False
        await cluster.wait_until(lambda: failed.status().stopped == "")
        assert failed.state.raft_log.vote_state == before
        cluster.kill(name)
        cluster.hub.isolate(name, set(cluster.names))
        again = await cluster.start(name)
        assert again.state.raft_log.vote_state == before

    # A whole log twice a second would cost more than the fault.
    async def test_a_full_disk_is_tried_with_little(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader, (name, _) = await _start(nursery)
        failed = cluster.replicas[name]
        files = _counting(cluster, name)
        files.full = True
        await cluster.put(leader, "k=1")
        await cluster.wait_until(lambda: failed.status().stopped != "")
        files.counts.clear()
        await trio.sleep(10.0)
        assert set(files.counts) == {"probe"}

    # The mark says that the folder holds all that was served.
    async def test_mark_waits_until_the_state_is_as_new_as_before(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        timing = replica_state.Timing(batch_bytes=64)
        cluster, leader, (name, _) = await _start(nursery, timing=timing)
        failed = cluster.replicas[name]
        files = cluster.files[name]
        files.full = True
        for number in range(100):
            await cluster.put(leader, f"k={number}")
        await cluster.wait_until_applied("k=99")
        served = failed.status().applied
        assert "complete" not in files.content
        cluster.kill(name)
        files = cluster.files[name]
        again = await cluster.start(name)
        while not again.status().recovered:
            marked = "complete" in files.content
            assert not marked or again.status().applied >= served
            await trio.sleep(0.001)
        assert again.status().applied >= served

    async def test_disk_that_fails_every_second_costs_nothing_else(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader, (name, _) = await _start(nursery)
        files = cluster.files[name]
        longest = 0.0
        async with trio.open_nursery() as flapping:

            async def flap() -> None:
                while True:
                    files.full = not files.full
                    await trio.sleep(1.0)

            flapping.start_soon(flap)
            for number in range(200):
                began = trio.current_time()
                await cluster.put(leader, f"k={number}")
                longest = max(longest, trio.current_time() - began)
                await trio.sleep(0.2)
            flapping.cancel_scope.cancel()
        assert longest < 0.5
        files.full = False
        await cluster.wait_until(
            lambda: cluster.replicas[name].status().stopped == "", 4.0
        )
        await cluster.put(leader, "last=1")
        await cluster.wait_until_applied("last=1")
        assert all(
            not each.status().diverged_at for each in cluster.replicas.values()
        )


class TestCrashInRestore:

    # A kill at each file operation after the disk works again, in a replica
    # whose log holds entries that were never committed.
    @pytest.mark.parametrize("visible", [False, True])
    @pytest.mark.parametrize("step", range(8))
    async def test_nothing_acknowledged_is_lost(
        self,
        nursery: trio.Nursery,
        autojump_clock: Clock,
        step: int,
        visible: bool,
    ) -> None:
        cluster, old, rest = await _start(nursery)
        cluster.hub.isolate(rest[0], set(cluster.names))
        await cluster.put(old, "acked=1")
        cluster.hub.heal()
        await cluster.wait_until_applied("acked=1")
        acked = cluster.replicas[old].status().applied
        cluster.hub.isolate(old, set(cluster.names))
        deposed = cluster.replicas[old]
        await deposed.propose(b"lost=1", 0.5)
        new = await cluster.wait_for_leader(set(rest))
        await cluster.put(new, "won=1")
        files = _counting(cluster, old)
        files.full = True
        deposed.state.raft_log.save_commit(deposed.state.commit)
        await cluster.wait_until(lambda: deposed.status().stopped != "")
        cluster.hub.heal()
        await cluster.wait_until_applied("won=1")
        applied = deposed.status().applied
        if visible:
            files.visible_only = {"snapshot", "log"}
        files.full = False
        files.crash_at = len(files.steps) + step
        await trio.sleep(3.0)
        cluster.kill(old)
        cluster.hub.isolate(old, set(cluster.names))
        again = await cluster.start(old)
        await trio.sleep(0.5)
        assert again.status().stopped == ""
        log = again.state.raft_log
        assert log.last_index >= acked
        assert "lost" not in cluster.values(old)
        gone_back = again.status().applied < applied
        assert not (gone_back and again.status().recovered)
        cluster.hub.heal()
        await cluster.put(new, "after=1")
        await cluster.wait_until_applied("after=1")
        assert cluster.applied(old)[-1] == "after=1"
        assert "lost" not in cluster.values(old)
        assert not again.status().diverged_at


class TestSnapshotOfAppliedState:

    async def test_it_equals_that_of_the_others(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader, (name, other) = await _start(nursery)
        failed = cluster.replicas[name]
        cluster.files[name].full = True
        await cluster.put(leader, "k=1")
        await cluster.wait_until(lambda: failed.status().stopped != "")
        await cluster.put(leader, "k=2")
        await cluster.wait_until_applied("k=2")
        cluster.hub.isolate(name, set(cluster.names))
        cluster.files[name].full = False
        await cluster.wait_until(lambda: failed.status().stopped == "")
        snapshot = failed._snapshots.load()
        assert isinstance(snapshot, message.Snapshot)
        reference = cluster.replicas[other].state
        assert snapshot.position == failed.status().applied
        assert snapshot.term == reference.raft_log.term_at(snapshot.position)
        assert snapshot.members == reference.members
        assert snapshot.cluster == reference.cluster
        assert snapshot.digest == reference.digests[snapshot.position]
        assert failed.state.members == reference.members
        assert isinstance(failed.state.raft_log, entry_log.EntryLog)


class TestJournalAfterFailure:

    # Else heartbeats are answered only after the next record.
    async def test_it_answers_heartbeats_without_new_entries(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader, (name, _) = await _start(nursery)
        failed = cluster.replicas[name]
        cluster.files[name].full = True
        await cluster.put(leader, "k=1")
        await cluster.wait_until(lambda: failed.status().stopped != "")
        await trio.sleep(5.0)
        cluster.files[name].full = False
        await cluster.wait_until(lambda: failed.status().stopped == "")
        state = failed.state
        assert state.raft_log.journal.durable_sequence == (
            state.raft_log.journal.sequence
        )

    # What was queued when the write failed is in the new file already.
    @pytest.mark.parametrize("rewriting", [False, True])
    async def test_what_was_queued_is_dropped(
        self, nursery: trio.Nursery, autojump_clock: Clock, rewriting: bool
    ) -> None:
        files = memory_files.MemoryFiles()
        log = journal.Journal(files)

        async def run() -> None:
            with pytest.raises(errors.DiskError):
                await log.run()

        files.full = True
        nursery.start_soon(run)
        log.append(b"fails")
        await trio.sleep(files.sync_seconds / 2)
        if rewriting:
            log.rewrite([b"queued"])
        else:
            log.append(b"queued")
        await trio.sleep(1.0)
        files.full = False
        await log.replace_after_failure([b"kept"])
        nursery.start_soon(log.run)
        await log.wait_durable(log.append(b"new"))
        assert list(log.load()) == [b"kept", b"new"]


class TestStaysOut:

    # Its disk works, but that is not why it is out.
    async def test_removed_replica_stays_out(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader, (name, _) = await _start(nursery)
        removed = cluster.replicas[name]
        cluster.hub.isolate(name, set(cluster.names))
        await cluster.replicas[leader].change_members(clusters.REMOVE, name)
        removed.state.raft_log._configurations[-1] = (
            removed.state.raft_log._configurations[-1]._replace(
                members=cluster.replicas[leader].state.members
            )
        )
        cluster.hub.heal()
        await cluster.wait_until(lambda: "removed" in removed.status().stopped)
        for _ in range(6000):
            await trio.sleep(0.01)
            assert removed.status().stopped != ""

    # Of two errors at once, the one that does not pass counts.
    async def test_removal_counts_more_than_a_full_disk(
        self,
        nursery: trio.Nursery,
        autojump_clock: Clock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        cluster, _, (name, _) = await _start(nursery)
        replica = cluster.replicas[name]
        for order in (1, -1):
            both = [errors.DiskError("full"), errors.StorageError("removed")]

            group = ExceptionGroup("both", both[::order])
            fail = unittest.mock.AsyncMock(side_effect=group)
            monkeypatch.setattr(replica, "_run_consensus", fail)
            failure = await replica._run_until_failure(None)
            assert str(failure) == "removed"


class TestWhileOut:

    async def test_term_does_not_go_back_at_the_stop(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader, (name, _) = await _start(nursery)
        failed = cluster.replicas[name]
        term = failed.status().term
        cluster.files[name].full = True
        await cluster.put(leader, "k=1")
        cluster.hub.isolate(name, set(cluster.names))
        await cluster.wait_until(lambda: failed.status().stopped != "")
        assert failed.status().term == term

    # The snapshot must be of one state.
    async def test_nothing_is_applied_during_a_slow_restore(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader, (name, _) = await _start(nursery)
        failed = cluster.replicas[name]
        files = cluster.files[name]
        files.full = True
        await cluster.put(leader, "k=1")
        await cluster.wait_until(lambda: failed.status().stopped != "")
        async with trio.open_nursery() as writing:

            async def write() -> None:
                while True:
                    await cluster.put(leader, "k=2")
                    await trio.sleep(0.02)

            writing.start_soon(write)
            await trio.sleep(2.0)
            files.full = False
            files.sync_seconds = 0.5
            seen = set()
            while failed.status().stopped:
                if failed._snapshots._saving.locked():
                    seen.add(failed.status().applied)
                await trio.sleep(0.001)
            writing.cancel_scope.cancel()
        assert len(seen) == 1
        log = failed.state.raft_log
        assert log.term_at(failed.status().applied) is not None

    # the folder is not marked again after the return.
    async def test_folder_is_marked_as_complete_again(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader, (name, _) = await _start(nursery)
        failed = cluster.replicas[name]
        files = cluster.files[name]
        await cluster.wait_until(lambda: "complete" in files.content)
        files.full = True
        await cluster.put(leader, "k=1")
        await cluster.wait_until(lambda: failed.status().stopped != "")
        await cluster.wait_until(lambda: "complete" not in files.content)
        files.full = False
        await cluster.wait_until(lambda: failed.status().stopped == "")
        await cluster.wait_until(lambda: "complete" in files.content, 1.0)
