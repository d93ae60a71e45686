"""Tests of queries to a placement authority over real connections."""

from typing import NamedTuple

import pytest
import trio

from turmerichall import outcomes
from turmerichall.backend_servers import directory
from turmerichall.benchmarks import synthetic_state
from turmerichall.peers import network
from turmerichall.state import change as changes
from turmerichall.zones import cross_zone_feasibility
from turmerichall.zones import grant_holder
from turmerichall.zones import placement_queries
from turmerichall.zones import scheduler as schedulers

ZONE = synthetic_state.ZONE
RUNNING = "job-20261203-running"
WORKER = "worker-0003"
TIMEOUT_SECONDS = 20.0


class _Pair(NamedTuple):
    """The authority of a zone, and an instance of another zone.

    Attributes:
        zone: The zone's population of workers and tasks.
        authority: The queries of the authority.
        other: The queries of the other instance.
        links: The connections of the other instance.
    """

    zone: synthetic_state.PopulatedZone
    authority: placement_queries.PlacementQueries
    other: placement_queries.PlacementQueries
    links: network.Network


@pytest.fixture(name="pair")
async def _pair(nursery: trio.Nursery) -> _Pair:
    zone = synthetic_state.populated_zone()
    machine = zone.machine
    left = network.Network("entry-01", b"shared")
    right = network.Network("entry-02", b"shared")
    address = await nursery.start(left.run, "127.0.0.1:0")
    await nursery.start(right.run, "127.0.0.1:0")
    right.set_addresses({"entry-01": address})
    log = synthetic_state.ImmediateLog(machine)
    inactive = schedulers.ZoneScheduler(
        machine,
        grant_holder.GrantHolder("z2", "entry-02", machine, log),
        log,
        synthetic_state.AcceptingWorkers(),
        zone.scheduler.make_planner,
        cross_zone_feasibility.FeasibilityChecker(
            directory.Directory(machine.configuration)
        ),
    )
    with trio.fail_after(TIMEOUT_SECONDS):
        while not right.links["entry-01"].connected:
            await trio.sleep(0.005)
    return _Pair(
        zone,
        placement_queries.PlacementQueries(
            "entry-01", machine, zone.scheduler, left
        ),
        placement_queries.PlacementQueries(
            "entry-02", machine, inactive, right
        ),
        right,
    )


class TestAnswers:
    """Every instance returns the status that the authority reports."""

    async def test_forwarded_job_status_is_that_of_the_authority(
        self, pair: _Pair
    ) -> None:
        local = await pair.authority.job_status(ZONE, RUNNING)
        forwarded = await pair.other.job_status(ZONE, RUNNING)
        assert not isinstance(local, outcomes.Refusal)
        assert not isinstance(forwarded, outcomes.Refusal)
        assert local.running is not None and forwarded.running is not None
        assert (
            forwarded.waiting is None and forwarded.running.margin_seconds > 0
        )
        assert local.running.seconds == pytest.approx(
            forwarded.running.seconds, abs=TIMEOUT_SECONDS
        )

    async def test_zone_status_has_quarantines_and_evictions_with_reasons(
        self, pair: _Pair
    ) -> None:
        epoch_state = pair.zone.scheduler.epoch_state
        assert epoch_state is not None
        for number in range(3):
            epoch_state.feed.planner.fleet.health.record_failure(
                WORKER, f"j{number}/0", trio.current_time()
            )
        victim = synthetic_state.batch_task_id(5, 0)
        evictions = [changes.Eviction(victim, 1, "uses 3 times its share")]
        await pair.zone.scheduler.executor.evict(epoch_state, evictions)
        status = await pair.other.zone_status(ZONE)
        assert not isinstance(status, outcomes.Refusal)
        (worker,) = status.workers
        assert (worker.worker, worker.state) == (WORKER, "quarantined")
        assert "3 batch attempts" in worker.reason and "j2/0" in worker.reason
        assert 60.0 - TIMEOUT_SECONDS < worker.next_try_seconds <= 60.0
        (eviction,) = status.evictions
        assert (eviction.task_id, eviction.worker) == (victim, "worker-0005")
        assert eviction.reason == "uses 3 times its share"


class TestRefusals:
    """A query that can't be answered is refused, with the reason."""

    async def test_authority_that_stepped_down_refuses(
        self, pair: _Pair
    ) -> None:
        pair.zone.scheduler.holder.step_down(9)
        for queries in (pair.authority, pair.other):
            status = await queries.zone_status(ZONE)
            assert isinstance(status, outcomes.Refusal)
            assert status.reason == outcomes.RefusalReason.WRONG_STATE

    async def test_unreachable_authority_is_named(self, pair: _Pair) -> None:
        pair.links.set_addresses({})
        status = await pair.other.job_status(ZONE, RUNNING)
        assert isinstance(status, outcomes.Refusal)
        assert status.reason == outcomes.RefusalReason.UNREACHABLE
        assert "entry-01" in status.detail

    async def test_query_is_not_forwarded_unless_allowed(
        self, pair: _Pair
    ) -> None:
        status = await pair.other.job_status(ZONE, RUNNING, forward=False)
        assert isinstance(status, outcomes.Refusal)
        assert "not asked" in status.detail
