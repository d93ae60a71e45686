"""Reads settings and reports every finding with its place.

The table `SECTIONS` names each section, the type that it becomes, and for
each key the field that it fills and the function that reads its text.
"""

from collections.abc import Callable
import difflib
from typing import Any, NamedTuple

from turmerichall import errors
from turmerichall.settings import ini
from turmerichall.settings import settings
from turmerichall.settings import values

__all__ = ["Key", "Reading", "SECTIONS", "Schema", "in_order", "load", "parse"]


class Key(NamedTuple):
    """How one key is read.

    Attributes:
        field: Field of the section's type that it fills.
        read: Returns the value of a text, or raises `ValueError`.
    """

    field: str
    read: Callable[[str], Any]


class Schema(NamedTuple):
    """How one section is read.

    Attributes:
        made: Type that the section becomes; its defaults are those of the
            file, and fields without one are required.
        keys: The keys by name.
    """

    made: Any
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


class Reading:
    """The state of reading one file.

    Attributes:
        path: The file, for places.
        findings: What was found so far.
        schemas: How each section is read, by name.
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
        """Reads all sections; those with findings become None."""
        for name, section in sections.items():
            if name not in self.schemas:
                self.unknown_section(name, section.line)
        return {
            name: self.section(name, sections.get(name))
            for name in self.schemas
        }

    def find(self, line: int, where: str, reason: str) -> None:
        """Adds a finding."""
        place = f"{self.path}:{line} {where}"
        self.findings.append(errors.Finding(place, reason))

    def section(self, name: str, found: ini.Section | None) -> Any:
        """Reads a section, or returns None if it has findings."""
        schema = self.schemas[name]
        given = found.keys if found else {}
        line = found.line if found else 1
        before = len(self.findings)
        filled = {}
        for key, value in given.items():
            if key not in schema.keys:
                self._unknown_key(name, key, value.line)
                continue
            try:
                read = schema.keys[key].read
                filled[schema.keys[key].field] = read(value.text)
            except ValueError as error:
                self.find(value.line, f"[{name}] {key}", str(error))
        for key in _required(schema):
            if key not in given:
                self.find(line, f"[{name}] {key}", "is missing and required")
        if len(self.findings) > before:
            return None
        return schema.made(**filled)

    def unknown_section(self, name: str, line: int) -> None:
        """Adds the finding for a section that no setting is in."""
        reason = f"unknown section{_suggestion(name, self.schemas)}"
        self.find(line, f"[{name}]", reason)

    def _unknown_key(self, section: str, key: str, line: int) -> None:
        known = self.schemas[section].keys
        suggestion = _suggestion(key, known)
        for other, schema in self.schemas.items():
            if key in schema.keys:
                suggestion = f"; it belongs to [{other}]"
        self.find(line, f"[{section}] {key}", f"unknown key{suggestion}")


def _required(schema: Schema) -> list[str]:
    # pylint: disable-next=protected-access
    optional = schema.made._field_defaults
    return [
        name for name, key in schema.keys.items() if key.field not in optional
    ]


def _suggestion(word: str, known: dict[str, Any]) -> str:
    near = difflib.get_close_matches(word, known, n=1)
    if near:
        return f"; did you mean {near[0]!r}?"
    return f"; known are {', '.join(known)}"


def load(path: str) -> settings.Settings:
    """Reads and checks a settings file.

    Args:
        path: The file.

    Returns:
        The settings.

    Raises:
        SettingsError: There are findings; it holds all of them.
    """
    sections, findings = ini.read(path)
    return _check(sections, Reading(path, findings, SECTIONS))


def parse(text: str, path: str) -> settings.Settings:
    """Reads and checks the text of a settings file; see `load`.

    Examples:
        >>> try:
        ...     parse("[instance]\\nname = a/b", "d.ini")
        ... except errors.SettingsError as error:
        ...     print(error.findings[-1].place)
        d.ini:2 [instance] name
    """
    sections, findings = ini.parse(text, path)
    return _check(sections, Reading(path, findings, SECTIONS))


def _check(
    sections: dict[str, ini.Section], reading: Reading
) -> settings.Settings:
    made = reading.read_all(sections)
    _check_listen(made["listen"], sections, reading)
    _check_peers(made["instance"], made["peers"], sections, reading)
    _check_keys(made["keys"], sections, reading)
    _check_deadlines(made["limits"], sections, reading)
    if reading.findings:
        raise errors.SettingsError(in_order(reading.findings))
    return settings.Settings(**made)


def _line(sections: dict[str, ini.Section], section: str, key: str) -> int:
    found = sections.get(section)
    if found is None:
        return 1
    return found.keys[key].line if key in found.keys else found.line


def _check_listen(
    listen: settings.Listen | None,
    sections: dict[str, ini.Section],
    reading: Reading,
) -> None:
    if listen is None:
        return
    seen: dict[str, str] = {}
    for key, where in listen._asdict().items():
        first = seen.setdefault(where, key) if where else key
        if first != key and not where.endswith(":0"):
            line = _line(sections, "listen", key)
            reason = f"expected an address of its own, not that of {first}"
            reading.find(line, f"[listen] {key}", reason)


def _check_peers(
    instance: settings.Instance | None,
    peers: settings.Peers | None,
    sections: dict[str, ini.Section],
    reading: Reading,
) -> None:
    if instance is None or peers is None:
        return
    if peers.bootstrap and not instance.data_folder:
        line = _line(sections, "peers", "bootstrap")
        reason = "expected a data_folder in [instance] to bootstrap with"
        reading.find(line, "[peers] bootstrap", reason)
    others = [seed for seed in peers.seeds if seed.name != instance.name]
    if not others and not peers.bootstrap:
        line = _line(sections, "peers", "seeds")
        reason = "expected another instance to join by, or bootstrap = true"
        reading.find(line, "[peers] seeds", reason)
    known = {instance.name, *(seed.name for seed in peers.seeds)}
    unknown = [name for name in peers.founders if name not in known]
    if unknown:
        line = _line(sections, "peers", "founders")
        reason = f"expected this instance or a seed, not {unknown[0]!r}"
        reading.find(line, "[peers] founders", reason)
    elif peers.founders and instance.name not in peers.founders:
        line = _line(sections, "peers", "founders")
        reason = f"expected {instance.name!r}, which bootstraps, among them"
        if peers.bootstrap:
            reading.find(line, "[peers] founders", reason)


def _check_keys(
    keys: settings.Keys | None,
    sections: dict[str, ini.Section],
    reading: Reading,
) -> None:
    if keys is None:
        return
    seen: dict[str, str] = {}
    for key, text in keys._asdict().items():
        first = seen.setdefault(text, key)
        if first != key:
            line = _line(sections, "keys", key)
            reason = f"expected a secret of its own, not that of {first}"
            reading.find(line, f"[keys] {key}", reason)


def _check_deadlines(
    limits: settings.Limits | None,
    sections: dict[str, ini.Section],
    reading: Reading,
) -> None:
    if limits is None:
        return
    if limits.default_deadline_seconds > limits.max_deadline_seconds:
        line = _line(sections, "limits", "default_deadline")
        reason = "expected at most max_deadline"
        reading.find(line, "[limits] default_deadline", reason)


def in_order(findings: list[errors.Finding]) -> list[errors.Finding]:
    """Returns findings in the order of their lines."""

    def line_of(finding: errors.Finding) -> int:
        place = finding.place.split(" [")[0]
        number = place.rpartition(":")[2]
        return int(number) if number.isdigit() else 0

    return sorted(findings, key=line_of)
