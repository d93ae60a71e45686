"""Options, exit codes and deferred execution, shared by all commands.

`fire` calls a method before it has parsed every argument, and rejects an
unknown flag only afterwards.  A method therefore returns a `Command`, which is
run once all arguments have been accepted.
"""

from collections.abc import Callable
import enum
from typing import NamedTuple, TypeVar

from turmerichall import errors

__all__ = ["Command", "ExitCode", "Options", "parse_flag"]

T = TypeVar("T")


class ExitCode(enum.IntEnum):
    """Exit code of a command.

    `REFUSED` means that the cluster refused a change or that errors were found
    in a file; nothing was changed.  `UNKNOWN` means that no instance could be
    reached, or that the answer to a change was lost, so that its outcome is not
    known.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4


class Options(NamedTuple):
    """Options of every command.

    Attributes:
        servers: Addresses of instances for operators, tried in order.
        callers: Addresses of instances for callers, tried in order.
        key: The operators' key.
        operator: Name under which changes are recorded.
        operation_id: Idempotency key of the change; a resend has the same one.
        output_format: `table` or `json`.
        timeout_seconds: Time that one instance may take to answer.
    """

    servers: tuple[str, ...]
    callers: tuple[str, ...]
    key: str
    operator: str
    operation_id: str
    output_format: str = "table"
    timeout_seconds: float = 10.0


class Command:
    """A command whose arguments were accepted, to be run later."""

    def __init__(self, run: Callable[[], enum.IntEnum]):
        self._run = run

    def run(self) -> enum.IntEnum:
        """Run the command and return its exit code."""
        return self._run()

    def __str__(self) -> str:
        return ""


def parse_flag(flag: str, text: str, parse: Callable[[str], T]) -> T:
    """Parse the value of a flag.

    Args:
        flag: Name of the flag, for the error.
        text: The value as given on the command line.
        parse: Returns the parsed value or raises `ValueError`.

    Returns:
        The parsed value.

    Raises:
        InputError: The value is invalid.

    Examples:
        >>> parse_flag("--tasks", "3", int)
        3
    """
    try:
        return parse(text)
    except ValueError as error:
        finding = errors.Finding(flag, str(error))
        raise errors.InputError([finding]) from error
