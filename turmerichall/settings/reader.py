"""Reads settings and reports all findings, each with its place.

The table `SECTIONS` gives the record type of each section and, for each key,
the field of the record and the function that parses the text.
"""

from collections.abc import Callable
import difflib
from typing import Any, NamedTuple

from turmerichall import errors
from turmerichall.settings import ini
from turmerichall.settings import settings
from turmerichall.settings import values

__all__ = [
    "Key",
    "SECTIONS",
    "Schema",
    "SectionReader",
    "load",
    "parse",
    "sort_by_line",
]


class Key(NamedTuple):
    """Schema of one key: where its value is stored, and how it is parsed.

    Attributes:
        field: Field of the section's record that holds the value.
        read: Returns the value parsed from a text, or raises `ValueError`.
    """

    field: str
    read: Callable[[str], Any]


class Schema(NamedTuple):
    """Schema of one section: its keys, and the record that holds their values.

    Attributes:
        record_type: Named tuple type of the section. A field with a default is
            optional in the file; the others are required.
        keys: Schemas of the keys by name.
    """

    record_type: Any
    keys: dict[str, Key]


SECTIONS: dict[str, Schema] = {
    "instance": Schema(
        settings.Instance,
        {
            "name": Key("name", values.name),
            "region": Key("region", values.name),
            "zone": Key("zone", values.name),
            "data_folder": Key("data_folder", values.path),
        },
    ),
    "listen": Schema(
        settings.Listen,
        {
            "callers": Key("callers", values.port_address),
            "operators": Key("operators", values.address),
            "peers": Key("peers", values.address),
            "peers_bind": Key("peers_bind", values.port_address),
        },
    ),
    "peers": Schema(
        settings.Peers,
        {
            "seeds": Key("seeds", values.seeds),
            "bootstrap": Key("bootstrap", values.flag),
            "founders": Key("founders", values.names),
        },
    ),
    "keys": Schema(
        settings.Keys,
        {
            "cluster": Key("cluster", values.secret),
            "operators": Key("operators", values.secret),
            "workers": Key("workers", values.secret),
        },
    ),
    "limits": Schema(
        settings.Limits,
        {
            "max_request_bytes": Key("max_request_bytes", values.size),
            "max_held_bytes": Key("max_held_bytes", values.size),
            "max_requests_in_flight": Key(
                "max_requests_in_flight", values.count
            ),
            "queue_length": Key("queue_length", values.count),
            "retry_ratio": Key("retry_ratio", values.ratio),
            "default_deadline": Key(
                "default_deadline_seconds", values.duration
            ),
            "max_deadline": Key("max_deadline_seconds", values.duration),
            "max_header_count": Key("max_header_count", values.count),
            "max_header_bytes": Key("max_header_bytes", values.size),
        },
    ),
    "placement": Schema(
        settings.Placement,
        {
            "preset": Key(
                "preset", values.choice("batch-throughput", "tail-latency")
            )
        },
    ),
    "timing": Schema(
        settings.Timing,
        {
            "slow_sender_timeout": Key(
                "slow_sender_timeout_seconds", values.duration
            ),
            "drain_notice": Key("drain_notice_seconds", values.duration),
            "drain_limit": Key("drain_limit_seconds", values.duration),
        },
    ),
    "logs": Schema(
        settings.Logs,
        {
            "level": Key(
                "level", values.choice("debug", "info", "warning", "error")
            ),
            "file": Key("file", values.path),
        },
    ),
}


class SectionReader:
    """Reads the sections of one file and collects the faults found in them.

    Attributes:
        path: Path of the file, as it appears in findings.
        findings: Findings so far.
        schemas: Schemas of the sections by name.
    """

    def __init__(
        self,
        path: str,
        findings: list[errors.Finding],
        schemas: dict[str, Schema],
    ):
        self.path = path
        self.findings = findings
        self.schemas = schemas

    def read_all(self, sections: dict[str, ini.Section]) -> dict[str, Any]:
        """Return the records of the sections by name.

        Each section of the schemas is in the result, with None if it has
        findings.  A section that is not in the schemas only adds a finding.
        """
        for name, section in sections.items():
            if name not in self.schemas:
                self.add_unknown_section(name, section.line)
        return {
            name: self.read_section(name, sections.get(name))
            for name in self.schemas
        }

    def add_finding(self, line: int, setting: str, reason: str) -> None:
        """Add a finding.

        Args:
            line: Line number in the file.
            setting: The section in brackets, then the key unless the finding is
                about the section itself.
            reason: What is wrong and what was expected.
        """
        place = f"{self.path}:{line} {setting}"
        self.findings.append(errors.Finding(place, reason))

    def read_section(self, name: str, section: ini.Section | None) -> Any:
        """Return the record of a section, or None if it has findings.

        Args:
            name: Name of the section.
            section: The section; None if the file does not contain it.
        """
        schema = self.schemas[name]
        given = section.keys if section else {}
        line = section.line if section else 1
        findings_before = len(self.findings)
        field_values = {}
        for key, value in given.items():
            if key not in schema.keys:
                self._add_unknown_key(name, key, value.line)
                continue
            try:
                read = schema.keys[key].read
                field_values[schema.keys[key].field] = read(value.text)
            except ValueError as error:
                self.add_finding(value.line, f"[{name}] {key}", str(error))
        for key in _required(schema):
            if key not in given:
                self.add_finding(
                    line, f"[{name}] {key}", "is required but missing"
                )
        if len(self.findings) > findings_before:
            return None
        return schema.record_type(**field_values)

    def add_unknown_section(self, name: str, line: int) -> None:
        """Add a finding for a section that is not in the schemas."""
        reason = f"unknown section{_suggestion(name, self.schemas)}"
        self.add_finding(line, f"[{name}]", reason)

    def _add_unknown_key(self, section: str, key: str, line: int) -> None:
        known = self.schemas[section].keys
        suggestion = _suggestion(key, known)
        for other, schema in self.schemas.items():
            if key in schema.keys:
                suggestion = f"; it belongs to [{other}]"
        self.add_finding(line, f"[{section}] {key}", f"unknown key{suggestion}")


def _required(schema: Schema) -> list[str]:
    # pylint: disable-next=protected-access
    optional = schema.record_type._field_defaults
    return [
        name for name, key in schema.keys.items() if key.field not in optional
    ]


def _suggestion(word: str, known: dict[str, Any]) -> str:
    matches = difflib.get_close_matches(word, known, n=1)
    if matches:
        return f"; did you mean {matches[0]!r}?"
    return f"; expected one of {', '.join(known)}"


def load(path: str) -> settings.Settings:
    """Read and check a settings file.

    Args:
        path: Path of the file.

    Returns:
        The settings.

    Raises:
        SettingsError: The file has findings; the error holds all of them.
    """
    sections, findings = ini.read(path)
    return _check(sections, SectionReader(path, findings, SECTIONS))


def parse(text: str, path: str) -> settings.Settings:
    """Read and check the text of a settings file; see `load`.

    Examples:
        >>> try:
        ...     parse("[instance]\\nname = a/b", "d.ini")
        ... except errors.SettingsError as error:
        ...     print(error.findings[-1].place)
        d.ini:2 [instance] name
    """
    sections, findings = ini.parse(text, path)
    return _check(sections, SectionReader(path, findings, SECTIONS))


def _check(
    sections: dict[str, ini.Section], section_reader: SectionReader
) -> settings.Settings:
    records = section_reader.read_all(sections)
    _check_listen(records["listen"], sections, section_reader)
    _check_peers(
        records["instance"], records["peers"], sections, section_reader
    )
    _check_keys(records["keys"], sections, section_reader)
    _check_deadlines(records["limits"], sections, section_reader)
    if section_reader.findings:
        raise errors.SettingsError(sort_by_line(section_reader.findings))
    return settings.Settings(**records)


def _line_of(sections: dict[str, ini.Section], section: str, key: str) -> int:
    found = sections.get(section)
    if found is None:
        return 1
    return found.keys[key].line if key in found.keys else found.line


def _check_listen(
    listen: settings.Listen | None,
    sections: dict[str, ini.Section],
    section_reader: SectionReader,
) -> None:
    if listen is None:
        return
    seen: dict[str, str] = {}
    for key, address in listen._asdict().items():
        first_key = seen.setdefault(address, key) if address else key
        if first_key != key and not address.endswith(":0"):
            line = _line_of(sections, "listen", key)
            reason = f"expected an address different from that of {first_key}"
            section_reader.add_finding(line, f"[listen] {key}", reason)


def _check_peers(
    instance: settings.Instance | None,
    peers: settings.Peers | None,
    sections: dict[str, ini.Section],
    section_reader: SectionReader,
) -> None:
    if instance is None or peers is None:
        return
    if peers.bootstrap and not instance.data_folder:
        line = _line_of(sections, "peers", "bootstrap")
        reason = (
            "expected a data_folder in [instance], which bootstrapping needs"
        )
        section_reader.add_finding(line, "[peers] bootstrap", reason)
    other_seeds = [seed for seed in peers.seeds if seed.name != instance.name]
    if not other_seeds and not peers.bootstrap:
        line = _line_of(sections, "peers", "seeds")
        reason = "expected another instance to join, or bootstrap = true"
        section_reader.add_finding(line, "[peers] seeds", reason)
    known_names = {instance.name, *(seed.name for seed in peers.seeds)}
    unknown = [name for name in peers.founders if name not in known_names]
    if unknown:
        line = _line_of(sections, "peers", "founders")
        reason = (
            f"expected this instance or one of the seeds, not {unknown[0]!r}"
        )
        section_reader.add_finding(line, "[peers] founders", reason)
    elif peers.founders and instance.name not in peers.founders:
        line = _line_of(sections, "peers", "founders")
        reason = f"expected {instance.name!r}, which bootstraps, in the list"
        if peers.bootstrap:
            section_reader.add_finding(line, "[peers] founders", reason)


def _check_keys(
    keys: settings.Keys | None,
    sections: dict[str, ini.Section],
    section_reader: SectionReader,
) -> None:
    if keys is None:
        return
    seen: dict[str, str] = {}
    for key, text in keys._asdict().items():
        first_key = seen.setdefault(text, key)
        if first_key != key:
            line = _line_of(sections, "keys", key)
            reason = f"expected a secret different from that of {first_key}"
            section_reader.add_finding(line, f"[keys] {key}", reason)


def _check_deadlines(
    limits: settings.Limits | None,
    sections: dict[str, ini.Section],
    section_reader: SectionReader,
) -> None:
    if limits is None:
        return
    if limits.default_deadline_seconds > limits.max_deadline_seconds:
        line = _line_of(sections, "limits", "default_deadline")
        reason = "expected at most max_deadline"
        section_reader.add_finding(line, "[limits] default_deadline", reason)


def sort_by_line(findings: list[errors.Finding]) -> list[errors.Finding]:
    """Return findings sorted by line number."""

    def line_of(finding: errors.Finding) -> int:
        place = finding.place.split(" [")[0]
        number = place.rpartition(":")[2]
        return int(number) if number.isdigit() else 0

    return sorted(findings, key=line_of)
