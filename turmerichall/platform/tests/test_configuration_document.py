"""Tests that the server refuses what it refused, and logs the rest."""

import json
from typing import Any

import pytest
import trio.testing

from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.http1 import message
from turmerichall.platform import control_requests

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

ROUTE = {"host": "a.example", "path_prefix": "/a/", "service": "desk"}
OTHER = {**ROUTE, "path_prefix": "/b/"}
DOCUMENT: dict[str, Any] = {
    "version": 9,
    "routes": [ROUTE, OTHER],
    "services": [{"name": "desk"}],
}
WARNING = "configuration accepted with warnings"


def _with_route(**fields: object) -> dict[str, Any]:
    return {"routes": [ROUTE, {**OTHER, **fields}]}


class TestVerdict:

    @pytest.mark.parametrize(
        ("change", "refused_at"),
        [
            ({"version": True}, "version"),
            ({"version": 9.0}, "version"),
            ({"limits": []}, "limits"),
            ({"limits": None}, None),
            ({"services": [{"name": 7}]}, "services[0].name"),
            (_with_route(host=7), "routes[1]"),
            (_with_route(path_prefix="b/"), "routes[1]"),
            (_with_route(path_prefix="/a/", host="A.EXAMPLE"), "routes[1]"),
            (_with_route(service="Desk"), "routes[1].service"),
            (_with_route(timeout_ms=-1), "routes[1].timeout_ms"),
            ({"routes": [7, _with_route()["routes"][0]]}, "routes[0]"),
            # These raised an exception instead of a refusal.
            (_with_route(stretch=10**400), "configuration"),
            ({"version": 2**64}, "configuration"),
            # Only warnings.
            (_with_route(timeout_ms="x", stretch="x", priority=None), None),
            (_with_route(path_prefix="/?", timeout_ms=1), None),
            (_with_route(max_attempts=99, host="A.example:1"), None),
            ({"routes": []}, None),
            ({"services": [{"name": "desk"}, {"name": "desk"}]}, None),
            ({"limits": {"max_body_bytes": -1, "idle_timeout_ms": 0}}, None),
        ],
    )
    async def test_server_refuses_only_errors(
        self,
        change: dict[str, Any],
        refused_at: str | None,
        mocked_clocks: trio.testing.MockClock,
    ) -> None:
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))
        body = json.dumps({**DOCUMENT, **change}).encode()

        async def script() -> None:
            request = message.Request("POST", "/v1/config/replace", {}, body)
            answer = await control_requests.handle(
                cluster.leader_api, request, "10.0.0.1:80", cluster.log
            )
            assert isinstance(answer, message.Response)
            if refused_at is None:
                assert answer.status == 200
                assert cluster.queue_state.configuration.version == 9
            else:
                assert answer.status == 400
                reasons = json.loads(answer.body)["error"]
                assert reasons[0].startswith(f"{refused_at}: ")

        await test_leadership.run_script(cluster, script)

    async def test_warnings_are_bounded_and_logged_once(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))
        routes = [
            {**ROUTE, "path_prefix": f"/{number}?" + "x" * 5000}
            for number in range(100)
        ]
        body = json.dumps({**DOCUMENT, "routes": routes}).encode()

        async def script() -> None:
            request = message.Request("POST", "/v1/config/replace", {}, body)
            for _ in range(2):
                await control_requests.handle(
                    cluster.leader_api, request, "10.0.0.1:80", cluster.log
                )
            logged = dict(cluster.log.lines)
            assert [line[0] for line in cluster.log.lines].count(WARNING) == 1
            assert logged[WARNING]["warnings"] == 100
            assert 100 < len(str(logged[WARNING]["findings"])) < 2000

        await test_leadership.run_script(cluster, script)
