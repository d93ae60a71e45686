"""Lenient readers for JSON from other programs.

A value of an unexpected type becomes a default instead of an error.
"""

from typing import Any

import msgspec

__all__ = ["decode_object", "integer", "text"]

_DECODER = msgspec.json.Decoder()


def decode_object(body: bytes) -> dict[str, Any] | None:
    """Return the JSON object in `body`; None if it is anything else.

    Examples:
        >>> decode_object(b'{"a":1}')
        {'a': 1}
        >>> decode_object(b"[]"), decode_object(b"\\xff")
        (None, None)
        >>> decode_object(b"[" * 100_000) is None
        True
    """
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


def text(value: object) -> str:
    """Return a string unchanged; an empty string for any other value.

    Examples:
        >>> text("a"), text(7)
        ('a', '')
    """
    return value if isinstance(value, str) else ""
