"""Tests of the operators' interface behind a real HTTP listener."""

import functools

import pytest
import trio

from turmerichall.gateway import server
from turmerichall.operators import exchange
from turmerichall.operators.tests import fake_daemon
from turmerichall.telemetry import counters

TIMEOUT_SECONDS = 60.0
POST = (
    b"POST /v1/jobs HTTP/1.1\r\nhost: a\r\nturmerichall-operation-id: a\r\n"
    b"authorization: Bearer operators-key\r\n"
)


async def _send(address: str, data: bytes) -> bytes:
    """Send bytes and return all received until the connection closes."""
    host, port = address.split(":")
    stream = await trio.open_tcp_stream(host, int(port))
    received = b""
    with trio.fail_after(TIMEOUT_SECONDS):
        async with stream:
            await stream.send_all(data)
            async for chunk in stream:
                received += chunk
    return received


class TestListener:

    @pytest.mark.parametrize(
        ("sent", "status", "error"),
        [
            (b"\x16\x03\x01 not HTTP\r\n\r\n", b"400", b""),
            (
                POST + b"content-length: 1\r\ncontent-length: 2\r\n\r\n",
                b"400",
                b"",
            ),
            (POST + b"content-length: 10\r\n\r\n{", b"408", b"timeout"),
            (
                POST + b"content-length: 9999\r\n\r\n" + b"x" * 9999,
                b"413",
                b"too_large",
            ),
            (POST + b"x: " + b"y" * 30000 + b"\r\n\r\n", b"413", b"too_large"),
            (POST + b"x: y\r\n" * 100 + b"\r\n", b"413", b"too_large"),
            # The head never ends: the connection is closed without a response.
            (POST, b"", b""),
        ],
        ids=[
            "not HTTP",
            "two lengths",
            "slow body",
            "large body",
            "large header",
            "many headers",
            "slow head",
        ],
    )
    async def test_connection_of_bad_sender_is_closed(
        self, sent: bytes, status: bytes, error: bytes
    ) -> None:
        daemon = fake_daemon.FakeDaemon()
        bounds = exchange.Bounds(max_body_bytes=4000, body_timeout_seconds=0.2)
        app = daemon.application(counters.Counters(), bounds)
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            serve = functools.partial(
                server.serve,
                app,
                "127.0.0.1:0",
                stop,
                0.1,
                keep_alive_seconds=1.0,
            )
            address = await nursery.start(serve)
            received = await _send(address, sent)
            stop.set()
        assert received.startswith(b"HTTP/1.1 " + status if status else b"")
        assert error in received
        assert bool(received) == bool(status)
        assert not daemon.machine.applied_index
