"""Tests of faults in one exchange, as the caller of a gateway sees them."""

from collections.abc import Awaitable, Callable
from typing import Any

import httpcore
import msgspec
import pytest
import trio

from turmerichall import outcomes
from turmerichall.gateway import request_id

Handler = Callable[[Any], Awaitable[None]]


async def _refuse(request: Any) -> None:
    await request.respond(
        b"", b"503 Full", b"turmerichall-not-run: true\r\nretry-after: 7\r\n"
    )


async def _refuse_another(request: Any) -> None:
    await request.respond(
        b"", b"503 Full", b"turmerichall-not-run: true\r\n", b"other"
    )


async def _answer_another(request: Any) -> None:
    await request.respond(b"secret", request_id=b"other")


async def _close(request: Any) -> None:
    await request.stream.aclose()


async def _close_in_head(request: Any) -> None:
    await request.stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-len")
    await request.stream.aclose()


async def _omit_length(request: Any) -> None:
    await request.stream.send_all(
        b"HTTP/1.1 200 OK\r\nturmerichall-request-id: %b\r\n\r\nhalf"
        % request.request_id
    )
    await request.stream.aclose()


async def _truncate(request: Any) -> None:
    await request.stream.send_all(
        b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n"
        b"turmerichall-request-id: %b\r\n\r\nhalf" % request.request_id
    )
    await request.stream.aclose()


async def _send_garbage(request: Any) -> None:
    await request.stream.send_all(b"\x00\x01\x02\r\n\r\n")


async def _never_respond(request: Any) -> None:
    del request
    await trio.sleep_forever()


async def _fail(request: Any) -> None:
    await request.respond(b"", b"500 Error")


class TestOutcome:

    @pytest.mark.parametrize(
        ("handler", "status", "outcome", "reason"),
        [
            (_refuse, 503, "not-run", "backend_server_refused"),
            (_refuse_another, 502, "unknown", "wrong_request_id"),
            (_answer_another, 502, "unknown", "wrong_request_id"),
            (_close, 502, "unknown", "connection_lost"),
            (_close_in_head, 502, "unknown", "connection_lost"),
            (_omit_length, 502, "unknown", "truncated"),
            (_send_garbage, 502, "unknown", "connection_lost"),
            (_never_respond, 502, "unknown", "deadline"),
        ],
    )
    async def test_fault_leads_to_its_outcome(
        self,
        testbed: Any,
        handler: Handler,
        status: int,
        outcome: str,
        reason: str,
    ) -> None:
        backend = await testbed.backend("w1", handler)
        caller = await testbed.caller(backend, attempts=1)
        response = await caller.send(
            turmerichall_request_id=request_id.make(),
            turmerichall_deadline_ms="300",
        )
        document = msgspec.json.decode(response.content)
        assert (response.status, document["reason"]) == (status, reason)
        assert document["outcome"] == outcome
        assert len(backend.request_ids) == 1
        application = caller.gateway.application
        await testbed.wait_until(lambda: application.in_flight == 0)
        assert application.fleet.pools["w1"].in_flight == 0

    async def test_retry_after_of_a_refusal_is_forwarded(
        self, testbed: Any
    ) -> None:
        caller = await testbed.caller(await testbed.backend("w1", _refuse))
        response = await caller.send(turmerichall_idempotent="true")
        assert dict(response.headers)[b"retry-after"] == b"7"

    async def test_request_to_a_server_that_does_not_listen_is_not_run(
        self, testbed: Any
    ) -> None:
        backend = await testbed.backend("w1")
        backend.address = "127.0.0.1:1"
        caller = await testbed.caller(backend)
        response = await caller.send(turmerichall_request_id=request_id.make())
        document = msgspec.json.decode(response.content)
        assert document["outcome"] == "not-run"
        assert document["reason"] == "connect_failed"


class TestTruncatedBody:

    async def test_truncated_small_response_is_an_unknown_outcome(
        self, testbed: Any
    ) -> None:
        caller = await testbed.caller(await testbed.backend("w1", _truncate))
        response = await caller.send(turmerichall_request_id=request_id.make())
        document = msgspec.json.decode(response.content)
        assert (document["outcome"], document["reason"]) == (
            "unknown",
            "truncated",
        )

    async def test_idempotent_request_is_retried(self, testbed: Any) -> None:
        async def truncate_once(request: Any) -> None:
            if request.number:
                await request.respond(b"whole")
            else:
                await _truncate(request)

        caller = await testbed.caller(
            await testbed.backend("w1", truncate_once)
        )
        response = await caller.send(turmerichall_idempotent="true")
        assert (response.status, response.content) == (200, b"whole")

    @pytest.mark.parametrize(
        "head", [b"content-length: 100000", b"transfer-encoding: chunked"]
    )
    async def test_truncated_response_has_no_end_for_the_caller(
        self, testbed: Any, head: bytes
    ) -> None:
        async def truncate(request: Any) -> None:
            await request.stream.send_all(
                b"HTTP/1.1 200 OK\r\n%b\r\nturmerichall-request-id: %b\r\n\r\n"
                b"4\r\nhal" % (head, request.request_id)
            )
            await request.stream.aclose()

        backend = await testbed.backend("w1", truncate)
        caller = await testbed.caller(backend)
        with pytest.raises(httpcore.RemoteProtocolError):
            await caller.send(turmerichall_idempotent="true")


class TestConnectionReuse:

    @pytest.mark.parametrize("in_one_segment", [True, False])
    async def test_response_sent_twice_reaches_no_other_caller(
        self, testbed: Any, in_one_segment: bool
    ) -> None:
        async def respond_twice(request: Any) -> None:
            head = (
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n"
                b"turmerichall-request-id: %b\r\n\r\n%b"
                % (len(request.body), request.request_id, request.body)
            )
            if in_one_segment:
                await request.stream.send_all(head + head)
            else:
                await request.stream.send_all(head)
                await request.stream.send_all(head)

        caller = await testbed.caller(
            await testbed.backend("w1", respond_twice)
        )
        for number in range(20):
            body = b"%d" % number
            response = await caller.send(body, turmerichall_idempotent="true")
            assert response.content == body

    async def test_late_response_is_not_read_by_the_next_request(
        self, testbed: Any
    ) -> None:
        async def respond_late_once(request: Any) -> None:
            if request.number == 0:
                await trio.sleep(0.2)
            await request.respond(request.body)

        caller = await testbed.caller(
            await testbed.backend("w1", respond_late_once)
        )
        first = await caller.send(
            b"first",
            turmerichall_idempotent="true",
            turmerichall_deadline_ms="50",
        )
        assert first.status == 502
        second = await caller.send(b"second", turmerichall_idempotent="true")
        assert second.content == b"second"


class TestRetry:

    async def test_idempotent_request_is_retried_on_another_server(
        self, testbed: Any
    ) -> None:
        bad = await testbed.backend("w1", _close)
        good = await testbed.backend("w2")
        caller = await testbed.caller(bad, good, routing="round_robin")
        responses = [
            await caller.send(turmerichall_idempotent="true") for _ in range(8)
        ]
        assert [response.status for response in responses] == [200] * 8
        assert bad.request_ids

    async def test_request_that_may_have_run_is_never_reported_as_not_run(
        self, testbed: Any
    ) -> None:
        first = await testbed.backend("w1", _close)
        second = await testbed.backend("w2", _refuse)
        caller = await testbed.caller(
            first, second, routing="round_robin", attempts=2
        )
        for _ in range(4):
            response = await caller.send(turmerichall_idempotent="true")
            document = msgspec.json.decode(response.content)
            assert document["outcome"] == "unknown"

    async def test_retries_stay_within_the_budget(self, testbed: Any) -> None:
        backends = [await testbed.backend(f"w{n}", _fail) for n in range(3)]
        caller = await testbed.caller(*backends, retry_ratio=0.1)
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

    @pytest.mark.parametrize("handler", [_fail, _close, _answer_another])
    async def test_failed_probe_delays_the_next_one(
        self, testbed: Any, handler: Handler
    ) -> None:
        backend = await testbed.backend("w1", handler)
        caller = await testbed.caller(backend, attempts=1)
        await caller.send(turmerichall_idempotent="true")
        health = caller.gateway.application.fleet.pools["w1"].health
        health.eject(trio.current_time() - 10.0)
        await caller.send(turmerichall_idempotent="true")
        assert (health.consecutive_ejections, health.probing) == (2, False)
        assert not health.may_probe(trio.current_time())

    async def test_successful_probe_readmits_the_server(
        self, testbed: Any
    ) -> None:
        caller = await testbed.caller(await testbed.backend("w1"))
        await caller.send(turmerichall_idempotent="true")
        health = caller.gateway.application.fleet.pools["w1"].health
        health.eject(trio.current_time() - 10.0)
        response = await caller.send(turmerichall_idempotent="true")
        assert (response.status, health.ejected) == (200, False)


class TestDisconnect:

    async def test_disconnected_callers_release_slots_and_connections(
        self, testbed: Any
    ) -> None:
        async def run_until_closed(request: Any) -> None:
            backend.running_ids.add(request.request_id)
            await request.stream.receive_some()

        backend = await testbed.backend("w1", run_until_closed)
        caller = await testbed.caller(backend)
        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(_send_idempotent, caller)
            await testbed.wait_until(lambda: len(backend.request_ids) == 6)
            nursery.cancel_scope.cancel()
        application = caller.gateway.application
        await testbed.wait_until(
            lambda: not application.in_flight and not backend.connections
        )
        assert application.fleet.pools["w1"].in_flight == 0
        assert application.dispatcher.admission.in_flight == 0


async def _send_idempotent(caller: Any) -> None:
    # Neither the deadline nor the maintenance aborts it during the test.
    await caller.send(
        turmerichall_idempotent="true", turmerichall_deadline_ms="60000"
    )
