"""Contract tests of the platform's wire formats."""

import contextlib
from collections.abc import AsyncIterator
import json
from typing import Any

import pytest
import trio

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.http1 import message
from turmerichall.http1 import server
from turmerichall.platform import client_requests
from turmerichall.platform import configuration_document
from turmerichall.platform import control_requests
from turmerichall.platform import http_worker_client
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

TASK = changes.TaskName("5c0e7a21d94b36f8", 0, 1, 17)

HEARTBEAT: dict[str, Any] = {
    "service": "desk",
    "address": "10.128.0.9:8080",
    "zone": "hall",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "seq": 4,
}
ROUTE: dict[str, Any] = {
    "name": "r-1",
    "host": "a.example",
    "path_prefix": "/jobs/",
    "kind": "non_idempotent",
    "timeout_ms": 3000,
    "target_latency_ms": 250,
    "priority": 0,
    "service": "desk",
    "max_attempts": 2,
    "stretch": 1.5,
}
CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "desk", "rejects_overload": True}],
    "limits": {"max_body_bytes": 1000, "idle_timeout_ms": 15000},
}


def encoded(value: object) -> bytes:
    return json.dumps(value).encode()


class FakeWorkerServer:
    """A worker that records orders and gives the response that a test sets."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, dict[str, Any], dict[str, str]]] = []
        self.status = 200
        self.body: object = {"clock_ms": 482113}

    async def handle(self, request: message.Request) -> message.Response:
        body = json.loads(request.body)
        self.requests.append((request.target, body, request.headers))
        return message.Response(self.status, encoded(self.body))


@contextlib.asynccontextmanager
async def _worker_client() -> (
    AsyncIterator[tuple[FakeWorkerServer, http_worker_client.HttpWorkerClient]]
):
    stub = FakeWorkerServer()
    http_server = server.Server(stub.handle)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(http_server.run, "127.0.0.1:0")
        record = fakes.FakeWorker("i-7f").record
        worker = http_worker_client.HttpWorkerClient(
            record._replace(address=address)
        )
        yield stub, worker
        worker.close()
        nursery.cancel_scope.cancel()


class TestOrders:

    async def test_start_order_matches_the_published_format(self) -> None:
        async with _worker_client() as (stub, worker):
            order = worker_client.Order(TASK, 2, "(text)", "0bb8")
            result = await worker.start(order, 7, 486000)
        assert result == worker_client.OrderResult(
            worker_client.Verdict.DONE, 482113
        )
        target, body, headers = stub.requests[0]
        assert target == "/v1/run-start"
        assert headers["expect-instance"] == "i-7f"
        assert body == {
            "task": "5c0e7a21d94b36f8.0.1.17",
            "run": 2,
            "spec": "(text)",
            "deadline_ms": 486000,
            "fencing_token": 7,
            "checkpoint": "0bb8",
        }

    @pytest.mark.parametrize(
        ("status", "reason", "verdict"),
        [
            (409, "fence", worker_client.Verdict.FENCED),
            (409, "old", worker_client.Verdict.OUTDATED),
            (409, "late", worker_client.Verdict.LATE),
            (409, "room", worker_client.Verdict.NO_ROOM),
            (409, "ticket", worker_client.Verdict.NO_TICKET),
            (409, "unheard of", worker_client.Verdict.UNANSWERED),
            (400, "", worker_client.Verdict.MALFORMED),
            (421, "", worker_client.Verdict.REPLACED),
            (429, "", worker_client.Verdict.UNWELL),
            (503, "", worker_client.Verdict.UNWELL),
            (500, "", worker_client.Verdict.UNANSWERED),
        ],
    )
    async def test_each_refusal_maps_to_its_verdict(
        self, status: int, reason: str, verdict: worker_client.Verdict
    ) -> None:
        async with _worker_client() as (stub, worker):
            stub.status = status
            stub.body = {"clock_ms": 1, "reason": reason}
            result = await worker.start(worker_client.Order(TASK, 1), 7, 9)
        assert result.verdict == verdict

    @pytest.mark.parametrize("resent", [False, True])
    @pytest.mark.parametrize("status", [200, 409, 429, 503])
    async def test_order_says_whether_an_earlier_try_may_be_pending(
        self, monkeypatch: pytest.MonkeyPatch, status: int, resent: bool
    ) -> None:
        record = fakes.FakeWorker("i-7f").record
        worker = http_worker_client.HttpWorkerClient(record)

        async def call(*_: object) -> message.Response:
            body = b'{"clock_ms":7,"reason":"room"}'
            return message.Response(status, body, resent=resent)

        monkeypatch.setattr(worker.client, "call", call)
        result = await worker.start(worker_client.Order(TASK, 1), 1, 9)
        assert result.may_be_pending == resent

    async def test_poll_tolerates_malformed_rows(self) -> None:
        async with _worker_client() as (stub, worker):
            stub.body = {
                "clock_ms": 482113,
                "running": [
                    ["5c0e7a21d94b36f8.0.1.17", 2, "0bb8", 41, 12],
                    ["not a task", 1, "", 0],
                    "no row",
                ],
                "ended_runs": [
                    [58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""],
                    [59, "5c0e7a21d94b36f8.0.1.8", 1, "vanished", ""],
                    7,
                ],
            }
            status = await worker.poll(7, 57, 486000, 20)
        assert isinstance(status, worker_client.WorkerStatus)
        assert status.running[0] == worker_client.RunningTask(
            TASK, "5c0e7a21d94b36f8.0.1.17", 2, "0bb8", 41, 12
        )
        assert status.running[1].task is None
        assert [end.sequence for end in status.ends] == [58, 59]
        ended = status.ends[0].ended
        assert ended is not None and ended.ending == changes.Ending.DONE
        assert status.ends[1].ended is None
        assert stub.requests[0][1] == {
            "fencing_token": 7,
            "acked_through": 57,
            "deadline_ms": 486000,
            "wait_ms": 20,
        }

    async def test_a_malformed_row_changes_nothing_about_the_others(
        self,
    ) -> None:
        """An answer of the published form is decoded by another decoder."""
        running: list[Any] = [
            ["5c0e7a21d94b36f8.0.1.17", 2, "0bb8", 41, 12],
            ["5c0e.0.1", 1, "", 0, 0],
        ]
        ended: list[Any] = [
            [0, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""],
            [58, "5c0e7a21d94b36f8.0.1.9", 1, "failed", "0c"],
            [59, "5c0e.0.1", 1, "done", ""],
            [60, "5c0e7a21d94b36f8.0.1.8", 1, "vanished", ""],
        ]
        answers = []
        async with _worker_client() as (stub, worker):
            for extra in ([], [], ["no row"]):
                stub.body = {
                    "clock_ms": 482113,
                    "running": running + extra,
                    "ended_runs": ended + extra,
                    "more": {},
                }
                answers.append(await worker.poll(7, 57, 486000, 20))
        assert isinstance(answers[0], worker_client.WorkerStatus)
        assert [end.sequence for end in answers[0].ends] == [58, 59, 60]
        assert answers[0] == answers[1] == answers[2]

    async def test_malformed_poll_response_is_a_failure(self) -> None:
        async with _worker_client() as (stub, worker):
            stub.body = ["nothing"]
            status = await worker.poll(7, 0, None, 0)
        assert isinstance(status, worker_client.PollFailure)


class TestHeartbeats:

    def test_valid_heartbeat_is_decoded(self) -> None:
        heartbeat = control_requests.heartbeat_from_wire(
            "i-7f", encoded(HEARTBEAT)
        )
        assert isinstance(heartbeat, worker_client.Heartbeat)
        assert heartbeat.worker.rack == "r1-3"
        assert heartbeat.worker.cpu == 16000
        assert not heartbeat.draining

    @pytest.mark.parametrize(
        "change",
        [
            {"address": 7},
            {"address": "nowhere"},
            {"service": None},
            {"state": "dancing"},
            {"capacity": "large"},
            {"capacity": {"mem_mb": 32768}},
            {"capacity": {"cpu": "16000", "mem_mb": 32768}},
            {"capacity": {"cpu": 16000, "mem_mb": -1}},
        ],
    )
    def test_invalid_field_is_rejected(self, change: dict[str, Any]) -> None:
        body = encoded({**HEARTBEAT, **change})
        heartbeat = control_requests.heartbeat_from_wire("i-7f", body)
        assert isinstance(heartbeat, errors.Finding)

    @pytest.mark.parametrize("body", [b"", b"\xff", b"[]", b'{"state"'])
    def test_malformed_json_is_rejected(self, body: bytes) -> None:
        heartbeat = control_requests.heartbeat_from_wire("i-7f", body)
        assert isinstance(heartbeat, errors.Finding)

    def test_missing_optional_fields_get_defaults(self) -> None:
        required = {
            key: HEARTBEAT[key]
            for key in ("service", "address", "state", "capacity")
        }
        heartbeat = control_requests.heartbeat_from_wire(
            "i-7f", encoded(required)
        )
        assert isinstance(heartbeat, worker_client.Heartbeat)
        assert heartbeat.clock_ms == -1


class TestConfigurations:

    def test_valid_configuration_is_decoded(self) -> None:
        document = configuration_document.decode(encoded(CONFIGURATION))
        assert not document.errors
        configuration = document.configuration
        assert configuration.version == 7
        assert configuration.queues[0].key == "a.example/jobs/"
        assert configuration.limits.body_bytes == 1000

    @pytest.mark.parametrize(
        "change",
        [
            {"version": "7"},
            {"routes": None},
            {"routes": [ROUTE, ROUTE]},
            {"routes": [{**ROUTE, "service": "other"}]},
            {"routes": [{**ROUTE, "timeout_ms": 0}]},
            {"routes": [{**ROUTE, "host": ""}]},
            {"routes": ["r"]},
            {"services": {}},
            {"limits": 7},
        ],
    )
    def test_invalid_configuration_is_rejected_with_findings(
        self, change: dict[str, Any]
    ) -> None:
        body = encoded({**CONFIGURATION, **change})
        assert configuration_document.decode(body).errors

    def test_truncated_document_is_rejected(self) -> None:
        body = encoded(CONFIGURATION)[:-9]
        assert configuration_document.decode(body).errors


class TestJobs:

    def test_valid_job_is_decoded(self) -> None:
        body = encoded(
            {
                "spec": "(text)",
                "steps": [
                    {"count": 4, "cpu": 500, "mem_mb": 256},
                    {
                        "count": 20,
                        "after": [0],
                        "checkpoints": True,
                        "long_running": True,
                        "may_miss": 0,
                    },
                ],
                "repeat_count": 3,
                "start_at_ms": 1000,
                "interval_ms": 50,
            }
        )
        demand = client_requests.demand_from_wire(body)
        assert isinstance(demand, demands.JobDemand)
        assert demand.steps[0].max_unavailable == -1
        assert demand.steps[1].lasting and demand.steps[1].max_unavailable == 0
        assert demand.schedule is not None
        assert demand.schedule.due_at_ms(2) == 1100

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"{}",
            b'{"steps":[]}',
            b'{"steps":[{"count":0}]}',
            b'{"steps":[{"count":1,"after":[0]}]}',
            b'{"steps":[{"count":1}],"spec":"' + b"x" * 5000 + b'"}',
            # These raised in the handler, and no answer was sent.
            b'{"steps":[{"count":1}],"x":' + b"[" * 100_000,
            b'{"steps":[{"count":1}],"spec":"\xff"}',
            b'{"steps":[{"count":1,"cpu":99999999999999999999}]}',
            b'{"steps":[{"count":1,"target_ms":1e300}]}',
            b'{"steps":[{"count":1}],"interval_ms":99999999999999999999}',
        ],
    )
    def test_invalid_job_is_rejected(self, body: bytes) -> None:
        result = client_requests.demand_from_wire(body)
        assert isinstance(result, errors.Finding)

    @pytest.mark.parametrize(
        ("failed", "status"),
        [
            (outcomes.Unknown(outcomes.UnknownReason.LEADER_LOST), 504),
            (outcomes.Refusal(outcomes.RefusalReason.NO_QUORUM), 503),
            (outcomes.Refusal(outcomes.RefusalReason.UNKNOWN_SERVICE), 404),
            (outcomes.Refusal(outcomes.RefusalReason.UNKNOWN_NAME), 410),
            (outcomes.Refusal(outcomes.RefusalReason.DEADLINE), 429),
        ],
    )
    def test_unknown_outcome_is_never_reported_as_a_refusal(
        self, failed: outcomes.Refusal | outcomes.Unknown, status: int
    ) -> None:
        assert client_requests.failure_response(failed).status == status
