"""Tests of the server and the client of HTTP/1.1, over loopback."""

from collections.abc import AsyncIterator
import contextlib

import trio

from turmerichall.http1 import client as http_client
from turmerichall.http1 import message
from turmerichall.http1 import server


async def _echo(request: message.Request) -> message.Response:
    if request.target == "/slow":
        await trio.sleep(0.3)
    return message.Response(200, request.method.encode() + request.body)


@contextlib.asynccontextmanager
async def _serving(
    limits: server.Limits = server.Limits(),
) -> AsyncIterator[tuple[server.Server, str]]:
    served = server.Server(_echo, lambda: limits)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(served.run, "127.0.0.1:0")
        yield served, address
        nursery.cancel_scope.cancel()


async def raw(address: str, data: bytes, seconds: float = 2.0) -> bytes:
    """Sends bytes and returns all that comes until the connection ends."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    received = b""
    async with stream:
        await stream.send_all(data)
        with trio.move_on_after(seconds):
            while chunk := await stream.receive_some(4096):
                received += chunk
    return received


class TestServer:

    async def test_keeps_a_connection(self) -> None:
        async with _serving() as (_, address):
            client = http_client.Client(address)
            for number in range(5):
                body = str(number).encode()
                answer = await client.call("POST", "/", body, {}, 2.0)
                assert isinstance(answer, message.Response)
                assert answer.body == b"POST" + body
            assert client.opened == 1
            client.close()

    async def test_answers_requests_that_come_together_in_order(self) -> None:
        async with _serving() as (_, address):
            one = b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n"
            two = b"PUT /b HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
            got = await raw(address, one + two)
        assert got.index(b"GET") < got.index(b"PUT")

    async def test_refuses_what_is_too_large(self) -> None:
        limits = server.Limits(header_bytes=100, body_bytes=10)
        async with _serving(limits) as (_, address):
            long = b"GET / HTTP/1.1\r\nx: " + b"a" * 200 + b"\r\n\r\n"
            assert b" 431 " in await raw(address, long)
            body = b"POST / HTTP/1.1\r\ncontent-length: 11\r\n\r\n" + b"b" * 11
            assert b" 413 " in await raw(address, body)

    async def test_refuses_what_is_no_http(self) -> None:
        async with _serving() as (_, address):
            assert b" 400 " in await raw(address, b"\x00\x01\r\n\r\n")

    async def test_ends_a_request_that_never_ends(self) -> None:
        limits = server.Limits(request_seconds=0.2)
        async with _serving(limits) as (_, address):
            assert b" 408 " in await raw(address, b"GET / HT")

    async def test_closes_idle_connections(self) -> None:
        limits = server.Limits(idle_seconds=0.2)
        async with _serving(limits) as (_, address):
            with trio.fail_after(2.0):
                assert await raw(address, b"", 5.0) == b""

    async def test_a_request_that_was_read_is_answered_when_stopping(
        self,
    ) -> None:
        async with _serving() as (served, address):
            client = http_client.Client(address)
            answers = []

            async def ask() -> None:
                answers.append(await client.call("GET", "/slow", b"", {}, 3.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.1)
                await served.stop()
            assert isinstance(answers[0], message.Response)
            with trio.fail_after(2.0):
                await served.stopped.wait()


class TestClient:

    async def test_tells_what_can_not_have_been_sent(self) -> None:
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        port = listener.socket.getsockname()[1]
        await listener.aclose()
        client = http_client.Client(f"127.0.0.1:{port}")
        answer = await client.call("GET", "/", b"", {}, 1.0)
        assert answer == http_client.CallFailure(False, "connecting failed")

    async def test_gives_up_a_silent_connection(self) -> None:
        async with _serving() as (_, address):
            client = http_client.Client(address)
            answer = await client.call("GET", "/slow", b"", {}, 0.1)
            assert answer == http_client.CallFailure(True, "no answer in time")
            again = await client.call("GET", "/", b"", {}, 1.0)
            assert isinstance(again, message.Response)
            assert client.opened == 2

    async def test_tries_again_on_a_connection_that_was_closed(self) -> None:
        limits = server.Limits(idle_seconds=0.1)
        async with _serving(limits) as (_, address):
            client = http_client.Client(address)
            for _ in range(2):
                answer = await client.call("GET", "/", b"", {}, 1.0)
                assert isinstance(answer, message.Response)
                await trio.sleep(0.3)
            assert client.opened == 2
