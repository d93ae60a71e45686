"""Tests of the configuration over a cluster of replicas."""

import functools

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.agreement import replica_state
from turmerichall.agreement.tests import cluster
from turmerichall.state import change as changes
from turmerichall.state import machine
from turmerichall.templates import template

Clock = trio.testing.MockClock
SMALL = replica_state.Timing(snapshot_entries=20, retained_entries=5)
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


async def _started(nursery: trio.Nursery) -> tuple[cluster.Cluster, str]:
    made = cluster.Cluster(nursery, timing=SMALL, machine=machine.Machine)
    await made.start_all()
    leader = await made.leader()
    await made.put_bytes(leader, _publish("0", "ann", 0))
    await made.start("z", disk=False)
    return made, leader


def _templates(made: cluster.Cluster, name: str) -> int:
    held = made.machines[name]
    assert isinstance(held, machine.Machine)
    return len(held.configuration.templates)


class TestOperators:

    @pytest.mark.parametrize("through", ["ab", "bc", "cz", "za"])
    async def test_equal_versions_through_two_instances(
        self, nursery: trio.Nursery, autojump_clock: Clock, through: str
    ) -> None:
        made, _ = await _started(nursery)
        results: list[changes.Result] = []

        async def revise(name: str) -> None:
            data = await made.put_bytes(name, _publish(name, name, 1))
            results.append(changes.decode_result(data))

        async with trio.open_nursery() as racing:
            for name in through:
                racing.start_soon(revise, name)
        statuses = sorted(result.status for result in results)
        assert statuses == [changes.Status.APPLIED, changes.Status.CONFLICT]
        assert {result.version for result in results} == {2}

    async def test_answer_lost_after_commit_and_resent_elsewhere(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        asker, other = [name for name in made.names if name != leader]
        change = _publish("once", "ben", 1)
        made.hub.cut.add((leader, asker))
        result = await made.replicas[asker].propose(change, 2.0)
        assert isinstance(result, outcomes.Unknown)
        made.hub.heal()
        # The operation is remembered across snapshots and another leader.
        for number in range(60):
            filler = _publish(f"f{number}", "ann", 0, f"f{number}")
            await made.put_bytes(leader, filler)
        made.kill(leader)
        resent = changes.decode_result(await made.put_bytes(other, change))
        assert resent.status == changes.Status.APPLIED
        assert resent.version == 2


class TestInForce:

    async def test_burst_is_in_force_on_all_in_time(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, _ = await _started(nursery)
        names = sorted(made.replicas)
        began = trio.current_time()
        async with trio.open_nursery() as writing:
            for number in range(BURST):
                change = _publish(f"b{number}", "ann", 0, f"b{number}")
                through = names[number % len(names)]
                writing.start_soon(made.put_bytes, through, change)
        for name in names:
            await made.until(functools.partial(_has_all, made, name))
        assert trio.current_time() - began < IN_FORCE_SECONDS


def _has_all(made: cluster.Cluster, name: str) -> bool:
    return _templates(made, name) == BURST + 1
