"""Values of settings: durations, sizes, addresses and names as text.

Each function takes the text of a value and returns what it means, or raises
`ValueError` with a sentence that says what was expected.
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
    """Another instance to join by.

    Attributes:
        name: Its name.
        address: Where it listens for peers, `host:port`.
    """

    name: str
    address: str


def duration(text: str) -> float:
    """Reads a duration and returns it in seconds.

    Examples:
        >>> duration("250 ms"), duration("3 s")
        (0.25, 3.0)
    """
    seconds = _quantity(text, _DURATION_UNITS, "a duration such as '3 s'")
    if seconds <= 0:
        raise ValueError(f"expected a duration above 0, not {text!r}")
    return seconds


def size(text: str) -> int:
    """Reads a size and returns it in bytes.

    Examples:
        >>> size("4 MiB")
        4194304
    """
    found = _quantity(text, _SIZE_UNITS, "a size such as '4 MiB'")
    if found < 1:
        raise ValueError(f"expected a size of at least 1 B, not {text!r}")
    return int(found)


def _quantity(text: str, units: Mapping[str, float], expected: str) -> float:
    found = _QUANTITY.fullmatch(text)
    if found is None or found[2] not in units:
        known = ", ".join(units)
        raise ValueError(f"expected {expected} in {known}, not {text!r}")
    amount = float(found[1]) * units[found[2]]
    if not math.isfinite(amount):
        raise ValueError(f"expected {expected}, not {text!r}")
    return amount


def count(text: str) -> int:
    """Reads a whole number of at least 1.

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
    """Reads a ratio from 0 to 1.

    Examples:
        >>> ratio("0.1")
        0.1
    """
    try:
        found = float(text)
    except ValueError:
        found = math.nan
    if not 0.0 <= found <= 1.0:
        raise ValueError(f"expected a number from 0 to 1, not {text!r}")
    return found


def flag(text: str) -> bool:
    """Reads `true` or `false`.

    Examples:
        >>> flag("true")
        True
    """
    if text.lower() not in _FLAGS:
        raise ValueError(f"expected true or false, not {text!r}")
    return _FLAGS[text.lower()]


def choice(*options: str) -> Callable[[str], str]:
    """Returns a function that reads one of some words.

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
    """Reads a name that is safe in paths, headers and logs.

    Examples:
        >>> name("entry-1")
        'entry-1'
    """
    found = template.name_findings("", text)
    if found:
        raise ValueError(f"expected a name: {found[0].reason}")
    return text


def names(text: str) -> tuple[str, ...]:
    """Reads a list of names, separated by commas or lines.

    Examples:
        >>> names("entry-1, entry-2")
        ('entry-1', 'entry-2')
    """
    return tuple(name(item) for item in text.replace(",", " ").split())


def path(text: str) -> str:
    """Reads a path.

    Examples:
        >>> path("/var/lib/turmerichall")
        '/var/lib/turmerichall'
    """
    if not text or "\0" in text:
        raise ValueError(f"expected a path, not {text!r}")
    return text


def port_address(text: str) -> str:
    """Reads `host:port`, where the host is an IP number.

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
            f"expected IP number and port such as 10.0.0.1:8400, not {text!r}"
        )
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise ValueError(f"expected a port from 0 to {MAX_PORT}, not {port!r}")
    if int(port) > MAX_PORT:
        raise ValueError(f"expected a port from 0 to {MAX_PORT}, not {port!r}")
    return text


def address(text: str) -> str:
    """Reads `host:port` that is told to others, so names one interface.

    Examples:
        >>> address("10.0.0.1:8400")
        '10.0.0.1:8400'
    """
    found = port_address(text)
    host = found.rpartition(":")[0].strip("[]")
    if ipaddress.ip_address(host).is_unspecified:
        raise ValueError(
            f"expected the address of one interface, not {text!r}: it is told"
            " to other instances and workers"
        )
    return found


def seeds(text: str) -> tuple[Seed, ...]:
    """Reads a list of `name@host:port`, separated by commas or lines.

    Examples:
        >>> seeds("a@10.0.0.1:8402, b@10.0.0.2:8402")[1].name
        'b'
    """
    found: list[Seed] = []
    for item in text.replace(",", " ").split():
        instance, at_sign, where = item.partition("@")
        if not at_sign:
            raise ValueError(f"expected name@host:port, not {item!r}")
        if where.endswith(":0"):
            raise ValueError(f"expected a port above 0, not {item!r}")
        found.append(Seed(name(instance), address(where)))
    given = [seed.name for seed in found]
    for seed in found:
        if given.count(seed.name) > 1:
            raise ValueError(
                f"expected each name once, not {seed.name!r} twice"
            )
    return tuple(found)


def secret(text: str) -> str:
    """Reads a shared secret; the error never repeats it.

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
