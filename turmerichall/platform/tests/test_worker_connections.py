"""Tests of the connections on which a worker's incarnation is called."""

import json
from typing import Any

import pytest
import trio
import trio.testing

from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.http1 import message
from turmerichall.http1.tests import quiet_socket
from turmerichall.platform import http_worker_client
from turmerichall.queues import change as changes

TASK = changes.TaskName("5c0e", 0, 0, 0)
TOKEN = 3
BORN_MS = 1_700_000_000_000


class _Machine:
    """A machine whose worker starts again under its id.

    Attributes:
        born_ms: Start time of the current life.
        status: Status of all answers.
        keeps_alive: Whether connections carry more than one call.
        received: Path and body of each call, with the life that received it.
    """

    def __init__(
        self, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self.born_ms = BORN_MS
        self.status = 200
        self.keeps_alive = True
        self.received: list[tuple[int, str, dict[str, Any]]] = []
        self._nursery = nursery
        self._connections: list[trio.StapledStream] = []
        self._sockets: list[quiet_socket.QuietSocket] = []
        monkeypatch.setattr(trio, "open_tcp_stream", self._connect)

    async def _connect(self, *_: object, **__: object) -> trio.StapledStream:
        client_end, server_end = trio.testing.memory_stream_pair()
        setattr(client_end, "socket", quiet_socket.QuietSocket())
        self._connections.append(server_end)
        self._nursery.start_soon(self._serve, server_end)
        return client_end

    async def _serve(self, stream: trio.StapledStream) -> None:
        born_ms = self.born_ms
        try:
            while request := bytes(await stream.receive_some()):
                head, _, body = request.partition(b"\r\n\r\n")
                path = head.split()[1].decode()
                self.received.append((born_ms, path, json.loads(body)))
                answer: dict[str, Any] = {"clock_ms": 40}
                if path == "/v1/hold":
                    answer["born"] = born_ms
                headers = {} if self.keeps_alive else {"connection": "close"}
                await stream.send_all(
                    message.encode_response(
                        message.Response(
                            self.status, json.dumps(answer).encode(), headers
                        )
                    )
                )
                if not self.keeps_alive:
                    await stream.aclose()
                    return
        except trio.ClosedResourceError:
            return

    async def restart(self) -> None:
        """Start the worker again, which breaks its connections."""
        self.born_ms += 5000
        for stream in self._connections:
            await stream.aclose()
        self._connections.clear()

    def orders(self, path: str) -> list[int]:
        """Return which lives received calls of a path."""
        return [
            born_ms for born_ms, called, _ in self.received if called == path
        ]

    def acknowledged(self) -> list[tuple[int, int]]:
        """Return which lives were told to forget ends, and up to which."""
        return [
            (born_ms, body["acked_through"])
            for born_ms, path, body in self.received
            if path == "/v1/hold" and body["acked_through"]
        ]


@pytest.fixture(name="machine")
def _machine(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
) -> _Machine:
    """Machine to which all connections of the test lead."""
    return _Machine(nursery, monkeypatch)


def _client() -> http_worker_client.HttpWorkerClient:
    record = fakes.FakeWorker("w1").record._replace(
        id=changes.incarnation_id("w1", BORN_MS),
        kept_name="w1",
        born_ms=BORN_MS,
    )
    return http_worker_client.HttpWorkerClient(record)


class TestNextLife:
    """A worker that restarts under its id, unknown to the leader."""

    # The next life carried out a start that was meant for the one before.
    @pytest.mark.parametrize("was_connected", [False, True])
    async def test_it_receives_no_start(
        self, machine: _Machine, was_connected: bool
    ) -> None:
        client = _client()
        if was_connected:
            await client.poll(TOKEN, 0, None, 0)
        await machine.restart()
        order = worker_client.Order(TASK, 1, "text")
        result = await client.start(order, TOKEN, 60_000)
        assert result.verdict == worker_client.Verdict.REPLACED
        assert not machine.orders("/v1/run-start")

    # The number of an acknowledged end of the earlier life made the next one
    # forget its own ends, and its lease was extended to a time of another
    # clock.
    async def test_its_ends_are_not_acknowledged(
        self, machine: _Machine
    ) -> None:
        client = _client()
        status = await client.poll(TOKEN, 57, 60_000, 0)
        assert isinstance(status, worker_client.WorkerStatus)
        await machine.restart()
        failure = await client.poll(TOKEN, 57, 60_000, 0)
        assert isinstance(failure, worker_client.PollFailure)
        assert failure.verdict == worker_client.Verdict.REPLACED
        assert machine.acknowledged() == [(BORN_MS, 57)]

    # A poll that changes nothing opened a connection, which carried orders.
    @pytest.mark.parametrize("status", [200, 503])
    async def test_a_poll_leaves_no_connection_to_it(
        self, machine: _Machine, status: int
    ) -> None:
        client = _client()
        await machine.restart()
        machine.status = status
        await client.poll(TOKEN, 0, None, 0)
        machine.status = 200
        result = await client.stop(worker_client.Order(TASK, 1), TOKEN)
        assert result.verdict == worker_client.Verdict.REPLACED
        assert not machine.orders("/v1/run-stop")


class TestExpectedLife:

    async def test_a_connection_is_checked_once(
        self, machine: _Machine
    ) -> None:
        client = _client()
        for number in range(1, 5):
            order = worker_client.Order(TASK, number, "text")
            result = await client.start(order, TOKEN, 60_000)
            assert result.verdict == worker_client.Verdict.DONE
        assert machine.orders("/v1/run-start") == [BORN_MS] * 4
        assert machine.orders("/v1/hold") == [BORN_MS]

    # Each connection that was checked was closed, so no order was sent.
    async def test_it_may_close_each_connection(
        self, machine: _Machine
    ) -> None:
        machine.keeps_alive = False
        order = worker_client.Order(TASK, 1, "text")
        result = await _client().start(order, TOKEN, 60_000)
        assert result.verdict == worker_client.Verdict.DONE

    # An unwell worker refuses the check of the connection, and so the order.
    async def test_a_refused_check_refuses_the_order(
        self, machine: _Machine
    ) -> None:
        machine.status = 503
        order = worker_client.Order(TASK, 1, "text")
        result = await _client().start(order, TOKEN, 60_000)
        assert result.verdict == worker_client.Verdict.UNWELL
        assert not result.may_be_pending
        assert not machine.orders("/v1/run-start")
