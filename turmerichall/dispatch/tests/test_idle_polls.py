"""Tests of what polls without news cost, and of the news that they bring."""

import pytest
import trio
import trio.testing

from turmerichall.dispatch import placement_trigger
from turmerichall.dispatch import session as sessions
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

MEASURED_SECONDS = 10.0
BEST_EFFORT = "b" * 16


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


class _WatchedWorker(fakes.FakeWorker):
    """A worker whose long-running run has a given tail latency.

    Attributes:
        tail_ms: The tail latency.
        waits_ms: Waits of the polls so far.
    """

    def __init__(self, tail_ms: int):
        super().__init__("w1")
        self.lasting_jobs.add(test_leadership.JOB)
        self.run_seconds = 600.0
        self.tail_ms = tail_ms
        self.waits_ms: list[int] = []

    async def poll(
        self,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> worker_client.WorkerStatus | worker_client.PollFailure:
        """See `WorkerClient`."""
        self.waits_ms.append(wait_ms)
        status = await super().poll(token, acknowledged, deadline_ms, wait_ms)
        if not isinstance(status, worker_client.WorkerStatus):
            return status
        loads = {test_leadership.JOB: self.tail_ms, BEST_EFFORT: 1000}
        return status._replace(
            running=[
                row._replace(
                    recent_load=loads[row.task.job], progress_percent=100
                )
                for row in status.running
                if row.task is not None
            ]
        )


class TestPollsOfAWorkerWithTailLatencies:

    async def _start_runs(self, cluster: fakes.FakeCluster) -> None:
        service = test_leadership.demand(
            1, lasting=True, target_ms=20, image="desk"
        )
        await test_leadership.submit(cluster, service)
        await trio.sleep(3.0)
        batch = test_leadership.demand(1, fills=True, image="scan")
        await cluster.submit(BEST_EFFORT, batch)
        await trio.sleep(3.0)
        assert len(cluster.starts()) == 2

    @pytest.mark.parametrize(
        "tail_ms, wait_ms",
        [
            (8, sessions.MEDIUM_WAIT_MS),
            (13, sessions.SHORT_WAIT_MS),
            (0, sessions.SHORT_WAIT_MS),
        ],
    )
    async def test_come_less_often_only_far_below_the_target(
        self,
        mocked_clocks: trio.testing.MockClock,
        tail_ms: int,
        wait_ms: int,
    ) -> None:
        """An unknown tail latency, or one near its target, may soon miss it."""
        worker = _WatchedWorker(tail_ms)
        cluster = fakes.FakeCluster(worker)

        async def script() -> None:
            await self._start_runs(cluster)
            assert worker.waits_ms[-1] == wait_ms

        await test_leadership.run_script(cluster, script)

    async def test_show_a_missed_target_within_a_medium_wait(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        """Best-effort runs are throttled late if polls come too seldom."""
        worker = _WatchedWorker(8)
        cluster = fakes.FakeCluster(worker)

        async def script() -> None:
            await self._start_runs(cluster)
            leadership = cluster.leader_api.leadership
            assert leadership is not None
            known = leadership.workers[worker.record.id]
            worker.tail_ms = 30
            changed_at = trio.current_time()
            await cluster.wait_until(
                lambda: any(run.load == 30 for run in known.runs.values())
            )
            seconds = trio.current_time() - changed_at
            assert seconds < sessions.MEDIUM_WAIT_MS / 1000 + 0.2
            await trio.sleep(0.1)
            assert worker.waits_ms[-1] == sessions.SHORT_WAIT_MS

        await test_leadership.run_script(cluster, script)


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
        limit = MEASURED_SECONDS / placement_trigger.INTERVAL_SECONDS
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
