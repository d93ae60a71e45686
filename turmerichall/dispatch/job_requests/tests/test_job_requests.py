"""Tests of jobs that are submitted again before the first submission ended."""

import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import demand as demands

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

DEMAND = demands.JobDemand("x", (demands.StepDemand(1, cpu=1000),))
# Fits no worker, so that admission control refuses it.
TOO_LARGE = demands.JobDemand("x", (demands.StepDemand(1, cpu=10**9),))


class SlowReplica(fakes.FakeReplica):
    """A replica whose commits take a while.

    Attributes:
        delay_seconds: How long a commit takes.
    """

    delay_seconds = 1.5

    async def propose_in_term(
        self, change: bytes, term: int, timeout_seconds: float = 5.0
    ) -> bytes | outcomes.Refusal | outcomes.Unknown:
        """See `fakes.FakeReplica`."""
        await trio.sleep(self.delay_seconds)
        return await super().propose_in_term(change, term, timeout_seconds)


class SlowCluster(fakes.FakeCluster):
    """A cluster whose leader commits slowly."""

    make_replica = SlowReplica
    replica: SlowReplica


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

    async def test_job_whose_caller_no_longer_waits_is_started(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = SlowCluster(fakes.FakeWorker("w1"))
        leader_api = cluster.leader_api
        cluster.replica.delay_seconds = 4.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader_api.run)
            await cluster.wait_until(lambda: leader_api.leadership is not None)
            first = await leader_api.submit(fakes.QUEUE, "a1", DEMAND)
            cluster.replica.delay_seconds = 0.01
            await cluster.wait_until(lambda: "a1" in cluster.queue_state.jobs)
            await cluster.wait_for_state("completed", "a1")
            nursery.cancel_scope.cancel()
        assert isinstance(first, outcomes.Unknown)

    # Only the state showed that such a job was canceled; its tasks ran on.
    async def test_cancellation_whose_caller_no_longer_waits_stops_the_runs(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1", rate=0.001)
        cluster = SlowCluster(worker)
        cluster.replica.delay_seconds = 0.01
        leader_api = cluster.leader_api
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader_api.run)
            await cluster.wait_until(lambda: leader_api.leadership is not None)
            await cluster.submit("a1", DEMAND)
            await cluster.wait_until(lambda: bool(worker.runs))
            cluster.replica.delay_seconds = 4.0
            canceled = await leader_api.cancel("a1")
            cluster.replica.delay_seconds = 0.01
            await cluster.wait_for_state("canceled", "a1")
            await cluster.wait_until(lambda: not worker.runs)
            nursery.cancel_scope.cancel()
        assert isinstance(canceled, outcomes.Unknown)


class TestRefusedCall:

    async def test_late_attempt_of_a_refused_call_is_refused_too(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))
        leader_api = cluster.leader_api
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader_api.run)
            await cluster.wait_until(lambda: leader_api.leadership is not None)
            failures = [
                await leader_api.submit(
                    fakes.QUEUE,
                    "a1",
                    demand,
                    attempt=leader_apis.Attempt(call_id),
                )
                for demand, call_id in (
                    (TOO_LARGE, "c1"),
                    (DEMAND, "c1"),
                    (DEMAND, "c2"),
                )
            ]
            nursery.cancel_scope.cancel()
        assert isinstance(failures[0], outcomes.Refusal)
        assert failures[1] == failures[0]
        assert failures[2] is None

    async def test_stays_refused_when_the_work_of_the_term_begins_anew(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))
        leader_api = cluster.leader_api
        attempt = leader_apis.Attempt("c1", 1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader_api.run)
            await cluster.wait_until(lambda: leader_api.leadership is not None)
            first = leader_api.leadership
            assert first is not None
            refused = await leader_api.submit(
                fakes.QUEUE, "a1", TOO_LARGE, attempt=attempt
            )
            first.end_work()
            await cluster.wait_until(
                lambda: leader_api.leadership not in (None, first)
            )
            late = await leader_api.submit(
                fakes.QUEUE, "a1", DEMAND, attempt=attempt
            )
            nursery.cancel_scope.cancel()
        assert isinstance(refused, outcomes.Refusal)
        assert late == refused

    async def test_attempt_for_an_earlier_term_is_not_processed(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))
        leader_api, attempt = cluster.leader_api, leader_apis.Attempt("c1", 1)
        cluster.replica.term = 3
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader_api.run)
            await cluster.wait_until(lambda: leader_api.leadership is not None)
            failures = [
                await leader_api.submit(
                    fakes.QUEUE, "a1", DEMAND, attempt=attempt
                ),
                await leader_api.refuse(leader_apis.NO_QUORUM, "a1", attempt),
            ]
            nursery.cancel_scope.cancel()
        assert failures == [leader_apis.NOT_LEADER] * 2

    async def test_job_in_the_log_is_not_refused_for_lack_of_a_quorum(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))
        leader_api = cluster.leader_api
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader_api.run)
            await cluster.wait_until(lambda: leader_api.leadership is not None)
            await cluster.submit("a1", DEMAND)
            failures = [
                await leader_api.refuse(
                    leader_apis.NO_QUORUM, job, leader_apis.Attempt("c")
                )
                for job in ("a1", "a2")
            ]
            nursery.cancel_scope.cancel()
        assert failures == [None, leader_apis.NO_QUORUM]
