"""Tests of the size of a replica's log, on the disk and in memory."""

import errno
import pathlib
import tracemalloc

import pytest
import trio
import trio.testing

from turmerichall.agreement import entry_log
from turmerichall.agreement import message as messages
from turmerichall.agreement import replica_state
from turmerichall.agreement.tests import cluster as clusters
from turmerichall.storage import files as storage_files
from turmerichall.storage import journal
from turmerichall.storage.tests import memory_files

Clock = trio.testing.MockClock

DISK_BYTES = 128_000_000
# Size of a configuration change with 2,700 routes.
CHANGE_BYTES = 700_000


class LimitedFiles(memory_files.MemoryFiles):
    """Disk of a limited size; a replacement needs room beside the old file.

    Attributes:
        disk_bytes: Size of the disk.
        peak: Highest number of bytes in use, those of replacements included.
        snapshots: Number of snapshots that were written.
    """

    def __init__(self, disk_bytes: int):
        super().__init__()
        self.disk_bytes = disk_bytes
        self.peak = 0
        self.snapshots = 0

    def _use(self, size: int) -> None:
        used = sum(map(len, self.content.values())) + size
        if used > self.disk_bytes:
            raise OSError(errno.ENOSPC, "no space left")
        self.peak = max(self.peak, used)

    def append(self, name: str, data: bytes) -> None:
        self._use(len(data))
        super().append(name, data)

    def replace(self, name: str, data: bytes) -> None:
        self._use(len(data))
        super().replace(name, data)
        self.snapshots += name == "snapshot"


class LastChange:
    """State machine whose state is the last change."""

    def __init__(self) -> None:
        self.last = b""

    def apply(self, _: int, data: bytes) -> bytes:
        self.last = data
        return b""

    def snapshot(self) -> bytes:
        return self.last

    def restore(self, data: bytes) -> None:
        self.last = data


def _change(number: int) -> bytes:
    return str(number).encode().ljust(CHANGE_BYTES, b".")


class TestLargeChanges:

    # The log was compacted by the number of its entries alone, so that it
    # filled the disk of every replica.
    async def test_many_large_changes_do_not_fill_the_disk(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster = clusters.Cluster(nursery, size=1, machine=LastChange)
        files = cluster.files["a"] = LimitedFiles(DISK_BYTES)
        await cluster.start_all()
        await cluster.wait_for_leader()
        for number in range(200):
            result = await cluster.replicas["a"].propose(_change(number))
            assert result == b"", (number, result)
        assert files.peak < DISK_BYTES / 2
        # Each one encodes the whole state in the event loop.
        assert files.snapshots <= 10
        cluster.kill("a")
        await cluster.start("a")
        machine = cluster.machines["a"]
        await cluster.wait_until(lambda: machine.snapshot() == _change(199))


class RecordingLog(clusters.NullLog):
    """A log that keeps the messages."""

    def __init__(self) -> None:
        self.messages: list[str] = []

    def info(self, message: str, **_: object) -> None:
        self.messages.append(message)

    warning = info
    error = info


class TestFollowerThatLags:

    # If a snapshot left nothing in the log, it would be fetched after each
    # short interruption; if it left too much, the log would not be bounded.
    @pytest.mark.parametrize(
        ("missed", "fetches"), [(8, False), (60, True)], ids=str
    )
    async def test_snapshot_is_fetched_only_after_a_long_absence(
        self,
        nursery: trio.Nursery,
        autojump_clock: Clock,
        missed: int,
        fetches: bool,
    ) -> None:
        timing = replica_state.Timing(
            snapshot_bytes=20_000, retained_bytes=10_000
        )
        cluster = clusters.Cluster(
            nursery, timing=timing, machine=LastChange, log=RecordingLog
        )
        await cluster.start_all()
        leader = await cluster.wait_for_leader()
        away = min(set(cluster.names) - {leader})
        change = bytes(1000)
        log = cluster.logs[away]
        assert isinstance(log, RecordingLog)
        for number in range(37 + missed):
            if number == 37:
                cluster.hub.isolate(away, set(cluster.names))
                log.messages.clear()
            await cluster.put_bytes(leader, change)
        raft_log = cluster.replicas[leader].state.raft_log
        assert raft_log.base_index > 30
        assert raft_log.bytes_between(0, raft_log.last_index) < 32_000
        cluster.hub.heal()
        applied = cluster.replicas[leader].state.applied
        await cluster.replicas[away].wait_applied(applied)
        assert ("installed a snapshot" in log.messages) == fetches


class TestRestart:

    # A process that needs more memory to start than to run is killed at each
    # start once it has been killed.
    async def test_log_is_read_and_rewritten_as_a_stream(
        self, tmp_path: pathlib.Path
    ) -> None:
        files = storage_files.DiskFiles(tmp_path)
        written = entry_log.EntryLog(journal.Journal(files))
        change = messages.EntryKind.CHANGE
        for number in range(1, 41):
            entry = messages.Entry(number, 1, change, _change(number))
            written.append(entry)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(written.journal.run)
            await written.journal.wait_durable(written.journal.sequence)
            nursery.cancel_scope.cancel()
        del written
        tracemalloc.start()
        loaded = entry_log.EntryLog(journal.Journal(files))
        loaded.load(None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(loaded.journal.run)
            await loaded.journal.wait_durable(loaded.rewrite())
            nursery.cancel_scope.cancel()
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert loaded.last_index == 40
        assert peak < 50 * CHANGE_BYTES
        assert files.size("log") == loaded.journal.file_bytes
        files.unlock()
