"""Tests of what polls without news cost, and of the news that they bring."""

import pytest
import trio
import trio.testing

from turmerichall.dispatch import leadership as leaderships
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

MEASURED_SECONDS = 10.0


class _StaggeredWorker(fakes.FakeWorker):
    """A worker whose first answer is late, so that polls don't coincide."""

    def __init__(self, number: int):
        super().__init__(f"w{number}")
        self.first_delay = number * 0.015

    async def poll(
        self,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> worker_client.WorkerStatus | worker_client.PollFailure:
        """See `WorkerClient`."""
        delay, self.first_delay = self.first_delay, 0.0
        await trio.sleep(delay)
        return await super().poll(token, acknowledged, deadline_ms, wait_ms)


class TestPollsOfManyWorkers:

    async def test_request_no_placement_without_an_end(
        self,
        mocked_clocks: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """A placement for each poll keeps the leader's processor busy."""
        workers = [_StaggeredWorker(number) for number in range(100)]
        cluster = fakes.FakeCluster(*workers)
        rounds = 0

        async def script() -> None:
            leadership = cluster.leader_api.leadership
            assert leadership is not None
            await cluster.wait_until(
                lambda: all(w.in_touch for w in leadership.workers.values())
            )
            planner = leadership._planner  # pylint: disable=protected-access
            plan = planner.plan

            def count(now: float, now_ms: int) -> object:
                nonlocal rounds
                rounds += 1
                return plan(now, now_ms)

            monkeypatch.setattr(planner, "plan", count)
            await trio.sleep(MEASURED_SECONDS)

        await test_leadership.run_script(cluster, script)
        limit = MEASURED_SECONDS / leaderships.PLACEMENT_INTERVAL_SECONDS
        assert limit / 2 < rounds <= limit + 1

    async def test_show_an_end_and_the_next_task_starts_at_once(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        """A poll that waits for an end is answered when there is one."""
        worker = fakes.FakeWorker("w1", cpu=1000)
        cluster = fakes.FakeCluster(worker)

        async def script() -> None:
            await test_leadership.submit(cluster, test_leadership.demand(5))
            await cluster.wait_for_state("completed", test_leadership.JOB)

        await test_leadership.run_script(cluster, script)
        times = [time for _, _, time in cluster.starts()]
        gaps = [after - before for before, after in zip(times, times[1:])]
        assert max(gaps) < worker.run_seconds + 0.1
