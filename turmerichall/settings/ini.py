"""An INI file as text values that know the line they stand on.

`configparser` does the parsing.  It is given the lines through a counter, and
a mapping type that notes the current line whenever a key is set.
"""

from collections.abc import Iterator
import configparser
import pathlib
from typing import Any, NamedTuple, cast

from turmerichall import errors

__all__ = ["Section", "Value", "read"]

MAX_FILE_BYTES = 1024**2
# A name that no section of a file can have, as a header may not be empty.
_NO_DEFAULTS = ""


class Value(NamedTuple):
    """Text of a key and the line that the key stands on."""

    text: str
    line: int


class Section(NamedTuple):
    """Keys of a section and the line of its header."""

    keys: dict[str, Value]
    line: int


class _Lines:
    """Hands out lines and knows the number of the last one."""

    def __init__(self, text: str):
        self.number = 0
        self._text = text

    def __iter__(self) -> Iterator[str]:
        for line in self._text.splitlines(keepends=True):
            self.number += 1
            yield line


class _Noting(dict[str, Any]):
    """A mapping that notes at which line each key was first set."""

    def __init__(self, lines: _Lines, repeated: list[tuple[str, int, int]]):
        super().__init__()
        self.first_line: dict[str, int] = {}
        self._lines = lines
        self._repeated = repeated

    def __setitem__(self, key: str, value: Any) -> None:
        if key not in self.first_line:
            self.first_line[key] = self._lines.number
        elif isinstance(value, list):
            # While reading, `configparser` holds the lines of a value in a
            # list, and replaces it by their text afterwards.
            again = (key, self._lines.number, self.first_line[key])
            self._repeated.append(again)
        super().__setitem__(key, value)


def read(path: str) -> tuple[dict[str, Section], list[errors.Finding]]:
    """Reads an INI file.

    Args:
        path: The file.

    Returns:
        Its sections, and findings for lines that can't be read.

    Raises:
        SettingsError: The file can't be opened or decoded.
    """
    try:
        data = pathlib.Path(path).read_bytes()
        if len(data) > MAX_FILE_BYTES:
            raise ValueError(f"the file is larger than {MAX_FILE_BYTES} bytes")
        text = data.decode("utf-8")
    except (OSError, ValueError) as error:
        finding = errors.Finding(path, f"can't be read: {error}")
        raise errors.SettingsError([finding]) from error
    return parse(text, path)


def parse(
    text: str, path: str
) -> tuple[dict[str, Section], list[errors.Finding]]:
    """Parses the text of an INI file; see `read`.

    Examples:
        >>> sections, findings = parse("[logs]\\nlevel = info", "d.ini")
        >>> sections["logs"].keys["level"]
        Value(text='info', line=2)
        >>> findings
        []
    """
    lines = _Lines(text)
    repeated: list[tuple[str, int, int]] = []
    made: list[_Noting] = []

    def make_mapping() -> _Noting:
        made.append(_Noting(lines, repeated))
        return made[-1]

    parser = configparser.ConfigParser(
        dict_type=cast(type[_Noting], make_mapping),
        default_section=_NO_DEFAULTS,
        interpolation=None,
        strict=False,
    )
    findings = _parse_errors(parser, lines, path)
    for key, line, first in repeated:
        reason = f"{key!r} stands at line {first} already"
        findings.append(errors.Finding(f"{path}:{line}", reason))
    return _sections(parser, made), findings


def _parse_errors(
    parser: configparser.ConfigParser, lines: _Lines, path: str
) -> list[errors.Finding]:
    expected = "expected [section], key = value or a comment"
    try:
        parser.read_file(lines, path)
    except configparser.MissingSectionHeaderError as error:
        place = f"{path}:{error.lineno}"
        return [errors.Finding(place, "expected a [section] before any key")]
    except configparser.ParsingError as error:
        return [
            errors.Finding(f"{path}:{number}", expected)
            for number, _ in error.errors
        ]
    return []


def _sections(
    parser: configparser.ConfigParser, made: list[_Noting]
) -> dict[str, Section]:
    first_lines: dict[str, int] = {}
    by_header: dict[int, _Noting] = {}
    for mapping in made:
        for key, item in mapping.items():
            if isinstance(item, _Noting):
                first_lines[key] = mapping.first_line[key]
                by_header[mapping.first_line[key]] = item
    found = {}
    for name in parser.sections():
        noted = by_header[first_lines[name]]
        keys = {
            key: Value(parser[name][key] or "", noted.first_line[key])
            for key in noted
        }
        found[name] = Section(keys, first_lines[name])
    return found
