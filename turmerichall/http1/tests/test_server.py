"""Tests of the HTTP/1.1 server and client over the loopback interface."""

from collections.abc import AsyncIterator
import contextlib

import pytest
import trio
import trio.testing

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
    running = server.Server(_echo, lambda: limits)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(running.run, "127.0.0.1:0")
        yield running, address
        nursery.cancel_scope.cancel()


async def send_raw(address: str, data: bytes, seconds: float = 2.0) -> bytes:
    """Send bytes and return everything received until the connection ends."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    received = b""
    async with stream:
        await stream.send_all(data)
        with trio.move_on_after(seconds):
            while chunk := await stream.receive_some(4096):
                received += chunk
    return received


class TestChangedLimits:

    # The next request was refused with 413 by the limit in force when the
    # connection became idle.
    @pytest.mark.parametrize("first, then", [(10, 1000), (1000, 10)])
    async def test_limit_counts_for_the_next_request_on_an_idle_connection(
        self, first: int, then: int
    ) -> None:
        limits = server.Limits(body_bytes=first)
        running = server.Server(_echo, lambda: limits)
        async with trio.open_nursery() as nursery:
            address = await nursery.start(running.run, "127.0.0.1:0")
            client = http_client.Client(address)
            await client.call("POST", "/", b"", {}, 2.0)
            await trio.sleep(0.05)
            limits = server.Limits(body_bytes=then)
            response = await client.call("POST", "/", b"x" * 100, {}, 2.0)
            assert client.connections_opened == 1
            assert isinstance(response, message.Response)
            assert response.status == (200 if then > 100 else 413)
            client.close()
            nursery.cancel_scope.cancel()


class TestServer:

    async def test_reuses_a_connection(self) -> None:
        async with _serving() as (_, address):
            client = http_client.Client(address)
            for number in range(5):
                body = str(number).encode()
                response = await client.call("POST", "/", body, {}, 2.0)
                assert isinstance(response, message.Response)
                assert response.body == b"POST" + body
            assert client.connections_opened == 1
            client.close()

    async def test_answers_pipelined_requests_in_order(self) -> None:
        async with _serving() as (_, address):
            one = b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n"
            two = b"PUT /b HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
            received = await send_raw(address, one + two)
        assert received.index(b"GET") < received.index(b"PUT")

    async def test_rejects_requests_over_the_size_limits(self) -> None:
        limits = server.Limits(header_bytes=100, body_bytes=10)
        async with _serving(limits) as (_, address):
            long = b"GET / HTTP/1.1\r\nx: " + b"a" * 200 + b"\r\n\r\n"
            assert b" 431 " in await send_raw(address, long)
            body = b"POST / HTTP/1.1\r\ncontent-length: 11\r\n\r\n" + b"b" * 11
            assert b" 413 " in await send_raw(address, body)

    async def test_rejects_bytes_that_are_not_http(self) -> None:
        async with _serving() as (_, address):
            assert b" 400 " in await send_raw(address, b"\x00\x01\r\n\r\n")

    async def test_times_out_an_incomplete_request(self) -> None:
        limits = server.Limits(request_seconds=0.2)
        async with _serving(limits) as (_, address):
            assert b" 408 " in await send_raw(address, b"GET / HT")

    async def test_closes_idle_connections(self) -> None:
        limits = server.Limits(idle_seconds=0.2)
        async with _serving(limits) as (_, address):
            with trio.fail_after(2.0):
                assert await send_raw(address, b"", 5.0) == b""

    async def test_answers_a_request_in_progress_when_stopping(
        self,
    ) -> None:
        async with _serving() as (running, address):
            client = http_client.Client(address)
            responses = []

            async def ask() -> None:
                responses.append(
                    await client.call("GET", "/slow", b"", {}, 3.0)
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.1)
                await running.stop()
            assert isinstance(responses[0], message.Response)
            with trio.fail_after(2.0):
                await running.stopped.wait()


# Far more than all time limits of a connection together.
LONG_SECONDS = 120.0
REQUEST = b"GET /jobs HTTP/1.1\r\nhost: a\r\n\r\n"


class TestSlowReader:

    # A client whose host had vanished kept its connection, and the process,
    # which was to stop, forever.
    @pytest.mark.parametrize(
        "request_bytes", [REQUEST, b"not HTTP\r\n\r\n", b"GET /incomplete"]
    )
    async def test_a_connection_whose_client_stops_reading_is_closed(
        self,
        nursery: trio.Nursery,
        autojump_clock: trio.testing.MockClock,
        request_bytes: bytes,
    ) -> None:
        # Such a stream takes no more than the other end reads.
        client, served = trio.testing.lockstep_stream_pair()
        running = server.Server(_echo)
        ended = trio.Event()

        async def serve() -> None:
            # pylint: disable-next=protected-access
            await running._serve(served)  # type: ignore[arg-type]
            ended.set()

        nursery.start_soon(serve)
        await client.send_all(request_bytes)
        with trio.fail_after(LONG_SECONDS):
            await running.stop()
            await ended.wait()

    async def test_time_limit_is_that_of_the_limits(self) -> None:
        limits = server.Limits(send_seconds=0.2)
        async with _serving(limits) as (running, address):
            host, _, port = address.rpartition(":")
            # The responses are larger than the buffers of the two sockets.
            body = b"b" * limits.body_bytes
            head = f"POST / HTTP/1.1\r\ncontent-length: {len(body)}\r\n\r\n"
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                with pytest.raises(trio.BrokenResourceError):
                    with trio.fail_after(10.0):
                        while True:
                            await stream.send_all(head.encode() + body)
                with trio.fail_after(2.0):
                    await running.stop()
                    await running.stopped.wait()


class TestClient:

    async def test_failed_connect_was_not_sent(self) -> None:
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        port = listener.socket.getsockname()[1]
        await listener.aclose()
        client = http_client.Client(f"127.0.0.1:{port}")
        response = await client.call("GET", "/", b"", {}, 1.0)
        assert response == http_client.CallFailure(False, "connect failed")

    async def test_replaces_a_connection_after_a_timeout(self) -> None:
        async with _serving() as (_, address):
            client = http_client.Client(address)
            response = await client.call("GET", "/slow", b"", {}, 0.1)
            assert response == http_client.CallFailure(
                True, "no response within the timeout"
            )
            again = await client.call("GET", "/", b"", {}, 1.0)
            assert isinstance(again, message.Response)
            assert client.connections_opened == 2

    async def test_reconnects_after_an_idle_connection_was_closed(self) -> None:
        limits = server.Limits(idle_seconds=0.1)
        async with _serving(limits) as (_, address):
            client = http_client.Client(address)
            for _ in range(2):
                response = await client.call("GET", "/", b"", {}, 1.0)
                assert isinstance(response, message.Response)
                await trio.sleep(0.3)
            assert client.connections_opened == 2
