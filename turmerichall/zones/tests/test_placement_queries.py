"""Tests of questions to a placing authority over real connections."""

from typing import NamedTuple

import pytest
import trio

from turmerichall import outcomes
from turmerichall.backend_servers import directory
from turmerichall.benchmarks import populations
from turmerichall.peers import network
from turmerichall.state import change as changes
from turmerichall.zones import cross_zone_feasibility
from turmerichall.zones import grant_holder
from turmerichall.zones import placement_queries
from turmerichall.zones import scheduler as schedulers

ZONE = populations.ZONE
RUNNING = "job-20261203-running"
WORKER = "worker-0003"
PATIENCE_SECONDS = 20.0


class _Pair(NamedTuple):
    """The authority of a zone, and an instance that is not."""

    zone: populations.Zone
    authority: placement_queries.PlacementQueries
    other: placement_queries.PlacementQueries
    links: network.Network


@pytest.fixture(name="pair")
async def _pair(nursery: trio.Nursery) -> _Pair:
    zone = populations.authority()
    machine = zone.machine
    left = network.Network("entry-01", b"shared")
    right = network.Network("entry-02", b"shared")
    address = await nursery.start(left.run, "127.0.0.1:0")
    await nursery.start(right.run, "127.0.0.1:0")
    right.set_addresses({"entry-01": address})
    log = populations.Direct(machine)
    idle = schedulers.ZoneScheduler(
        machine,
        grant_holder.GrantHolder("z2", "entry-02", machine, log),
        log,
        populations.Silent(),
        zone.placing.make_planner,
        cross_zone_feasibility.FeasibilityChecker(
            directory.Directory(machine.configuration)
        ),
    )
    with trio.fail_after(PATIENCE_SECONDS):
        while not right.links["entry-01"].connected:
            await trio.sleep(0.005)
    return _Pair(
        zone,
        placement_queries.PlacementQueries(
            "entry-01", machine, zone.placing, left
        ),
        placement_queries.PlacementQueries("entry-02", machine, idle, right),
        right,
    )


class TestAnswers:
    """Any instance tells what the authority tells."""

    async def test_job_through_another_instance(self, pair: _Pair) -> None:
        here = await pair.authority.job_status(ZONE, RUNNING)
        there = await pair.other.job_status(ZONE, RUNNING)
        assert not isinstance(here, outcomes.Refusal)
        assert not isinstance(there, outcomes.Refusal)
        assert here.running is not None and there.running is not None
        assert there.waiting is None and there.running.margin_seconds > 0
        assert here.running.seconds == pytest.approx(
            there.running.seconds, abs=PATIENCE_SECONDS
        )

    async def test_quarantine_and_eviction_with_reasons(
        self, pair: _Pair
    ) -> None:
        epoch_state = pair.zone.placing.epoch_state
        assert epoch_state is not None
        for number in range(3):
            epoch_state.feed.planner.fleet.health.record_failure(
                WORKER, f"j{number}/0", trio.current_time()
            )
        victim = populations.batch_name(5, 0)
        asked = [changes.Eviction(victim, 1, "uses 3 times its share")]
        await pair.zone.placing.executor.evict(epoch_state, asked)
        told = await pair.other.zone_status(ZONE)
        assert not isinstance(told, outcomes.Refusal)
        (worker,) = told.workers
        assert (worker.worker, worker.state) == (WORKER, "quarantined")
        assert "3 batch attempts" in worker.reason and "j2/0" in worker.reason
        assert 60.0 - PATIENCE_SECONDS < worker.next_try_seconds <= 60.0
        (eviction,) = told.evictions
        assert (eviction.task_id, eviction.worker) == (victim, "worker-0005")
        assert eviction.reason == "uses 3 times its share"


class TestNotKnown:
    """What can't be asked is said, with the reason."""

    async def test_authority_gave_up(self, pair: _Pair) -> None:
        pair.zone.placing.holder.step_down(9)
        for asked in (pair.authority, pair.other):
            told = await asked.zone_status(ZONE)
            assert isinstance(told, outcomes.Refusal)
            assert told.reason == outcomes.RefusalReason.WRONG_STATE

    async def test_authority_is_cut_off(self, pair: _Pair) -> None:
        pair.links.set_addresses({})
        told = await pair.other.job_status(ZONE, RUNNING)
        assert isinstance(told, outcomes.Refusal)
        assert told.reason == outcomes.RefusalReason.UNREACHABLE
        assert "entry-01" in told.detail

    async def test_nobody_is_asked_unless_wanted(self, pair: _Pair) -> None:
        told = await pair.other.job_status(ZONE, RUNNING, forward=False)
        assert isinstance(told, outcomes.Refusal)
        assert "not asked" in told.detail
