"""Commands for configuration documents of queues."""

import enum
import os
import sys
from typing import Any, NamedTuple

import httpcore

from turmerichall.command_line import client as clients
from turmerichall.command_line import commands
from turmerichall.command_line import output
from turmerichall.platform import configuration_document
from turmerichall.platform import lenient_json
from turmerichall.queues import configuration_check
from turmerichall.queues import configuration_difference
from turmerichall.settings import values

__all__ = ["ConfigurationFiles"]

CONTROL_VARIABLE = "TURMERICHALL_CONTROL"
CURRENT = "current"
# A replica's control port reads no body above 4 MiB.
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024 - 1


class CheckExitCode(enum.IntEnum):
    """Exit code of the command `configuration check`."""

    NOTHING_FOUND = 0
    FINDINGS = 1
    UNREADABLE = 2


class _Unreadable(Exception):
    """Error for a document that can't be read, or not be compared with."""


class _Comparison(NamedTuple):
    """Differences from another configuration.

    Attributes:
        source: File or address that the other configuration was read from.
        version: Version of the other configuration.
        differences: What the checked document would change.
    """

    source: str
    version: int
    differences: list[configuration_difference.Difference]


class ConfigurationFiles:
    """Configuration documents of queues, before they are sent."""

    def __init__(self, options: commands.Options):
        self._options = options

    def check(
        self, file: str, *, against: str = "", control: str = ""
    ) -> commands.Command:
        """Check a configuration document of queues; nothing is changed.

        Errors are what a replica would refuse the document for; it accepts a
        document with warnings.  Differences alone are no findings.

        Exit codes, which differ from those of other commands: 0 nothing found;
        1 errors or warnings found; 2 usage error, a document can't be read or
        compared with, or no replica answered.

        Args:
            file: Path of the JSON document with `version`, `routes`, `services`
                and `limits`.
            against: Lists the differences from the configuration in force if
                `current`, otherwise from the document with this path
                (`./current` for a file of that name).
            control: Addresses of the replicas' control ports,
                `host:port,host:port`, tried in order for `--against current`;
                $TURMERICHALL_CONTROL if not given.
        """
        text = control or os.environ.get(CONTROL_VARIABLE, "")
        addresses = tuple(
            commands.parse_flag("--control", item, values.port_address)
            for item in text.replace(",", " ").split()
        )

        def run() -> CheckExitCode:
            name = _printable(file)
            try:
                document = _read_file(file)
                findings = list(document.findings)
                comparison = None
                # A document with errors may lack entries that it names.
                if against and not document.errors:
                    comparison = self._compare(document, against, addresses)
            except _Unreadable as error:
                if self._options.output_format == "json":
                    output.print_json({"file": name, "error": str(error)})
                print(error, file=sys.stderr)
                return CheckExitCode.UNREADABLE
            if comparison is not None and against == CURRENT:
                findings += _version_findings(document, comparison)
            version = document.configuration.version
            if self._options.output_format == "json":
                _print_json(name, version, findings, comparison)
            else:
                _print_tables(name, version, findings, comparison)
                if against and comparison is None:
                    print("not compared, because of the errors")
            if findings:
                return CheckExitCode.FINDINGS
            return CheckExitCode.NOTHING_FOUND

        return commands.Command(run)

    def _compare(
        self,
        document: configuration_document.Document,
        against: str,
        addresses: tuple[str, ...],
    ) -> _Comparison:
        if against == CURRENT:
            source, other = self._read_current(addresses)
        else:
            source, other = _printable(against), _read_file(against)
            if other.errors:
                raise _Unreadable(
                    f"{source}: can't be compared with: "
                    + _printable(str(other.errors[0]))
                )
        return _Comparison(
            source,
            other.configuration.version,
            configuration_difference.compare(
                other.configuration, document.configuration
            ),
        )

    def _read_current(
        self, addresses: tuple[str, ...]
    ) -> tuple[str, configuration_document.Document]:
        """Return the first replica that answers, and its document."""
        if not addresses:
            raise _Unreadable(
                "no replica was named; give --control or $" + CONTROL_VARIABLE
            )
        reasons = []
        for address in addresses:
            # The operators' key isn't sent: the control port asks for none.
            answer = clients.exchange(
                "GET",
                f"http://{address}/v1/config/read",
                {},
                b"",
                self._options.timeout_seconds,
            )
            if not isinstance(answer, httpcore.Response):
                reasons.append(f"{address}: no answer: {answer.detail}")
            elif answer.status != 200:
                reason = f"{address}: answered with status {answer.status}"
                if answer.status == 503:
                    reason += ": it has no configuration, leader or quorum"
                reasons.append(reason)
            else:
                try:
                    document = _decode(address, answer.content)
                except _Unreadable as error:
                    reasons.append(str(error))
                    continue
                if not document.errors:
                    return address, document
                reason = _printable(str(document.errors[0]))
                reasons.append(f"{address}: malformed: {reason}")
        raise _Unreadable(
            "the configuration in force can't be read\n  "
            + "\n  ".join(reasons)
        )


def _read_file(file: str) -> configuration_document.Document:
    name = _printable(file)
    try:
        with open(file, "rb") as stream:
            # The size that the file system states may change meanwhile.
            body = stream.read(MAX_DOCUMENT_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or error
        raise _Unreadable(f"{name}: can't be read: {reason}") from error
    return _decode(name, body)


def _decode(source: str, body: bytes) -> configuration_document.Document:
    if len(body) > MAX_DOCUMENT_BYTES:
        raise _Unreadable(f"{source}: is too large: expected less than 4 MiB")
    try:
        body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise _Unreadable(
            f"{source}: isn't UTF-8: byte {error.start}"
        ) from error
    if lenient_json.decode_object(body) is None:
        raise _Unreadable(f"{source}: isn't a JSON object")
    return configuration_document.decode(body)


def _printable(text: str) -> str:
    """Return text with characters that can't be printed as escapes.

    Examples:
        >>> _printable("a\\x1b\\udcff.json")
        'a\\\\x1b\\\\udcff.json'
    """
    return "".join(
        char if char.isprintable() else ascii(char)[1:-1] for char in text
    )


def _version_findings(
    document: configuration_document.Document, comparison: _Comparison
) -> list[configuration_check.Finding]:
    version = document.configuration.version
    if version > comparison.version or not comparison.differences:
        return []
    return [
        configuration_check.Finding(
            configuration_check.Severity.WARNING,
            "version",
            f"{version} isn't above version {comparison.version} in force: a"
            " replica would ignore the document",
        )
    ]


def _print_json(
    name: str,
    version: int,
    findings: list[configuration_check.Finding],
    comparison: _Comparison | None,
) -> None:
    result: dict[str, Any] = {
        "file": name,
        "version": version,
        "findings": [finding._asdict() for finding in findings],
    }
    if comparison is not None:
        result["against"] = {
            "source": comparison.source,
            "version": comparison.version,
        }
        result["differences"] = [
            {
                "change": difference.change,
                "kind": difference.kind,
                "key": _key(difference),
                "fields": [
                    dict(zip(("name", "before", "after"), _field(field)))
                    for field in difference.fields
                ],
            }
            for difference in comparison.differences
        ]
    output.print_json(result)


def _print_tables(
    name: str,
    version: int,
    findings: list[configuration_check.Finding],
    comparison: _Comparison | None,
) -> None:
    if findings:
        rows = [
            {key: _printable(text) for key, text in finding._asdict().items()}
            for finding in findings
        ]
        output.print_table(rows, configuration_check.Finding._fields)
    else:
        print(f"{name}: no findings")
    if comparison is None:
        return
    print(
        f"\nversion {version} against version {comparison.version} of"
        f" {comparison.source}: differences: {len(comparison.differences)}"
    )
    if comparison.differences:
        rows = [
            row
            for difference in comparison.differences
            for row in _difference_rows(difference)
        ]
        output.print_table(
            rows, ("change", "entry", "field", "before", "after")
        )


def _difference_rows(
    difference: configuration_difference.Difference,
) -> list[dict[str, Any]]:
    """Return a row for each field; only the first one names the entry."""
    rows: list[dict[str, Any]] = []
    for field in difference.fields:
        name, before, after = _field(field)
        row = {"field": name, "before": _cell(before), "after": _cell(after)}
        if not rows:
            row["change"] = difference.change.value
            row["entry"] = f"{difference.kind} {_printable(_key(difference))}"
        rows.append(row)
    return rows


def _cell(value: Any) -> Any:
    return _printable(value) if isinstance(value, str) else value


def _key(difference: configuration_difference.Difference) -> str:
    if difference.kind != configuration_difference.EntryKind.LIMIT:
        return difference.key
    return configuration_document.document_field(difference.key, None)[0]


def _field(
    field: configuration_difference.FieldChange,
) -> tuple[str, Any, Any]:
    name, before = configuration_document.document_field(
        field.name, field.before
    )
    after = configuration_document.document_field(field.name, field.after)[1]
    return name, before, after
