"""The audit trail: what stand-ins did and observed, as append-only JSON lines.

Each record is written with one system call, so that a killed process loses
none of the records that it wrote.  `monotonic` is the machine's monotonic
clock, which all processes of one machine share.
"""

import os
import pathlib
import time
from typing import Any, NamedTuple

import msgspec

__all__ = ["AuditTrail", "Record", "read"]


class Record(NamedTuple):
    """One record of an audit trail.

    Attributes:
        monotonic: Time of writing on the machine's monotonic clock, in seconds.
        wall: Time of writing, in seconds of Unix time.
        source: Name of the process that wrote the record.
        event: Kind of event, such as `task_start`.
        fields: Further fields by name.
    """

    monotonic: float
    wall: float
    source: str
    event: str
    fields: dict[str, Any]


class AuditTrail:
    """Writer of the audit trail of one process.

    Attributes:
        source: Name of the process.
        descriptor: Descriptor of the open file; -1 if no trail is written.
    """

    def __init__(self, path: str, source: str):
        self.source = source
        self.descriptor = -1
        if path:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self.descriptor = os.open(path, flags, 0o644)

    def write(self, event: str, **fields: Any) -> None:
        """Append a record."""
        if self.descriptor < 0:
            return
        record = Record(
            time.monotonic(), time.time(), self.source, event, fields
        )
        os.write(self.descriptor, msgspec.json.encode(record) + b"\n")

    def close(self) -> None:
        """Close the file."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1


def read(path: pathlib.Path) -> list[Record]:
    """Return the records of an audit trail, except an incomplete last line."""
    lines = path.read_bytes().split(b"\n")
    return [msgspec.json.decode(line, type=Record) for line in lines[:-1]]
