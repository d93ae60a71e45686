"""Fault table of one exchange, seen by the caller of a gateway."""

from collections.abc import Awaitable, Callable
from typing import Any

import httpcore
import msgspec
import pytest
import trio

from turmerichall import outcomes
from turmerichall.gateway import request_id

Script = Callable[[Any], Awaitable[None]]


async def _refuses(exchange: Any) -> None:
    await exchange.answer(
        b"", b"503 Full", b"turmerichall-not-run: true\r\nretry-after: 7\r\n"
    )


async def _refuses_another(exchange: Any) -> None:
    await exchange.answer(
        b"", b"503 Full", b"turmerichall-not-run: true\r\n", b"other"
    )


async def _answers_another(exchange: Any) -> None:
    await exchange.answer(b"secret", request_id=b"other")


async def _closes(exchange: Any) -> None:
    await exchange.stream.aclose()


async def _closes_in_head(exchange: Any) -> None:
    await exchange.stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-len")
    await exchange.stream.aclose()


async def _marks_no_end(exchange: Any) -> None:
    await exchange.stream.send_all(
        b"HTTP/1.1 200 OK\r\nturmerichall-request-id: %b\r\n\r\nhalf"
        % exchange.request_id
    )
    await exchange.stream.aclose()


async def _cuts_off(exchange: Any) -> None:
    await exchange.stream.send_all(
        b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n"
        b"turmerichall-request-id: %b\r\n\r\nhalf" % exchange.request_id
    )
    await exchange.stream.aclose()


async def _sends_garbage(exchange: Any) -> None:
    await exchange.stream.send_all(b"\x00\x01\x02\r\n\r\n")


async def _never_answers(exchange: Any) -> None:
    del exchange
    await trio.sleep_forever()


async def _fails(exchange: Any) -> None:
    await exchange.answer(b"", b"500 Error")


class TestOutcome:

    @pytest.mark.parametrize(
        ("script", "status", "outcome", "reason"),
        [
            (_refuses, 503, "not-run", "backend_server_refused"),
            (_refuses_another, 502, "unknown", "wrong_request_id"),
            (_answers_another, 502, "unknown", "wrong_request_id"),
            (_closes, 502, "unknown", "connection_lost"),
            (_closes_in_head, 502, "unknown", "connection_lost"),
            (_marks_no_end, 502, "unknown", "truncated"),
            (_sends_garbage, 502, "unknown", "connection_lost"),
            (_never_answers, 502, "unknown", "deadline"),
        ],
    )
    async def test_fault_gives_its_outcome_once(
        self, world: Any, script: Script, status: int, outcome: str, reason: str
    ) -> None:
        backend = await world.backend("w1", script)
        caller = await world.caller(backend, attempts=1)
        answer = await caller.send(
            turmerichall_request_id=request_id.make(),
            turmerichall_deadline_ms="300",
        )
        document = msgspec.json.decode(answer.content)
        assert (answer.status, document["reason"]) == (status, reason)
        assert document["outcome"] == outcome
        assert len(backend.request_ids) == 1
        application = caller.gateway.application
        await world.until(lambda: application.in_flight == 0)
        assert application.fleet.pools["w1"].in_flight == 0

    async def test_retry_after_of_a_refusal_is_passed_on(
        self, world: Any
    ) -> None:
        caller = await world.caller(await world.backend("w1", _refuses))
        answer = await caller.send(turmerichall_idempotent="true")
        assert dict(answer.headers)[b"retry-after"] == b"7"

    async def test_server_that_does_not_listen_is_not_run(
        self, world: Any
    ) -> None:
        backend = await world.backend("w1")
        backend.address = "127.0.0.1:1"
        caller = await world.caller(backend)
        answer = await caller.send(turmerichall_request_id=request_id.make())
        document = msgspec.json.decode(answer.content)
        assert document["outcome"] == "not-run"
        assert document["reason"] == "connect_failed"


class TestTruncatedBody:

    async def test_small_answer_cut_off_is_an_unknown_outcome(
        self, world: Any
    ) -> None:
        caller = await world.caller(await world.backend("w1", _cuts_off))
        answer = await caller.send(turmerichall_request_id=request_id.make())
        document = msgspec.json.decode(answer.content)
        assert (document["outcome"], document["reason"]) == (
            "unknown",
            "truncated",
        )

    async def test_idempotent_request_is_tried_again(self, world: Any) -> None:
        async def cuts_off_once(exchange: Any) -> None:
            if exchange.number:
                await exchange.answer(b"whole")
            else:
                await _cuts_off(exchange)

        caller = await world.caller(await world.backend("w1", cuts_off_once))
        answer = await caller.send(turmerichall_idempotent="true")
        assert (answer.status, answer.content) == (200, b"whole")

    @pytest.mark.parametrize(
        "head", [b"content-length: 100000", b"transfer-encoding: chunked"]
    )
    async def test_caller_sees_no_end(self, world: Any, head: bytes) -> None:
        async def breaks_off(exchange: Any) -> None:
            await exchange.stream.send_all(
                b"HTTP/1.1 200 OK\r\n%b\r\nturmerichall-request-id: %b\r\n\r\n"
                b"4\r\nhal" % (head, exchange.request_id)
            )
            await exchange.stream.aclose()

        backend = await world.backend("w1", breaks_off)
        caller = await world.caller(backend)
        with pytest.raises(httpcore.RemoteProtocolError):
            await caller.send(turmerichall_idempotent="true")


class TestConnectionReuse:

    @pytest.mark.parametrize("together", [True, False])
    async def test_an_answer_sent_twice_reaches_no_other_caller(
        self, world: Any, together: bool
    ) -> None:
        async def twice(exchange: Any) -> None:
            head = (
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n"
                b"turmerichall-request-id: %b\r\n\r\n%b"
                % (len(exchange.body), exchange.request_id, exchange.body)
            )
            if together:
                await exchange.stream.send_all(head + head)
            else:
                await exchange.stream.send_all(head)
                await exchange.stream.send_all(head)

        caller = await world.caller(await world.backend("w1", twice))
        for number in range(20):
            body = b"%d" % number
            answer = await caller.send(body, turmerichall_idempotent="true")
            assert answer.content == body

    async def test_a_left_answer_is_not_read_by_the_next(
        self, world: Any
    ) -> None:
        async def late(exchange: Any) -> None:
            if exchange.number == 0:
                await trio.sleep(0.2)
            await exchange.answer(exchange.body)

        caller = await world.caller(await world.backend("w1", late))
        first = await caller.send(
            b"first",
            turmerichall_idempotent="true",
            turmerichall_deadline_ms="50",
        )
        assert first.status == 502
        second = await caller.send(b"second", turmerichall_idempotent="true")
        assert second.content == b"second"


class TestRetry:

    async def test_idempotent_request_is_tried_elsewhere(
        self, world: Any
    ) -> None:
        bad = await world.backend("w1", _closes)
        good = await world.backend("w2")
        caller = await world.caller(bad, good, routing="round_robin")
        answers = [
            await caller.send(turmerichall_idempotent="true") for _ in range(8)
        ]
        assert [answer.status for answer in answers] == [200] * 8
        assert bad.request_ids

    async def test_request_that_may_have_run_is_never_told_not_run(
        self, world: Any
    ) -> None:
        first = await world.backend("w1", _closes)
        second = await world.backend("w2", _refuses)
        caller = await world.caller(
            first, second, routing="round_robin", attempts=2
        )
        for _ in range(4):
            answer = await caller.send(turmerichall_idempotent="true")
            document = msgspec.json.decode(answer.content)
            assert document["outcome"] == "unknown"

    async def test_retries_stay_within_the_budget(self, world: Any) -> None:
        backends = [await world.backend(f"w{n}", _fails) for n in range(3)]
        caller = await world.caller(*backends, retry_ratio=0.1)
        requests = 100
        for _ in range(requests):
            await caller.send(turmerichall_idempotent="true")
        sent = sum(len(backend.request_ids) for backend in backends)
        burst = 10
        assert sent <= requests + requests * 0.1 + burst
        count = caller.gateway.counters.count_of(
            "retries", "gateway", outcomes.RetryReason.SERVER_ERROR
        )
        assert count == sent - requests


class TestProbe:

    @pytest.mark.parametrize("script", [_fails, _closes, _answers_another])
    async def test_failed_probe_puts_the_next_one_off(
        self, world: Any, script: Script
    ) -> None:
        backend = await world.backend("w1", script)
        caller = await world.caller(backend, attempts=1)
        await caller.send(turmerichall_idempotent="true")
        health = caller.gateway.application.fleet.pools["w1"].health
        health.eject(trio.current_time() - 10.0)
        await caller.send(turmerichall_idempotent="true")
        assert (health.consecutive_ejections, health.probing) == (2, False)
        assert not health.may_probe(trio.current_time())

    async def test_probe_that_succeeds_brings_the_server_back(
        self, world: Any
    ) -> None:
        caller = await world.caller(await world.backend("w1"))
        await caller.send(turmerichall_idempotent="true")
        health = caller.gateway.application.fleet.pools["w1"].health
        health.eject(trio.current_time() - 10.0)
        answer = await caller.send(turmerichall_idempotent="true")
        assert (answer.status, health.ejected) == (200, False)


class TestCancelWave:

    async def test_callers_that_leave_free_what_they_held(
        self, world: Any
    ) -> None:
        async def until_closed(exchange: Any) -> None:
            backend.running.add(exchange.request_id)
            await exchange.stream.receive_some()

        backend = await world.backend("w1", until_closed)
        caller = await world.caller(backend)
        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(_send_idempotent, caller)
            await world.until(lambda: len(backend.request_ids) == 6)
            nursery.cancel_scope.cancel()
        application = caller.gateway.application
        await world.until(
            lambda: not application.in_flight and not backend.connections
        )
        assert application.fleet.pools["w1"].in_flight == 0
        assert application.dispatcher.admission.in_flight == 0


async def _send_idempotent(caller: Any) -> None:
    # Neither the deadline nor the watch ends it before the test gives up.
    await caller.send(
        turmerichall_idempotent="true", turmerichall_deadline_ms="60000"
    )
