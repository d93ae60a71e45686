"""Addresses of servers, as IP address and port."""

import ipaddress
from typing import NamedTuple

__all__ = ["Address", "parse"]

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


class Address(NamedTuple):
    """Address of a server.

    Attributes:
        host: IPv4 address in its usual form.
        port: TCP port, from 1.
    """

    host: str
    port: int


def parse(text: str) -> Address | None:
    """Parse an address that can be connected to without a name lookup.

    Args:
        text: IPv4 address and port.

    Returns:
        The address; None if the text is anything else.

    Examples:
        >>> parse("10.0.0.9:8080")
        Address(host='10.0.0.9', port=8080)
        >>> parse("10.0.0..9:8080") is None, parse("a.example:80") is None
        (True, True)
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        return None
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        return None
    if ip.is_unspecified or ip.is_multicast:
        return None
    number = int(port)
    return Address(str(ip), number) if 0 < number <= MAX_PORT else None
