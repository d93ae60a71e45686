"""Tests of ends of runs that are committed as their worker is removed."""

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands
from turmerichall.queues import state as states

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

JOB = test_leadership.JOB


class _JointReplica(fakes.FakeReplica):
    """A replica that applies the end of a run just before a removal.

    The proposal of the removal returns first.

    Attributes:
        ends_wait: Whether ends wait for the proposal of a removal.
        removal_proposed: Set once a removal is proposed.
    """

    def __init__(self, queue_state: states.QueueState):
        super().__init__(queue_state)
        self.ends_wait = True
        self.removal_proposed = trio.Event()

    async def propose_in_term(
        self, change: bytes, term: int, timeout_seconds: float = 5.0
    ) -> bytes | outcomes.Refusal | outcomes.Unknown:
        """See `FakeReplica`."""
        decoded = changes.decode(change)
        if isinstance(decoded, changes.LoseWorker):
            self.removal_proposed.set()
        if not isinstance(decoded, changes.EndRuns) or not self.ends_wait:
            return await super().propose_in_term(change, term, timeout_seconds)
        self.ends_wait = False
        await self.removal_proposed.wait()
        self.apply(decoded)
        await trio.sleep(0.02)
        return b""


class _Cluster(fakes.FakeCluster):
    """A cluster with such a replica."""

    make_replica = _JointReplica

    def __init__(self, worker: fakes.FakeWorker):
        super().__init__(worker)
        self.first = worker

    async def replace_first(self) -> fakes.FakeWorker:
        """Crash the first worker, and register another in its place."""
        self.first.crash()
        successor = fakes.FakeWorker("w2")
        record = successor.record._replace(address=self.first.record.address)
        successor.record = record
        self.workers[record.address] = successor
        heartbeat = worker_client.Heartbeat(
            record, False, 1, successor.clock_ms()
        )
        assert await self.leader_api.heartbeat(heartbeat)
        return successor


class TestSameMoment:

    # The task was started again, though its end `done` had been committed, and
    # the steps after it were not started.
    @pytest.mark.parametrize("steps", [1, 2])
    async def test_a_task_that_is_done_is_not_started_again(
        self, mocked_clocks: trio.testing.MockClock, steps: int
    ) -> None:
        cluster = _Cluster(fakes.FakeWorker("w1"))
        demand = (demands.StepDemand(2, cpu=1000, memory_mb=100),) + (
            demands.StepDemand(1, cpu=1000, memory_mb=100, after=(0,)),
        ) * (steps - 1)

        async def script() -> None:
            await cluster.submit(JOB, demands.JobDemand("text", demand))
            await cluster.wait_until(lambda: bool(cluster.first.runs))
            await trio.sleep(cluster.first.run_seconds + 0.2)
            successor = await cluster.replace_first()
            await cluster.wait_for_state("completed", JOB, seconds=5.0)
            await trio.sleep(2.0)
            assert [row[0].step for row in successor.history] == [1] * (
                steps - 1
            )

        await test_leadership.run_script(cluster, script)

    async def test_a_task_that_failed_is_started_again(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster(fakes.FakeWorker("w1"))
        cluster.first.outcome = lambda _: changes.Ending.FAILED

        async def script() -> None:
            await test_leadership.submit(cluster, test_leadership.demand(2))
            await cluster.wait_until(lambda: bool(cluster.first.runs))
            await trio.sleep(cluster.first.run_seconds + 0.2)
            successor = await cluster.replace_first()
            await cluster.wait_for_state("completed", JOB, seconds=5.0)
            assert len(successor.history) == 2

        await test_leadership.run_script(cluster, script)
