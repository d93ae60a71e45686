"""Documents of which one to three fields have hostile values.

A document that is sound otherwise gets further into a program than random
bytes, which the first decoder refuses.
"""

import copy
import json
import random
from typing import Any

__all__ = ["RAW_INPUTS", "hostile_document", "mutate"]

# Numbers of fields to replace; with more, most documents are refused at once.
_COUNTS = (1, 1, 1, 2, 3)
# Python converts no text with more digits to an integer.
_DIGITS = "9" * 4400
# Bytes of a change that does not fit into a frame.
_LONG = "x" * (4 * 1024 * 1024 - 1024)
# JSON texts; some of them can't be written by a JSON encoder.
_NUMBERS = (
    "0",
    "-1",
    "0.5",
    "1e309",
    "-1e999",
    "NaN",
    "1.6e30",
    "-1.6e30",
    str(2**53 + 1),
    str(2**63),
    str(2**64),
    "9" * 400,
    "9" * 4300,
    _DIGITS,
)
_TEXTS = (
    '""',
    '"nan"',
    '"inf"',
    f'"{_DIGITS}"',
    f'"a:{_DIGITS}"',
    f'"a.0.0.{_DIGITS}"',
    '"10.0.0..9:8080"',
    '"127.0.0.1:\u0663\u0663"',
    '"\u4f8b:80"',
    '"a\\r\\nx: y:80"',
    '"\\u0000\\u001b[2J"',
    '"\\ud800"',
    '"' + "label." * 40 + ':80"',
)
_OTHER = (
    "null",
    "true",
    "[]",
    "{}",
    "[[[[1]]]]",
    '{"a":{"a":[]}}',
    "[" * 600 + "]" * 600,
)
_LARGE = (f'"{_LONG}"', "[" + "0," * 100_000 + "0]")
LARGE_SHARE = 0.02

# Bytes for a port of any kind.
RAW_INPUTS = (
    b"",
    b"\x00" * 64,
    b"\xff" * 4096,
    b"\x16\x03\x01\x02\x00\x01\x00",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00",
    b"GET /\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\nGET / HTTP/1.1\r\n\r\n",
    b"GET / HTTP/1.1\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n",
    b"POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
    b"POST / HTTP/1.1\r\ncontent-length: " + b"9" * 30 + b"\r\n\r\n",
    b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n" + b"f" * 40,
    b"GET / HTTP/1.1\r\nx: " + b"y" * 70_000,
    b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 5000 + b"\r\n",
    b"\x00\x40\x00\x00" + b"\x91" * 100_000,
    b"\xff\xff\xff\xff",
    b"\x00\x00\x00\x06\x94\x05\x00\xa0\xc4\x00",
)

_Path = tuple[str | int, ...]


def mutate(document: Any, rng: random.Random) -> bytes:
    """Return a sound document as JSON, with one to three fields replaced.

    Args:
        document: The sound document.
        rng: Chooses the fields and their values.

    Examples:
        >>> mutate({"a": 1}, random.Random(1)) == b'{"a": 1}'
        False
    """
    copied = copy.deepcopy(document)
    paths = _paths(copied)
    chosen = rng.sample(paths, min(rng.choice(_COUNTS), len(paths)))
    values = []
    # Inner fields first, since replacing an outer one drops them.
    for path in sorted(chosen, key=len, reverse=True):
        values.append(_hostile_value(rng))
        _replace(copied, path, f"<{len(values) - 1}>")
    text = json.dumps(copied, ensure_ascii=False)
    for number, value in enumerate(values):
        text = text.replace(f'"<{number}>"', value)
    return text.encode()


def hostile_document(document: Any, rng: random.Random) -> bytes:
    """Return a mutated document, or one that is broken as a whole."""
    data = mutate(document, rng)
    match rng.randrange(12):
        case 0:
            return data[: rng.randrange(len(data) + 1)]
        case 1:
            index = rng.randrange(len(data) + 1)
            return data[:index] + b"\xff\xed\xa0\x80" + data[index:]
        case 2:
            return rng.choice(
                [b"", b"[]", b"null", b"[" * 100_000, b"9" * 4400]
            )
    return data


def _hostile_value(rng: random.Random) -> str:
    if rng.random() < LARGE_SHARE:
        return rng.choice(_LARGE)
    return rng.choice(rng.choice([_NUMBERS, _TEXTS, _OTHER]))


def _paths(value: Any, path: _Path = ()) -> list[_Path]:
    """Return the paths of all fields and rows inside a value."""
    found: list[_Path] = []
    rows: list[tuple[str | int, Any]] = []
    if isinstance(value, dict):
        rows = list(value.items())
    elif isinstance(value, list):
        rows = list(enumerate(value))
    for key, inner in rows:
        found.append((*path, key))
        found += _paths(inner, (*path, key))
    return found


def _replace(document: Any, path: _Path, value: str) -> None:
    for key in path[:-1]:
        document = document[key]
    document[path[-1]] = value
