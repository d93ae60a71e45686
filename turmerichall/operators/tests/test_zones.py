"""Tests of the handlers that evacuate and restore zones."""

import pytest
import trio

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.backend_servers import announcement as announcements
from turmerichall.operators.tests import in_process

PATH = "/v1/zones/z1"


@pytest.fixture(name="client")
async def _client() -> in_process.Client:
    client = in_process.Client()
    announcement = announcements.Announcement(
        "w1", 1, 1, "z1", "r1", "127.0.0.1:9", resources.Resources(8, 1000)
    )
    client.daemon.directory.accept(announcement, trio.current_time())
    return client


async def _item(client: in_process.Client) -> dict[str, object]:
    listed = await client.call("GET", "/v1/zones?fresh=true")
    (item,) = listed.document["items"]
    return dict(item)


class TestZones:

    async def test_repeated_command_changes_nothing(
        self, client: in_process.Client
    ) -> None:
        assert (await _item(client))["since_wall_seconds"] is None
        first = await client.call("POST", f"{PATH}/evacuate")
        assert first.document["state"] == "evacuated"
        before = await _item(client)
        assert (before["state"], before["set_by"]) == ("evacuated", "operator")
        assert (before["backend_servers"], before["tasks"]) == (1, 0)
        again = await client.call("POST", f"{PATH}/evacuate")
        assert (again.status, again.document["version"]) == (200, 1)
        assert await _item(client) == before
        exported = client.counters.exposition().decode()
        assert "turmerichall_evacuated_zones 1.0" in exported
        restored = await client.call("POST", f"{PATH}/restore")
        assert restored.document["version"] == 2

    async def test_without_a_quorum_the_last_state_is_kept_and_shown(
        self, client: in_process.Client
    ) -> None:
        await client.call("POST", f"{PATH}/evacuate")
        client.daemon.barrier_refusal = outcomes.Refusal(
            outcomes.RefusalReason.NO_QUORUM
        )
        response = await client.call("POST", f"{PATH}/restore")
        assert response.document["error"] == "no_quorum"
        listed = await client.call("GET", "/v1/zones?fresh=prefer")
        assert listed.document["items"][0]["state"] == "evacuated"
        assert not listed.document["fresh"]
