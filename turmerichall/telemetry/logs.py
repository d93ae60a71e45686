"""Structured logs: one JSON object per line.

A message is a short sentence that begins with the name of the part that logs
it.  Its details go into fields; `request_id` and `job_id` are the same in every
process that handles the request or the job.
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

__all__ = [
    "Level",
    "Log",
    "NonBlockingStream",
    "RESERVED_FIELDS",
    "RateLimitedLog",
    "configure",
]


# Fields that each line has of its own.
RESERVED_FIELDS = frozenset(
    ("level", "message", "message_type", "task_level", "task_uuid", "timestamp")
)
# Maximum number of buffered lines: about 1 s of output of a busy leader.
MAX_PENDING_LINES = 1000


class Level(enum.IntEnum):
    """Severity of a message."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


class _Output:
    """Log output of this process.

    Attributes:
        threshold: Lowest level that is written.
        destination: Current destination; None until one is configured.
        open_files: Log files, which stay open until the process ends.
    """

    threshold: int = Level.INFO
    destination: eliot.FileDestination | None = None
    open_files = contextlib.ExitStack()


class Log:
    """Log of one part of a daemon.

    Attributes:
        part: Name of the part, with which each message begins.
    """

    def __init__(self, part: str):
        self.part = part
        self._prefix = f"{part}: "

    def debug(self, message: str, **fields: object) -> None:
        """Log a message that only developers need."""
        if _Output.threshold <= Level.DEBUG:
            self._write("debug", message, fields)

    def info(self, message: str, **fields: object) -> None:
        """Log a message about ordinary work."""
        if _Output.threshold <= Level.INFO:
            self._write("info", message, fields)

    def warning(self, message: str, **fields: object) -> None:
        """Log an event on which an operator may have to act."""
        if _Output.threshold <= Level.WARNING:
            self._write("warning", message, fields)

    def error(self, message: str, **fields: object) -> None:
        """Log a failure."""
        self._write("error", message, fields)

    def _write(
        self, level: str, message: str, fields: dict[str, object]
    ) -> None:
        if fields.keys() & RESERVED_FIELDS:
            # A line of the log must not end what it tells about.
            fields = {
                f"{name}_" if name in RESERVED_FIELDS else name: value
                for name, value in fields.items()
            }
        eliot.log_message(
            message_type=self.part,
            level=level,
            message=self._prefix + message,
            **fields,
        )


class Sink(Protocol):
    """Destination of a `RateLimitedLog`, such as a `Log`."""

    def info(self, message: str, **fields: object) -> None:
        """Log a message about ordinary work."""


class RateLimitedLog:
    """A log that drops messages above a maximum rate.

    It is meant for messages that callers can trigger at will, such as those
    about refused requests.  The next message that is written has the number of
    dropped messages in its field `left_out`.

    Attributes:
        log: Log that receives the messages.
        per_second: Maximum number of messages per second.
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
        self._dropped_count = 0

    def info(self, message: str, **fields: object) -> None:
        """Log a message about ordinary work; drop it above the maximum rate."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written = 0
        if self._written >= self.per_second:
            self._dropped_count += 1
            return
        self._written += 1
        if self._dropped_count:
            fields["left_out"] = self._dropped_count
            self._dropped_count = 0
        self.log.info(message, **fields)


class NonBlockingStream:
    """A stream that never blocks its writer.

    A thread writes the lines to the underlying stream.  While that stream
    blocks, lines are buffered up to a limit; further lines are dropped and
    counted, and the count is written before the next line.  A line that the
    stream fails to write, for example because the disk is full, is dropped and
    counted too.

    Attributes:
        dropped_count: Number of dropped lines that is not reported yet.
    """

    def __init__(self, stream: IO[str], max_lines: int = MAX_PENDING_LINES):
        self.dropped_count = 0
        self._stream = stream
        self._max_lines = max_lines
        self._lines: collections.deque[str] = collections.deque()
        self._lines_added = threading.Event()
        thread = threading.Thread(target=self._write_lines, daemon=True)
        thread.start()

    def write(self, text: str) -> int:
        """Buffer or drop a text; return its length.

        Raises:
            TypeError: The argument is not text.
        """
        if not isinstance(text, str):
            raise TypeError("expected text")
        if len(self._lines) >= self._max_lines:
            self.dropped_count += 1
        else:
            self._lines.append(text)
            self._lines_added.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing; the thread flushes the underlying stream."""

    @property
    def pending_lines(self) -> int:
        """Number of buffered lines that are not written yet."""
        return len(self._lines)

    def drain(self, timeout_seconds: float) -> None:
        """Wait until all buffered lines are written, or until the timeout."""
        deadline = time.monotonic() + timeout_seconds
        while self._lines and time.monotonic() < deadline:
            time.sleep(0.01)

    def _write_lines(self) -> None:
        while True:
            self._lines_added.wait()
            self._lines_added.clear()
            while self._lines:
                try:
                    self._write_line(self._lines[0])
                except (OSError, ValueError):
                    # A text that can't be encoded raises a ValueError.
                    self.dropped_count += 1
                # The line is removed from the buffer only after it is written,
                # so that `drain` waits for the write.
                self._lines.popleft()

    def _write_line(self, line: str) -> None:
        # The stream may still hold text from a write that failed.  While that
        # text can't be written, no more is added to it.
        self._stream.flush()
        dropped_count = self.dropped_count
        if dropped_count:
            report = {"message": "log: lines left out", "count": dropped_count}
            line = json.dumps(report) + "\n" + line
        self._stream.write(line)
        self.dropped_count -= dropped_count
        self._stream.flush()


def configure(
    level: Level = Level.INFO,
    path: str | None = None,
    stream: IO[str] | None = None,
    **fields: str,
) -> None:
    """Configure the log output of this process; replaces an earlier one.

    Args:
        level: Lowest level that is written.
        path: File to append to; if None, `stream` is used.
        stream: Stream to write to; standard error by default.
        **fields: Fields to add to every message, such as `instance`.
    """
    target: IO[str] = stream or sys.stderr
    if path is not None:
        target = _Output.open_files.enter_context(
            open(path, "a", encoding="utf-8")
        )
    destination = eliot.FileDestination(file=target)
    eliot.add_global_fields(**fields)
    eliot.add_destinations(destination)
    if _Output.destination is not None:
        eliot.remove_destination(_Output.destination)
    _Output.destination = destination
    _Output.threshold = level
