"""The audit trail: what stand-ins did and saw, as append-only JSON lines.

Each record is written with one system call, so that a killed process loses
none that it made.  `monotonic` is the machine's monotonic clock, which all
processes of one machine share.
"""

import os
import pathlib
import time
from typing import Any, NamedTuple

import msgspec

__all__ = ["AuditTrail", "Record", "read"]


class Record(NamedTuple):
    """One record of a trail.

    Attributes:
        monotonic: When it was written, machine's monotonic clock, seconds.
        wall: When it was written, Unix time.
        source: Name of the process that wrote it.
        event: What happened, such as `task_start`.
        fields: Further fields by name.
    """

    monotonic: float
    wall: float
    source: str
    event: str
    fields: dict[str, Any]


class AuditTrail:
    """Writes the trail of one process.

    Attributes:
        source: Name of the process.
        descriptor: The open file, or -1 if nothing is kept.
    """

    def __init__(self, path: str, source: str):
        self.source = source
        self.descriptor = -1
        if path:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self.descriptor = os.open(path, flags, 0o644)

    def write(self, event: str, **fields: Any) -> None:
        """Appends a record."""
        if self.descriptor < 0:
            return
        record = Record(
            time.monotonic(), time.time(), self.source, event, fields
        )
        os.write(self.descriptor, msgspec.json.encode(record) + b"\n")

    def close(self) -> None:
        """Closes the file."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1


def read(path: pathlib.Path) -> list[Record]:
    """Reads a trail; a last line that was cut off is passed over."""
    lines = path.read_bytes().split(b"\n")
    return [msgspec.json.decode(line, type=Record) for line in lines[:-1]]
