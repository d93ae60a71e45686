"""Tests of callers that send the body of a request slowly, or never."""

from typing import Any

import pytest
import trio

PATIENCE_SECONDS = 30.0


class TestSlowSender:

    @pytest.mark.parametrize("sent", [b"", b"x"], ids=["nothing", "a part"])
    async def test_gets_a_typed_answer_at_its_deadline(
        self, world: Any, sent: bytes
    ) -> None:
        backend = await world.backend("w1")
        caller = await world.caller(backend)
        host, port = caller.gateway.url.removeprefix("http://").split(":")
        head = (
            b"POST /v1/requests/c/s HTTP/1.1\r\nhost: a\r\n"
            b"turmerichall-idempotent: true\r\n"
            b"turmerichall-deadline-ms: 200\r\n"
            b"content-length: 10\r\n\r\n"
        )
        got = b""
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(head + sent)
            with trio.fail_after(PATIENCE_SECONDS):
                async for part in stream:
                    got += part
        assert got.startswith(b"HTTP/1.1 408 ")
        assert b"turmerichall-outcome: not-run" in got
        assert b'"reason":"timeout"' in got
        assert not backend.request_ids
