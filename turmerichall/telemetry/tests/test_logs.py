"""Tests of the logs."""

from collections.abc import Iterator
import io
import json
import pathlib

import pytest

from turmerichall.telemetry import logs


@pytest.fixture(name="stream")
def _stream() -> Iterator[io.StringIO]:
    # The first destination is given what was logged before there was any.
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


class TestSparse:

    def test_left_out_messages_are_told(self, stream: io.StringIO) -> None:
        now = 1.0
        sparse = logs.Sparse(logs.Log("operators"), 2, clock=lambda: now)
        for _ in range(5):
            sparse.info("request refused")
        now = 2.0
        sparse.info("request refused")
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        assert len(lines) == 3
        assert lines[2]["left_out"] == 3
