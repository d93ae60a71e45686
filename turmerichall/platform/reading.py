"""Reads JSON of other writers: what is not as expected becomes a default."""

from typing import Any

import msgspec

__all__ = ["text", "to_object", "whole"]

_DECODER = msgspec.json.Decoder()


def to_object(body: bytes) -> dict[str, Any] | None:
    """Reads a JSON object; None if the bytes are none.

    Examples:
        >>> to_object(b'{"a":1}'), to_object(b"[]"), to_object(b"\\xff")
        ({'a': 1}, None, None)
    """
    try:
        found = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return found if isinstance(found, dict) else None


def whole(value: object, default: int = 0) -> int:
    """Reads a whole number.

    Examples:
        >>> whole(7.0), whole(True), whole("7", -1)
        (7, 0, -1)
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return default
    return int(value)


def text(value: object) -> str:
    """Reads text; empty if it is none.

    Examples:
        >>> text("a"), text(7)
        ('a', '')
    """
    return value if isinstance(value, str) else ""
