"""Limits on what is read from and sent to one connection."""

from typing import NamedTuple

__all__ = ["Limits"]


class Limits(NamedTuple):
    """Limits on what is read from and sent to one connection.

    Attributes:
        header_bytes: Maximum size of the target and the header fields of a
            request.
        body_bytes: Maximum size of a body.
        request_seconds: Maximum time from the first byte of a request to its
            last.
        idle_seconds: Maximum wait for the first byte of the next request.
        send_seconds: Maximum time to send one response.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 256 * 1024
    request_seconds: float = 3.0
    idle_seconds: float = 15.0
    send_seconds: float = 5.0
