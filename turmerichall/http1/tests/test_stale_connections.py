"""Tests of idle connections whose path has been lost without a sign."""

import pytest
import trio
import trio.testing

from turmerichall.http1 import client as http_client
from turmerichall.http1 import message
from turmerichall.http1.tests import quiet_socket

CONNECTIONS = 6
TIMEOUT_SECONDS = 0.5
CONNECT_SECONDS = 0.1


class _Stream:
    """Stream to a server that answers, until the path is lost.

    Attributes:
        lost: Whether nothing arrives any more.
        answer_seconds: Time until the server answers.
    """

    def __init__(self) -> None:
        self.lost = False
        self.answer_seconds = 0.0
        self.socket = quiet_socket.QuietSocket()

    async def send_all(self, _: bytes) -> None:
        await trio.lowlevel.checkpoint()

    async def receive_some(self, _: int) -> bytes:
        await trio.sleep(float("inf") if self.lost else self.answer_seconds)
        return b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


class _Caller:
    """Client whose connections lead to streams of the test.

    Attributes:
        streams: Streams in the order in which they were opened.
        answers: Results of the calls in the order in which they ended.
        new_are_lost: Whether the path of new connections is lost too.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.streams: list[_Stream] = []
        self.answers: list[message.Response | http_client.CallFailure] = []
        self.new_are_lost = False
        self.client = http_client.Client("a:1", CONNECTIONS)
        monkeypatch.setattr(trio, "open_tcp_stream", self._connect)

    async def _connect(self, *_: object, **__: object) -> _Stream:
        await trio.sleep(CONNECT_SECONDS)
        stream = _Stream()
        stream.lost = self.new_are_lost
        # The connections become idle in the order in which they were opened.
        stream.answer_seconds = 0.01 * (len(self.streams) + 1)
        self.streams.append(stream)
        return stream

    async def call(self) -> None:
        """Call the server once."""
        self.answers.append(
            await self.client.call("GET", "/", b"", {}, TIMEOUT_SECONDS)
        )

    async def open_connections(self, count: int) -> None:
        """Open connections, by as many calls at a time."""
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(self.call)
        assert len(self.streams) == count
        self.answers.clear()

    def closed(self) -> list[bool]:
        """Return which connections were closed."""
        return [stream.socket.closed for stream in self.streams]


@pytest.fixture(name="caller")
def _caller(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> _Caller:
    del autojump_clock
    return _Caller(monkeypatch)


class TestStaleConnections:

    # Each idle connection cost one timeout, together more than the lease of a
    # worker that could be reached all the time over a new connection.
    async def test_one_timeout_is_enough_to_replace_them_all(
        self, caller: _Caller
    ) -> None:
        await caller.open_connections(CONNECTIONS)
        for stream in caller.streams:
            stream.lost = True
        await caller.call()
        await caller.call()
        assert isinstance(caller.answers[1], message.Response)
        assert caller.closed() == [True] * CONNECTIONS + [False]

    async def test_connection_that_has_answered_since_stays_open(
        self, caller: _Caller
    ) -> None:
        await caller.open_connections(3)
        # Calls take the last idle connection first.
        caller.streams[2].lost = True
        caller.streams[1].answer_seconds = TIMEOUT_SECONDS / 2
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                nursery.start_soon(caller.call)
        assert isinstance(caller.answers[0], message.Response)
        assert isinstance(caller.answers[1], http_client.CallFailure)
        assert caller.closed() == [True, False, True]

    async def test_timeout_on_a_new_connection_closes_no_other(
        self, caller: _Caller
    ) -> None:
        await caller.open_connections(2)
        caller.new_are_lost = True
        # The third call connects; the others end before it is sent.
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(caller.call)
        assert isinstance(caller.answers[2], http_client.CallFailure)
        assert caller.closed() == [False, False, True]
