"""Tests of a client whose server answers in other ways than it should."""

from collections.abc import AsyncIterator
import contextlib
import tracemalloc

import pytest
import trio

from turmerichall.http1 import client as http_client
from turmerichall.http1 import message

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
REFUSED = b"HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\n[]"


@contextlib.asynccontextmanager
async def _answering(*parts: bytes) -> AsyncIterator[http_client.Client]:
    """Yield a client of a server that answers each call with the same bytes.

    Args:
        *parts: The bytes; the last part is repeated without end if there is
            more than one.
    """

    async def serve(stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            while await stream.receive_some():
                for part in parts:
                    await stream.send_all(part)
                while len(parts) > 1:
                    await stream.send_all(parts[-1])

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        port = listeners[0].socket.getsockname()[1]
        yield http_client.Client(f"127.0.0.1:{port}")
        nursery.cancel_scope.cancel()


class TestAnswersOfOtherKinds:

    # An upgrade raised an error that ended the process; 100 was taken for the
    # final answer.
    @pytest.mark.parametrize(
        "answer",
        [
            b"HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\n"
            b"upgrade: h2c\r\n\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\n",
            b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n" + OK,
            b"HTTP/1.1 000 None\r\ncontent-length: 0\r\n\r\n",
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
            b"hello",
        ],
    )
    async def test_end_the_connection_alone(self, answer: bytes) -> None:
        async with _answering(answer) as client:
            for _ in range(2):
                failure = await client.call("GET", "/", b"", {}, 1.0)
                assert isinstance(failure, http_client.CallFailure)
                assert failure.possibly_sent
            assert client.connections_opened == 2

    # The second answer was taken for that of the call, and a third one for
    # that of the next call.
    @pytest.mark.parametrize("more", [REFUSED, REFUSED[:20], b"garbage"])
    async def test_only_the_first_answer_counts(self, more: bytes) -> None:
        async with _answering(OK + more) as client:
            for _ in range(2):
                response = await client.call("GET", "/", b"", {}, 1.0)
                assert isinstance(response, message.Response)
                assert (response.status, response.body) == (200, b"{}")
            assert client.connections_opened == 2

    async def test_late_second_answer_is_not_that_of_the_next_call(
        self,
    ) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            with contextlib.suppress(trio.BrokenResourceError):
                while await stream.receive_some():
                    await stream.send_all(OK)
                    await trio.sleep(0.02)
                    await stream.send_all(REFUSED)

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, serve, 0)
            port = listeners[0].socket.getsockname()[1]
            client = http_client.Client(f"127.0.0.1:{port}")
            for _ in range(2):
                response = await client.call("GET", "/", b"", {}, 1.0)
                assert isinstance(response, message.Response)
                assert response.status == 200
                await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    # A call of a leader to a worker at such an address ended the process.
    @pytest.mark.parametrize("value", ["a\r\nb: c", "\u20ac"])
    async def test_request_that_cannot_be_encoded_is_not_sent(
        self, value: str
    ) -> None:
        async with _answering(OK) as client:
            failure = await client.call("GET", "/", b"", {"x": value}, 1.0)
        assert isinstance(failure, http_client.CallFailure)
        assert not failure.possibly_sent


class TestEndlessAnswers:

    # An endless body added 270 MB in half a second on a loopback address.
    @pytest.mark.parametrize(
        "parts",
        [
            (
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
                b"10000\r\n" + b"x" * 65536 + b"\r\n",
            ),
            (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 1000),
            (b"HTTP/1.1 200 OK\r\n", b"x: " + b"y" * 8000 + b"\r\n"),
            (b"HTTP/1.1 200 OK\r\nx: ", b"y" * 65536),
        ],
    )
    async def test_end_the_connection(self, parts: tuple[bytes, ...]) -> None:
        async with _answering(*parts) as client:
            failure = await client.call("GET", "/", b"", {}, 5.0)
        assert isinstance(failure, http_client.CallFailure)
        assert "too large" in failure.detail

    async def test_large_answer_within_the_limits_is_read(self) -> None:
        body = b"[" + b" " * (2 * 1024 * 1024 - 2) + b"]"
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
        async with _answering(head.encode() + body) as client:
            response = await client.call("GET", "/", b"", {}, 5.0)
        assert isinstance(response, message.Response)
        assert response.body == body


class TestSmallChunks:

    # Each chunk was an object of its own until the answer was complete.
    async def test_answer_takes_little_more_than_its_size(self) -> None:
        size = 1_000_000
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        chunks = b"2\r\nxx\r\n" * (size // 2)
        async with _answering(head + chunks + b"0\r\n\r\n") as client:
            tracemalloc.start()
            try:
                answer = await client.call("POST", "/", b"", {}, 20.0)
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            client.close()
        assert isinstance(answer, message.Response)
        assert answer.body == b"x" * size
        # The answer, the blocks that it is put together from, and one read.
        assert peak < 4 * size
