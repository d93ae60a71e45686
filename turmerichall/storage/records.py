"""Checksummed records, and recovery of a file of records after a crash.

A record is a header and a payload.  The header holds the payload's length,
a checksum of the length and a checksum of the payload.  They distinguish a
torn write from corruption: a record that a crash truncated ends at the end of
the file or in sectors that were never written, a record damaged later does
not.
"""

import struct

import crc32c

from turmerichall import errors

__all__ = ["frame", "scan"]

_HEADER = struct.Struct(">III")
_LENGTH = struct.Struct(">I")
SECTOR_BYTES = 512


def frame(payload: bytes) -> bytes:
    """Return a payload as a record, with its header in front.

    Args:
        payload: Any bytes.

    Examples:
        >>> scan(frame(b"one") + frame(b"two"), "log")
        ([b'one', b'two'], 30)
    """
    length_checksum = crc32c.crc32c(_LENGTH.pack(len(payload)))
    header = _HEADER.pack(len(payload), length_checksum, crc32c.crc32c(payload))
    return header + payload


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
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _read_record(data, offset)
        if payload is None:
            if not _is_truncated(data, offset):
                raise errors.CorruptLogError(
                    f"{name}: record at byte {offset} fails its checksum"
                )
            break
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return payloads, offset


def _read_record(data: bytes, offset: int) -> bytes | None:
    """Return the payload of a record; None if it is truncated or damaged."""
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
    """Return the payload length; None if the header is torn or damaged."""
    if len(data) - offset < _HEADER.size:
        return None
    length, length_checksum, _ = _HEADER.unpack_from(data, offset)
    if crc32c.crc32c(_LENGTH.pack(length)) != length_checksum:
        return None
    return int(length)


def _is_truncated(data: bytes, offset: int) -> bool:
    """Return whether a crash during a write can explain an unreadable record.

    Otherwise the record was damaged after it was written.
    """
    if len(data) - offset < _HEADER.size:
        return True
    length = _checked_length(data, offset)
    if length is not None and offset + _HEADER.size + length > len(data):
        return True
    written = len(data.rstrip(b"\0"))
    if written <= offset:
        return True
    # A crash may leave the file extended with its last sectors unwritten, that
    # is zero.  This explains only a record that reaches the end of the file.
    unwritten = -(-written // SECTOR_BYTES) * SECTOR_BYTES
    reaches_end = length is None or offset + _HEADER.size + length == len(data)
    return reaches_end and offset < unwritten < len(data)
