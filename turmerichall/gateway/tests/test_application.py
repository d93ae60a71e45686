"""Tests of the gateway over HTTP, with fake backend servers."""

from typing import Any

import httpcore
import msgspec
import pytest
import trio
import trio.testing

from turmerichall.gateway import request_id


class TestAnswer:

    async def test_backend_server_answers_through_the_gateway(
        self, testbed: Any
    ) -> None:
        backend = await testbed.backend("w1")
        caller = await testbed.caller(backend)
        response = await caller.send(
            b"a body",
            turmerichall_request_id="r1",
            turmerichall_idempotent="true",
        )
        headers = dict(response.headers)
        assert (response.status, response.content) == (200, b"a body")
        assert headers[b"turmerichall-outcome"] == b"ran"
        assert headers[b"turmerichall-request-id"] == b"r1"
        assert backend.request_ids == [b"r1"]


class TestStart:

    async def test_request_waits_until_a_server_is_announced(
        self, testbed: Any
    ) -> None:
        backend = await testbed.backend("w1")
        caller = await testbed.caller()
        responses: list[Any] = []

        async def send() -> None:
            responses.append(await caller.send(turmerichall_idempotent="true"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            admission = caller.gateway.application.dispatcher.admission
            await testbed.wait_until(lambda: admission.queued_count == 1)
            caller.gateway.receive_announcement(backend)
        assert responses[0].status == 200

    async def test_missing_server_is_reported_at_once_later(
        self, testbed: Any
    ) -> None:
        caller = await testbed.caller()
        caller.gateway.application.fleet.discovery_ends_at = 0.0
        response = await caller.send(turmerichall_idempotent="true")
        document = msgspec.json.decode(response.content)
        assert document["reason"] == "no_backend_server"
        assert dict(response.headers)[b"retry-after"] == b"1"


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
    async def test_refusal_states_its_reason(
        self,
        testbed: Any,
        path: str,
        headers: dict[str, str],
        status: int,
        reason: str,
    ) -> None:
        backend = await testbed.backend("w1")
        caller = await testbed.caller(backend)
        response = await caller.send(path=path, **headers)
        document = msgspec.json.decode(response.content)
        assert (response.status, document["reason"]) == (status, reason)
        assert document["outcome"] == "not-run"
        assert not backend.request_ids


class TestSlowCaller:

    async def test_caller_that_does_not_read_is_disconnected(
        self, testbed: Any
    ) -> None:
        size = 50_000_000

        async def respond_at_length(request: Any) -> None:
            head = (
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n"
                b"turmerichall-request-id: %b\r\n\r\n"
                % (size, request.request_id)
            )
            await request.stream.send_all(head)
            for _ in range(size // 50_000):
                await request.stream.send_all(bytes(50_000))

        backend = await testbed.backend("w1", respond_at_length)
        caller = await testbed.caller(backend, caller_stall_seconds=0.3)
        host, port = caller.gateway.url.removeprefix("http://").split(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(
                b"POST /v1/requests/c/s HTTP/1.1\r\nhost: x\r\n"
                b"content-length: 0\r\nturmerichall-idempotent: true\r\n\r\n"
            )
            await stream.receive_some(1)
            application = caller.gateway.application
            await testbed.wait_until(lambda: not application.in_flight)
            assert application.fleet.pools["w1"].in_flight == 0
        await testbed.wait_until(lambda: not backend.connections)


class TestDrain:

    async def test_request_in_flight_is_finished_and_the_connection_closed(
        self, testbed: Any
    ) -> None:
        may_finish = trio.Event()

        async def respond_slowly(request: Any) -> None:
            await may_finish.wait()
            await request.respond(b"whole")

        backend = await testbed.backend("w1", respond_slowly)
        caller = await testbed.caller(backend)
        responses: list[Any] = []

        async def send() -> None:
            responses.append(await caller.send(turmerichall_idempotent="true"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await testbed.wait_until(lambda: len(backend.request_ids) == 1)
            caller.gateway.application.drain()
            caller.gateway.stop.set()
            await trio.testing.wait_all_tasks_blocked(0.05)
            may_finish.set()
        headers = dict(responses[0].headers)
        assert (responses[0].status, responses[0].content) == (200, b"whole")
        assert headers[b"connection"] == b"close"
        with pytest.raises(httpcore.ConnectError):
            await caller.send(turmerichall_idempotent="true")

    async def test_leaving_backend_server_gets_no_new_work(
        self, testbed: Any
    ) -> None:
        leaving = await testbed.backend("w1")
        staying = await testbed.backend("w2")
        caller = await testbed.caller(leaving, staying)
        for _ in range(10):
            await caller.send(turmerichall_idempotent="true")
        assert leaving.request_ids
        caller.gateway.receive_announcement(leaving, sequence=2, leaving=True)
        count = len(leaving.request_ids)
        for _ in range(10):
            response = await caller.send(turmerichall_idempotent="true")
            assert response.status == 200
        assert len(leaving.request_ids) == count
        await testbed.wait_until(lambda: leaving.connections == 0)


class TestLimits:

    async def test_large_body_is_refused_after_reading_it(
        self, testbed: Any
    ) -> None:
        caller = await testbed.caller(
            await testbed.backend("w1"), body_bytes=1000
        )
        response = await caller.send(
            bytes(3_000_000), turmerichall_idempotent="true"
        )
        document = msgspec.json.decode(response.content)
        assert (response.status, document["reason"]) == (413, "too_large")

    @pytest.mark.parametrize(("connections", "max_running"), [(64, 8), (3, 3)])
    async def test_slots_and_connections_stay_within_the_limits(
        self, testbed: Any, connections: int, max_running: int
    ) -> None:
        running = [0, 0]
        full = trio.Event()

        async def count_and_wait(request: Any) -> None:
            running[0] += 1
            running[1] = max(running)
            if running[0] == max_running:
                full.set()
            await full.wait()
            await trio.sleep(0.01)
            running[0] -= 1
            await request.respond(request.body)

        backend = await testbed.backend("w1", count_and_wait)
        caller = await testbed.caller(
            backend, queue_seconds=20.0, standing_queue_seconds=20.0
        )
        caller.gateway.receive_announcement(
            backend, sequence=2, connections=connections
        )
        statuses: list[int] = []

        async def send() -> None:
            response = await caller.send(turmerichall_idempotent="true")
            statuses.append(response.status)

        async with trio.open_nursery() as nursery:
            for _ in range(60):
                nursery.start_soon(send)
        # Requests wait for slots, but not for connections: above the limit of
        # connections they are refused.
        expected = {200} if connections >= 8 else {200, 503}
        assert set(statuses) == expected
        assert running[1] == max_running
        assert backend.peak_connections <= max_running


class TestSeveralInstances:

    async def test_busy_instance_borrows_within_the_limit(
        self, testbed: Any
    ) -> None:
        may_finish = trio.Event()

        async def hold(request: Any) -> None:
            await may_finish.wait()
            await request.respond(request.body)

        backend = await testbed.backend("w1", hold)
        busy, idle = await testbed.callers(backend, "i1", "i2")
        statuses: list[int] = []

        async def send(caller: Any) -> None:
            response = await caller.send(
                turmerichall_idempotent="true", turmerichall_deadline_ms="9000"
            )
            statuses.append(response.status)

        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(send, busy)
            await testbed.wait_until(lambda: len(backend.request_ids) == 6)
            for _ in range(4):
                nursery.start_soon(send, idle)
            await testbed.wait_until(lambda: len(backend.request_ids) == 8)
            await testbed.wait_until(lambda: len(statuses) == 2)
            assert len(backend.request_ids) == 8
            may_finish.set()
        assert sorted(statuses) == [200] * 8 + [503] * 2
        assert busy.gateway.counters.event_count("slots_borrowed") >= 2

    async def test_request_resent_through_other_instances_runs_once(
        self, testbed: Any
    ) -> None:
        backend = await testbed.backend("w1")
        callers = await testbed.callers(backend, "i1", "i2", "i3")
        for _ in range(5):
            sent_id = request_id.make()
            responses = [
                await caller.send(turmerichall_request_id=sent_id)
                for caller in callers
            ]
            statuses = [response.status for response in responses]
            assert statuses == [200, 409, 409]
        assert len(backend.request_ids) == 5
