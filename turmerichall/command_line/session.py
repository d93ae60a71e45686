"""Carries commands out and prints what came of them."""

from collections.abc import Callable, Sequence
import sys
from typing import Any, NamedTuple

from turmerichall.command_line import client as clients
from turmerichall.command_line import commands
from turmerichall.command_line import output

__all__ = ["Session", "View"]

Show = Callable[[dict[str, Any]], None]


class View(NamedTuple):
    """How a list is printed.

    Attributes:
        columns: Columns of the table.
        row: Turns an item into a row with those columns.
    """

    columns: Sequence[str]
    row: Callable[[dict[str, Any]], dict[str, Any]]


class Session:
    """Carries out the commands of one run.

    Attributes:
        options: Options of the run.
        client: Talks to the instances.
    """

    def __init__(self, options: commands.Options):
        self.options = options
        self.client = clients.Client(options)

    def list(self, path: str, view: View) -> commands.Command:
        """Returns the command that reads and prints a list."""

        def shown(document: dict[str, Any]) -> None:
            rows = [view.row(item) for item in document["items"]]
            output.show_rows(rows, view.columns)

        return self.reading(path, shown)

    def reading(self, path: str, shown: Show = output.show) -> commands.Command:
        """Returns the command that reads and prints a document.

        Args:
            path: What to read.
            shown: Prints the document if no JSON is asked for.

        Returns:
            The command.
        """

        def run() -> commands.ExitCode:
            outcome = self.client.read(path)
            return self._print(outcome, shown)

        return commands.Command(run)

    def changing(
        self, method: str, path: str, document: Any = None
    ) -> commands.Command:
        """Returns the command that asks for a change."""

        def run() -> commands.ExitCode:
            return self.change(method, path, document)

        return commands.Command(run)

    def change(
        self, method: str, path: str, document: Any = None
    ) -> commands.ExitCode:
        """Asks for a change and prints what came of it."""
        outcome = self.client.change(method, path, document)
        return self._print(outcome, output.show)

    def _print(
        self, outcome: clients.Outcome, shown: Show
    ) -> commands.ExitCode:
        if not isinstance(outcome, clients.Answer) or outcome.status != 200:
            return output.failure(outcome, self.options)
        if self.options.form == "json":
            output.show_json(outcome.document)
            return commands.ExitCode.DONE
        stale = outcome.document.pop("stale", "")
        outcome.document.pop("fresh", None)
        if stale:
            print(f"note: {stale}", file=sys.stderr)
        shown(outcome.document)
        return commands.ExitCode.DONE
