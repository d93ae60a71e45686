"""Crash-safe file access for the data folder."""

import errno
import fcntl
import os
import pathlib
from collections.abc import Callable, Iterable
from typing import Protocol, TypeVar

import trio

from turmerichall import errors

__all__ = ["DiskFiles", "Files", "storage_error"]

T = TypeVar("T")

LOCK_NAME = "lock"
# End of the name of a replacement that is being written.
UNFINISHED_SUFFIX = ".new"


class Files(Protocol):
    """File operations that the data folder needs.

    All methods except `run_blocking` block the thread; call them through it.
    """

    def lock(self) -> None:
        """Lock the folder for this process."""

    def unlock(self) -> None:
        """Close all files and release the lock."""

    def read(self, name: str) -> bytes | None:
        """Return the content of a file; None if it does not exist."""

    def size(self, name: str) -> int:
        """Return the size of a file in bytes; 0 if it does not exist."""

    def read_range(self, name: str, offset: int, size: int) -> bytes:
        """Return up to `size` bytes of a file, starting at a byte offset."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it, creating the file if needed."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and durably.

        A crash leaves either the old or the new content.
        """

    def replace_from(
        self, name: str, parts: Iterable[bytes | bytearray]
    ) -> None:
        """Replace a file by parts that are joined; see `replace`."""

    def remove_unfinished(self) -> None:
        """Remove what a crash during a replacement left behind."""

    def remove(self, name: str) -> None:
        """Remove a file durably, if it exists."""

    async def run_blocking(self, work: Callable[[], T]) -> T:
        """Run a blocking function without blocking the event loop."""


def storage_error(action: str, error: OSError) -> errors.DiskError:
    """Convert a failed file operation into a `DiskError`.

    Args:
        action: The operation that failed, for the message.
        error: What the operating system reported.

    Examples:
        >>> str(storage_error("append", OSError(errno.ENOSPC, "No space")))
        'append failed: the disk is full'
    """
    if error.errno in (errno.ENOSPC, errno.EDQUOT):
        return errors.DiskError(f"{action} failed: the disk is full")
    return errors.DiskError(f"{action} failed: {error}")


class DiskFiles:
    """Files in a folder on a disk.

    Attributes:
        folder: Path of the data folder.
        appending: Open descriptors of the files that records are appended to,
            by file name.
    """

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.appending: dict[str, int] = {}
        self._lock: int | None = None

    def lock(self) -> None:
        """See `Files`.

        Raises:
            StorageError: Another process has locked the folder.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        descriptor = os.open(
            self.folder / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        )
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as held:
            os.close(descriptor)
            raise errors.StorageError(
                f"another process has locked the data folder {self.folder}"
            ) from held
        self._lock = descriptor

    def unlock(self) -> None:
        """See `Files`."""
        for descriptor in self.appending.values():
            os.close(descriptor)
        self.appending.clear()
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def read(self, name: str) -> bytes | None:
        """See `Files`."""
        try:
            return (self.folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def size(self, name: str) -> int:
        """See `Files`."""
        try:
            with open(self.folder / name, "rb") as file:
                return file.seek(0, os.SEEK_END)
        except FileNotFoundError:
            return 0

    def read_range(self, name: str, offset: int, size: int) -> bytes:
        """See `Files`."""
        with open(self.folder / name, "rb") as file:
            file.seek(offset)
            return file.read(size)

    def append(self, name: str, data: bytes) -> None:
        """See `Files`."""
        descriptor = self.appending.get(name)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            descriptor = os.open(self.folder / name, flags)
            self.appending[name] = descriptor
        _write_all(descriptor, data)
        os.fsync(descriptor)

    def replace(self, name: str, data: bytes) -> None:
        """See `Files`."""
        self.replace_from(name, (data,))

    def replace_from(
        self, name: str, parts: Iterable[bytes | bytearray]
    ) -> None:
        """See `Files`."""
        temporary = self.folder / f"{name}{UNFINISHED_SUFFIX}"
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        descriptor = os.open(temporary, flags)
        try:
            for part in parts:
                _write_all(descriptor, part)
            os.fsync(descriptor)
        except OSError:
            # On a full disk, what was written would take the room of others.
            temporary.unlink(missing_ok=True)
            raise
        finally:
            os.close(descriptor)
        os.replace(temporary, self.folder / name)
        self._sync_folder()
        replaced = self.appending.pop(name, None)
        if replaced is not None:
            os.close(replaced)

    def remove_unfinished(self) -> None:
        """See `Files`."""
        for name in os.listdir(self.folder):
            if name.endswith(UNFINISHED_SUFFIX):
                (self.folder / name).unlink()

    def remove(self, name: str) -> None:
        """See `Files`."""
        (self.folder / name).unlink(missing_ok=True)
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    async def run_blocking(self, work: Callable[[], T]) -> T:
        """See `Files`."""
        return await trio.to_thread.run_sync(work)


def _write_all(descriptor: int, data: bytes | bytearray) -> None:
    rest = memoryview(data)
    while rest:
        rest = rest[os.write(descriptor, rest) :]
