"""Contract tests of the operators' and workers' HTTP interfaces."""

import time
from typing import Any

import pytest
import trio

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.agreement import member
from turmerichall.backend_servers import announcement as announcements
from turmerichall.instances import instance
from turmerichall.operators.tests import in_process
from turmerichall.placement import inspection
from turmerichall.state import change as changes

SIZE = {"processors": 1, "memory_mb": 100}
TEMPLATE = {"name": "r", "kind": "batch", "size": SIZE}
CUSTOMER = {
    "name": "c",
    "team": "t",
    "urgency": "normal",
    "zones": ["z1"],
    "services": {},
}


@pytest.fixture(name="client")
def _client() -> in_process.Client:
    return in_process.Client()


class TestConfiguration:

    async def test_publish_and_show(self, client: in_process.Client) -> None:
        response = await client.put("/v1/templates/r", TEMPLATE)
        assert (response.status, response.document["version"]) == (200, 1)
        shown = await client.call("GET", "/v1/templates/r?fresh=true")
        assert shown.document["fresh"] is True
        assert shown.document["item"]["body"]["size"]["memory_mb"] == 100

    async def test_second_change_of_same_base_version_conflicts(
        self, client: in_process.Client
    ) -> None:
        await client.put(
            "/v1/templates/r", TEMPLATE, turmerichall_operator="ann"
        )
        response = await client.put("/v1/templates/r", TEMPLATE)
        assert response.status == 409
        assert response.document["error"] == "version_conflict"
        assert response.document["holder"] == "ann"
        assert response.document["current_version"] == 1

    async def test_resent_request_is_applied_once(
        self, client: in_process.Client
    ) -> None:
        for _ in range(2):
            response = await client.put(
                "/v1/templates/r", TEMPLATE, turmerichall_operation_id="same"
            )
            assert (response.status, response.document["version"]) == (200, 1)

    async def test_all_findings_are_returned_together(
        self, client: in_process.Client
    ) -> None:
        body = TEMPLATE | {"run_seconds": -1, "size": {"processors": 0}}
        response = await client.put("/v1/templates/other", body, -1)
        places = {found["place"] for found in response.document["findings"]}
        assert response.status == 400
        assert places == {
            "template.size.processors",
            "template.size.memory_mb",
            "template.run_seconds",
            "template.name",
            "base_version",
        }
        assert not client.daemon.machine.applied_index

    @pytest.mark.parametrize(
        ("field", "value", "place"),
        [
            ("services", {"s": 10**9}, "customer.services.s"),
            ("services", {"s": -1}, "customer.services.s"),
            ("services", {f"s{n}": 1 for n in range(101)}, "customer"),
            ("zones", [], "customer.zones"),
            ("zones", [f"z{n}" for n in range(33)], "customer"),
            ("max_requests", 0, "customer.max_requests"),
        ],
    )
    async def test_findings_of_a_customer(
        self, client: in_process.Client, field: str, value: Any, place: str
    ) -> None:
        body = CUSTOMER | {field: value}
        response = await client.put("/v1/customers/c", body)
        assert response.document["findings"][0]["place"] == place

    async def test_unknown_outcome(self, client: in_process.Client) -> None:
        unknown_outcome = outcomes.Unknown(outcomes.UnknownReason.LEADER_LOST)
        client.daemon.outcome = unknown_outcome
        response = await client.put("/v1/templates/r", TEMPLATE)
        assert response.status == 504
        assert response.document["outcome"] == "unknown"

    async def test_no_quorum(self, client: in_process.Client) -> None:
        refusal = outcomes.Refusal(outcomes.RefusalReason.NO_QUORUM)
        client.daemon.outcome = refusal
        client.daemon.barrier_refusal = refusal
        response = await client.put("/v1/templates/r", TEMPLATE)
        assert response.status == 503
        assert response.document["outcome"] == "not run"
        assert response.headers["retry-after"] == "1"
        fresh = await client.call("GET", "/v1/templates?fresh=true")
        assert fresh.status == 503
        stale = await client.call("GET", "/v1/templates?fresh=prefer")
        assert stale.document["fresh"] is False


class TestJobs:

    async def _submit_job(self, client: in_process.Client) -> str:
        await client.put("/v1/templates/r", TEMPLATE)
        await client.put("/v1/customers/c", CUSTOMER)
        body = {"customer": "c", "template": "r", "deadline_wall_seconds": 9}
        headers = in_process.OPERATOR | {"turmerichall-operation-id": "job"}
        first = await client.call("POST", "/v1/jobs", body, headers)
        again = await client.call("POST", "/v1/jobs", body, headers)
        assert first.document == again.document
        job_id: str = first.document["job_id"]
        return job_id

    async def test_submit_explain_cancel(
        self, client: in_process.Client
    ) -> None:
        job_id = await self._submit_job(client)
        cancelled = await client.call("POST", f"/v1/jobs/{job_id}/cancel")
        assert cancelled.status == 200
        shown = await client.call("GET", f"/v1/jobs/{job_id}/explain")
        decisions = shown.document["item"]["decisions"]
        assert [decision["what"] for decision in decisions] == [
            "accepted",
            "cancelled",
        ]
        assert shown.document["item"]["state"] == "cancelled"
        listed = await client.call("GET", "/v1/jobs?state=waiting")
        assert listed.document["items"] == []

    async def test_status_includes_the_authorities_answers(
        self, client: in_process.Client
    ) -> None:
        job_id = await self._submit_job(client)
        path = f"/v1/jobs/{job_id}?fresh=prefer"
        shown = (await client.call("GET", path)).document["item"]
        assert shown["finish"]["wall_seconds"] is None
        assert "zone z1 is unreachable" in shown["finish"]["unknown_because"]
        assert client.counters.count_of("refusals", "operators", "unreachable")
        throttled = inspection.RestrictedTask(
            "t", "w", "throttled", 0.4, 9.0, "slow"
        )
        status = inspection.JobStatus(
            None, inspection.RemainingTime(600.0, 60.0), (throttled,)
        )
        client.daemon.job_statuses["z1"] = status
        shown = (await client.call("GET", path)).document["item"]
        remaining_seconds = shown["finish"]["wall_seconds"] - time.time()
        assert 300.0 < remaining_seconds <= 600.0
        assert shown["finish"]["margin_seconds"] == 60.0
        assert shown["held"][0]["reason"] == "slow"
        await client.call("POST", f"/v1/jobs/{job_id}/cancel")
        shown = (await client.call("GET", path)).document["item"]
        assert shown["finish"] is None

    async def test_unschedulable_job_is_reported_when_submitted(
        self, client: in_process.Client
    ) -> None:
        room = resources.Resources(0.5, 100)
        announcement = announcements.Announcement(
            "w1", 1, 1, "z1", "r", "h:1", room
        )
        now = trio.current_time()
        client.daemon.directory.accept(announcement, now)
        client.daemon.feasibility.heard_since["z1"] = now - 60.0
        await client.put("/v1/templates/r", TEMPLATE)
        await client.put("/v1/customers/c", CUSTOMER)
        body = {"customer": "c", "template": "r", "deadline_wall_seconds": 9}
        response = await client.call("POST", "/v1/jobs", body)
        assert response.status == 200
        assert "fits is 0.5 processors" in response.document["never_fits"]
        path = f"/v1/jobs/{response.document['job_id']}?fresh=prefer"
        shown = (await client.call("GET", path)).document["item"]
        assert "needs 1" in shown["finish"]["never_because"]

    async def test_evictions_are_listed(
        self, client: in_process.Client
    ) -> None:
        job_id = await self._submit_job(client)
        task = f"{job_id}/0"
        for change in (
            changes.TakeGrant("z1", "i1", 0, 0),
            changes.StartTasks("z1", 1, 1.0, [changes.Start(task, 1, "w1", 1)]),
            changes.EvictTasks(
                "z1", 1, 2.0, [changes.Eviction(task, 1, "makes room")]
            ),
        ):
            await client.daemon.submit(change)
        shown = await client.call("GET", f"/v1/jobs/{job_id}?fresh=prefer")
        (eviction,) = shown.document["item"]["evictions"]
        assert (eviction["task"], eviction["reason"]) == (task, "makes room")

    async def test_unknown_customer(self, client: in_process.Client) -> None:
        body = {"customer": "d", "template": "r", "deadline_wall_seconds": 9}
        response = await client.call("POST", "/v1/jobs", body)
        assert response.status == 404
        assert response.document["error"] == "unknown_customer"


class TestBackendServers:

    async def test_intentions(self, client: in_process.Client) -> None:
        for verb, intention in (("drain", "draining"), ("start", "serving")):
            path = f"/v1/backend-servers/w1/{verb}"
            response = await client.call("POST", path)
            assert response.document["intention"] == intention
        listed = await client.call("GET", "/v1/backend-servers")
        assert listed.document["items"][0]["version"] == 2

    async def test_no_quorum(self, client: in_process.Client) -> None:
        client.daemon.barrier_refusal = outcomes.Refusal(
            outcomes.RefusalReason.NO_QUORUM
        )
        response = await client.call("POST", "/v1/backend-servers/w1/drain")
        assert (response.status, response.document["error"]) == (
            503,
            "no_quorum",
        )

    async def test_list_announced_server(
        self, client: in_process.Client
    ) -> None:
        announcement = announcements.Announcement(
            "w1", 1, 1, "z1", "r1", "127.0.0.1:9", resources.Resources(8, 1000)
        )
        directory = client.app.services.directory
        directory.accept(announcement, trio.current_time(), "i2")
        listed = await client.call("GET", "/v1/backend-servers")
        item = listed.document["items"][0]
        assert (item["via"], item["takes_new_work"]) == ("i2", True)
        assert item["capacity"]["memory_mb"] == 1000

    async def test_stale_base_version(self, client: in_process.Client) -> None:
        await client.call("POST", "/v1/backend-servers/w1/drain")
        response = await client.call(
            "POST", "/v1/backend-servers/w1/stop", {"base_version": 0}
        )
        assert response.status == 409


class TestInstances:

    async def test_add_and_remove(self, client: in_process.Client) -> None:
        body = {"name": "i4", "address": "127.0.0.1:5"}
        added = await client.call("POST", "/v1/instances", body)
        assert added.document["members"] == ["i4"]
        removed = await client.call("DELETE", "/v1/instances/i4")
        assert removed.document["members"] == []
        again = await client.call("DELETE", "/v1/instances/i4")
        assert (again.status, again.document["error"]) == (404, "unknown_name")

    async def test_list_roles_and_remove_observer(
        self, client: in_process.Client
    ) -> None:
        replica = member.Member("i1", "", "127.0.0.1:5")
        client.daemon.members = (replica,)
        for name in ("i1", "i2"):
            body = instance.Instance(name, "r", "z1", "", "", "", False)
            await client.daemon.submit(changes.RegisterInstance(body))
        listed = await client.call("GET", "/v1/instances?fresh=true")
        items = [(i["name"], i["role"]) for i in listed.document["items"]]
        assert items == [("i1", "leader"), ("i2", "observer")]
        removed = await client.call("DELETE", "/v1/instances/i2")
        assert removed.status == 200
        assert list(client.daemon.machine.instances) == ["i1"]

    async def test_removed_member_whose_entry_stays_is_not_told_as_not_run(
        self, client: in_process.Client, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        daemon = client.daemon
        daemon.members = (member.Member("i2", "", "127.0.0.1:5"),)
        body = instance.Instance("i2", "r", "z1", "", "", "", False)
        await daemon.submit(changes.RegisterInstance(body))
        change_members = daemon.change_members

        async def lose_quorum_afterwards(*arguments: Any) -> Any:
            members = await change_members(*arguments)
            daemon.outcome = outcomes.Refusal(outcomes.RefusalReason.NO_QUORUM)
            return members

        monkeypatch.setattr(daemon, "change_members", lose_quorum_afterwards)
        fields = in_process.OPERATOR | {"turmerichall-operation-id": "same"}
        path = "/v1/instances/i2"
        response = await client.call("DELETE", path, headers=fields)
        assert not daemon.members
        assert (response.status, response.document["outcome"]) == (
            504,
            "unknown",
        )
        daemon.outcome = None
        resent = await client.call("DELETE", path, headers=fields)
        assert resent.status == 200
        assert not daemon.machine.instances

    async def test_removal_resent_to_a_lagging_instance_is_not_told_as_not_run(
        self, client: in_process.Client, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        daemon = client.daemon
        daemon.members = (member.Member("i2", "", "127.0.0.1:5"),)
        body = instance.Instance("i2", "r", "z1", "", "", "", False)
        await daemon.submit(changes.RegisterInstance(body))
        fields = in_process.OPERATOR | {"turmerichall-operation-id": "same"}
        path = "/v1/instances/i2"
        first = await client.call("DELETE", path, headers=fields)
        assert first.status == 200

        async def refuse(*_: Any) -> outcomes.Refusal:
            reason = outcomes.RefusalReason.UNKNOWN_NAME
            return outcomes.Refusal(reason, "i2 is not a member")

        # The other instance still lists the member; the leader does not.
        daemon.members = (member.Member("i2", "", "127.0.0.1:5"),)
        monkeypatch.setattr(daemon, "change_members", refuse)
        resent = await client.call("DELETE", path, headers=fields)
        assert (resent.status, resent.document["outcome"]) == (200, "ran")


class TestHealth:

    @pytest.mark.parametrize(
        ("shown", "draining", "status", "error"),
        [
            ({"applied": 0}, False, 503, "no_quorum"),
            ({}, False, 200, None),
            # Long without a quorum: it serves with the last configuration.
            ({"seconds_since_quorum": 999.0, "leader": ""}, False, 200, None),
            # Without its disk it follows the other replicas, and serves.
            ({"stopped": "the disk failed"}, False, 200, None),
            (
                {"stopped": "the disk failed", "recovered": False},
                False,
                503,
                "stopped",
            ),
            ({}, True, 503, "draining"),
            ({"applied": 0}, True, 503, "draining"),
        ],
        ids=[
            "start",
            "serving",
            "no quorum for long",
            "disk failed",
            "stopped",
            "drain",
            "drain early",
        ],
    )
    async def test_alive_and_ready(
        self,
        client: in_process.Client,
        shown: dict[str, Any],
        draining: bool,
        status: int,
        error: str | None,
    ) -> None:
        daemon = client.daemon
        daemon.replica_status = daemon.replica_status._replace(**shown)
        daemon.readiness.draining = draining
        alive = await client.call("GET", "/healthz", headers={})
        ready = await client.call("GET", "/readyz", headers={})
        assert (alive.status, ready.status) == (200, status)
        assert ready.document.get("error") == error
        assert ready.headers.get("retry-after") == ("1" if error else None)

    async def test_metrics(self, client: in_process.Client) -> None:
        await client.call("GET", "/v1/status", headers={})
        response = await client.call("GET", "/metrics", headers={})
        line = 'refusals_total{part="operators",reason="unauthorized"} 1.0'
        assert line in response.document.decode()
