"""Checksummed records, and how a file of them is read after a crash.

A record is a header and a payload.  The header holds the payload's length,
a checksum of the length and a checksum of the payload, so a record that a
crash cut short differs from one that was damaged later: the first ends with
the file or in sectors that were never written, the second doesn't.
"""

import struct

import crc32c

from turmerichall import errors

__all__ = ["frame", "scan"]

_HEADER = struct.Struct(">III")
_LENGTH = struct.Struct(">I")
SECTOR_BYTES = 512


def frame(payload: bytes) -> bytes:
    """Puts the header in front of a payload.

    Args:
        payload: Any bytes.

    Returns:
        The record.

    Examples:
        >>> scan(frame(b"one") + frame(b"two"), "log")
        ([b'one', b'two'], 30)
    """
    length_checksum = crc32c.crc32c(_LENGTH.pack(len(payload)))
    header = _HEADER.pack(len(payload), length_checksum, crc32c.crc32c(payload))
    return header + payload


def scan(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Reads all records of a file.

    Args:
        data: Content of the file.
        name: Name of the file, for the error.

    Returns:
        The payloads, and the length in bytes that they take up.  What follows
        that length is a record that a crash cut short.

    Raises:
        CorruptLogError: A record fails its checksum and wasn't cut short.

    Examples:
        >>> scan(frame(b"one") + frame(b"two")[:-1], "log")
        ([b'one'], 15)
    """
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _read_record(data, offset)
        if payload is None:
            if not _cut_short(data, offset):
                raise errors.CorruptLogError(
                    f"{name}: record at byte {offset} fails its checksum"
                )
            break
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return payloads, offset


def _read_record(data: bytes, offset: int) -> bytes | None:
    """Returns the payload at an offset; None if it is not whole."""
    length = _checked_length(data, offset)
    if length is None:
        return None
    start = offset + _HEADER.size
    payload = data[start : start + length]
    checksum = _HEADER.unpack_from(data, offset)[2]
    if len(payload) < length or crc32c.crc32c(payload) != checksum:
        return None
    return payload


def _checked_length(data: bytes, offset: int) -> int | None:
    if len(data) - offset < _HEADER.size:
        return None
    length, length_checksum, _ = _HEADER.unpack_from(data, offset)
    if crc32c.crc32c(_LENGTH.pack(length)) != length_checksum:
        return None
    return int(length)


def _cut_short(data: bytes, offset: int) -> bool:
    if len(data) - offset < _HEADER.size:
        return True
    length = _checked_length(data, offset)
    if length is not None and offset + _HEADER.size + length > len(data):
        return True
    written = len(data.rstrip(b"\0"))
    if written <= offset:
        return True
    # The file was extended, but its last sectors were never written.
    unwritten = -(-written // SECTOR_BYTES) * SECTOR_BYTES
    ends_file = length is None or offset + _HEADER.size + length == len(data)
    return ends_file and offset < unwritten < len(data)
