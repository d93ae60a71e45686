"""One entry instance as the replicated state lists it."""

from typing import NamedTuple

__all__ = ["Instance"]


class Instance(NamedTuple):
    """An entry instance, with or without a disk.

    Attributes:
        name: Unique name.
        region: Region that it stands in.
        zone: Availability zone that it stands in.
        callers: Where it takes callers' requests, `host:port`.
        operators: Where it takes operators and announcements.
        peers: Where it takes the other instances.
        disk: Whether it has a data folder.
    """

    name: str
    region: str
    zone: str
    callers: str
    operators: str
    peers: str
    disk: bool
