"""What all commands share: options, exit codes and deferred running.

`fire` calls a method before it has seen every argument, and complains about
an unknown flag only afterwards.  So a method returns a `Command`, which is
run once all arguments were understood.
"""

from collections.abc import Callable
import enum
from typing import NamedTuple, TypeVar

from turmerichall import errors

__all__ = ["Command", "ExitCode", "Options", "value"]

T = TypeVar("T")


class ExitCode(enum.IntEnum):
    """How a command ended.

    `REFUSED` covers findings in the input and refusals: nothing was changed.
    `UNKNOWN` covers unreachable instances, and changes whose answer was lost.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4


class Options(NamedTuple):
    """Options that every command takes.

    Attributes:
        servers: Operators' addresses of instances, tried in order.
        callers: Callers' addresses of instances, tried in order.
        key: The operators' key.
        operator: Name under which changes are recorded.
        operation_id: Id of the change; a resend carries the same one.
        form: `table` or `json`.
        timeout_seconds: How long one instance may take to answer.
    """

    servers: tuple[str, ...]
    callers: tuple[str, ...]
    key: str
    operator: str
    operation_id: str
    form: str = "table"
    timeout_seconds: float = 10.0


class Command:
    """A command that was understood and is yet to be run."""

    def __init__(self, run: Callable[[], ExitCode]):
        self._run = run

    def run(self) -> ExitCode:
        """Runs the command."""
        return self._run()

    def __str__(self) -> str:
        return ""


def value(flag: str, text: str, read: Callable[[str], T]) -> T:
    """Reads the value of a flag.

    Args:
        flag: Name of the flag, for the finding.
        text: The value as it was typed.
        read: Returns what it means or raises `ValueError`.

    Returns:
        The value.

    Raises:
        InputError: The value is not what `read` expects.

    Examples:
        >>> value("--tasks", "3", int)
        3
    """
    try:
        return read(text)
    except ValueError as error:
        finding = errors.Finding(flag, str(error))
        raise errors.InputError([finding]) from error
