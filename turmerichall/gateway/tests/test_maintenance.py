"""Tests of silent connections, which stay open and deliver nothing."""

import functools
from typing import Any

import msgspec
import trio

from turmerichall.gateway import request_id

SILENT_SECONDS = 0.2
# Long enough that an outcome of `silent` can't be the deadline's.
DEADLINE_MS = "20000"


class _Network:
    """Something between the ends that loses track of connections.

    Attributes:
        lost: Connections on which nothing arrives any more.
        seen: All connections.
    """

    def __init__(self) -> None:
        self.lost: set[trio.SocketStream] = set()
        self.seen: set[trio.SocketStream] = set()

    async def answer(self, exchange: Any) -> None:
        """Answers, unless the connection was lost track of."""
        self.seen.add(exchange.stream)
        if exchange.stream in self.lost:
            await trio.sleep_forever()
        await exchange.answer(exchange.body)

    def lose_all(self) -> None:
        """Loses track of all connections that were seen."""
        self.lost |= self.seen


async def _send(caller: Any, answers: list[Any], **headers: str) -> None:
    answer = await caller.send(turmerichall_deadline_ms=DEADLINE_MS, **headers)
    answers.append(answer)


async def _send_together(
    caller: Any, count: int, idempotent: bool
) -> list[Any]:
    answers: list[Any] = []
    async with trio.open_nursery() as nursery:
        for _ in range(count):
            headers = {
                "turmerichall_request_id": request_id.make(),
                "turmerichall_idempotent": "true" if idempotent else "false",
            }
            send = functools.partial(_send, caller, answers, **headers)
            nursery.start_soon(send)
    return answers


async def _behind_a_network(world: Any) -> tuple["_Network", Any, Any]:
    """Makes a backend server and a caller whose connections can go silent."""
    net = _Network()
    backend = await world.backend("w1", net.answer)
    caller = await world.caller(
        backend, silent_seconds=SILENT_SECONDS, idle_seconds=60.0
    )
    return net, backend, caller


class TestSilentConnection:

    async def test_request_gets_its_outcome_and_the_pool_refills(
        self, world: Any
    ) -> None:
        net, _, caller = await _behind_a_network(world)
        await _send_together(caller, 1, idempotent=False)
        net.lose_all()
        (answer,) = await _send_together(caller, 1, idempotent=False)
        document = msgspec.json.decode(answer.content)
        assert (document["outcome"], document["reason"]) == (
            "unknown",
            "silent",
        )
        (answer,) = await _send_together(caller, 1, idempotent=False)
        assert answer.status == 200

    async def test_whole_pool_going_silent_fails_no_idempotent_request(
        self, world: Any
    ) -> None:
        net, _, caller = await _behind_a_network(world)
        await _send_together(caller, 8, idempotent=True)
        assert len(net.seen) > 1
        net.lose_all()
        answers = await _send_together(caller, 8, idempotent=True)
        assert [answer.status for answer in answers] == [200] * 8

    async def test_long_request_that_runs_is_left_alone(
        self, world: Any
    ) -> None:
        async def runs_long(exchange: Any) -> None:
            backend.running.add(exchange.request_id)
            await trio.sleep(8 * SILENT_SECONDS)
            await exchange.answer(b"at last")

        backend = await world.backend("w1", runs_long)
        caller = await world.caller(backend, silent_seconds=SILENT_SECONDS)
        (answer,) = await _send_together(caller, 1, idempotent=False)
        assert (answer.status, answer.content) == (200, b"at last")

    async def test_silence_within_a_body_ends_the_answer(
        self, world: Any
    ) -> None:
        async def stalls(exchange: Any) -> None:
            await exchange.stream.send_all(
                b"HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n"
                b"turmerichall-request-id: %b\r\n\r\nhalf" % exchange.request_id
            )
            await trio.sleep_forever()

        backend = await world.backend("w1", stalls)
        caller = await world.caller(backend, silent_seconds=SILENT_SECONDS)
        failed = False
        try:
            await _send_together(caller, 1, idempotent=False)
        except* Exception:  # pylint: disable=broad-exception-caught
            failed = True
        assert failed
        application = caller.gateway.application
        await world.until(lambda: not application.in_flight)

    async def test_slot_counts_until_the_deadline_if_nobody_answers(
        self, world: Any
    ) -> None:
        net, backend, caller = await _behind_a_network(world)
        await _send_together(caller, 1, idempotent=False)
        net.lose_all()
        backend.accepts = False
        await _send_together(caller, 1, idempotent=False)
        pool = caller.gateway.application.fleet.pools["w1"]
        assert pool.in_flight == 0
        now = trio.current_time()
        assert pool.free_own_slots(now) == pool.slot_share.held - 1
        assert pool.free_own_slots(now + 21.0) == pool.slot_share.held
