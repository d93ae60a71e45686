"""Tests that each request gets one answer."""

from collections.abc import AsyncIterator, Callable
import contextlib

import pytest
import trio

from turmerichall import errors
from turmerichall.http1 import handler_errors
from turmerichall.http1 import message
from turmerichall.http1 import server
from turmerichall.telemetry import lightweight_metrics

OFFER = b"connection: Upgrade, HTTP2-Settings\r\nupgrade: h2c\r\n"
NEXT = b"GET /next HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"


class _Service:
    """Server that records the requests that are carried out.

    Attributes:
        requests: The requests, oldest first.
        error: Raised by the handler for the target `/raise`.
        reported: Requests whose handler failed.
    """

    def __init__(self, error: Exception = ValueError("no such thing")):
        self.requests: list[message.Request] = []
        self.error = error
        self.reported: list[message.Request] = []
        self.server = server.Server(
            self._answer, on_error=lambda each, _: self.reported.append(each)
        )

    async def _answer(self, request: message.Request) -> message.Response:
        self.requests.append(request)
        if request.target == "/raise":
            raise self.error
        if request.target == "/header":
            return message.Response(200, b"", {"x": "a\r\nset-cookie: b"})
        return message.Response(200, request.target.encode())

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[str]:
        """Serve, and yield the address."""
        async with trio.open_nursery() as nursery:
            yield await nursery.start(self.server.run, "127.0.0.1:0")
            # An error of a connection's task arrives a little later.
            await trio.sleep(0.02)
            nursery.cancel_scope.cancel()

    async def send(self, *parts: bytes) -> bytes:
        """Serve one connection; see `_exchange`."""
        async with self.serving() as address:
            return await _exchange(address, *parts)


async def _exchange(address: str, *parts: bytes) -> bytes:
    """Send parts one after the other; return what is received."""
    received = b""
    host, _, port = address.rpartition(":")
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        for part in parts:
            await stream.send_all(part)
            await trio.sleep(0.02 if len(parts) < 10 else 0.0)
        with trio.move_on_after(1.0):
            while data := await stream.receive_some():
                received += data
    return received


def _statuses(received: bytes) -> list[int]:
    return [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]]


def _in_bytes(data: bytes) -> list[bytes]:
    return [data[index : index + 1] for index in range(len(data))]


class TestOfferOfAnotherProtocol:

    # Two answers came, 501 and that of the handler for a body that was cut
    # off, so clients of the Java platform could not submit a job.
    @pytest.mark.parametrize(
        "body",
        [
            b"content-length: 4\r\n\r\nabcd",
            b"transfer-encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n",
        ],
    )
    @pytest.mark.parametrize("split", [lambda data: [data], _in_bytes])
    async def test_is_ignored_and_the_request_served(
        self, body: bytes, split: Callable[[bytes], list[bytes]]
    ) -> None:
        service = _Service()
        head = b"POST /job HTTP/1.1\r\nhost: a\r\n" + OFFER
        received = await service.send(*split(head + body), NEXT)
        assert _statuses(received) == [200, 200]
        assert [each.target for each in service.requests] == ["/job", "/next"]
        assert service.requests[0].body == b"abcd"
        assert "upgrade" not in service.requests[0].headers

    async def test_pipelined_offers_are_all_ignored(self) -> None:
        service = _Service()
        one = b"GET /a HTTP/1.1\r\nhost: a\r\n" + OFFER + b"\r\n"
        assert _statuses(await service.send(one * 3 + NEXT)) == [200] * 4

    # A request that asks to close the connection and offers an upgrade.
    @pytest.mark.parametrize(
        "head",
        [
            b"GET /a HTTP/1.1\r\nconnection: close\r\n" + OFFER,
            b"GET /a HTTP/1.0\r\n" + OFFER,
        ],
    )
    async def test_connection_is_closed_as_the_request_says(
        self, head: bytes
    ) -> None:
        service = _Service()
        received = await service.send(head + b"\r\n" + NEXT)
        assert _statuses(received) == [200]
        assert b"connection: close" in received

    async def test_refused_body_is_not_carried_out(self) -> None:
        service = _Service()
        head = b"POST /a HTTP/1.1\r\ncontent-length: 999999\r\n" + OFFER
        assert _statuses(await service.send(head + b"\r\n")) == [413]
        assert not service.requests


class TestOneAnswer:

    async def test_connect_gets_one_refusal(self) -> None:
        service = _Service()
        request = b"CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n"
        assert _statuses(await service.send(request + NEXT)) == [501]
        assert not service.requests

    # The refusal of the second request was sent as the answer to the first.
    async def test_refusal_follows_the_answers_to_earlier_requests(
        self,
    ) -> None:
        service = _Service()
        one = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"
        received = await service.send(one + b"not HTTP\r\n\r\n" + NEXT)
        assert _statuses(received) == [200, 400]
        assert [each.target for each in service.requests] == ["/a"]

    @pytest.mark.parametrize("offer", [b"", OFFER])
    async def test_client_that_waits_is_told_to_continue(
        self, offer: bytes
    ) -> None:
        service = _Service()
        head = b"POST /a HTTP/1.1\r\nexpect: 100-continue\r\n" + offer
        head += b"content-length: 2\r\n\r\n"
        async with service.serving() as address:
            received = await _exchange(address, head, b"ab", NEXT)
            assert _statuses(received) == [100, 200, 200]
            # A client that does not wait needs no interim answer.
            received = await _exchange(address, head + b"ab" + NEXT)
            assert _statuses(received) == [200, 200]

    # A field without an end was kept in memory for the whole request time.
    @pytest.mark.parametrize("line", [b"x: ", b"", b"transfer-encoding: "])
    async def test_single_endless_field_is_refused(self, line: bytes) -> None:
        service = _Service()
        parts = [b"y" * 10_000] * 3
        received = await service.send(b"GET / HTTP/1.1\r\n" + line, *parts)
        assert _statuses(received) == [431]


class TestHandlerThatFails:

    # Any error of a handler ended the server, and with it the process.
    @pytest.mark.parametrize("target", ["/raise", "/header"])
    async def test_ends_its_connection_alone(self, target: str) -> None:
        service = _Service()
        line = f"GET {target} HTTP/1.1\r\nhost: a\r\n\r\n".encode()
        async with service.serving() as address:
            assert _statuses(await _exchange(address, line + NEXT)) == [500]
            assert _statuses(await _exchange(address, NEXT)) == [200]
        assert [each.target for each in service.reported] == [target]

    @pytest.mark.parametrize(
        "error",
        [
            errors.DiskError("disk is full"),
            ExceptionGroup("", [errors.DiskError("disk is full")]),
        ],
    )
    async def test_failure_of_the_storage_ends_the_server(
        self, error: Exception
    ) -> None:
        service = _Service(error)
        with pytest.raises(ExceptionGroup) as raised:
            await service.send(b"GET /raise HTTP/1.1\r\nhost: a\r\n\r\n")
        assert raised.group_contains(errors.StorageError)
        assert not service.reported

    def test_is_counted(self) -> None:
        registry = lightweight_metrics.MetricsRegistry()
        report = handler_errors.count_and_log(registry, "control")
        report(message.Request("GET", "/", {}), ValueError("a"))
        counter = b'turmerichall_handler_errors_total{server="control"} 1.0'
        assert counter in registry.exposition()
