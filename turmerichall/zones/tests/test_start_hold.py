"""Tests that an evacuated zone starts nothing and keeps what runs."""

import io
import json

import trio.testing

from turmerichall.backend_servers import announcement as announcements
from turmerichall.jobs import job
from turmerichall.state import change as changes
from turmerichall.state import zone_change
from turmerichall.telemetry import logs
from turmerichall.zones.tests import scheduled_zone


def _set(
    zone: scheduled_zone.Zone,
    state: zone_change.ZoneState = zone_change.ZoneState.EVACUATED,
) -> None:
    version = len(zone.machine.operations)
    entry = zone.machine.configuration.zones.get("z1")
    change = zone_change.SetZoneState(
        scheduled_zone.operation(f"zone-{version}"),
        entry.version if entry else 0,
        "z1",
        state,
    )
    assert zone.log.apply(change).status == changes.Status.APPLIED


def _started(zone: scheduled_zone.Zone) -> list[str]:
    kind = announcements.CommandKind.START
    sent = [command for _, command in zone.sender.sent if command.kind == kind]
    return [command.task_id for command in sent]


class TestEvacuatedZone:

    async def test_waiting_job_starts_only_after_the_restore(
        self, zone: scheduled_zone.Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        # The first configured stream also gets earlier lines.
        logs.configure(stream=io.StringIO())
        stream = io.StringIO()
        logs.configure(stream=stream)
        _set(zone)
        scheduled_zone.submit_job(zone.log, 2)
        await scheduled_zone.advance(zone, 30.0, "w1")
        assert not _started(zone)
        assert zone.task().state == job.TaskState.WAITING
        decisions = zone.machine.job_store.decisions["j1"]
        found = [each for each in decisions if "zone_evacuated" in each.reason]
        assert len(found) == 1
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        begun, held = [line for line in lines if line.get("zone") == "z1"]
        assert (begun["operator"], begun["requested_wall_seconds"]) == (
            "ann",
            1,
        )
        assert held["jobs"] == ["j1"]
        _set(zone, zone_change.ZoneState.SERVING)
        zone.announce(2000)
        await zone.settle()
        assert "j1/0" in _started(zone)

    async def test_running_task_continues(
        self, zone: scheduled_zone.Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        await zone.run_job()
        _set(zone)
        for sequence in range(2, 60):
            reply = zone.announce(sequence, scheduled_zone.running_report())
            assert "j1/0#1" in reply.renewed and not reply.commands
            await zone.settle(2)
        assert zone.task().state == job.TaskState.RUNNING

    # The worker may still get the first command until the lease has ended.
    async def test_lost_start_is_not_resent_and_ends_with_its_lease(
        self, zone: scheduled_zone.Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        await zone.run_job()
        _set(zone)
        sent = len(zone.sender.sent)
        await scheduled_zone.advance(
            zone, scheduled_zone.LEASE_END_SECONDS - 2, "w1"
        )
        assert zone.task().held is not None
        await scheduled_zone.advance(zone, 5, "w1")
        assert zone.task().state == job.TaskState.WAITING
        assert len(zone.sender.sent) == sent

    async def test_recorded_start_is_not_sent(
        self, zone: scheduled_zone.Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        def evacuate(change: changes.Change, _: changes.Result) -> None:
            if isinstance(change, changes.StartTasks):
                _set(zone)

        zone.machine.watchers.append(evacuate)
        await zone.run_job()
        assert zone.task().held is not None
        assert not _started(zone)
