"""Tests of silent connections, which stay open but deliver nothing."""

import functools
from typing import Any

import msgspec
import trio

from turmerichall.gateway import request_id

SILENT_SECONDS = 0.2
# Long enough that the outcome `silent` can't be caused by the deadline.
DEADLINE_MS = "20000"


class _LossyNetwork:
    """A network device that drops the packets of some connections.

    Attributes:
        dropped: Connections on which nothing arrives any more.
        connections: All connections.
    """

    def __init__(self) -> None:
        self.dropped: set[trio.SocketStream] = set()
        self.connections: set[trio.SocketStream] = set()

    async def respond(self, request: Any) -> None:
        """Respond, unless the connection is dropped."""
        self.connections.add(request.stream)
        if request.stream in self.dropped:
            await trio.sleep_forever()
        await request.respond(request.body)

    def drop_all(self) -> None:
        """Drop all connections so far."""
        self.dropped |= self.connections


async def _send(caller: Any, responses: list[Any], **headers: str) -> None:
    response = await caller.send(
        turmerichall_deadline_ms=DEADLINE_MS, **headers
    )
    responses.append(response)


async def _send_concurrently(
    caller: Any, count: int, idempotent: bool
) -> list[Any]:
    responses: list[Any] = []
    async with trio.open_nursery() as nursery:
        for _ in range(count):
            headers = {
                "turmerichall_request_id": request_id.make(),
                "turmerichall_idempotent": "true" if idempotent else "false",
            }
            send = functools.partial(_send, caller, responses, **headers)
            nursery.start_soon(send)
    return responses


async def _start_with_lossy_network(
    testbed: Any,
) -> tuple["_LossyNetwork", Any, Any]:
    """Start a backend server and a caller whose connections can go silent."""
    network = _LossyNetwork()
    backend = await testbed.backend("w1", network.respond)
    caller = await testbed.caller(
        backend, silent_seconds=SILENT_SECONDS, idle_seconds=60.0
    )
    return network, backend, caller


class TestSilentConnection:

    async def test_request_gets_an_outcome_and_the_pool_recovers(
        self, testbed: Any
    ) -> None:
        network, _, caller = await _start_with_lossy_network(testbed)
        await _send_concurrently(caller, 1, idempotent=False)
        network.drop_all()
        (response,) = await _send_concurrently(caller, 1, idempotent=False)
        document = msgspec.json.decode(response.content)
        assert (document["outcome"], document["reason"]) == (
            "unknown",
            "silent",
        )
        (response,) = await _send_concurrently(caller, 1, idempotent=False)
        assert response.status == 200

    async def test_idempotent_requests_survive_when_all_connections_are_silent(
        self, testbed: Any
    ) -> None:
        network, _, caller = await _start_with_lossy_network(testbed)
        await _send_concurrently(caller, 8, idempotent=True)
        assert len(network.connections) > 1
        network.drop_all()
        responses = await _send_concurrently(caller, 8, idempotent=True)
        assert [response.status for response in responses] == [200] * 8

    async def test_long_request_that_runs_is_not_aborted(
        self, testbed: Any
    ) -> None:
        async def runs_long(request: Any) -> None:
            backend.running_ids.add(request.request_id)
            await trio.sleep(8 * SILENT_SECONDS)
            await request.respond(b"at last")

        backend = await testbed.backend("w1", runs_long)
        caller = await testbed.caller(backend, silent_seconds=SILENT_SECONDS)
        (response,) = await _send_concurrently(caller, 1, idempotent=False)
        assert (response.status, response.content) == (200, b"at last")

    async def test_response_is_aborted_when_its_body_stalls(
        self, testbed: Any
    ) -> None:
        async def stalls(request: Any) -> None:
            await request.stream.send_all(
                b"HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n"
                b"turmerichall-request-id: %b\r\n\r\nhalf" % request.request_id
            )
            await trio.sleep_forever()

        backend = await testbed.backend("w1", stalls)
        caller = await testbed.caller(backend, silent_seconds=SILENT_SECONDS)
        failed = False
        try:
            await _send_concurrently(caller, 1, idempotent=False)
        except* Exception:  # pylint: disable=broad-exception-caught
            failed = True
        assert failed
        application = caller.gateway.application
        await testbed.wait_until(lambda: not application.in_flight)

    async def test_slot_counts_until_the_deadline_if_the_server_is_silent(
        self, testbed: Any
    ) -> None:
        network, backend, caller = await _start_with_lossy_network(testbed)
        await _send_concurrently(caller, 1, idempotent=False)
        network.drop_all()
        backend.accepts_connections = False
        await _send_concurrently(caller, 1, idempotent=False)
        pool = caller.gateway.application.fleet.pools["w1"]
        assert pool.in_flight == 0
        now = trio.current_time()
        assert pool.free_own_slots(now) == pool.slot_share.held - 1
        assert pool.free_own_slots(now + 21.0) == pool.slot_share.held
