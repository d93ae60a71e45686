"""Tests of cancellations that come before the submission of their job."""

from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.dispatch.job_requests.tests import test_job_requests
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.dispatch.withdrawals import withdrawal
from turmerichall.http1 import message
from turmerichall.platform import client_requests
from turmerichall.queues import forgetting
from turmerichall.queues import state as states

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

JOB = test_leadership.JOB
DEMAND = test_job_requests.DEMAND


async def submit(
    cluster: fakes.FakeCluster, job: str = JOB
) -> outcomes.Refusal | outcomes.Unknown | None:
    """Submit a job."""
    return await cluster.leader_api.submit(fakes.QUEUE, job, DEMAND)


async def change_leader(cluster: fakes.FakeCluster, term: int) -> None:
    """End the leader's work, and begin it in another term."""
    cluster.replica.lead(0)
    await cluster.wait_until(lambda: cluster.leader_api.leadership is None)
    cluster.replica.lead(term)
    await cluster.wait_until(lambda: cluster.leader_api.leadership is not None)


class TestLateSubmission:
    """A submission that arrives after the cancellation of its job.

    An instance was frozen when it received the submission, and the client
    canceled the job through another one.
    """

    # The cancellation was answered with 410, and the job ran for ever.
    @pytest.mark.parametrize("next_leader", [False, True])
    async def test_canceled_job_is_not_accepted(
        self, mocked_clocks: trio.testing.MockClock, next_leader: bool
    ) -> None:
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))

        async def script() -> None:
            canceled = await cluster.leader_api.cancel(JOB)
            assert canceled == withdrawal.UNKNOWN_JOB
            if next_leader:
                await change_leader(cluster, 2)
            assert await submit(cluster) == withdrawal.WITHDRAWN
            await trio.sleep(2.0)
            assert not cluster.queue_state.jobs

        await test_leadership.run_script(cluster, script)
        assert not cluster.starts()

    async def test_cancellation_survives_a_loss_of_power(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))

        async def script() -> None:
            await cluster.leader_api.cancel(JOB)
            restored = states.QueueState()
            restored.restore(cluster.queue_state.snapshot())
            assert restored.withdrawn == {JOB}

        await test_leadership.run_script(cluster, script)

    async def test_submission_during_the_commit_is_refused(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = test_job_requests.SlowCluster(fakes.FakeWorker("w1"))
        canceled: list[outcomes.Refusal | outcomes.Unknown | None] = []

        async def script() -> None:
            async with trio.open_nursery() as nursery:

                async def cancel() -> None:
                    canceled.append(await cluster.leader_api.cancel(JOB))

                nursery.start_soon(cancel)
                await trio.sleep(0.5)
                assert await submit(cluster) == withdrawal.WITHDRAWN
            assert not cluster.queue_state.jobs

        await test_leadership.run_script(cluster, script)
        assert canceled == [withdrawal.UNKNOWN_JOB]

    # The answer 410 would be a promise that power can take back.
    async def test_cancellation_that_is_not_committed_is_not_acknowledged(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))

        async def script() -> None:
            cluster.replica.committing = False
            canceled = await cluster.leader_api.cancel(JOB)
            assert isinstance(canceled, outcomes.Unknown)
            cluster.replica.committing = True

        await test_leadership.run_script(cluster, script)


class TestBounds:
    """Many cancellations of ids that nobody knows."""

    async def test_cancellation_without_room_is_not_acknowledged(
        self,
        mocked_clocks: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setattr(withdrawal, "MAX_WITHDRAWN", 3)
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))

        async def script() -> None:
            assert await submit(cluster) is None
            answers = [
                await cluster.leader_api.cancel(f"unknown{number}")
                for number in range(4)
            ]
            assert answers == [withdrawal.UNKNOWN_JOB] * 3 + [
                withdrawal.NO_ROOM
            ]
            # A known job, and one that is withdrawn already, need no room.
            assert await cluster.leader_api.cancel(JOB) is None
            again = await cluster.leader_api.cancel("unknown0")
            assert again == withdrawal.UNKNOWN_JOB

        await test_leadership.run_script(cluster, script)

    async def test_id_that_no_job_can_have_is_not_kept(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))

        async def script() -> None:
            request = message.Request(
                "DELETE", "/jobs/" + "x" * 129, {"host": "a.example"}
            )
            response = await client_requests.handle(cluster.leader_api, request)
            assert isinstance(response, message.Response)
            assert response.status == 410
            assert not cluster.queue_state.withdrawn

        await test_leadership.run_script(cluster, script)


class TestTime:
    """How long a withdrawn job is refused."""

    @staticmethod
    async def run(
        script: Callable[[fakes.FakeCluster], Awaitable[None]],
    ) -> None:
        """Cancel an unknown job, then run a script."""
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))

        async def with_cancellation() -> None:
            await cluster.leader_api.cancel(JOB)
            await script(cluster)

        await test_leadership.run_script(cluster, with_cancellation)

    async def test_it_leaves_after_its_time(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        async def script(cluster: fakes.FakeCluster) -> None:
            await trio.sleep(withdrawal.KEPT_SECONDS - 1.0)
            assert cluster.queue_state.withdrawn == {JOB}
            await trio.sleep(60.0)
            assert not cluster.queue_state.withdrawn
            assert await submit(cluster) is None

        await self.run(script)

    # The second answer promised the time anew.
    @pytest.mark.parametrize("asked_at", [200.0, 299.0, 301.0])
    async def test_its_time_counts_from_the_latest_cancellation(
        self, mocked_clocks: trio.testing.MockClock, asked_at: float
    ) -> None:
        async def script(cluster: fakes.FakeCluster) -> None:
            await trio.sleep(asked_at)
            again = await cluster.leader_api.cancel(JOB)
            assert again == withdrawal.UNKNOWN_JOB
            await trio.sleep(withdrawal.KEPT_SECONDS - 1.0)
            assert await submit(cluster) == withdrawal.WITHDRAWN

        await self.run(script)

    # It was withdrawn again while the change was committed by which it leaves.
    async def test_cancellation_while_it_leaves_is_committed_again(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        async def script(cluster: fakes.FakeCluster) -> None:
            leadership = cluster.leader_api.leadership
            assert leadership is not None
            change = forgetting.Forget(withdrawn=(JOB,))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(leadership.retention.remove, change)
                await trio.sleep(0.002)
                canceled = await cluster.leader_api.cancel(JOB)
            assert canceled == withdrawal.UNKNOWN_JOB
            assert await submit(cluster) == withdrawal.WITHDRAWN

        await self.run(script)
