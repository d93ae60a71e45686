"""Lenient readers for JSON from other programs.

A value of an unexpected type becomes a default instead of an error.
"""

import math
from typing import Any

import msgspec

__all__ = [
    "MAX_NUMBER",
    "MAX_VALUES",
    "bounded",
    "decode_object",
    "integer",
    "text",
]

# Largest number that other programs send exactly (RFC 8259, section 6).  Sums
# of thousands of them still fit into the log and into floating-point numbers.
MAX_NUMBER = 2**53 - 1

# Largest number of values in a document.  Small objects take thirty times their
# text once they are decoded.  A configuration of 4 MiB whose routes have their
# least fields, of 11 bytes a value, has less.
MAX_VALUES = 400_000

_DECODER = msgspec.json.Decoder()


def decode_object(body: bytes) -> dict[str, Any] | None:
    """Return the JSON object in `body`; None if it is anything else.

    Also None if it has more than `MAX_VALUES`, counting each comma and bracket.

    Examples:
        >>> decode_object(b'{"a":1}')
        {'a': 1}
        >>> decode_object(b"[]"), decode_object(b"\\xff")
        (None, None)
        >>> decode_object(b"[" * 100_000) is None
        True
        >>> decode_object(b'{"a":[' + b"{}," * MAX_VALUES + b"{}]}") is None
        True
    """
    # Shorter ones, such as all answers to polls, can't have as many.
    if len(body) > MAX_VALUES:
        if body.count(b",") + body.count(b"{") + body.count(b"[") > MAX_VALUES:
            return None
    try:
        document = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return document if isinstance(document, dict) else None


def integer(value: object, default: int = 0) -> int:
    """Return a number truncated to an integer; `default` for any other value.

    Examples:
        >>> integer(7.0), integer(True), integer("7", -1)
        (7, 0, -1)
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return default
    return int(value)


def bounded(
    value: object, least: int = 0, most: int = MAX_NUMBER
) -> int | None:
    """Return a number in a range, truncated to an integer.

    Returns:
        The number; None for any other value and a number out of range.

    Examples:
        >>> bounded(7.0), bounded(True), bounded(-1), bounded(1e300)
        (7, None, None, None)
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    if isinstance(value, float) and not math.isfinite(value):
        return None
    return int(value) if least <= value <= most else None


def text(value: object) -> str:
    """Return a string unchanged; an empty string for any other value.

    Examples:
        >>> text("a"), text(7)
        ('a', '')
    """
    return value if isinstance(value, str) else ""
