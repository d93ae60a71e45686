"""Tests of jobs that are submitted again before the first submission ended."""

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import demand as demands

pytestmark = pytest.mark.usefixtures("mocked_clocks")

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

DEMAND = demands.JobDemand("x", (demands.StepDemand(1, cpu=1000),))
# Fits no worker, so that admission control refuses it.
TOO_LARGE = demands.JobDemand("x", (demands.StepDemand(1, cpu=10**9),))


class SlowReplica(fakes.FakeReplica):
    """A replica whose commits take 1.5 s."""

    async def propose_in_term(
        self, change: bytes, term: int, timeout_seconds: float = 5.0
    ) -> bytes | outcomes.Refusal | outcomes.Unknown:
        """See `fakes.FakeReplica`."""
        await trio.sleep(1.5)
        return await super().propose_in_term(change, term, timeout_seconds)


class SlowCluster(fakes.FakeCluster):
    """A cluster whose leader commits slowly."""

    make_replica = SlowReplica


class TestSubmissionInProgress:

    # A job ran though its caller had been told that it was refused: admission
    # control refused its second submission while the first was committed.
    async def test_second_submission_is_not_refused_before_the_first_ends(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = SlowCluster(fakes.FakeWorker("w1"))
        leader_api = cluster.leader_api
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader_api.run)
            await cluster.wait_until(lambda: leader_api.leadership is not None)
            nursery.start_soon(cluster.submit, "a1", DEMAND)
            await trio.sleep(1.2)
            second = await leader_api.submit(fakes.QUEUE, "a1", TOO_LARGE)
            await cluster.wait_until(lambda: "a1" in cluster.queue_state.jobs)
            nursery.cancel_scope.cancel()
        assert not isinstance(second, outcomes.Refusal)
