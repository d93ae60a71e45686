"""Descriptions of exceptions that nothing expected, for logs."""

from collections.abc import Iterator
import contextlib
import pathlib
import traceback
from typing import NamedTuple

__all__ = ["Failure", "context", "describe", "leaves"]

# Bounds on the texts of a description: they may hold what another program sent.
MAX_DETAIL_CHARS = 300
MAX_TRACE_CHARS = 4000
PACKAGE_FOLDER = str(pathlib.Path(__file__).resolve().parents[1])


class Failure(NamedTuple):
    """An exception that nothing expected.

    Attributes:
        cause: Name of the exception's class.
        detail: Its message.
        place: Innermost function of this package in the traceback, with file
            and line; empty if there is none.
        during: What was being done, outermost first; see `context`.
        trace: The end of the traceback.
    """

    cause: str
    detail: str
    place: str
    during: tuple[str, ...]
    trace: str

    def fields(self) -> dict[str, object]:
        """Return the fields of a log line."""
        return {**self._asdict(), "during": list(self.during)}


@contextlib.contextmanager
def context(text: str) -> Iterator[None]:
    """Add what is being done to each exception that passes.

    Args:
        text: Such as "poll of worker i-7f at 10.0.0.9:8080".

    Examples:
        >>> try:
        ...     with context("entry 7"):
        ...         int("a")
        ... except ValueError as error:
        ...     print(describe(error).during)
        ('entry 7',)
    """
    try:
        yield
    except Exception as error:
        error.add_note(text[:MAX_DETAIL_CHARS])
        raise


def leaves(error: BaseException) -> Iterator[BaseException]:
    """Yield the exceptions in nested exception groups."""
    if isinstance(error, BaseExceptionGroup):
        for each in error.exceptions:
            yield from leaves(each)
    else:
        yield error


def describe(error: BaseException) -> Failure:
    """Describe an exception that is not a group.

    Examples:
        >>> describe(KeyError("a")).detail
        "'a'"
    """
    place = ""
    for frame in traceback.extract_tb(error.__traceback__):
        if frame.filename.startswith(PACKAGE_FOLDER):
            name = frame.filename[len(PACKAGE_FOLDER) + 1 :]
            place = f"{name}:{frame.lineno} {frame.name}"
    notes = getattr(error, "__notes__", [])
    trace = "".join(traceback.format_tb(error.__traceback__))
    return Failure(
        type(error).__name__,
        str(error)[:MAX_DETAIL_CHARS],
        place,
        tuple(reversed(notes)),
        trace[-MAX_TRACE_CHARS:],
    )
