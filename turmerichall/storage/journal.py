"""The log file: records that are synced together.

Records that arrive while a sync is running wait and are written and synced
as one batch.  A failed write or sync is final: nothing that was not yet
durable is ever acknowledged, and no later record is accepted.
"""

import trio

from turmerichall import errors
from turmerichall.storage import files as storage_files
from turmerichall.storage import records

__all__ = ["Journal"]

LOG_NAME = "log"
NO_LIMIT = 1 << 30


class Journal:
    """Appends records to the log file and tells when they are durable.

    Attributes:
        files: The data folder.
        max_batch_records: Most records that one sync covers.
        syncs: Syncs so far.
        sequence: Sequence number of the last queued record.
        durable_sequence: Sequence number of the last durable one.
        failed: Why the journal accepts nothing more; None while it does.
    """

    def __init__(
        self, files: storage_files.Files, max_batch_records: int = NO_LIMIT
    ):
        self.files = files
        self.max_batch_records = max_batch_records
        self.syncs = 0
        self.failed: errors.StorageError | None = None
        self.sequence = 0
        self.durable_sequence = 0
        self._pending: list[bytes] = []
        self._rewriting = False
        self._wake = trio.Event()
        self._moved = trio.Event()

    def load(self) -> list[bytes]:
        """Reads the payloads of all whole records; blocks.

        Raises:
            CorruptLogError: A record was damaged.
            StorageError: The file can't be read.
        """
        try:
            data = self.files.read(LOG_NAME) or b""
        except OSError as error:
            raise storage_files.failure("reading the log", error) from error
        return records.scan(data, LOG_NAME)[0]

    def append(self, payload: bytes) -> int:
        """Queues a record.

        Args:
            payload: The record's content.

        Returns:
            The sequence number to pass to `wait_durable`.

        Raises:
            StorageError: The journal failed before.
        """
        if self.failed is not None:
            raise self.failed
        self._pending.append(records.frame(payload))
        self.sequence += 1
        self._wake.set()
        return self.sequence

    def rewrite(self, payloads: list[bytes]) -> int:
        """Queues the replacement of the whole file.

        What is queued already is dropped, so `payloads` must hold it.

        Args:
            payloads: The new content.

        Returns:
            The sequence number of the new file.
        """
        self._pending = [b"".join(map(records.frame, payloads))]
        self._rewriting = True
        self.sequence += 1
        self._wake.set()
        return self.sequence

    async def wait_durable(self, sequence: int) -> None:
        """Waits until a record is durable.

        Args:
            sequence: What `append` or `rewrite` returned.

        Raises:
            StorageError: The record could not be made durable.
        """
        while self.durable_sequence < sequence:
            if self.failed is not None:
                raise self.failed
            await self._moved.wait()

    async def run(self) -> None:
        """Writes and syncs what is queued until cancelled.

        Raises:
            StorageError: A write or a sync failed.
        """
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._pending:
                await self._write_batch()

    async def _write_batch(self) -> None:
        batch = self._pending[: self.max_batch_records]
        del self._pending[: len(batch)]
        covered = self.sequence - len(self._pending)
        rewriting = self._rewriting
        self._rewriting = False
        data = b"".join(batch)
        write = self.files.replace if rewriting else self.files.append
        try:
            await self.files.perform(lambda: write(LOG_NAME, data))
        except OSError as error:
            self.failed = storage_files.failure("writing the log", error)
            self._notify()
            raise self.failed from error
        self.syncs += 1
        self.durable_sequence = covered
        self._notify()

    def _notify(self) -> None:
        self._moved.set()
        self._moved = trio.Event()
