"""Tests of group commit, disk failures and the data folder."""

import pathlib

import pytest
import trio
import trio.testing

from turmerichall import errors
from turmerichall.storage import data_folder
from turmerichall.storage import files as storage_files
from turmerichall.storage import journal as storage_journal
from turmerichall.storage.tests import memory_files


async def _wait_failed(
    journal: storage_journal.Journal, sequence: int
) -> errors.StorageError:
    with pytest.raises(errors.StorageError) as failed:
        await journal.wait_durable(sequence)
    return failed.value


class TestGroupCommit:

    async def test_one_sync_covers_records_appended_meanwhile(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        files = memory_files.MemoryFiles()
        journal = storage_journal.Journal(files)
        nursery.start_soon(journal.run)
        journal.append(b"first")
        await trio.sleep(memory_files.SYNC_SECONDS / 2)
        sequence = [journal.append(str(n).encode()) for n in range(200)][-1]
        await journal.wait_durable(sequence)
        assert journal.syncs == 2
        assert len(list(journal.load())) == 201

    async def test_rewrite_keeps_records_appended_after_it(
        self, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
    ) -> None:
        journal = storage_journal.Journal(memory_files.MemoryFiles())
        nursery.start_soon(journal.run)
        await journal.wait_durable(journal.append(b"old"))
        journal.append(b"dropped")
        journal.rewrite([b"kept"])
        await journal.wait_durable(journal.append(b"new"))
        assert list(journal.load()) == [b"kept", b"new"]


class TestFailingDisk:

    @pytest.mark.parametrize(
        ("fault", "reason"),
        [("full", "the disk is full"), ("sync_fails", "input/output error")],
    )
    async def test_nothing_is_acknowledged_after_a_failure(
        self,
        autojump_clock: trio.testing.MockClock,
        fault: str,
        reason: str,
    ) -> None:
        files = memory_files.MemoryFiles()
        journal = storage_journal.Journal(files)
        setattr(files, fault, True)
        sequence = journal.append(b"record")
        with pytest.raises(errors.StorageError, match=reason):
            await journal.run()
        setattr(files, fault, False)
        await _wait_failed(journal, sequence)
        with pytest.raises(errors.StorageError, match=reason):
            journal.append(b"later")
        assert not list(journal.load())


class TestDataFolder:

    def test_survives_a_restart(self, tmp_path: pathlib.Path) -> None:
        files = storage_files.DiskFiles(tmp_path / "data")
        first = data_folder.DataFolder.open(files)
        files.append("log", b"ab")
        files.append("log", b"cd")
        files.replace("snapshot", b"old")
        files.replace("snapshot", b"new")
        (tmp_path / "data" / "snapshot.new").write_bytes(b"half")
        files.unlock()
        again = data_folder.DataFolder.open(files)
        assert again.identity == first.identity
        assert files.read("log") == b"abcd"
        assert files.read_range("snapshot", 1, 9) == b"ew"
        # It would take up space until the next replacement.
        assert not (tmp_path / "data" / "snapshot.new").exists()
        files.unlock()

    def test_empty_folder_has_a_new_identity(
        self, tmp_path: pathlib.Path
    ) -> None:
        folders = [
            data_folder.DataFolder.open(
                storage_files.DiskFiles(tmp_path / each)
            )
            for each in "ab"
        ]
        assert folders[0].identity != folders[1].identity
        for folder in folders:
            folder.files.unlock()

    def test_second_process_cannot_lock_the_folder(
        self, tmp_path: pathlib.Path
    ) -> None:
        files = storage_files.DiskFiles(tmp_path)
        data_folder.DataFolder.open(files)
        with pytest.raises(errors.StorageError, match="another process"):
            data_folder.DataFolder.open(storage_files.DiskFiles(tmp_path))
        files.unlock()

    def test_other_format_version_is_refused(self) -> None:
        files = memory_files.MemoryFiles()
        files.content["format"] = b"99"
        with pytest.raises(errors.StorageError, match="format 99"):
            data_folder.DataFolder.open(files)

    def test_damaged_snapshot_is_refused(self) -> None:
        files = memory_files.MemoryFiles()
        folder = data_folder.DataFolder.open(files)
        files.content["snapshot"] = b"\1" * 100
        with pytest.raises(errors.CorruptLogError):
            folder.load_snapshot()
