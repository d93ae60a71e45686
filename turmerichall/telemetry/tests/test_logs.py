"""Tests of the logs."""

from collections.abc import Iterator
import errno
import io
import json
import os
import pathlib
import time
from typing import Any, IO, cast

import pytest

from turmerichall.telemetry import logs


@pytest.fixture(name="stream")
def _stream() -> Iterator[io.StringIO]:
    # Eliot gives the first destination the messages that were logged earlier.
    logs.configure(stream=io.StringIO())
    stream = io.StringIO()
    logs.configure(stream=stream, instance="i1")
    yield stream
    logs.configure(stream=io.StringIO())


class _FullDisk(io.RawIOBase):
    """File on a disk that is full while `full` is set.

    Attributes:
        content: Bytes that were written.
        full: Whether writes fail.
    """

    def __init__(self) -> None:
        super().__init__()
        self.content = b""
        self.full = False

    def writable(self) -> bool:
        return True

    def write(self, data: Any, /) -> int:
        if self.full:
            raise OSError(errno.ENOSPC, "no space left on device")
        self.content += bytes(data)
        return len(data)


class _FullDiskText(io.StringIO):
    """Unbuffered stream to a file on a disk that is full while `full` is set.

    Attributes:
        full: Whether writes fail.
    """

    full = False

    def write(self, text: str) -> int:
        if self.full:
            raise OSError(errno.ENOSPC, "no space left on device")
        return super().write(text)


class TestLog:

    def test_prefix_and_fields(self, stream: io.StringIO) -> None:
        logs.Log("gateway").info("request routed", request_id="r1")
        line = json.loads(stream.getvalue())
        assert line["message"] == "gateway: request routed"
        assert (line["request_id"], line["instance"]) == ("r1", "i1")
        assert line["level"] == "info"

    # A field with the name of one that each line has ended its caller.
    def test_field_with_a_reserved_name_is_renamed(
        self, stream: io.StringIO
    ) -> None:
        logs.Log("gateway").info("full", level=2, timestamp="x")
        line = json.loads(stream.getvalue())
        assert line["level"] == "info"
        assert line["level_"] == 2
        assert line["timestamp_"] == "x"

    def test_level(self, stream: io.StringIO) -> None:
        logs.configure(logs.Level.WARNING, stream=stream)
        log = logs.Log("gateway")
        log.debug("a")
        log.info("b")
        log.warning("c")
        log.error("d")
        lines = stream.getvalue().splitlines()
        levels = [json.loads(line)["level"] for line in lines]
        assert levels == ["warning", "error"]

    def test_a_later_destination_replaces_the_first(
        self, stream: io.StringIO, tmp_path: pathlib.Path
    ) -> None:
        path = tmp_path / "log"
        logs.configure(path=str(path))
        logs.Log("gateway").info("request routed")
        assert not stream.getvalue()
        assert "request routed" in path.read_text()


class TestRateLimitedLog:

    def test_reports_the_number_of_dropped_messages(
        self, stream: io.StringIO
    ) -> None:
        now = 1.0
        log = logs.RateLimitedLog(logs.Log("operators"), 2, clock=lambda: now)
        for _ in range(5):
            log.info("request refused")
        now = 2.0
        log.info("request refused")
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        assert len(lines) == 3
        assert lines[2]["left_out"] == 3


class TestNonBlockingStream:

    def test_does_not_block_while_the_reader_stalls(self) -> None:
        reading, writing = os.pipe()
        with open(writing, "w", encoding="utf-8") as stream:
            output = logs.NonBlockingStream(stream, max_lines=50)
            began_at = time.monotonic()
            line = "x" * 4095 + "\n"
            for _ in range(500):
                output.write(line)
            assert time.monotonic() - began_at < 1.0
            assert output.dropped_count > 300
            os.set_blocking(reading, False)
            received = b""
            # Closing the stream would wait for a write that is under way.
            while output.pending_lines:
                try:
                    received += os.read(reading, 65536)
                except BlockingIOError:
                    time.sleep(0.001)
            output.write("next\n")
            output.drain(2.0)
            received += os.read(reading, 65536)
        assert b"lines left out" in received
        os.close(reading)

    def test_lines_arrive_complete_and_in_order(self) -> None:
        stream = io.StringIO()
        output = logs.NonBlockingStream(stream)
        for number in range(200):
            output.write(f"{number}\n")
        output.drain(2.0)
        assert stream.getvalue() == "".join(f"{n}\n" for n in range(200))

    def test_is_a_destination_of_logs(self) -> None:
        # The first destination of a process also gets what was logged before.
        logs.configure(stream=io.StringIO())
        stream = io.StringIO()
        output = logs.NonBlockingStream(stream)
        logs.configure(stream=cast(IO[str], output))
        logs.Log("part").info("job accepted", job="a7")
        output.drain(2.0)
        logs.configure(stream=io.StringIO())
        assert json.loads(stream.getvalue())["job"] == "a7"


class TestFailingStream:

    # The thread that writes the lines ended with the first error, and the
    # process logged nothing from then on.
    def test_lines_are_written_again_once_the_disk_has_room(self) -> None:
        stream = _FullDiskText()
        output = logs.NonBlockingStream(stream)
        stream.full = True
        output.write("lost\n")
        output.drain(0.1)
        stream.full = False
        output.write("after\n")
        output.drain(2.0)
        assert "after\n" in stream.getvalue()

    def test_the_next_line_tells_how_many_were_dropped(self) -> None:
        stream = _FullDiskText()
        output = logs.NonBlockingStream(stream)
        output.write("before\n")
        output.drain(2.0)
        stream.full = True
        for _ in range(3):
            output.write("lost\n")
        output.drain(2.0)
        assert output.dropped_count == 3
        stream.full = False
        output.write("after\n")
        output.write("later\n")
        output.drain(2.0)
        before, report, after, later = stream.getvalue().splitlines()
        assert (before, after, later) == ("before", "after", "later")
        assert json.loads(report)["count"] == 3
        assert output.dropped_count == 0

    # Standard output keeps in its buffer what it could not write, and writes it
    # together with the next line.
    def test_a_buffered_stream_reports_the_dropped_lines_once(self) -> None:
        disk = _FullDisk()
        stream = io.TextIOWrapper(io.BufferedWriter(disk), "utf-8")
        output = logs.NonBlockingStream(stream)
        disk.full = True
        for number in range(5):
            output.write(f"{number}\n")
        output.drain(2.0)
        disk.full = False
        output.write("after\n")
        output.drain(2.0)
        first, report, after = disk.content.decode().splitlines()
        assert (first, after) == ("0", "after")
        # The line that stayed in the buffer counts as dropped as well.
        assert json.loads(report)["count"] == 5
