"""The data folder of a replica: lock, format version, identity and snapshot.

The identity names the data on the disk, above all the votes recorded there.
A replica whose disk was lost starts with an empty folder and gets a new
identity, so that it is never mistaken for the voter that it was before.
"""

import uuid
from collections.abc import Sequence

from turmerichall import errors
from turmerichall.storage import files as storage_files
from turmerichall.storage import journal
from turmerichall.storage import records

__all__ = ["DataFolder", "FORMAT_VERSION"]

FORMAT_VERSION = 1
FORMAT_NAME = "format"
IDENTITY_NAME = "identity"
SNAPSHOT_NAME = "snapshot"
# Marker file.  It exists while the snapshot and journal in this folder include
# every change that this instance ever applied.
COMPLETE_NAME = "complete"
PROBE_NAME = "probe"
PROBE_BYTES = 4096


class DataFolder:
    """A locked data folder of the current format.

    Attributes:
        files: Access to the files of the folder.
        identity: Unique id of the folder, created when it is first opened.
        journal: The journal of log entries, votes and commit indexes.
        snapshot_bytes: Size of the snapshot file in bytes; 0 without one.
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
        """Lock a folder and read or create its identity; blocks on file I/O.

        Args:
            files: Access to the files of the folder.
            max_batch_records: Maximum number of journal records per sync.

        Returns:
            The locked folder.

        Raises:
            StorageError: The folder is locked by another process, has another
                format version, or can't be read or written.
        """
        try:
            files.lock()
            files.remove_unfinished()
            _check_format(files)
            identity = files.read(IDENTITY_NAME)
            if identity is None:
                identity = uuid.uuid4().hex.encode()
                files.replace(IDENTITY_NAME, identity)
        except OSError as error:
            raise storage_files.storage_error("opening", error) from error
        return cls(files, identity.decode(), max_batch_records)

    def load_snapshot(self) -> memoryview | None:
        """Read the snapshot; blocks on file I/O.

        Returns:
            The content of the snapshot; None if there is no snapshot.

        Raises:
            CorruptLogError: The snapshot fails its checksum.
            StorageError: The file can't be read.
        """
        try:
            data = self.files.read(SNAPSHOT_NAME)
        except OSError as error:
            raise storage_files.storage_error(
                "reading the snapshot", error
            ) from error
        if data is None:
            return None
        payload = unframe_snapshot(data)
        self.snapshot_bytes = len(data)
        return payload

    async def save_snapshot(self, parts: Sequence[bytes | bytearray]) -> None:
        """Replace the snapshot atomically.

        Args:
            parts: Parts of the snapshot as one record: its header, see
                `records.header`, and its content.

        Raises:
            StorageError: The file could not be written.
        """
        try:
            await self.files.run_blocking(
                lambda: self.files.replace_from(SNAPSHOT_NAME, parts)
            )
        except OSError as error:
            raise storage_files.storage_error(
                "writing the snapshot", error
            ) from error
        self.snapshot_bytes = sum(map(len, parts))

    def is_complete(self) -> bool:
        """Return whether the folder includes every change applied here.

        Blocks on file I/O.
        """
        return self.files.read(COMPLETE_NAME) is not None

    async def mark_complete(self) -> None:
        """Record durably that the folder includes every change applied here.

        Raises:
            StorageError: The marker file could not be written.
        """
        try:
            await self.files.run_blocking(
                lambda: self.files.replace(COMPLETE_NAME, b"")
            )
        except OSError as error:
            raise storage_files.storage_error("marking", error) from error

    async def mark_incomplete(self) -> None:
        """Record durably that the folder may lack changes applied here.

        Removing the marker file takes no space, so it works on a full disk.

        Raises:
            StorageError: The marker file could not be removed.
        """
        try:
            await self.files.run_blocking(
                lambda: self.files.remove(COMPLETE_NAME)
            )
        except OSError as error:
            raise storage_files.storage_error("marking", error) from error

    async def probe(self) -> None:
        """Write, sync and remove a small file, to see whether the disk works.

        Raises:
            DiskError: The disk does not work.
        """

        def write() -> None:
            self.files.replace(PROBE_NAME, bytes(PROBE_BYTES))
            self.files.remove(PROBE_NAME)

        try:
            await self.files.run_blocking(write)
        except OSError as error:
            raise storage_files.storage_error("probing", error) from error

    async def read_snapshot_part(self, offset: int, size: int) -> bytes:
        """Read a byte range of the snapshot file, which starts with a header.

        Args:
            offset: First byte of the range.
            size: Maximum number of bytes to read.

        Raises:
            StorageError: The file can't be read.
        """
        try:
            return await self.files.run_blocking(
                lambda: self.files.read_range(SNAPSHOT_NAME, offset, size)
            )
        except OSError as error:
            raise storage_files.storage_error(
                "reading the snapshot", error
            ) from error


def unframe_snapshot(framed: bytes | bytearray) -> memoryview:
    """Verify the checksum of a snapshot and return its content.

    Raises:
        CorruptLogError: The snapshot is truncated or fails its checksum.

    Examples:
        >>> bytes(unframe_snapshot(records.frame(b"state")))
        b'state'
    """
    return records.unframe(framed, SNAPSHOT_NAME)


def _check_format(files: storage_files.Files) -> None:
    found = files.read(FORMAT_NAME)
    expected = str(FORMAT_VERSION).encode()
    if found is None:
        files.replace(FORMAT_NAME, expected)
    elif found != expected:
        raise errors.StorageError(
            f"data folder has format {found.decode('utf-8', 'replace')},"
            f" this version reads format {FORMAT_VERSION}"
        )
