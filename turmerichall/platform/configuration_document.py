"""Configuration documents of operators: decoding, and names of their fields.

The server and the command line decode with this module, so that both find the
same errors.  Optional fields that are missing or have another type get their
defaults.
"""

from typing import Any, NamedTuple

import msgspec

from turmerichall.http1 import server
from turmerichall.platform import lenient_json
from turmerichall.queues import configuration as configurations
from turmerichall.queues import configuration_check

__all__ = ["Document", "decode", "document_field"]

# A document with more errors is no configuration at all.
MAX_ERRORS = 1000

_Numbered = list[tuple[int, dict[str, Any]]]

# Names in documents of the fields that the configuration calls otherwise.
_FIELD_NAMES = {
    "max_connections": "max_conns",
    "refuses_overload": "rejects_overload",
    "header_bytes": "max_header_bytes",
    "body_bytes": "max_body_bytes",
    "request_seconds": "header_timeout_ms",
    "idle_seconds": "idle_timeout_ms",
}


class Document(NamedTuple):
    """A decoded document.

    Attributes:
        configuration: The configuration; without the entries that couldn't be
            decoded if there are errors.
        findings: All errors; warnings only if all entries could be decoded.
    """

    configuration: configurations.Configuration
    findings: tuple[configuration_check.Finding, ...]

    @property
    def errors(self) -> list[configuration_check.Finding]:
        """Findings for which the server refuses the document."""
        return [
            finding
            for finding in self.findings
            if finding.severity == configuration_check.Severity.ERROR
        ]


class _Errors:
    """Errors of entries that can't be decoded, `MAX_ERRORS` of them at most."""

    def __init__(self) -> None:
        self.findings: list[configuration_check.Finding] = []

    def add(self, place: str, reason: str) -> None:
        if len(self.findings) < MAX_ERRORS:
            self.findings.append(
                configuration_check.Finding(
                    configuration_check.Severity.ERROR, place, reason
                )
            )


def document_field(name: str, value: Any) -> tuple[str, Any]:
    """Return name and value in a document of a field of the configuration.

    Examples:
        >>> document_field("idle_seconds", 15.0)
        ('idle_timeout_ms', 15000)
    """
    document_name = _FIELD_NAMES.get(name, name)
    if name.endswith("_seconds") and value is not None:
        value = round(value * 1000)
    return document_name, value


def decode(body: bytes) -> Document:
    """Decode and check a complete configuration."""
    document = lenient_json.decode_object(body)
    errors = _Errors()
    if document is None:
        errors.add(
            "configuration", "is not a JSON object, or has too many values"
        )
        return Document(configurations.Configuration(), tuple(errors.findings))
    version = document.get("version")
    if isinstance(version, bool) or not isinstance(version, int):
        errors.add("version", "expected a whole number")
    services = _services(document.get("services"), errors)
    rows = _routes(document.get("routes"), errors)
    limits = document.get("limits")
    if limits is not None and not isinstance(limits, dict):
        errors.add("limits", "expected an object")
        limits = None
    try:
        configuration = configurations.Configuration(
            lenient_json.integer(version),
            tuple(_queue(row) for _, row in rows),
            tuple(services),
            _limits(limits or {}),
        )
        # A number that can't be encoded would fail when it is replicated.
        msgspec.msgpack.encode(configuration)
    except OverflowError:
        errors.add("configuration", "a number is out of range")
        return Document(configurations.Configuration(), tuple(errors.findings))
    if errors.findings:
        numbers = (number for number, _ in rows)
        further = configuration_check.route_errors(
            zip(numbers, configuration.queues),
            {service.name for service in services},
        )
    else:
        hosts = [row["host"] for _, row in rows]
        further = configuration_check.check(configuration, hosts)
    return Document(configuration, (*errors.findings, *further))


def _rows(value: object, place: str, errors: _Errors) -> _Numbered:
    if not isinstance(value, list):
        errors.add(place, "expected a list")
        return []
    rows = []
    for number, row in enumerate(value):
        if isinstance(row, dict):
            rows.append((number, row))
        else:
            errors.add(f"{place}[{number}]", "expected an object")
    return rows


def _services(value: object, errors: _Errors) -> list[configurations.Service]:
    services = []
    for number, row in _rows(value, "services", errors):
        if not lenient_json.text(row.get("name")):
            errors.add(f"services[{number}].name", "expected a name")
            continue
        services.append(
            configurations.Service(
                row["name"],
                lenient_json.text(row.get("health_path")),
                lenient_json.integer(row.get("max_conns"), 64),
                bool(row.get("rejects_overload", False)),
                bool(row.get("standby", False)),
            )
        )
    return services


def _routes(value: object, errors: _Errors) -> _Numbered:
    """Return the routes that have a host and a path prefix, with numbers."""
    rows = []
    for number, row in _rows(value, "routes", errors):
        prefix = lenient_json.text(row.get("path_prefix"))
        if lenient_json.text(row.get("host")) and prefix.startswith("/"):
            rows.append((number, row))
        else:
            errors.add(f"routes[{number}]", "expected host and path_prefix")
    return rows


def _queue(row: dict[str, Any]) -> configurations.Queue:
    return configurations.Queue(
        lenient_json.text(row.get("name")),
        row["host"].lower(),
        row["path_prefix"],
        lenient_json.text(row.get("service")),
        lenient_json.integer(row.get("priority"), 0),
        max(lenient_json.integer(row.get("max_attempts"), 1), 1),
        _float(row.get("stretch"), 2.0),
        lenient_json.integer(row.get("target_latency_ms"), 1000),
        lenient_json.integer(row.get("timeout_ms"), 3000),
        _advice(row.get("advice")),
    )


def _float(value: object, default: float) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return default
    return float(value)


def _advice(value: object) -> configurations.Advice | None:
    if not isinstance(value, dict) or not value:
        return None
    return configurations.Advice(
        lenient_json.integer(value.get("decision_ms")),
        lenient_json.integer(value.get("per_worker_ms")),
        lenient_json.integer(value.get("validity_ms")),
    )


def _limits(document: dict[str, Any]) -> server.Limits:
    defaults = server.Limits()
    return server.Limits(
        lenient_json.integer(
            document.get("max_header_bytes"), defaults.header_bytes
        ),
        lenient_json.integer(
            document.get("max_body_bytes"), defaults.body_bytes
        ),
        lenient_json.integer(document.get("header_timeout_ms"), 3000) / 1000,
        lenient_json.integer(document.get("idle_timeout_ms"), 15000) / 1000,
    )
