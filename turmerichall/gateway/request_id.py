"""Ids of requests that must run at most once.

Such an id is a version 7 UUID (RFC 9562), which contains its creation time,
optionally followed by `@` and an availability zone.  An id with a zone is
claimed only at entry instances of that zone: the request can then run while the
zone is partitioned from the others, but only in that zone.
"""

import secrets
import time
import uuid
from typing import NamedTuple

__all__ = ["RequestId", "make", "parse"]

VERSION = 7
RANDOM_BITS = 74


class RequestId(NamedTuple):
    """The parts of a request id.

    Attributes:
        created_at: Creation time, Unix time in seconds.
        zone: Zone whose entry instances store the claims of the id; empty for
            all zones.
    """

    created_at: float
    zone: str


def make(zone: str = "", now: float | None = None) -> str:
    """Generate a request id.

    Args:
        zone: Zone whose entry instances store the claims of the id; empty for
            all zones.
        now: Creation time, Unix time in seconds; the current time by default.

    Returns:
        The id.

    Examples:
        >>> parse(make("z1", now=5.0))
        RequestId(created_at=5.0, zone='z1')
    """
    milliseconds = int((time.time() if now is None else now) * 1000)
    random_bits = secrets.randbits(RANDOM_BITS)
    value = (
        (milliseconds << 80)
        | (VERSION << 76)
        | ((random_bits >> 62) << 64)
        | (0b10 << 62)
        | (random_bits & ((1 << 62) - 1))
    )
    request_id = str(uuid.UUID(int=value))
    return f"{request_id}@{zone}" if zone else request_id


def parse(request_id: str) -> RequestId | None:
    """Parse a request id; None if it is not a version 7 UUID.

    Examples:
        >>> parse("r1") is None
        True
    """
    uuid_text, _, zone = request_id.partition("@")
    try:
        parsed = uuid.UUID(uuid_text)
    except ValueError:
        return None
    if parsed.version != VERSION:
        return None
    return RequestId((parsed.int >> 80) / 1000, zone)
