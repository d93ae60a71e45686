"""Runs commands against the instances and prints their results."""

from collections.abc import Callable, Sequence
import sys
from typing import Any, NamedTuple

from turmerichall.command_line import client as clients
from turmerichall.command_line import commands
from turmerichall.command_line import output

__all__ = ["Session", "TableView"]

PrintDocument = Callable[[dict[str, Any]], None]


class TableView(NamedTuple):
    """Describes how a list is printed as a table.

    Attributes:
        columns: Names of the columns.
        row: Converts an item to a row, a dict by column name.
    """

    columns: Sequence[str]
    row: Callable[[dict[str, Any]], dict[str, Any]]


class Session:
    """Builds the commands of one run of the program `turmerichall`.

    Attributes:
        options: Options given on the command line.
        client: HTTP client of the instances.
    """

    def __init__(self, options: commands.Options):
        self.options = options
        self.client = clients.Client(options)

    def list_command(self, path: str, view: TableView) -> commands.Command:
        """Return a command that reads a list and prints it."""

        def print_document(document: dict[str, Any]) -> None:
            rows = [view.row(item) for item in document["items"]]
            output.print_table(rows, view.columns)

        return self.read_command(path, print_document)

    def read_command(
        self, path: str, print_document: PrintDocument = output.print_fields
    ) -> commands.Command:
        """Return a command that reads a document and prints it.

        Args:
            path: Path of the document.
            print_document: Prints the document in the output format `table`.

        Returns:
            The command.
        """

        def run() -> commands.ExitCode:
            outcome = self.client.read(path)
            return self._print(outcome, print_document)

        return commands.Command(run)

    def change_command(
        self, method: str, path: str, document: Any = None
    ) -> commands.Command:
        """Return a command that asks for a change and prints its result."""

        def run() -> commands.ExitCode:
            return self.change(method, path, document)

        return commands.Command(run)

    def change(
        self, method: str, path: str, document: Any = None
    ) -> commands.ExitCode:
        """Ask an instance for a change and print its result."""
        outcome = self.client.change(method, path, document)
        return self._print(outcome, output.print_fields)

    def _print(
        self, outcome: clients.Outcome, print_document: PrintDocument
    ) -> commands.ExitCode:
        if not isinstance(outcome, clients.Answer) or outcome.status != 200:
            return output.print_failure(outcome, self.options)
        if self.options.output_format == "json":
            output.print_json(outcome.document)
            return commands.ExitCode.DONE
        stale = outcome.document.pop("stale", "")
        outcome.document.pop("fresh", None)
        if stale:
            print(f"note: {stale}", file=sys.stderr)
        print_document(outcome.document)
        return commands.ExitCode.DONE
