"""Tests of configuration changes on a cluster of replicas."""

import functools

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.agreement import replica_state
from turmerichall.agreement.tests import cluster as clusters
from turmerichall.state import change as changes
from turmerichall.state import machine
from turmerichall.templates import template

Clock = trio.testing.MockClock
SMALL_LIMITS = replica_state.Timing(snapshot_entries=20, retained_entries=5)
IN_FORCE_SECONDS = 3.0
BURST = 200


def _publish(
    operation_id: str, operator: str, base_version: int, name: str = "t"
) -> bytes:
    operation = changes.Operation(operation_id, operator, 1.0)
    size = resources.Resources(1, 100)
    body = template.Template(name, template.Kind.BATCH, size)
    return changes.encode(
        changes.PublishTemplate(operation, base_version, body)
    )


async def _start_cluster(nursery: trio.Nursery) -> tuple[clusters.Cluster, str]:
    cluster = clusters.Cluster(
        nursery, timing=SMALL_LIMITS, machine=machine.StateMachine
    )
    await cluster.start_all()
    leader = await cluster.wait_for_leader()
    await cluster.put_bytes(leader, _publish("0", "ann", 0))
    await cluster.start("z", disk=False)
    return cluster, leader


def _templates(cluster: clusters.Cluster, name: str) -> int:
    state_machine = cluster.machines[name]
    assert isinstance(state_machine, machine.StateMachine)
    return len(state_machine.configuration.templates)


class TestOperators:

    @pytest.mark.parametrize("through", ["ab", "bc", "cz", "za"])
    async def test_one_of_two_concurrent_revisions_conflicts(
        self, nursery: trio.Nursery, autojump_clock: Clock, through: str
    ) -> None:
        cluster, _ = await _start_cluster(nursery)
        results: list[changes.Result] = []

        async def revise(name: str) -> None:
            data = await cluster.put_bytes(name, _publish(name, name, 1))
            results.append(changes.decode_result(data))

        async with trio.open_nursery() as racing:
            for name in through:
                racing.start_soon(revise, name)
        statuses = sorted(result.status for result in results)
        assert statuses == [changes.Status.APPLIED, changes.Status.CONFLICT]
        assert {result.version for result in results} == {2}

    async def test_resent_change_is_applied_once_when_its_answer_was_lost(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        requester, other = [name for name in cluster.names if name != leader]
        change = _publish("once", "ben", 1)
        cluster.hub.cut.add((leader, requester))
        result = await cluster.replicas[requester].propose(change, 2.0)
        assert isinstance(result, outcomes.Unknown)
        cluster.hub.heal()
        # The operation id must survive snapshots and a change of the leader.
        for number in range(60):
            filler = _publish(f"f{number}", "ann", 0, f"f{number}")
            await cluster.put_bytes(leader, filler)
        cluster.kill(leader)
        resent = changes.decode_result(await cluster.put_bytes(other, change))
        assert resent.status == changes.Status.APPLIED
        assert resent.version == 2


class TestInForce:

    async def test_burst_is_applied_on_all_instances_in_time(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, _ = await _start_cluster(nursery)
        names = sorted(cluster.replicas)
        began = trio.current_time()
        async with trio.open_nursery() as writing:
            for number in range(BURST):
                change = _publish(f"b{number}", "ann", 0, f"b{number}")
                through = names[number % len(names)]
                writing.start_soon(cluster.put_bytes, through, change)
        for name in names:
            await cluster.wait_until(functools.partial(_has_all, cluster, name))
        assert trio.current_time() - began < IN_FORCE_SECONDS


def _has_all(cluster: clusters.Cluster, name: str) -> bool:
    return _templates(cluster, name) == BURST + 1
