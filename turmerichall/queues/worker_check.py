"""Check whether a worker can be called."""

import re

from turmerichall.http1 import address as addresses
from turmerichall.queues import change as changes

__all__ = ["reason_unusable"]

# The name of a worker stands in paths and header fields; "#" separates it from
# the time of its start in the id of an incarnation.
_NAME = re.compile(r"[!-\"$-.0-~]{1,128}")


def reason_unusable(record: changes.WorkerRecord) -> str:
    """Return why a worker can't be called; empty if it can.

    Examples:
        >>> record = changes.WorkerRecord(
        ...     "i-7f", "m", "10.0.0..9:80", "desk", "z", "", (), 1, 1, 0
        ... )
        >>> reason_unusable(record)
        'address is not an IP address and port'
    """
    if not _NAME.fullmatch(record.name):
        return "id is not up to 128 printable ASCII characters"
    if addresses.parse(record.address) is None:
        return "address is not an IP address and port"
    return ""
