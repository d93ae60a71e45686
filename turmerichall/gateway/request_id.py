"""Ids of requests that must run at most once.

Such an id is a UUID of version 7 (RFC 9562), which carries the time of its
birth, optionally followed by `@` and an availability zone.  The zone names
where the id is claimed: a request of that zone then runs while the zone is cut
off, and nowhere else.
"""

import secrets
import time
import uuid
from typing import NamedTuple

__all__ = ["RequestId", "make", "parse"]

VERSION = 7
RANDOM_BITS = 74


class RequestId(NamedTuple):
    """What an id says.

    Attributes:
        created_at: When it was made, Unix time in seconds.
        zone: Zone whose entry instances keep claims of it; empty for all.
    """

    created_at: float
    zone: str


def make(zone: str = "", now: float | None = None) -> str:
    """Makes an id.

    Args:
        zone: Zone whose entry instances keep claims of it; empty for all.
        now: Unix time in seconds; the clock's by default.

    Returns:
        The id.

    Examples:
        >>> parse(make("z1", now=5.0))
        RequestId(created_at=5.0, zone='z1')
    """
    milliseconds = int((time.time() if now is None else now) * 1000)
    random_bits = secrets.randbits(RANDOM_BITS)
    number = (
        (milliseconds << 80)
        | (VERSION << 76)
        | ((random_bits >> 62) << 64)
        | (0b10 << 62)
        | (random_bits & ((1 << 62) - 1))
    )
    text = str(uuid.UUID(int=number))
    return f"{text}@{zone}" if zone else text


def parse(text: str) -> RequestId | None:
    """Parse a request id; None if it is not a version 7 UUID.

    Examples:
        >>> parse("r1") is None
        True
    """
    digits, _, zone = text.partition("@")
    try:
        made = uuid.UUID(digits)
    except ValueError:
        return None
    if made.version != VERSION:
        return None
    return RequestId((made.int >> 80) / 1000, zone)
