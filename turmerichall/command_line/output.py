"""Prints documents as aligned tables or as JSON, and prints errors."""

from collections.abc import Sequence
import sys
import time
from typing import Any

import msgspec
import tabulate

from turmerichall.command_line import client as clients
from turmerichall.command_line import commands

__all__ = ["print_failure", "print_fields", "print_json", "print_table"]

CONFLICT_ERROR = "version_conflict"


def print_json(document: Any) -> None:
    """Print a document as indented JSON."""
    text = msgspec.json.encode(document)
    print(msgspec.json.format(text, indent=2).decode())


def print_table(rows: list[dict[str, Any]], columns: Sequence[str]) -> None:
    """Print rows as an aligned table with the named columns."""
    cells = [
        [_format_cell(row.get(name, "")) for name in columns] for row in rows
    ]
    headers = [name.replace("_", " ") for name in columns]
    print(tabulate.tabulate(cells, headers, disable_numparse=True))


def _format_cell(item: Any) -> str:
    if item is None:
        return "-"
    if isinstance(item, bool):
        return "yes" if item else "no"
    if isinstance(item, dict):
        return (
            " ".join(f"{key}={_format_cell(item[key])}" for key in item) or "-"
        )
    if isinstance(item, list):
        return ",".join(map(_format_cell, item)) or "-"
    if isinstance(item, float):
        return f"{item:g}"
    return str(item)


def format_time(seconds: float) -> str:
    """Format Unix time as UTC.

    Examples:
        >>> format_time(0.0)
        '1970-01-01 00:00:00Z'
    """
    return time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(seconds))


def print_fields(document: dict[str, Any]) -> None:
    """Print the fields of a document, one per line."""
    cells = [
        (name.replace("_", " "), _format_cell(item))
        for name, item in document.items()
    ]
    print(tabulate.tabulate(cells, tablefmt="plain", disable_numparse=True))


def print_failure(
    outcome: clients.Outcome, options: commands.Options
) -> commands.ExitCode:
    """Print why a command failed.

    Args:
        outcome: Outcome of the request.
        options: Options of the command.

    Returns:
        The exit code.
    """
    if isinstance(outcome, clients.Unreachable):
        print(
            f"unreachable; nothing was sent: {outcome.detail}", file=sys.stderr
        )
        return commands.ExitCode.UNKNOWN
    if isinstance(outcome, clients.AnswerLost):
        _print_unknown(outcome.detail, options)
        return commands.ExitCode.UNKNOWN
    document = outcome.document
    if options.output_format == "json":
        print_json(document)
    if document.get("outcome") == "unknown":
        _print_unknown(document.get("detail", ""), options)
        return commands.ExitCode.UNKNOWN
    reason = document.get("error", outcome.status)
    print(f"refused ({reason}): {document.get('detail')}", file=sys.stderr)
    for finding in document.get("findings", []):
        print(f"  {finding['place']}: {finding['reason']}", file=sys.stderr)
    if reason != CONFLICT_ERROR:
        return commands.ExitCode.REFUSED
    version = document.get("current_version")
    holder = document.get("holder") or "nobody"
    print(f"  version {version} was set by {holder}", file=sys.stderr)
    return commands.ExitCode.CONFLICT


def _print_unknown(detail: str, options: commands.Options) -> None:
    print(
        f"unknown outcome: {detail}\n  resend it with"
        f" --operation-id {options.operation_id} to learn the outcome",
        file=sys.stderr,
    )
