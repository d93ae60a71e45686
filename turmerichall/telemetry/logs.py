"""Structured logs: one JSON object a line, with a fixed prefix per part.

A message is a short sentence.  What it is about goes into fields, of which
`request_id` and `job_id` are the same in every process that the work passes
through.
"""

from collections.abc import Callable
import collections
import contextlib
import enum
import json
import sys
import threading
import time
from typing import IO, Protocol

import eliot

__all__ = ["Level", "Log", "NonBlockingStream", "RateLimitedLog", "configure"]


# Lines that wait for a reader of the stream; about a second of a busy leader.
MAX_WAITING_LINES = 1000


class Level(enum.IntEnum):
    """How much a message matters."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


class _Output:
    """Where the messages of this process go.

    Attributes:
        threshold: Lowest level that is written.
        destination: The destination in use, if any was configured.
        opened: Files that stay open for the life of the process.
    """

    threshold: int = Level.INFO
    destination: eliot.FileDestination | None = None
    opened = contextlib.ExitStack()


class Log:
    """The log of one part.

    Attributes:
        part: Name of the part, which each message starts with.
    """

    def __init__(self, part: str):
        self.part = part
        self._prefix = f"{part}: "

    def debug(self, message: str, **fields: object) -> None:
        """Writes a message that only a developer needs."""
        if _Output.threshold <= Level.DEBUG:
            self._write("debug", message, fields)

    def info(self, message: str, **fields: object) -> None:
        """Writes a message about ordinary work."""
        if _Output.threshold <= Level.INFO:
            self._write("info", message, fields)

    def warning(self, message: str, **fields: object) -> None:
        """Writes a message about something an operator may have to act on."""
        if _Output.threshold <= Level.WARNING:
            self._write("warning", message, fields)

    def error(self, message: str, **fields: object) -> None:
        """Writes a message about a failure."""
        self._write("error", message, fields)

    def _write(
        self, level: str, message: str, fields: dict[str, object]
    ) -> None:
        eliot.log_message(
            message_type=self.part,
            level=level,
            message=self._prefix + message,
            **fields,
        )


class Sink(Protocol):
    """Where `RateLimitedLog` writes; a `Log` is one."""

    def info(self, message: str, **fields: object) -> None:
        """Writes a message about ordinary work."""


class RateLimitedLog:
    """A log that writes a bounded number of messages a second.

    For messages that others can cause at will, such as refused requests.  The
    next message that is written tells how many were left out.

    Attributes:
        log: Where the messages go.
        per_second: Messages a second at most.
    """

    def __init__(
        self,
        log: Sink,
        per_second: int,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.log = log
        self.per_second = per_second
        self._clock = clock
        self._second = -1
        self._written = 0
        self._left_out = 0

    def info(self, message: str, **fields: object) -> None:
        """Writes a message about ordinary work, if the bound allows."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written = 0
        if self._written >= self.per_second:
            self._left_out += 1
            return
        self._written += 1
        if self._left_out:
            fields["left_out"] = self._left_out
            self._left_out = 0
        self.log.info(message, **fields)


class NonBlockingStream:
    """A stream that never blocks its writer.

    A thread passes lines on.  While the reader of the stream does not read,
    lines are kept up to a bound; further ones are left out and counted, and
    the count is written before the next line that is passed on.

    Attributes:
        left_out: Lines that were left out and not told of yet.
    """

    def __init__(self, stream: IO[str], max_lines: int = MAX_WAITING_LINES):
        self.left_out = 0
        self._stream = stream
        self._max_lines = max_lines
        self._lines: collections.deque[str] = collections.deque()
        self._some = threading.Event()
        thread = threading.Thread(target=self._pass_on, daemon=True)
        thread.start()

    def write(self, text: str) -> int:
        """Takes lines; returns their length.

        Raises:
            TypeError: It was given bytes.
        """
        if not isinstance(text, str):
            raise TypeError("expected text")
        if len(self._lines) >= self._max_lines:
            self.left_out += 1
        else:
            self._lines.append(text)
            self._some.set()
        return len(text)

    def flush(self) -> None:
        """Does nothing: lines are passed on by the thread."""

    @property
    def waiting(self) -> int:
        """Lines that are not passed on yet."""
        return len(self._lines)

    def drain(self, timeout_seconds: float) -> None:
        """Waits until all lines are passed on, for a while at most."""
        deadline = time.monotonic() + timeout_seconds
        while self._lines and time.monotonic() < deadline:
            time.sleep(0.01)

    def _pass_on(self) -> None:
        while True:
            self._some.wait()
            self._some.clear()
            while self._lines:
                left_out, self.left_out = self.left_out, 0
                if left_out:
                    note = {"message": "log: lines left out", "count": left_out}
                    self._stream.write(json.dumps(note) + "\n")
                self._stream.write(self._lines[0])
                self._stream.flush()
                # Only now, so that `drain` knows when all is passed on.
                self._lines.popleft()


def configure(
    level: Level = Level.INFO,
    path: str | None = None,
    stream: IO[str] | None = None,
    **fields: str,
) -> None:
    """Sets where the logs of this process go; a later call replaces it.

    Args:
        level: Lowest level to write.
        path: File to append to; without one `stream` is used.
        stream: Where to write; standard error by default.
        **fields: Fields to add to every message, such as `instance`.
    """
    target: IO[str] = stream or sys.stderr
    if path is not None:
        target = _Output.opened.enter_context(open(path, "a", encoding="utf-8"))
    destination = eliot.FileDestination(file=target)
    eliot.add_global_fields(**fields)
    eliot.add_destinations(destination)
    if _Output.destination is not None:
        eliot.remove_destination(_Output.destination)
    _Output.destination = destination
    _Output.threshold = level
