"""The data folder as a whole: lock, format version, identity, snapshot.

The identity stands for what the disk remembers, above all its votes.  A disk
that was lost comes back empty and is given a new identity.
"""

import uuid

from turmerichall import errors
from turmerichall.storage import files as storage_files
from turmerichall.storage import journal
from turmerichall.storage import records

__all__ = ["DataFolder", "FORMAT_VERSION"]

FORMAT_VERSION = 1
FORMAT_NAME = "format"
IDENTITY_NAME = "identity"
SNAPSHOT_NAME = "snapshot"
# Stands for: this instance never served a state newer than its log.
COMPLETE_NAME = "complete"


class DataFolder:
    """A locked data folder of the current format.

    Attributes:
        files: The folder's files.
        identity: Unique id of this disk.
        journal: The log file.
        snapshot_bytes: Size of the snapshot file; 0 if there is none.
    """

    def __init__(
        self,
        files: storage_files.Files,
        identity: str,
        max_batch_records: int = journal.NO_LIMIT,
    ):
        self.files = files
        self.identity = identity
        self.journal = journal.Journal(files, max_batch_records)
        self.snapshot_bytes = 0

    @classmethod
    def open(
        cls,
        files: storage_files.Files,
        max_batch_records: int = journal.NO_LIMIT,
    ) -> "DataFolder":
        """Locks a folder and reads or makes its identity; blocks.

        Args:
            files: The folder's files.
            max_batch_records: Most records that one sync covers.

        Returns:
            The folder.

        Raises:
            StorageError: The folder is held, has another format, or fails.
        """
        try:
            files.lock()
            _check_format(files)
            identity = files.read(IDENTITY_NAME)
            if identity is None:
                identity = uuid.uuid4().hex.encode()
                files.replace(IDENTITY_NAME, identity)
        except OSError as error:
            raise storage_files.failure("opening", error) from error
        return cls(files, identity.decode(), max_batch_records)

    def load_snapshot(self) -> bytes | None:
        """Reads the snapshot; blocks.

        Returns:
            The snapshot; None if there is none.

        Raises:
            CorruptLogError: It fails its checksum.
            StorageError: It can't be read.
        """
        try:
            data = self.files.read(SNAPSHOT_NAME)
        except OSError as error:
            raise storage_files.failure("reading snapshot", error) from error
        if data is None:
            return None
        payload = unframe_snapshot(data)
        self.snapshot_bytes = len(data)
        return payload

    async def save_snapshot(self, framed: bytes) -> None:
        """Replaces the snapshot.

        Args:
            framed: The snapshot with its checksum, as `records.frame` made it.

        Raises:
            StorageError: It could not be written.
        """
        try:
            await self.files.perform(
                lambda: self.files.replace(SNAPSHOT_NAME, framed)
            )
        except OSError as error:
            raise storage_files.failure("writing snapshot", error) from error
        self.snapshot_bytes = len(framed)

    def is_complete(self) -> bool:
        """Tells whether the log holds all that was ever applied; blocks."""
        return self.files.read(COMPLETE_NAME) is not None

    async def mark_complete(self) -> None:
        """Records that the log holds all that was ever applied.

        Raises:
            StorageError: It could not be recorded.
        """
        try:
            await self.files.perform(
                lambda: self.files.replace(COMPLETE_NAME, b"")
            )
        except OSError as error:
            raise storage_files.failure("marking", error) from error

    async def mark_incomplete(self) -> None:
        """Records that more than the log holds may be applied from now on.

        This takes no space, so it works on a full disk.

        Raises:
            StorageError: It could not be recorded.
        """
        try:
            await self.files.perform(lambda: self.files.remove(COMPLETE_NAME))
        except OSError as error:
            raise storage_files.failure("marking", error) from error

    async def read_snapshot_part(self, offset: int, size: int) -> bytes:
        """Reads a part of the snapshot file, checksum included.

        Raises:
            StorageError: It can't be read.
        """
        try:
            return await self.files.perform(
                lambda: self.files.read_range(SNAPSHOT_NAME, offset, size)
            )
        except OSError as error:
            raise storage_files.failure("reading snapshot", error) from error


def unframe_snapshot(framed: bytes) -> bytes:
    """Checks a snapshot and returns its content.

    Raises:
        CorruptLogError: It is incomplete or fails its checksum.

    Examples:
        >>> unframe_snapshot(records.frame(b"state"))
        b'state'
    """
    payloads, length = records.scan(framed, SNAPSHOT_NAME)
    if len(payloads) != 1 or length != len(framed):
        raise errors.CorruptLogError("snapshot: is not one whole record")
    return payloads[0]


def _check_format(files: storage_files.Files) -> None:
    found = files.read(FORMAT_NAME)
    expected = str(FORMAT_VERSION).encode()
    if found is None:
        files.replace(FORMAT_NAME, expected)
    elif found != expected:
        raise errors.StorageError(
            f"data folder has format {found.decode('utf-8', 'replace')},"
            f" expected {FORMAT_VERSION}"
        )
