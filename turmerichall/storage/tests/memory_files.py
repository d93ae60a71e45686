"""In-memory data folder with fault injection, for tests."""

import errno
from collections.abc import Callable, Iterable
from typing import TypeVar

import trio

from turmerichall import errors

T = TypeVar("T")

SYNC_SECONDS = 0.002


class MemoryFiles:
    """In-memory data folder with fault injection; implements `Files`.

    Attributes:
        content: Durable content by file name; it survives a crash.
        full: Whether the disk is full; an append then writes half of its
            data before it fails.
        sync_seconds: Duration of each operation, in seconds.
        sync_fails: Whether syncs fail; then no write becomes durable.
    """

    def __init__(self) -> None:
        self.content: dict[str, bytes] = {}
        self.sync_seconds = SYNC_SECONDS
        self.full = False
        self.sync_fails = False
        self.locked = False

    def lock(self) -> None:
        if self.locked:
            raise errors.StorageError("another process has locked the folder")
        self.locked = True

    def unlock(self) -> None:
        self.locked = False

    def read(self, name: str) -> bytes | None:
        return self.content.get(name)

    def size(self, name: str) -> int:
        return len(self.content.get(name, b""))

    def read_range(self, name: str, offset: int, size: int) -> bytes:
        return self.content[name][offset : offset + size]

    def append(self, name: str, data: bytes) -> None:
        """Write all data, half of it on a full disk, none if syncs fail."""
        if self.sync_fails:
            raise OSError(errno.EIO, "input/output error")
        if self.full:
            data = data[: len(data) // 2]
        self.content[name] = self.content.get(name, b"") + data
        if self.full:
            raise OSError(errno.ENOSPC, "no space left")

    def replace(self, name: str, data: bytes) -> None:
        if self.full:
            raise OSError(errno.ENOSPC, "no space left")
        if self.sync_fails:
            raise OSError(errno.EIO, "input/output error")
        self.content[name] = data

    def replace_from(
        self, name: str, parts: Iterable[bytes | bytearray]
    ) -> None:
        self.replace(name, b"".join(parts))

    def remove_unfinished(self) -> None:
        """Do nothing, since replacements are atomic here."""

    def remove(self, name: str) -> None:
        if self.sync_fails:
            raise OSError(errno.EIO, "input/output error")
        self.content.pop(name, None)

    async def run_blocking(self, work: Callable[[], T]) -> T:
        await trio.sleep(self.sync_seconds)
        return work()
