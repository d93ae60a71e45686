"""Contract tests of the calls to the service that knows policies."""

import json

import pytest
import trio

from turmerichall.http1 import message
from turmerichall.http1 import server
from turmerichall.platform import http_policy_client

STEP = ("5c0e7a21d94b36f8", 0, 1)


class Service:
    """A stand-in of the service with one answer for all calls."""

    def __init__(self, status: int, body: bytes):
        self.calls: list[message.Request] = []
        self._response = message.Response(status, body)

    async def answer(self, request: message.Request) -> message.Response:
        """Answers a call."""
        self.calls.append(request)
        return self._response


async def ask(service: Service) -> object:
    """Asks a service about one step and two workers."""
    served = server.Server(service.answer)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(served.run, "127.0.0.1:0")
        policy = http_policy_client.HttpPolicyClient(address)
        found = await policy.ask(STEP, ("i-1", "i-2"), 2.0)
        policy.close()
        nursery.cancel_scope.cancel()
    return found


class TestPolicy:

    async def test_names_the_step_and_the_workers(self) -> None:
        service = Service(200, b'{"allowed":[["i-2","t-9"]]}')
        assert await ask(service) == {"i-2": "t-9"}
        assert len(service.calls) == 1
        call = service.calls[0]
        assert (call.method, call.target) == ("POST", "/v1/advise")
        assert json.loads(call.body) == {
            "step": "5c0e7a21d94b36f8.0.1",
            "workers": ["i-1", "i-2"],
        }

    @pytest.mark.parametrize(
        ("status", "body", "found"),
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
    async def test_what_can_not_be_read_names_no_worker(
        self, status: int, body: bytes, found: object
    ) -> None:
        assert await ask(Service(status, body)) == found

    async def test_no_service_is_no_answer(self) -> None:
        policy = http_policy_client.HttpPolicyClient("127.0.0.1:9")
        assert await policy.ask(STEP, ("i-1",), 1.0) is None
