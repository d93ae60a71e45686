"""Tests of changes that are sent again with the same operation id."""

from typing import Any

import pytest
import trio

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.agreement import member
from turmerichall.backend_servers import announcement as announcements
from turmerichall.instances import instance
from turmerichall.operators.tests import in_process
from turmerichall.state import change as changes

FIELDS = in_process.OPERATOR | {"turmerichall-operation-id": "same"}
TEMPLATE = {
    "base_version": 0,
    "body": {
        "name": "r",
        "kind": "batch",
        "size": {"processors": 1, "memory_mb": 100},
    },
}


@pytest.fixture(name="client")
async def _client() -> in_process.Client:
    client = in_process.Client()
    announcement = announcements.Announcement(
        "w1", 1, 1, "z1", "r1", "127.0.0.1:9", resources.Resources(8, 1000)
    )
    client.daemon.directory.accept(announcement, trio.current_time())
    body = instance.Instance("i2", "r", "z1", "", "", "", False)
    await client.daemon.submit(changes.RegisterInstance(body))
    return client


class TestRefusedResend:

    @pytest.mark.parametrize(
        ("method", "path", "body"),
        [
            ("PUT", "/v1/templates/r", TEMPLATE),
            ("POST", "/v1/zones/z1/evacuate", None),
            ("POST", "/v1/backend-servers/w1/drain", None),
            ("DELETE", "/v1/instances/i2", None),
        ],
    )
    async def test_change_in_the_own_state_is_not_told_as_not_run(
        self, client: in_process.Client, method: str, path: str, body: Any
    ) -> None:
        daemon = client.daemon
        first = await client.call(method, path, body, FIELDS)
        assert first.document["outcome"] == "ran"
        refusal = outcomes.Refusal(outcomes.RefusalReason.NO_QUORUM)
        daemon.outcome = daemon.barrier_refusal = refusal
        # The replica has not learnt yet that the member was removed.
        daemon.members = (member.Member("i2", "", "127.0.0.1:5"),)
        resent = await client.call(method, path, body, FIELDS)
        assert resent.document == first.document
        assert resent.status == 200

    async def test_other_change_is_refused(
        self, client: in_process.Client
    ) -> None:
        client.daemon.outcome = outcomes.Refusal(
            outcomes.RefusalReason.NO_QUORUM
        )
        response = await client.call("PUT", "/v1/templates/r", TEMPLATE)
        assert (response.status, response.document["outcome"]) == (
            503,
            "not run",
        )

    async def test_refused_removal_is_not_told_as_recorded(
        self, client: in_process.Client
    ) -> None:
        daemon = client.daemon
        path = "/v1/instances/i9"
        daemon.members = (member.Member("i9", "", "127.0.0.1:5"),)
        daemon.outcome = outcomes.Unknown(outcomes.UnknownReason.LEADER_LOST)
        first = await client.call("DELETE", path, None, FIELDS)
        assert first.document["outcome"] == "unknown"
        daemon.outcome = None
        # The removal is committed after its answer.
        daemon.members = ()
        resent = await client.call("DELETE", path, None, FIELDS)
        assert resent.document["error"] == "unknown_name"
        assert not resent.document["recorded"]
