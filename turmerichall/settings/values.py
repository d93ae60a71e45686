"""Parsers for the values of settings, such as durations, sizes and addresses.

Each function parses the text of a value, or raises `ValueError` with a message
that says what was expected.
"""

from collections.abc import Callable, Mapping
import ipaddress
import math
import re
from typing import NamedTuple

from turmerichall.templates import template

__all__ = [
    "Seed",
    "address",
    "choice",
    "count",
    "duration",
    "flag",
    "name",
    "names",
    "path",
    "port_address",
    "ratio",
    "seeds",
    "secret",
    "size",
]

MIN_SECRET_CHARACTERS = 16
MAX_PORT = 65535

_DURATION_UNITS = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
_SIZE_UNITS = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
_QUANTITY = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+)")
_FLAGS = {"true": True, "yes": True, "false": False, "no": False}


class Seed(NamedTuple):
    """An instance that is contacted first to join the cluster.

    Attributes:
        name: Name of the instance.
        address: Address at which it accepts other instances, `host:port`.
    """

    name: str
    address: str


def duration(text: str) -> float:
    """Parse a duration and return it in seconds.

    Examples:
        >>> duration("250 ms"), duration("3 s")
        (0.25, 3.0)
    """
    seconds = _parse_quantity(text, _DURATION_UNITS, "a duration such as '3 s'")
    if seconds <= 0:
        raise ValueError(f"expected a duration above 0, not {text!r}")
    return seconds


def size(text: str) -> int:
    """Parse a size and return it in bytes.

    Examples:
        >>> size("4 MiB")
        4194304
    """
    value = _parse_quantity(text, _SIZE_UNITS, "a size such as '4 MiB'")
    if value < 1:
        raise ValueError(f"expected a size of at least 1 B, not {text!r}")
    return int(value)


def _parse_quantity(
    text: str, units: Mapping[str, float], expected: str
) -> float:
    match = _QUANTITY.fullmatch(text)
    if match is None or match[2] not in units:
        known = ", ".join(units)
        raise ValueError(
            f"expected {expected} with a unit of {known}, not {text!r}"
        )
    amount = float(match[1]) * units[match[2]]
    if not math.isfinite(amount):
        raise ValueError(f"expected {expected}, not {text!r}")
    return amount


def count(text: str) -> int:
    """Parse a whole number of at least 1.

    Examples:
        >>> count("64")
        64
    """
    if not (text.isascii() and text.isdigit() and 0 < len(text) < 10):
        raise ValueError(f"expected a whole number, not {text!r}")
    if int(text) < 1:
        raise ValueError(f"expected at least 1, not {text!r}")
    return int(text)


def ratio(text: str) -> float:
    """Parse a ratio from 0 to 1.

    Examples:
        >>> ratio("0.1")
        0.1
    """
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0.0 <= value <= 1.0:
        raise ValueError(f"expected a number from 0 to 1, not {text!r}")
    return value


def flag(text: str) -> bool:
    """Parse a flag: `true`, `yes`, `false` or `no`.

    Examples:
        >>> flag("true")
        True
    """
    if text.lower() not in _FLAGS:
        raise ValueError(f"expected true or false, not {text!r}")
    return _FLAGS[text.lower()]


def choice(*options: str) -> Callable[[str], str]:
    """Return a parser that accepts only the given options.

    Examples:
        >>> choice("a", "b")("b")
        'b'
    """

    def read(text: str) -> str:
        if text not in options:
            known = " or ".join(options)
            raise ValueError(f"expected {known}, not {text!r}")
        return text

    return read


def name(text: str) -> str:
    """Parse a name that is safe to use in paths, headers and logs.

    Examples:
        >>> name("entry-1")
        'entry-1'
    """
    findings = template.name_findings("", text)
    if findings:
        raise ValueError(f"expected a name: {findings[0].reason}")
    return text


def names(text: str) -> tuple[str, ...]:
    """Parse a list of names, separated by commas or whitespace.

    Examples:
        >>> names("entry-1, entry-2")
        ('entry-1', 'entry-2')
    """
    return tuple(name(item) for item in text.replace(",", " ").split())


def path(text: str) -> str:
    """Parse a path.

    Examples:
        >>> path("/var/lib/turmerichall")
        '/var/lib/turmerichall'
    """
    if not text or "\0" in text:
        raise ValueError(f"expected a path, not {text!r}")
    return text


def port_address(text: str) -> str:
    """Parse `host:port`, where the host is an IP address.

    Examples:
        >>> port_address("127.0.0.1:8400")
        '127.0.0.1:8400'
    """
    host, colon, port = text.rpartition(":")
    bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    try:
        ipaddress.ip_address(bare)
    except ValueError:
        colon = ""
    if not colon or ("%" in bare) or (":" in bare and bare == host):
        raise ValueError(
            f"expected IP address and port such as 10.0.0.1:8400, not {text!r}"
        )
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise ValueError(f"expected a port from 0 to {MAX_PORT}, not {port!r}")
    if int(port) > MAX_PORT:
        raise ValueError(f"expected a port from 0 to {MAX_PORT}, not {port!r}")
    return text


def address(text: str) -> str:
    """Parse a `host:port` that is advertised to other instances and workers.

    The host is the address of one interface, not a wildcard such as 0.0.0.0.

    Examples:
        >>> address("10.0.0.1:8400")
        '10.0.0.1:8400'
    """
    value = port_address(text)
    host = value.rpartition(":")[0].strip("[]")
    if ipaddress.ip_address(host).is_unspecified:
        raise ValueError(
            f"expected the address of one interface, not {text!r}: it is"
            " advertised to other instances and workers"
        )
    return value


def seeds(text: str) -> tuple[Seed, ...]:
    """Parse a list of `name@host:port`, separated by commas or whitespace.

    Examples:
        >>> seeds("a@10.0.0.1:8402, b@10.0.0.2:8402")[1].name
        'b'
    """
    parsed: list[Seed] = []
    for item in text.replace(",", " ").split():
        instance, at_sign, seed_address = item.partition("@")
        if not at_sign:
            raise ValueError(f"expected name@host:port, not {item!r}")
        if seed_address.endswith(":0"):
            raise ValueError(f"expected a port above 0, not {item!r}")
        parsed.append(Seed(name(instance), address(seed_address)))
    seed_names = [seed.name for seed in parsed]
    for seed in parsed:
        if seed_names.count(seed.name) > 1:
            raise ValueError(
                f"expected each name once, not {seed.name!r} twice"
            )
    return tuple(parsed)


def secret(text: str) -> str:
    """Parse a shared secret, which is never repeated in the error.

    Examples:
        >>> secret("short")
        Traceback (most recent call last):
        ...
        ValueError: expected at least 16 printable ASCII characters without \
spaces, got 5
    """
    usable = text.isascii() and text.isprintable() and " " not in text
    if not usable or len(text) < MIN_SECRET_CHARACTERS:
        raise ValueError(
            f"expected at least {MIN_SECRET_CHARACTERS} printable ASCII"
            f" characters without spaces, got {len(text)}"
        )
    return text
