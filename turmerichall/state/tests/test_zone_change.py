"""Tests of evacuations in the replicated state, alone and in a cluster."""

import msgspec
import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.agreement import replica_state
from turmerichall.agreement.tests import cluster as clusters
from turmerichall.jobs import job
from turmerichall.state import change as changes
from turmerichall.state import machine as machines
from turmerichall.state import zone_change
from turmerichall.zones.tests import scheduled_zone

EVACUATED = zone_change.ZoneState.EVACUATED
SERVING = zone_change.ZoneState.SERVING
START = changes.StartTasks("z1", 1, 2.0, [changes.Start("j1/0", 1, "w1", 1)])


def _change(
    name: str,
    state: zone_change.ZoneState = EVACUATED,
    base_version: int = 0,
    operator: str = "ann",
) -> zone_change.SetZoneState:
    operation = changes.Operation(name, operator, 7.0)
    return zone_change.SetZoneState(operation, base_version, "z1", state)


class TestSetZoneState:

    def test_change_sent_twice_after_a_restore_does_not_evacuate(self) -> None:
        machine, log = scheduled_zone.machine_with_customer()
        first = log.apply(_change("a"))
        log.apply(_change("b", SERVING, 1))
        machine.restore(machine.snapshot())
        assert log.apply(_change("a")) == first
        assert not machine.configuration.is_evacuated("z1")

    def test_repeated_command_keeps_who_evacuated_and_when(self) -> None:
        machine, log = scheduled_zone.machine_with_customer()
        revision = machine.configuration.revision
        log.apply(_change("a"))
        again = log.apply(_change("b", operator="ben"))
        assert (again.status, again.version) == (changes.Status.APPLIED, 1)
        entry = machine.configuration.zones["z1"]
        assert (entry.operator, entry.version) == ("ann", 1)
        assert machine.configuration.revision == revision + 1

    def test_second_of_two_concurrent_operators_is_told_of_the_first(
        self,
    ) -> None:
        _, log = scheduled_zone.machine_with_customer()
        log.apply(_change("a"))
        log.apply(_change("b", SERVING, 1, "ben"))
        late = log.apply(_change("c", EVACUATED, 1, "eve"))
        assert late.status == changes.Status.CONFLICT
        assert (late.version, late.holder) == (2, "ben")

    # An authority may have planned the start before it saw the evacuation.
    def test_start_after_the_evacuation_is_not_recorded(self) -> None:
        machine, log = scheduled_zone.machine_with_customer()
        scheduled_zone.submit_job(log)
        log.apply(changes.TakeGrant("z1", "i1", 0, 0))
        log.apply(_change("a"))
        machine.restore(machine.snapshot())
        refused = log.apply(START)
        assert refused.reason == outcomes.RefusalReason.ZONE_EVACUATED
        log.apply(_change("b", SERVING, 1))
        assert log.apply(START).status == changes.Status.APPLIED
        task = machine.job_store.tasks["j1/0"]
        assert task.state == job.TaskState.RUNNING

    def test_snapshot_of_an_earlier_version_is_read(self) -> None:
        machine, log = scheduled_zone.machine_with_customer()
        log.apply(_change("a"))
        parts = msgspec.msgpack.decode(machine.snapshot())
        parts[1] = parts[1][:-1]
        machine.restore(msgspec.msgpack.encode(parts))
        assert not machine.configuration.zones


class TestCluster:

    @pytest.mark.parametrize("snapshot_entries", [2, 20_000])
    async def test_evacuation_survives_faults(
        self,
        nursery: trio.Nursery,
        autojump_clock: trio.testing.MockClock,
        snapshot_entries: int,
    ) -> None:
        """A leader dies between two sends, a member is cut off, all restart."""
        del autojump_clock
        timing = replica_state.Timing(snapshot_entries=snapshot_entries)
        cluster = clusters.Cluster(
            nursery, timing=timing, machine=machines.StateMachine
        )
        await cluster.start_all()
        leader = await cluster.wait_for_leader()

        async def send(
            name: str, change: zone_change.SetZoneState
        ) -> changes.Result:
            data = await cluster.put_bytes(name, changes.encode(change))
            return changes.decode_result(data)

        def evacuated(name: str) -> bool:
            machine = cluster.machines[name]
            assert isinstance(machine, machines.StateMachine)
            return machine.configuration.is_evacuated("z1")

        first = await send(leader, _change("a"))
        cluster.kill(leader)
        survivor = await cluster.wait_for_leader()
        assert await send(survivor, _change("a")) == first
        await cluster.start(leader)
        await cluster.wait_until(lambda: all(map(evacuated, cluster.names)))
        cut = min(set(cluster.names) - {survivor, leader})
        cluster.hub.isolate(cut, set(cluster.names))
        majority = set(cluster.names) - {cut}
        leader = await cluster.wait_for_leader(majority)
        await send(leader, _change("b", SERVING, 1))
        await trio.sleep(30.0)
        assert evacuated(cut) and not evacuated(leader)
        await send(leader, _change("c", EVACUATED, 2))
        for name in cluster.names:
            cluster.kill(name)
        cluster.hub.heal()
        await cluster.start_all()
        await cluster.wait_for_leader()
        await cluster.wait_until(lambda: all(map(evacuated, cluster.names)))
