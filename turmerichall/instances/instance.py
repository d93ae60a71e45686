"""Entry instances as the replicated list of instances describes them."""

from typing import NamedTuple

__all__ = ["Instance"]


class Instance(NamedTuple):
    """An entry instance, with or without a disk.

    Attributes:
        name: Unique name.
        region: Region of its host.
        zone: Availability zone of its host.
        callers: `host:port` at which it accepts the requests of callers.
        operators: `host:port` at which it accepts operators' requests and
            announcements.
        peers: `host:port` at which it accepts connections of other instances.
        disk: Whether it has a data folder on a disk.
    """

    name: str
    region: str
    zone: str
    callers: str
    operators: str
    peers: str
    disk: bool
