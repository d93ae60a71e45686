"""Tests of the size of a replica's log, on the disk and in memory."""

import pathlib
import tracemalloc

import trio

from turmerichall.agreement import entry_log
from turmerichall.agreement import message as messages
from turmerichall.storage import files as storage_files
from turmerichall.storage import journal

# Size of a configuration change with 2,700 routes.
CHANGE_BYTES = 700_000


def _change(number: int) -> bytes:
    return str(number).encode().ljust(CHANGE_BYTES, b".")


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
