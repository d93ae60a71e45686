"""Tests that the log lines of a request carry its id."""

from collections.abc import Iterator
import io
import json
from typing import Any

import pytest

from turmerichall.telemetry import logs


@pytest.fixture(name="stream")
def _stream() -> Iterator[io.StringIO]:
    # The first destination also receives what was logged before it was set.
    logs.configure(stream=io.StringIO())
    stream = io.StringIO()
    logs.configure(stream=stream)
    yield stream
    logs.configure(stream=io.StringIO())


class TestRequestLog:

    async def test_lines_carry_the_request_id(
        self, testbed: Any, stream: io.StringIO
    ) -> None:
        caller = await testbed.caller(await testbed.backend("w1"))
        headers = {"turmerichall_idempotent": "true"}
        await caller.send(turmerichall_request_id="r1", **headers)
        path = "/v1/requests/x/s"
        await caller.send(path=path, turmerichall_request_id="r2", **headers)
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        lines_by_id = {line.get("request_id"): line for line in lines}
        assert lines_by_id["r1"]["message"] == "gateway: request answered"
        assert lines_by_id["r1"]["backend_server"] == "w1"
        assert lines_by_id["r2"]["message"] == "gateway: request not answered"
        assert lines_by_id["r2"]["reason"] == "unknown_customer"
