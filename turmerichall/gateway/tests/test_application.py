"""Tests of the gateway over HTTP, with small backend servers."""

from typing import Any

import msgspec
import pytest


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
