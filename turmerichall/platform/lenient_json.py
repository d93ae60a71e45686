"""Reads JSON of other writers: what is not as expected becomes a default."""

from typing import Any

import msgspec

__all__ = ["decode_object", "integer", "text"]

_DECODER = msgspec.json.Decoder()


def decode_object(body: bytes) -> dict[str, Any] | None:
    """Reads a JSON object; None if the bytes are none.

    Examples:
        >>> decode_object(b'{"a":1}')
        {'a': 1}
        >>> decode_object(b"[]"), decode_object(b"\\xff")
        (None, None)
    """
    try:
        found = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return found if isinstance(found, dict) else None


def integer(value: object, default: int = 0) -> int:
    """Returns a number as an integer, or `default` for any other value.

    Examples:
        >>> integer(7.0), integer(True), integer("7", -1)
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
