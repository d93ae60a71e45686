"""Tests of callers that together take more than their listener may."""

import contextlib
from typing import Any

import httpcore
import trio

HEAD = (
    b"POST /v1/requests/c/s HTTP/1.1\r\nhost: a\r\n"
    b"turmerichall-idempotent: true\r\ntransfer-encoding: chunked\r\n\r\n"
)
UNFINISHED = HEAD + b"c350\r\n" + b"x" * 50_000 + b"\r\n"
MAX_BYTES = 200_000
TIMEOUT_SECONDS = 5.0


async def _open(url: str, data: bytes) -> trio.SocketStream:
    """Open a connection and send bytes on it."""
    host, port = url.removeprefix("http://").split(":")
    stream = await trio.open_tcp_stream(host, int(port))
    await stream.send_all(data)
    return stream


async def _send(caller: Any, body: bytes) -> httpcore.Response:
    response: httpcore.Response = await caller.send(
        body, turmerichall_idempotent="true"
    )
    return response


async def _is_closed(stream: trio.SocketStream) -> bool:
    """Return whether a connection is closed without an answer."""
    with trio.move_on_after(TIMEOUT_SECONDS):
        with contextlib.suppress(trio.BrokenResourceError):
            return not await stream.receive_some()
        return True
    return False


class TestUnfinishedRequests:

    # The number of connections was limited, and the sum of their bodies not.
    async def test_earlier_ones_are_closed_and_ordinary_ones_served(
        self, testbed: Any
    ) -> None:
        backend = await testbed.backend("w1")
        caller = await testbed.caller(backend, held_bytes=MAX_BYTES)
        streams = [
            await _open(caller.gateway.url, UNFINISHED) for _ in range(8)
        ]
        assert await _is_closed(streams[0])
        response = await _send(caller, b"ordinary")
        assert response.status == 200
        assert len(backend.request_ids) == 1
        for stream in streams:
            await stream.aclose()


class TestConnections:

    # New connections were closed while others held all places without a
    # request.
    async def test_idle_one_is_closed_for_a_new_one(self, testbed: Any) -> None:
        backend = await testbed.backend("w1")
        caller = await testbed.caller(backend, caller_connections=3)
        streams = []
        for _ in range(3):
            streams.append(await _open(caller.gateway.url, b""))
            await trio.sleep(0.02)
        assert (await _send(caller, b"new")).status == 200
        assert await _is_closed(streams[0])
        for stream in streams:
            await stream.aclose()


class TestCompleteRequests:

    # They were all kept until their backend servers had answered.
    async def test_refused_one_has_not_run(self, testbed: Any) -> None:
        go_on = trio.Event()

        async def wait(request: Any) -> None:
            await go_on.wait()
            await request.respond()

        backend = await testbed.backend("w1", wait)
        caller = await testbed.caller(backend, held_bytes=MAX_BYTES)
        body = b"x" * 66_000
        statuses: list[int] = []

        async def send() -> None:
            statuses.append((await _send(caller, body)).status)

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(send)
            with trio.fail_after(TIMEOUT_SECONDS):
                while not statuses:
                    await trio.sleep(0.01)
            assert statuses == [503]
            go_on.set()
        assert statuses == [503, 200, 200]
        assert len(backend.request_ids) == 2


class TestRefusedBody:

    # The next request on the connection got the bytes of the refused one, too.
    async def test_nothing_of_it_is_in_the_next_one(self, testbed: Any) -> None:
        backend = await testbed.backend("w1")
        caller = await testbed.caller(backend, body_bytes=10)
        too_long = HEAD + b"b\r\n" + b"x" * 11 + b"\r\n0\r\n\r\n"
        stream = await _open(caller.gateway.url, too_long)
        answer = await stream.receive_some()
        assert answer.startswith(b"HTTP/1.1 413")
        await stream.send_all(HEAD + b"2\r\nok\r\n0\r\n\r\n")
        answer = b""
        with trio.fail_after(TIMEOUT_SECONDS):
            while not answer.endswith(b"ok"):
                part = await stream.receive_some()
                assert part
                answer += part
        assert answer.endswith(b"\r\n\r\nok")
        await stream.aclose()
