"""Tests of the gateway over HTTP, with small backend servers."""

from typing import Any

import httpcore
import msgspec
import pytest
import trio
import trio.testing

from turmerichall.gateway import request_id


class TestAnswer:

    async def test_backend_server_answers_through_the_gateway(
        self, world: Any
    ) -> None:
        backend = await world.backend("w1")
        caller = await world.caller(backend)
        answer = await caller.send(
            b"a body",
            turmerichall_request_id="r1",
            turmerichall_idempotent="true",
        )
        headers = dict(answer.headers)
        assert (answer.status, answer.content) == (200, b"a body")
        assert headers[b"turmerichall-outcome"] == b"ran"
        assert headers[b"turmerichall-request-id"] == b"r1"
        assert backend.request_ids == [b"r1"]


class TestStart:

    async def test_request_waits_until_servers_are_heard_of(
        self, world: Any
    ) -> None:
        backend = await world.backend("w1")
        caller = await world.caller()
        answers: list[Any] = []

        async def send() -> None:
            answers.append(await caller.send(turmerichall_idempotent="true"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            admission = caller.gateway.application.dispatcher.admission
            await world.until(lambda: admission.queued_count == 1)
            caller.gateway.hear(backend)
        assert answers[0].status == 200

    async def test_later_a_missing_server_is_told_at_once(
        self, world: Any
    ) -> None:
        caller = await world.caller()
        caller.gateway.application.fleet.discovery_ends_at = 0.0
        answer = await caller.send(turmerichall_idempotent="true")
        document = msgspec.json.decode(answer.content)
        assert document["reason"] == "no_backend_server"
        assert dict(answer.headers)[b"retry-after"] == b"1"


class TestRefusedHead:

    @pytest.mark.parametrize(
        ("path", "headers", "status", "reason"),
        [
            ("/v1/requests/x/s", {}, 404, "unknown_customer"),
            ("/v1/requests/c/x", {}, 404, "unknown_service"),
            ("/v1/requests/c", {}, 400, "malformed"),
            ("/v1/requests/c/s", {}, 400, "malformed"),
            (
                "/v1/requests/c/s",
                {"turmerichall_request_id": "not-a-uuid"},
                400,
                "malformed",
            ),
            (
                "/v1/requests/c/s",
                {
                    "turmerichall_request_id": "a b",
                    "turmerichall_idempotent": "true",
                },
                400,
                "malformed",
            ),
            (
                "/v1/requests/c/s",
                {"turmerichall_idempotent": "maybe"},
                400,
                "malformed",
            ),
            (
                "/v1/requests/c/s",
                {
                    "turmerichall_idempotent": "true",
                    "turmerichall_deadline_ms": "-1",
                },
                400,
                "malformed",
            ),
        ],
    )
    async def test_refusal_names_its_reason(
        self,
        world: Any,
        path: str,
        headers: dict[str, str],
        status: int,
        reason: str,
    ) -> None:
        backend = await world.backend("w1")
        caller = await world.caller(backend)
        answer = await caller.send(path=path, **headers)
        document = msgspec.json.decode(answer.content)
        assert (answer.status, document["reason"]) == (status, reason)
        assert document["outcome"] == "not-run"
        assert not backend.request_ids


class TestSlowCaller:

    async def test_caller_that_takes_nothing_is_cut_off(
        self, world: Any
    ) -> None:
        size = 50_000_000

        async def much(exchange: Any) -> None:
            head = (
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n"
                b"turmerichall-request-id: %b\r\n\r\n"
                % (size, exchange.request_id)
            )
            await exchange.stream.send_all(head)
            for _ in range(size // 50_000):
                await exchange.stream.send_all(bytes(50_000))

        backend = await world.backend("w1", much)
        caller = await world.caller(backend, caller_stall_seconds=0.3)
        host, port = caller.gateway.url.removeprefix("http://").split(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(
                b"POST /v1/requests/c/s HTTP/1.1\r\nhost: x\r\n"
                b"content-length: 0\r\nturmerichall-idempotent: true\r\n\r\n"
            )
            await stream.receive_some(1)
            application = caller.gateway.application
            await world.until(lambda: not application.in_flight)
            assert application.fleet.pools["w1"].in_flight == 0
        await world.until(lambda: not backend.connections)


class TestDrain:

    async def test_request_in_flight_is_finished_and_the_connection_closed(
        self, world: Any
    ) -> None:
        go_on = trio.Event()

        async def slow(exchange: Any) -> None:
            await go_on.wait()
            await exchange.answer(b"whole")

        backend = await world.backend("w1", slow)
        caller = await world.caller(backend)
        answers: list[Any] = []

        async def send() -> None:
            answers.append(await caller.send(turmerichall_idempotent="true"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await world.until(lambda: len(backend.request_ids) == 1)
            caller.gateway.application.drain()
            caller.gateway.stop.set()
            await trio.testing.wait_all_tasks_blocked(0.05)
            go_on.set()
        headers = dict(answers[0].headers)
        assert (answers[0].status, answers[0].content) == (200, b"whole")
        assert headers[b"connection"] == b"close"
        with pytest.raises(httpcore.ConnectError):
            await caller.send(turmerichall_idempotent="true")

    async def test_leaving_backend_server_gets_no_new_work(
        self, world: Any
    ) -> None:
        leaving = await world.backend("w1")
        staying = await world.backend("w2")
        caller = await world.caller(leaving, staying)
        for _ in range(10):
            await caller.send(turmerichall_idempotent="true")
        assert leaving.request_ids
        caller.gateway.hear(leaving, sequence=2, leaving=True)
        before = len(leaving.request_ids)
        for _ in range(10):
            answer = await caller.send(turmerichall_idempotent="true")
            assert answer.status == 200
        assert len(leaving.request_ids) == before
        await world.until(lambda: leaving.connections == 0)


class TestLimits:

    async def test_large_body_is_refused_and_the_rest_taken(
        self, world: Any
    ) -> None:
        caller = await world.caller(await world.backend("w1"), body_bytes=1000)
        answer = await caller.send(
            bytes(3_000_000), turmerichall_idempotent="true"
        )
        document = msgspec.json.decode(answer.content)
        assert (answer.status, document["reason"]) == (413, "too_large")

    @pytest.mark.parametrize(("connections", "most"), [(64, 8), (3, 3)])
    async def test_slots_and_connections_are_never_exceeded(
        self, world: Any, connections: int, most: int
    ) -> None:
        running = [0, 0]
        full = trio.Event()

        async def counts(exchange: Any) -> None:
            running[0] += 1
            running[1] = max(running)
            if running[0] == most:
                full.set()
            await full.wait()
            await trio.sleep(0.01)
            running[0] -= 1
            await exchange.answer(exchange.body)

        backend = await world.backend("w1", counts)
        caller = await world.caller(
            backend, queue_seconds=20.0, standing_queue_seconds=20.0
        )
        caller.gateway.hear(backend, sequence=2, connections=connections)
        statuses: list[int] = []

        async def send() -> None:
            answer = await caller.send(turmerichall_idempotent="true")
            statuses.append(answer.status)

        async with trio.open_nursery() as nursery:
            for _ in range(60):
                nursery.start_soon(send)
        # Slots are waited for; a connection above the limit is refused.
        expected = {200} if connections >= 8 else {200, 503}
        assert set(statuses) == expected
        assert running[1] == most
        assert backend.most_connections <= most


class TestSeveralInstances:

    async def test_busy_instance_borrows_and_the_sum_holds(
        self, world: Any
    ) -> None:
        go_on = trio.Event()

        async def holds(exchange: Any) -> None:
            await go_on.wait()
            await exchange.answer(exchange.body)

        backend = await world.backend("w1", holds)
        busy, idle = await world.callers(backend, "i1", "i2")
        statuses: list[int] = []

        async def send(caller: Any) -> None:
            answer = await caller.send(
                turmerichall_idempotent="true", turmerichall_deadline_ms="9000"
            )
            statuses.append(answer.status)

        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(send, busy)
            await world.until(lambda: len(backend.request_ids) == 6)
            for _ in range(4):
                nursery.start_soon(send, idle)
            await world.until(lambda: len(backend.request_ids) == 8)
            await world.until(lambda: len(statuses) == 2)
            assert len(backend.request_ids) == 8
            go_on.set()
        assert sorted(statuses) == [200] * 8 + [503] * 2
        assert busy.gateway.counters.event_count("slots_borrowed") >= 2

    async def test_resend_through_another_instance_runs_once(
        self, world: Any
    ) -> None:
        backend = await world.backend("w1")
        callers = await world.callers(backend, "i1", "i2", "i3")
        for _ in range(5):
            text = request_id.make()
            answers = [
                await caller.send(turmerichall_request_id=text)
                for caller in callers
            ]
            statuses = [answer.status for answer in answers]
            assert statuses == [200, 409, 409]
        assert len(backend.request_ids) == 5
