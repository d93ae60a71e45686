"""Checksummed records, and recovery of a file of records after a crash.

A record is a header and a payload.  The header holds the payload's length,
a checksum of the length and a checksum of the payload.  They distinguish a
torn write from corruption: a record that a crash truncated ends at the end of
the file or in sectors that were never written, a record damaged later does
not.
"""

import struct
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import crc32c

from turmerichall import errors

__all__ = ["Source", "blocks", "frame", "header", "iterate", "scan", "unframe"]

_HEADER = struct.Struct(">III")
_LENGTH = struct.Struct(">I")
SECTOR_BYTES = 512
# Size of a read of a file, and of a write of many records, in bytes.
BLOCK_BYTES = 256 * 1024

Buffer = bytes | bytearray | memoryview


class Source(NamedTuple):
    """Content of a file that is read piece by piece.

    Attributes:
        size: Size of the file in bytes.
        read: Returns the bytes from an offset on, up to a number of bytes.
    """

    size: int
    read: Callable[[int, int], Buffer]


def header(payload: bytes) -> bytes:
    """Return the header of a payload's record."""
    length_checksum = crc32c.crc32c(_LENGTH.pack(len(payload)))
    return _HEADER.pack(len(payload), length_checksum, crc32c.crc32c(payload))


def frame(payload: bytes) -> bytes:
    """Return a payload as a record, with its header in front.

    Args:
        payload: Any bytes.

    Examples:
        >>> scan(frame(b"one") + frame(b"two"), "log")
        ([b'one', b'two'], 30)
    """
    return header(payload) + payload


def blocks(payloads: Iterable[bytes]) -> Iterator[bytes]:
    """Yield the records of payloads in blocks of about `BLOCK_BYTES`.

    Examples:
        >>> [len(block) for block in blocks([b"one", bytes(BLOCK_BYTES), b""])]
        [262171, 12]
    """
    block = bytearray()
    for payload in payloads:
        block += header(payload)
        block += payload
        if len(block) >= BLOCK_BYTES:
            yield bytes(block)
            block.clear()
    if block:
        yield bytes(block)


def scan(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Return the payloads of all complete records of a file.

    Args:
        data: Content of the file.
        name: Name of the file, for the error message.

    Returns:
        The payloads, and the total length of their records in bytes.  Any
        bytes after that belong to a record that a crash truncated.

    Raises:
        CorruptLogError: A record fails its checksum and was not truncated by
            a crash.

    Examples:
        >>> scan(frame(b"one") + frame(b"two")[:-1], "log")
        ([b'one'], 15)
    """
    source = Source(len(data), lambda at, size: data[at : at + size])
    payloads = list(iterate(source, name))
    return payloads, sum(_HEADER.size + len(each) for each in payloads)


def iterate(source: Source, name: str) -> Iterator[bytes]:
    """Yield the payloads of all complete records of a file; see `scan`.

    No more of the file is held than a record and one read.

    Args:
        source: Content of the file.
        name: Name of the file, for the error message.

    Raises:
        CorruptLogError: A record fails its checksum and was not truncated by
            a crash.
    """
    ahead = Source(source.size, _ReadAhead(source).read)
    offset = 0
    while offset < source.size:
        payload = _read_record(ahead, offset)
        if payload is None:
            if not _is_truncated(ahead, offset):
                raise errors.CorruptLogError(
                    f"{name}: record at byte {offset} fails its checksum"
                )
            return
        offset += _HEADER.size + len(payload)
        yield bytes(payload)


def unframe(framed: Buffer, name: str) -> memoryview:
    """Return the payload of a file that is one record, without a copy.

    Args:
        framed: Content of the file.
        name: Name of the file, for the error message.

    Raises:
        CorruptLogError: The record is truncated or fails its checksum.

    Examples:
        >>> bytes(unframe(frame(b"state"), "snapshot"))
        b'state'
    """
    view = memoryview(framed)
    source = Source(len(view), lambda at, size: view[at : at + size])
    payload = _read_record(source, 0)
    if payload is None or len(payload) + _HEADER.size != len(view):
        raise errors.CorruptLogError(f"{name}: expected one complete record")
    return memoryview(payload)


class _ReadAhead:
    """Reads a file in blocks, for a reader that goes through it in order."""

    def __init__(self, source: Source):
        self.source = source
        self._start = 0
        self._block: Buffer = b""

    def read(self, offset: int, size: int) -> Buffer:
        """Return the bytes from an offset on, up to a number of bytes."""
        start = offset - self._start
        if start < 0 or start + size > len(self._block):
            # Frees the last block before the next one is read.
            self._block = b""
            self._block = self.source.read(offset, max(size, BLOCK_BYTES))
            self._start = offset
            start = 0
        return self._block[start : start + size]


def _read_record(source: Source, offset: int) -> Buffer | None:
    """Return the payload of a record; None if it is truncated or damaged."""
    length = _checked_length(source, offset)
    start = offset + _HEADER.size
    if length is None or start + length > source.size:
        return None
    checksum = _HEADER.unpack(source.read(offset, _HEADER.size))[2]
    payload = source.read(start, length)
    if len(payload) < length or crc32c.crc32c(payload) != checksum:
        return None
    return payload


def _checked_length(source: Source, offset: int) -> int | None:
    """Return the payload length; None if the header is torn or damaged."""
    if source.size - offset < _HEADER.size:
        return None
    length, length_checksum, _ = _HEADER.unpack(
        source.read(offset, _HEADER.size)
    )
    if crc32c.crc32c(_LENGTH.pack(length)) != length_checksum:
        return None
    return int(length)


def _is_truncated(source: Source, offset: int) -> bool:
    """Return whether a crash during a write can explain an unreadable record.

    Otherwise the record was damaged after it was written.
    """
    if source.size - offset < _HEADER.size:
        return True
    length = _checked_length(source, offset)
    if length is not None and offset + _HEADER.size + length > source.size:
        return True
    written = _written_end(source, offset)
    if written <= offset:
        return True
    # A crash may leave the file extended with its last sectors unwritten, that
    # is zero.  This explains only a record that reaches the end of the file.
    unwritten = -(-written // SECTOR_BYTES) * SECTOR_BYTES
    reaches_end = (
        length is None or offset + _HEADER.size + length == source.size
    )
    return reaches_end and offset < unwritten < source.size


def _written_end(source: Source, start: int) -> int:
    """Return the offset after the last byte from `start` on that is not 0."""
    end = source.size
    while end > start:
        begin = max(start, end - BLOCK_BYTES)
        written = bytes(source.read(begin, end - begin)).rstrip(b"\0")
        if written:
            return begin + len(written)
        end = begin
    return start
