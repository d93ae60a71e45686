"""Tests of the logs."""

from collections.abc import Iterator
import io
import json
import os
import pathlib
import time
from typing import IO, cast

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


class TestLog:

    def test_prefix_and_fields(self, stream: io.StringIO) -> None:
        logs.Log("gateway").info("request routed", request_id="r1")
        line = json.loads(stream.getvalue())
        assert line["message"] == "gateway: request routed"
        assert (line["request_id"], line["instance"]) == ("r1", "i1")
        assert line["level"] == "info"

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
        stream = io.StringIO()
        output = logs.NonBlockingStream(stream)
        logs.configure(stream=cast(IO[str], output))
        logs.Log("part").info("job accepted", job="a7")
        output.drain(2.0)
        logs.configure(stream=io.StringIO())
        assert json.loads(stream.getvalue())["job"] == "a7"
