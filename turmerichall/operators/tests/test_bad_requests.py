"""Contract tests of invalid requests, which must not change anything."""

from typing import Any

import pytest
import trio
import trio.testing

from turmerichall import documents
from turmerichall import resources
from turmerichall.backend_servers import announcement as announcements
from turmerichall.operators import application
from turmerichall.operators.tests import in_process

ANNOUNCEMENT = documents.to_builtins(
    announcements.Announcement(
        "w1", 1, 1, "z1", "r1", "127.0.0.1:9", resources.Resources(8, 1000)
    )
)


@pytest.fixture(name="client")
def _client() -> in_process.Client:
    return in_process.Client()


class TestWorkers:

    async def test_announce(self, client: in_process.Client) -> None:
        path = "/v1/workers/announce"
        response = await client.call(
            "POST", path, ANNOUNCEMENT, in_process.WORKER
        )
        assert (response.status, response.document["epoch"]) == (200, 3)
        assert (
            documents.to_builtins(client.daemon.announcements[0])
            == ANNOUNCEMENT
        )

    @pytest.mark.parametrize(
        ("field", "value", "place"),
        [
            ("name", "a/b", "name"),
            ("address", "nowhere", "address"),
            ("sequence", -1, "sequence"),
            ("epoch", 2**50, "epoch"),
            ("epoch", 2**70, "body"),
            ("slots", "8", "body"),
            ("capacity", {"processors": -1}, "processors"),
            ("tasks", [{"task_id": "t"}], "body"),
            (
                "tasks",
                [{"task_id": "t" * 501, "attempt": 1, "state": "running"}],
                "tasks[0].task_id",
            ),
        ],
    )
    async def test_findings(
        self, client: in_process.Client, field: str, value: Any, place: str
    ) -> None:
        body = ANNOUNCEMENT | {field: value}
        response = await client.call(
            "POST", "/v1/workers/announce", body, in_process.WORKER
        )
        assert response.status == 400
        assert response.document["findings"][0]["place"] == place
        assert not client.daemon.announcements

    @pytest.mark.parametrize(
        ("changed", "place"),
        [
            ({"name": "a/b"}, "name"),
            ({"base": 2}, "base"),
            ({"base": -1}, "base"),
            ({"digest": 1}, "body"),
            ({"measured_seconds_ago": -1}, "measured_seconds_ago"),
            ({"tasks": [{"task_id": "t"}]}, "body"),
        ],
    )
    async def test_findings_of_an_update(
        self, client: in_process.Client, changed: dict[str, Any], place: str
    ) -> None:
        path = "/v1/workers/update"
        body = {"name": "w1", "sequence": 2, "base": 1, "digest": "0"}
        update_response = await client.call(
            "POST", path, body, in_process.WORKER
        )
        assert (update_response.status, update_response.document["whole"]) == (
            200,
            "unknown_base",
        )
        count = client.counters.count_of("retries", "operators", "unknown_base")
        assert count == 1
        response = await client.call(
            "POST", path, body | changed, in_process.WORKER
        )
        assert response.status == 400
        assert response.document["findings"][0]["place"] == place


class TestBadRequests:

    @pytest.mark.parametrize(
        ("method", "path", "body", "headers", "status", "error"),
        [
            ("GET", "/nothing", None, in_process.OPERATOR, 404, "unknown_name"),
            ("POST", "/v1/status", None, in_process.OPERATOR, 400, "malformed"),
            ("GET", "/v1/status", None, {}, 401, "unauthorized"),
            ("GET", "/v1/status", None, in_process.WORKER, 401, "unauthorized"),
            (
                "GET",
                "/v1/status",
                None,
                {"authorization": "Bearer é"},
                401,
                "unauthorized",
            ),
            (
                "POST",
                "/v1/workers/announce",
                {},
                in_process.OPERATOR,
                401,
                "unauthorized",
            ),
            (
                "PUT",
                "/v1/templates/r",
                b"{",
                in_process.OPERATOR,
                400,
                "malformed",
            ),
            (
                "PUT",
                "/v1/templates/r",
                b"\xff",
                in_process.OPERATOR,
                400,
                "malformed",
            ),
            (
                "PUT",
                "/v1/templates/r",
                [],
                in_process.OPERATOR,
                400,
                "malformed",
            ),
            (
                "PUT",
                "/v1/templates/r",
                {"x": 1},
                in_process.OPERATOR,
                400,
                "malformed",
            ),
            (
                "POST",
                "/v1/jobs",
                {"tasks": "1"},
                in_process.OPERATOR,
                400,
                "malformed",
            ),
            ("GET", "/v1/jobs/..", None, in_process.OPERATOR, 400, "malformed"),
            (
                "GET",
                "/v1/jobs/j",
                None,
                in_process.OPERATOR,
                404,
                "unknown_name",
            ),
            (
                "GET",
                "/v1/jobs/a b",
                None,
                in_process.OPERATOR,
                400,
                "malformed",
            ),
            (
                "GET",
                "/v1/jobs?fresh=1",
                None,
                in_process.OPERATOR,
                400,
                "malformed",
            ),
            (
                "GET",
                "/" + "p" * 3000,
                None,
                in_process.OPERATOR,
                413,
                "too_large",
            ),
            (
                "POST",
                "/v1/jobs",
                b"x" * 4001,
                in_process.OPERATOR,
                413,
                "too_large",
            ),
            (
                "GET",
                "/v1/status",
                None,
                in_process.OPERATOR | {"x": "y" * 20000},
                413,
                "too_large",
            ),
            (
                "GET",
                "/v1/status",
                None,
                in_process.OPERATOR | {f"x{n}": "" for n in range(70)},
                413,
                "too_large",
            ),
            (
                "POST",
                "/v1/jobs",
                {"customer": "c"},
                in_process.OPERATOR | {"turmerichall-operation-id": ""},
                400,
                "malformed",
            ),
        ],
    )
    async def test_typed_error(
        self,
        client: in_process.Client,
        method: str,
        path: str,
        body: Any,
        headers: dict[str, str],
        status: int,
        error: str,
    ) -> None:
        response = await client.call(method, path, body, headers)
        assert (response.status, response.document["error"]) == (status, error)
        assert response.document["outcome"] == "not run"
        assert not client.daemon.machine.applied_index
        count = client.counters.count_of("refusals", "operators", error)
        assert count == 1

    async def test_slow_sender(
        self, client: in_process.Client, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        response = await client.call(
            "POST", "/v1/jobs", b"{", body_never_ends=True
        )
        assert (response.status, response.document["error"]) == (408, "timeout")

    async def test_overload(self, client: in_process.Client) -> None:
        client.app.in_flight = application.MAX_REQUESTS_IN_FLIGHT
        response = await client.call("GET", "/v1/status")
        assert (response.status, response.headers["retry-after"]) == (503, "1")
        health = await client.call("GET", "/healthz")
        assert health.status == 200
