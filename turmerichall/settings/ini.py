"""Parses an INI file into text values with their line numbers.

`configparser` does the parsing but reports no line numbers.  It reads the lines
from an iterator that counts them, and stores keys in a mapping that records the
current line whenever a key is set.
"""

from collections.abc import Iterator
import configparser
import pathlib
from typing import Any, NamedTuple, cast

from turmerichall import errors

__all__ = ["Section", "Value", "read"]

MAX_FILE_BYTES = 1024**2
# Turns off the default section of `configparser`: no section of a file can have
# an empty name.
_NO_DEFAULT_SECTION = ""


class Value(NamedTuple):
    """Text of a value and the line number of its key."""

    text: str
    line: int


class Section(NamedTuple):
    """Values of a section by key, and the line number of its header."""

    keys: dict[str, Value]
    line: int


class _LineCounter:
    """Iterates over the lines of a text and counts them.

    Its `number` is the number of the line that was returned last, from 1.
    """

    def __init__(self, text: str):
        self.number = 0
        self._text = text

    def __iter__(self) -> Iterator[str]:
        for line in self._text.splitlines(keepends=True):
            self.number += 1
            yield line


class _LineTrackingDict(dict[str, Any]):
    """Mapping that records the line at which each key was first set.

    Each further occurrence of a key is added to `duplicates`, as a tuple of the
    key, the line of this occurrence and the line of the first one.
    """

    def __init__(
        self, lines: _LineCounter, duplicates: list[tuple[str, int, int]]
    ):
        super().__init__()
        self.first_line: dict[str, int] = {}
        self._lines = lines
        self._duplicates = duplicates

    def __setitem__(self, key: str, value: Any) -> None:
        if key not in self.first_line:
            self.first_line[key] = self._lines.number
        elif isinstance(value, list):
            # Only a list means that the key occurs in the file again.
            # `configparser` sets each key that it reads to the list of the
            # lines of its value.  After the last line, it sets each key once
            # more, to the joined text.
            duplicate = (key, self._lines.number, self.first_line[key])
            self._duplicates.append(duplicate)
        super().__setitem__(key, value)


def read(path: str) -> tuple[dict[str, Section], list[errors.Finding]]:
    """Read an INI file.

    Args:
        path: Path of the file.

    Returns:
        The sections by name, and findings for lines that can't be parsed and
        for duplicate keys.

    Raises:
        SettingsError: The file can't be opened or decoded, or is too large.
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
    """Parse the text of an INI file; see `read`.

    Examples:
        >>> sections, findings = parse("[logs]\\nlevel = info", "d.ini")
        >>> sections["logs"].keys["level"]
        Value(text='info', line=2)
        >>> findings
        []
    """
    lines = _LineCounter(text)
    duplicates: list[tuple[str, int, int]] = []
    mappings: list[_LineTrackingDict] = []

    def make_mapping() -> _LineTrackingDict:
        mappings.append(_LineTrackingDict(lines, duplicates))
        return mappings[-1]

    parser = configparser.ConfigParser(
        dict_type=cast(type[_LineTrackingDict], make_mapping),
        default_section=_NO_DEFAULT_SECTION,
        interpolation=None,
        strict=False,
    )
    findings = _parse_lines(parser, lines, path)
    for key, line, first_line in duplicates:
        reason = f"{key!r} is already set at line {first_line} of this file"
        findings.append(errors.Finding(f"{path}:{line}", reason))
    return _build_sections(parser, mappings), findings


def _parse_lines(
    parser: configparser.ConfigParser, lines: _LineCounter, path: str
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


def _build_sections(
    parser: configparser.ConfigParser, mappings: list[_LineTrackingDict]
) -> dict[str, Section]:
    header_lines: dict[str, int] = {}
    mappings_by_line: dict[int, _LineTrackingDict] = {}
    for mapping in mappings:
        for key, section in mapping.items():
            if isinstance(section, _LineTrackingDict):
                header_lines[key] = mapping.first_line[key]
                mappings_by_line[mapping.first_line[key]] = section
    sections_by_name = {}
    for name in parser.sections():
        section_mapping = mappings_by_line[header_lines[name]]
        keys = {
            key: Value(parser[name][key] or "", section_mapping.first_line[key])
            for key in section_mapping
        }
        sections_by_name[name] = Section(keys, header_lines[name])
    return sections_by_name
