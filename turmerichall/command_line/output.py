"""Prints documents as aligned tables or as JSON, and errors."""

from collections.abc import Sequence
import sys
import time
from typing import Any

import msgspec
import tabulate

from turmerichall.command_line import client as clients
from turmerichall.command_line import commands

__all__ = ["failure", "show", "show_json", "show_rows"]

CONFLICT = "version_conflict"


def show_json(document: Any) -> None:
    """Prints a document as indented JSON."""
    text = msgspec.json.encode(document)
    print(msgspec.json.format(text, indent=2).decode())


def show_rows(rows: list[dict[str, Any]], columns: Sequence[str]) -> None:
    """Prints rows as an aligned table with the named columns."""
    cells = [[_cell(row.get(name, "")) for name in columns] for row in rows]
    headers = [name.replace("_", " ") for name in columns]
    print(tabulate.tabulate(cells, headers, disable_numparse=True))


def _cell(item: Any) -> str:
    if item is None:
        return "-"
    if isinstance(item, bool):
        return "yes" if item else "no"
    if isinstance(item, dict):
        return " ".join(f"{key}={_cell(item[key])}" for key in item) or "-"
    if isinstance(item, list):
        return ",".join(map(_cell, item)) or "-"
    if isinstance(item, float):
        return f"{item:g}"
    return str(item)


def wall_time(seconds: float) -> str:
    """Formats Unix time as UTC.

    Examples:
        >>> wall_time(0.0)
        '1970-01-01 00:00:00Z'
    """
    return time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(seconds))


def show(document: dict[str, Any]) -> None:
    """Prints the fields of a document, one a line."""
    cells = [
        (name.replace("_", " "), _cell(item)) for name, item in document.items()
    ]
    print(tabulate.tabulate(cells, tablefmt="plain", disable_numparse=True))


def failure(
    outcome: clients.Outcome, options: commands.Options
) -> commands.ExitCode:
    """Prints why a command did not do what it was asked for.

    Args:
        outcome: What came of it.
        options: Options of the command.

    Returns:
        The exit code.
    """
    if isinstance(outcome, clients.Unreachable):
        print(
            f"unreachable; nothing was sent: {outcome.detail}", file=sys.stderr
        )
        return commands.ExitCode.UNKNOWN
    if isinstance(outcome, clients.Lost):
        _print_unknown(outcome.detail, options)
        return commands.ExitCode.UNKNOWN
    document = outcome.document
    if options.form == "json":
        show_json(document)
    if document.get("outcome") == "unknown":
        _print_unknown(document.get("detail", ""), options)
        return commands.ExitCode.UNKNOWN
    reason = document.get("error", outcome.status)
    print(f"refused ({reason}): {document.get('detail')}", file=sys.stderr)
    for finding in document.get("findings", []):
        print(f"  {finding['place']}: {finding['reason']}", file=sys.stderr)
    if reason != CONFLICT:
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
