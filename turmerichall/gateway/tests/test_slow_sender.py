"""Tests of callers that send the body of a request slowly or not at all."""

from typing import Any

import pytest
import trio

TIMEOUT_SECONDS = 30.0


class TestSlowSender:

    @pytest.mark.parametrize(
        "body_start", [b"", b"x"], ids=["nothing", "a part"]
    )
    async def test_gets_an_error_response_at_its_deadline(
        self, testbed: Any, body_start: bytes
    ) -> None:
        backend = await testbed.backend("w1")
        caller = await testbed.caller(backend)
        host, port = caller.gateway.url.removeprefix("http://").split(":")
        head = (
            b"POST /v1/requests/c/s HTTP/1.1\r\nhost: a\r\n"
            b"turmerichall-idempotent: true\r\n"
            b"turmerichall-deadline-ms: 200\r\n"
            b"content-length: 10\r\n\r\n"
        )
        response = b""
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(head + body_start)
            with trio.fail_after(TIMEOUT_SECONDS):
                async for part in stream:
                    response += part
        assert response.startswith(b"HTTP/1.1 408 ")
        assert b"turmerichall-outcome: not-run" in response
        assert b'"reason":"timeout"' in response
        assert not backend.request_ids
