"""Tests of a server whose budget is used up."""

from collections.abc import AsyncIterator
import contextlib

import pytest
import trio
import trio.testing

from turmerichall.http1 import client as http_client
from turmerichall.http1 import message
from turmerichall.http1 import request_reader
from turmerichall.http1 import server
from turmerichall.intake import budget as budgets
from turmerichall.intake import limits as intake_limits

UNFINISHED = (
    b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
    b"c350\r\n" + b"x" * 50_000 + b"\r\n"
)
MAX_BYTES = 200_000


class _Crowded:
    """A server with a small budget.

    Attributes:
        budget: The budget.
        handled: Bodies of the requests that were handled.
        go_on: Set to let the handler answer the target `/wait`.
        response: Body of the response to the target `/large`.
    """

    def __init__(self, max_connections: int = 50, max_bytes: int = MAX_BYTES):
        limits = intake_limits.Limits(max_bytes, max_connections)
        self.budget = budgets.Budget(limits)
        self.handled: list[bytes] = []
        self.go_on = trio.Event()

    async def answer(self, request: message.Request) -> message.Response:
        """Answer a request."""
        self.handled.append(request.body)
        if request.target == "/wait":
            await self.go_on.wait()
        if request.target == "/large":
            return message.Response(200, bytes(150_000))
        return message.Response(200, request.body)

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[str]:
        """Serve, and yield the address."""
        running = server.Server(self.answer, budget=self.budget)
        async with trio.open_nursery() as nursery:
            yield await nursery.start(running.run, "127.0.0.1:0")
            nursery.cancel_scope.cancel()


async def _open(address: str, data: bytes) -> trio.SocketStream:
    """Open a connection and send bytes on it."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    await stream.send_all(data)
    return stream


async def _read_all(stream: trio.SocketStream) -> bytes:
    received = b""
    with contextlib.suppress(trio.BrokenResourceError):
        while part := await stream.receive_some():
            received += part
    return received


async def _post(address: str, target: str, body: bytes) -> message.Response:
    client = http_client.Client(address)
    response = await client.call("POST", target, body, {}, 2.0)
    client.close()
    assert isinstance(response, message.Response)
    return response


class TestUnfinishedRequests:

    # All were kept until their time was over.
    async def test_earlier_ones_are_refused_and_ordinary_ones_served(
        self,
    ) -> None:
        crowded = _Crowded()
        async with crowded.serving() as address:
            streams = [await _open(address, UNFINISHED) for _ in range(8)]
            with trio.fail_after(2.0):
                first = await _read_all(streams[0])
            assert first.startswith(b"HTTP/1.1 503")
            assert b"retry-after: 1\r\n" in first
            assert crowded.budget.size <= MAX_BYTES
            response = await _post(address, "/", b"ordinary")
            assert response.body == b"ordinary"
            assert crowded.handled == [b"ordinary"]
            for stream in streams:
                await stream.aclose()


class TestConnections:

    async def test_idle_one_is_closed_for_a_new_one(self) -> None:
        crowded = _Crowded(max_connections=3)
        async with crowded.serving() as address:
            streams = [await _open(address, b"") for _ in range(3)]
            await trio.testing.wait_all_tasks_blocked(0.05)
            assert (await _post(address, "/", b"new")).status == 200
            with trio.fail_after(2.0):
                assert await _read_all(streams[0]) == b""
            for stream in streams:
                await stream.aclose()


class TestCompleteRequests:

    # They were all handed to the handler, with copies of their bodies.
    async def test_refused_ones_have_not_run(self) -> None:
        crowded = _Crowded()
        body = b"x" * 20_000
        statuses: list[int] = []

        async def post(address: str) -> None:
            statuses.append((await _post(address, "/wait", body)).status)

        async with crowded.serving() as address:
            async with trio.open_nursery() as nursery:
                for _ in range(10):
                    nursery.start_soon(post, address)
                with trio.fail_after(2.0):
                    while len(crowded.handled) + len(statuses) < 10:
                        await trio.sleep(0.01)
                crowded.go_on.set()
            assert sorted(statuses) == [200] * 3 + [503] * 7
            assert len(crowded.handled) == 3
            # There is room again.
            assert (await _post(address, "/", body)).status == 200


class TestUnreadResponses:

    # Each was kept for the time that a response may take.
    async def test_the_oldest_gives_way(self) -> None:
        crowded = _Crowded()
        request = b"GET /large HTTP/1.1\r\n\r\n" * 200
        async with crowded.serving() as address:
            streams = [await _open(address, request) for _ in range(4)]
            await trio.sleep(0.2)
            assert crowded.budget.size <= MAX_BYTES
            assert (await _post(address, "/", b"ordinary")).status == 200
            for stream in streams:
                await stream.aclose()


class TestSmallParts:

    # All that was received of each connection was parsed at once, so that
    # heartbeats and ordinary requests waited for it.
    async def test_other_tasks_run_between_the_pieces(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        pieces = most = 0
        parse_piece = request_reader.RequestReader.parse_piece

        def count(reader: request_reader.RequestReader) -> int:
            nonlocal pieces
            pieces += 1
            return parse_piece(reader)

        async def watch() -> None:
            nonlocal pieces, most
            while True:
                most, pieces = max(most, pieces), 0
                await trio.lowlevel.checkpoint()

        monkeypatch.setattr(request_reader.RequestReader, "parse_piece", count)
        crowded = _Crowded(max_bytes=10 * MAX_BYTES)
        head, _, _ = UNFINISHED.partition(b"c350")
        data = head + b"2\r\nxx\r\n" * 8000
        connections = 4
        async with crowded.serving() as address:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                streams = [
                    await _open(address, data) for _ in range(connections)
                ]
                with trio.fail_after(5.0):
                    while len(crowded.budget.holdings) < connections:
                        await trio.sleep(0.01)
                await trio.sleep(0.2)
                assert (await _post(address, "/", b"ordinary")).status == 200
                nursery.cancel_scope.cancel()
            for stream in streams:
                await stream.aclose()
        # A connection's first piece needs no turn.
        assert 0 < most <= 2 * connections

    async def test_body_in_one_byte_chunks_is_served_in_calm(self) -> None:
        crowded = _Crowded()
        head, _, _ = UNFINISHED.partition(b"c350")
        data = head + b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n"
        async with crowded.serving() as address:
            stream = await _open(address, data)
            with trio.fail_after(5.0):
                answer = await stream.receive_some()
            assert answer.startswith(b"HTTP/1.1 200")
            await stream.aclose()
        assert crowded.handled == [b"x" * 50_000]


class TestEndedConnections:

    # The reader and its parser refer to each other, so that the bodies stayed
    # until the next collection of garbage, and no budget counted them.
    async def test_nothing_of_them_is_kept(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        readers: list[request_reader.RequestReader] = []
        create = request_reader.RequestReader.__init__

        def record(
            reader: request_reader.RequestReader, limits: server.Limits
        ) -> None:
            create(reader, limits)
            readers.append(reader)

        monkeypatch.setattr(request_reader.RequestReader, "__init__", record)
        crowded = _Crowded()
        async with crowded.serving() as address:
            stream = await _open(address, UNFINISHED)
            with trio.fail_after(2.0):
                while not readers or readers[0].size < 50_000:
                    await trio.sleep(0.01)
                await stream.aclose()
                while crowded.budget.holdings:
                    await trio.sleep(0.01)
        assert readers[0].size < 1000
