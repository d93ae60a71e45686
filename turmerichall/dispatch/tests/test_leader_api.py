"""Tests of when a replica begins a leader's work."""

import pytest
import trio
import trio.testing

from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import demand as demands

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

MAX_STEPS_BETWEEN = 8
ROUNDS = 25


class TestBeginOfTerm:

    # A replica elected after all had lost power did no leader's work: its last
    # entries were applied just while it reacted to the ones before.
    @pytest.mark.parametrize("steps", range(MAX_STEPS_BETWEEN))
    async def test_begins_if_the_last_entries_are_applied_in_quick_succession(
        self, mocked_clocks: trio.testing.MockClock, steps: int
    ) -> None:
        cluster = fakes.FakeCluster()
        replica, leader_api = cluster.replica, cluster.leader_api
        replica.term = 0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader_api.run)
            for term in range(1, ROUNDS):
                await cluster.wait_until(lambda: leader_api.leadership is None)
                await trio.sleep(1.0)
                replica.state.applied_advanced.notify_all()
                for _ in range(steps):
                    await trio.lowlevel.checkpoint()
                replica.term = term
                replica.state.applied_advanced.notify_all()
                await cluster.wait_until(
                    lambda: leader_api.leadership is not None, 2.0
                )
                replica.lead(0)
            nursery.cancel_scope.cancel()


class TestLostLeadership:

    # Callers were refused, though another leader could have served them.
    async def test_call_in_a_barrier_is_passed_on_to_the_next_leader(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster()
        replica, leader_api = cluster.replica, cluster.leader_api
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader_api.run)
            await cluster.wait_until(lambda: leader_api.leadership is not None)
            replica.lead(0)
            found = await leader_api.find_queue("a.example", "/jobs/1")
            nursery.cancel_scope.cancel()
        assert found == leader_apis.NOT_LEADER


class TestAlmostFullDisk:

    # An accepted job was accepted, whatever the disk is like since then.
    async def test_only_new_jobs_are_refused(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster()
        demand = demands.JobDemand("text", (demands.StepDemand(1),))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cluster.leader_api.run)
            await cluster.wait_until(
                lambda: cluster.leader_api.leadership is not None
            )
            await cluster.submit("old", demand)
            cluster.replica.disk_almost_full = True
            await cluster.submit("old", demand)
            refused = await cluster.leader_api.submit(
                fakes.QUEUE, "new", demand
            )
            nursery.cancel_scope.cancel()
        assert refused == leader_apis.NO_ROOM
        assert list(cluster.queue_state.jobs) == ["old"]
