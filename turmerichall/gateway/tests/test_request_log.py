"""Tests that a request can be followed in the log by its id."""

from collections.abc import Iterator
import io
import json
from typing import Any

import pytest

from turmerichall.telemetry import logs


@pytest.fixture(name="stream")
def _stream() -> Iterator[io.StringIO]:
    # The first destination is given what was logged before there was any.
    logs.configure(stream=io.StringIO())
    stream = io.StringIO()
    logs.configure(stream=stream)
    yield stream
    logs.configure(stream=io.StringIO())


class TestRequestLog:

    async def test_lines_carry_the_request_id(
        self, world: Any, stream: io.StringIO
    ) -> None:
        caller = await world.caller(await world.backend("w1"))
        ids = {"turmerichall_idempotent": "true"}
        await caller.send(turmerichall_request_id="r1", **ids)
        path = "/v1/requests/x/s"
        await caller.send(path=path, turmerichall_request_id="r2", **ids)
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        found = {line.get("request_id"): line for line in lines}
        assert found["r1"]["message"] == "gateway: request answered"
        assert found["r1"]["backend_server"] == "w1"
        assert found["r2"]["message"] == "gateway: request not answered"
        assert found["r2"]["reason"] == "unknown_customer"
