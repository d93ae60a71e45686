"""Tests of workers that announce their end, and of the tasks on them."""

import pytest
import trio
import trio.testing

from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

JOB = test_leadership.JOB


class _Cluster(fakes.FakeCluster):
    """A cluster in which a long task is on the worker that leaves."""

    def __init__(self) -> None:
        self.first, self.second = fakes.FakeWorker("w1"), fakes.FakeWorker("w2")
        super().__init__(self.first)
        for worker in (self.first, self.second):
            worker.run_seconds = 60.0
        self.workers[self.second.record.address] = self.second

    async def prepare(self) -> None:
        """Start the task on the first worker, then add the second."""
        await test_leadership.submit(self, test_leadership.demand())
        await self.wait_until(lambda: bool(self.first.runs))
        heartbeat = worker_client.Heartbeat(
            self.second.record, False, 1, self.second.clock_ms()
        )
        assert await self.leader_api.heartbeat(heartbeat)
        # The poll that confirms the run has been answered.
        await trio.sleep(1.0)

    async def leave(self) -> float:
        """Let the first worker give notice; return when it was acknowledged."""
        assert await self.leader_api.worker_leaving("w1")
        return trio.current_time()

    async def started_elsewhere(self, seconds: float) -> float:
        """Return when the task was started on the second worker."""
        await self.wait_until(lambda: bool(self.second.history), seconds)
        return self.second.history[0][2]

    def lease_end(self) -> float:
        """Return when the lease of the first worker ends, in trio time."""
        first = self.first
        left_ms = first.deadline_ms - first.clock_ms()
        return trio.current_time() + left_ms / 1000


class TestUnknownEnd:

    # The task ran twice, for 6 s in the review's case: a poll without an answer
    # was taken for the end of the worker.
    @pytest.mark.parametrize("failure", ["silent", "down"])
    async def test_tasks_wait_for_the_lease_of_a_worker_that_may_go_on(
        self, mocked_clocks: trio.testing.MockClock, failure: str
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            await cluster.prepare()
            setattr(cluster.first, failure, True)
            await cluster.leave()
            lease_end = cluster.lease_end()
            started_at = await cluster.started_elsewhere(20.0)
            assert lease_end <= started_at < lease_end + 3.0
            await cluster.wait_until(
                lambda: "w1" in cluster.queue_state.gone, 2.0
            )

        await test_leadership.run_script(cluster, script)
        assert any(
            message == "leaving worker keeps its tasks until their end is known"
            for message, _ in cluster.log.lines
        )

    # It obeys a newer leader, so it runs, and was taken to have ended.
    async def test_a_worker_that_refuses_a_poll_is_not_removed(
        self,
        mocked_clocks: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        cluster = _Cluster()
        poll = cluster.first.poll

        async def overloaded(
            token: int, acknowledged: int, deadline_ms: int | None, wait_ms: int
        ) -> worker_client.WorkerStatus | worker_client.PollFailure:
            if deadline_ms is None and cluster.second.history:
                return worker_client.PollFailure(fakes.Verdict.UNWELL)
            return await poll(token, acknowledged, deadline_ms, wait_ms)

        async def script() -> None:
            await cluster.prepare()
            monkeypatch.setattr(cluster.first, "poll", overloaded)
            await cluster.leave()
            await trio.sleep(3.0)
            assert cluster.second.history
            assert "w1" in cluster.queue_state.workers

        await test_leadership.run_script(cluster, script)


class TestKnownEnd:

    async def test_a_worker_that_answers_frees_its_tasks_with_its_notice(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            await cluster.prepare()
            asked_at = trio.current_time()
            acknowledged_at = await cluster.leave()
            cluster.first.crash()
            assert acknowledged_at - asked_at < 0.5
            assert await cluster.started_elsewhere(1.0) - asked_at < 0.4
            assert not cluster.overlaps()
            await cluster.wait_until(
                lambda: "w1" in cluster.queue_state.gone, 1.0
            )

        await test_leadership.run_script(cluster, script)

    async def test_another_incarnation_frees_the_tasks_before_the_lease_ends(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            await cluster.prepare()
            cluster.first.silent = True
            acknowledged_at = await cluster.leave()
            cluster.first.crash()
            successor = fakes.FakeWorker("w3", cpu=0)
            successor.record = successor.record._replace(
                address=cluster.first.record.address
            )
            cluster.workers[successor.record.address] = successor
            heartbeat = worker_client.Heartbeat(successor.record, False, 1)
            assert await cluster.leader_api.heartbeat(heartbeat)
            started_at = await cluster.started_elsewhere(2.0)
            assert started_at - acknowledged_at < leases.LEASE_SECONDS / 4

        await test_leadership.run_script(cluster, script)
