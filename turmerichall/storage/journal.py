"""The journal: an append-only file of records with group commit.

Records that are appended while a sync is running are queued, then written and
synced as one batch.  After a failed write or sync, no record that was not yet
durable is acknowledged, and none is accepted until `replace_after_failure` has
written the whole file again.
"""

import itertools
from collections.abc import Iterable, Iterator

import trio

from turmerichall import errors
from turmerichall.storage import files as storage_files
from turmerichall.storage import records

__all__ = ["Journal"]

LOG_NAME = "log"
NO_LIMIT = 1 << 30


class Journal:
    """Appends records to the log file and reports when they are durable.

    Attributes:
        files: Access to the files of the data folder.
        max_batch_records: Maximum number of records per sync.
        syncs: Number of completed syncs.
        sequence: Sequence number of the last queued record.
        durable_sequence: Sequence number of the last durable record.
        failure: The error that stopped the journal; None while it works.
        file_bytes: Size of the file in bytes.
    """

    def __init__(
        self, files: storage_files.Files, max_batch_records: int = NO_LIMIT
    ):
        self.files = files
        self.max_batch_records = max_batch_records
        self.syncs = 0
        self.failure: errors.StorageError | None = None
        self.sequence = 0
        self.durable_sequence = 0
        self.file_bytes = 0
        self._pending: list[bytes] = []
        # Payloads of the records that replace the file, before those pending.
        self._replacement: Iterable[bytes] | None = None
        self._wake = trio.Event()
        self._advanced = trio.Event()

    def load(self) -> Iterator[bytes]:
        """Yield the payloads of all complete records; blocks on file I/O.

        The file is read as a stream.  A record at the end that a crash
        truncated is left out.

        Raises:
            CorruptLogError: A record fails its checksum.
            StorageError: The file can't be read.
        """
        try:
            self.file_bytes = self.files.size(LOG_NAME)
            source = records.Source(
                self.file_bytes,
                lambda offset, size: self.files.read_range(
                    LOG_NAME, offset, size
                ),
            )
            yield from records.iterate(source, LOG_NAME)
        except OSError as error:
            raise storage_files.storage_error(
                "reading the log", error
            ) from error

    def append(self, payload: bytes) -> int:
        """Queue a record.

        Args:
            payload: Content of the record.

        Returns:
            The sequence number to pass to `wait_durable`.

        Raises:
            StorageError: An earlier write or sync failed.
        """
        if self.failure is not None:
            raise self.failure
        self._pending.append(records.frame(payload))
        self.sequence += 1
        self._wake.set()
        return self.sequence

    def rewrite(self, payloads: Iterable[bytes]) -> int:
        """Queue the replacement of the whole file.

        Records that are still queued are discarded, so `payloads` must
        include them.

        Args:
            payloads: Content of each record of the new file.  They are iterated
                over in another thread, while they are written.

        Returns:
            The sequence number to pass to `wait_durable`.
        """
        self._pending.clear()
        self._replacement = payloads
        self.sequence += 1
        self._wake.set()
        return self.sequence

    def fail(self, error: errors.StorageError) -> None:
        """Accept no more records, and end all waiting, for an error elsewhere.

        Has no effect if a write or sync has failed already.
        """
        if self.failure is None:
            self.failure = error
            self._notify()

    async def replace_after_failure(self, payloads: Iterable[bytes]) -> None:
        """Replace the whole file after a failure, and accept records again.

        What the failed write left in the file is unknown, so nothing of it is
        kept.  Called while `run` is not running.

        Args:
            payloads: Content of each record of the new file.

        Raises:
            DiskError: The disk still fails.
        """
        try:
            await self.files.run_blocking(lambda: self._replace(payloads, b""))
        except OSError as error:
            raise storage_files.storage_error(
                "writing the log", error
            ) from error
        self._pending.clear()
        self._replacement = None
        self.failure = None
        self.durable_sequence = self.sequence

    async def wait_durable(self, sequence: int) -> None:
        """Wait until a record and all records before it are durable.

        Args:
            sequence: Sequence number from `append` or `rewrite`.

        Raises:
            StorageError: The record could not be made durable.
        """
        while self.durable_sequence < sequence:
            if self.failure is not None:
                raise self.failure
            await self._advanced.wait()

    async def run(self) -> None:
        """Write and sync queued records until cancelled.

        Raises:
            StorageError: A write or a sync failed.
        """
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._pending or self._replacement is not None:
                await self._write_batch()

    async def _write_batch(self) -> None:
        batch = self._pending[: self.max_batch_records]
        del self._pending[: len(batch)]
        covered = self.sequence - len(self._pending)
        replacement, self._replacement = self._replacement, None
        data = b"".join(batch)

        def write() -> None:
            if replacement is not None:
                self._replace(replacement, data)
            else:
                self.files.append(LOG_NAME, data)
                self.file_bytes += len(data)

        try:
            await self.files.run_blocking(write)
        except OSError as error:
            failure = storage_files.storage_error("writing the log", error)
            self.fail(failure)
            raise failure from error
        self.syncs += 1
        self.durable_sequence = covered
        self._notify()

    def _replace(self, payloads: Iterable[bytes], appended: bytes) -> None:
        """Replace the file by records, and framed records after them."""
        written = 0

        def counted(block: bytes) -> bytes:
            nonlocal written
            written += len(block)
            return block

        parts = itertools.chain(records.blocks(payloads), (appended,))
        self.files.replace_from(LOG_NAME, map(counted, parts))
        self.file_bytes = written

    def _notify(self) -> None:
        self._advanced.set()
        self._advanced = trio.Event()
