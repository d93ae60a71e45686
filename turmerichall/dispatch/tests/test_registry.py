"""Tests of workers that drain while commits fail or the leader changes."""

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.queues import change as changes

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

JOB = test_leadership.JOB
# Time in which a worker that drains is left by its long-running task.
MOVE_SECONDS = 5.0


class _Cluster(fakes.FakeCluster):
    """A cluster in which a long-running task is on the worker that drains."""

    def __init__(self) -> None:
        self.first, self.second = fakes.FakeWorker("w1"), fakes.FakeWorker("w2")
        super().__init__(self.first)
        for worker in (self.first, self.second):
            worker.lasting_jobs.add(JOB)
        self.workers[self.second.record.address] = self.second

    async def prepare(self) -> None:
        """Start the task on the first worker, then add the second."""
        asked = test_leadership.demand(1, lasting=True)
        await test_leadership.submit(self, asked)
        await self.wait_until(lambda: bool(self.first.runs))
        await trio.sleep(2.0)
        assert await self.leader_api.heartbeat(self.heartbeat(self.second, 1))

    @staticmethod
    def heartbeat(
        worker: fakes.FakeWorker, sequence: int, draining: bool = False
    ) -> worker_client.Heartbeat:
        """Return a heartbeat of a worker."""
        return worker_client.Heartbeat(
            worker.record, draining, sequence, worker.clock_ms()
        )

    async def drain(self, sequence: int) -> bool:
        """Let the first worker report that it drains."""
        heartbeat = self.heartbeat(self.first, sequence, draining=True)
        return await self.leader_api.heartbeat(heartbeat)

    async def wait_until_moved(self) -> None:
        """Wait until the task runs on the second worker only."""
        await self.wait_until(
            lambda: bool(self.second.runs) and not self.first.runs, MOVE_SECONDS
        )


class TestDrain:

    async def test_a_drain_whose_commit_failed_is_repeated(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            await cluster.prepare()
            cluster.replica.committing = False
            assert not await cluster.drain(2)
            cluster.replica.committing = True
            assert await cluster.drain(3)
            await cluster.wait_until_moved()

        await test_leadership.run_script(cluster, script)

    # The worker's long-running and checkpointing runs were not stopped, and
    # ended with it.
    async def test_a_drain_that_was_committed_without_an_answer_moves_runs(
        self,
        mocked_clocks: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        cluster = _Cluster()
        propose = cluster.replica.propose_in_term

        async def time_out(
            change: bytes, term: int, timeout_seconds: float = 5.0
        ) -> bytes | outcomes.Refusal | outcomes.Unknown:
            if not isinstance(changes.decode(change), changes.DrainWorker):
                return await propose(change, term, timeout_seconds)
            await trio.sleep(timeout_seconds)
            cluster.replica.apply(changes.decode(change))
            return outcomes.Unknown(outcomes.UnknownReason.LEADER_LOST)

        async def script() -> None:
            await cluster.prepare()
            monkeypatch.setattr(cluster.replica, "propose_in_term", time_out)
            assert not await cluster.drain(2)
            assert cluster.queue_state.draining == {"w1"}
            assert await cluster.drain(3)
            await cluster.wait_until_moved()

        await test_leadership.run_script(cluster, script)

    # The new leader loaded the worker as draining, and left its runs there.
    async def test_a_new_leader_moves_the_runs_of_a_draining_worker(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            await cluster.prepare()
            cluster.replica.lead(0)
            await cluster.wait_until(
                lambda: cluster.leader_api.leadership is None
            )
            cluster.replica.apply(changes.DrainWorker("w1"))
            cluster.replica.lead(2)
            await cluster.wait_until_moved()

        await test_leadership.run_script(cluster, script)
