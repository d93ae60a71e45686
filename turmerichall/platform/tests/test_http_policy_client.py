"""Contract tests of the HTTP client of the policy service."""

import json

import pytest
import trio

from turmerichall.http1 import message
from turmerichall.http1 import server
from turmerichall.platform import http_policy_client

STEP = ("5c0e7a21d94b36f8", 0, 1)


class FakePolicyService:
    """A policy service that gives the same response to every request."""

    def __init__(self, status: int, body: bytes):
        self.requests: list[message.Request] = []
        self._response = message.Response(status, body)

    async def handle(self, request: message.Request) -> message.Response:
        """Record the request and return the response."""
        self.requests.append(request)
        return self._response


async def ask(service: FakePolicyService) -> object:
    """Ask the service which of two workers may run a step."""
    http_server = server.Server(service.handle)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(http_server.run, "127.0.0.1:0")
        policy = http_policy_client.HttpPolicyClient(address)
        allowed = await policy.ask(STEP, ("i-1", "i-2"), 2.0)
        policy.close()
        nursery.cancel_scope.cancel()
    return allowed


class TestHttpPolicyClient:

    async def test_request_names_the_step_and_the_workers(self) -> None:
        service = FakePolicyService(200, b'{"allowed":[["i-2","t-9"]]}')
        assert await ask(service) == {"i-2": "t-9"}
        assert len(service.requests) == 1
        request = service.requests[0]
        assert (request.method, request.target) == ("POST", "/v1/advise")
        assert json.loads(request.body) == {
            "step": "5c0e7a21d94b36f8.0.1",
            "workers": ["i-1", "i-2"],
        }

    @pytest.mark.parametrize(
        ("status", "body", "allowed"),
        [
            (200, b'{"allowed":[]}', {}),
            (
                200,
                b'{"allowed":[["i-1"],7,["i-2",""],["i-1","t"]]}',
                {"i-1": "t"},
            ),
            (200, b'{"allowed":7}', None),
            (200, b"\xff", None),
            (429, b"", None),
            (503, b'{"allowed":[["i-1","t"]]}', None),
        ],
    )
    async def test_malformed_response_allows_no_worker(
        self, status: int, body: bytes, allowed: object
    ) -> None:
        assert await ask(FakePolicyService(status, body)) == allowed

    async def test_unreachable_service_gives_no_answer(self) -> None:
        policy = http_policy_client.HttpPolicyClient("127.0.0.1:9")
        assert await policy.ask(STEP, ("i-1",), 1.0) is None
