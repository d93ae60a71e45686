"""Tests of workers that start again under the id that they had."""

from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from turmerichall.dispatch import lease as leases
from turmerichall.dispatch.tests import test_leadership
from turmerichall.platform.tests import wire_worker
from turmerichall.queues import change as changes

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

JOB = test_leadership.JOB
# Longest lease that a leader grants, in ms.
LEASE_MS = 8000


async def run_script(
    cluster: wire_worker.WireCluster, script: Callable[[], Awaitable[None]]
) -> None:
    """Run the leader, with workers that send heartbeats, until it is done."""

    async def with_heartbeats() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cluster.send_heartbeats)
            await cluster.wait_until(
                lambda: len(cluster.queue_state.workers)
                == len(cluster.wire_workers)
            )
            await script()
            nursery.cancel_scope.cancel()

    await test_leadership.run_script(cluster, with_heartbeats)


def started_after_done(cluster: wire_worker.WireCluster) -> list[object]:
    """Return the starts of tasks that an earlier run had done."""
    done: dict[object, float] = {}
    for life in cluster.lives():
        for task, at in life.done_at.items():
            done[task] = min(at, done.get(task, at))
    return [
        row for row in cluster.starts() if row[2] > done.get(row[0], row[2])
    ]


class TestEnds:

    # The ends of the new life have the numbers of acknowledged ends of the old
    # one: they were skipped and acknowledged, and the tasks ran again.
    async def test_ends_after_a_restart_under_the_same_id_are_not_skipped(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = wire_worker.WireWorker("w1")
        other = wire_worker.WireWorker("w2")
        cluster = wire_worker.WireCluster(worker, other)
        jobs = [f"{number:016x}" for number in range(4)]

        async def script() -> None:
            await cluster.submit(jobs[0], test_leadership.demand(16))
            await cluster.wait_until(
                lambda: cluster.job_state(jobs[0]) == "completed"
            )
            worker.life.crash()
            await trio.sleep(0.6)
            worker.restart()
            for job in jobs[1:]:
                await cluster.submit(job, test_leadership.demand(8))
                await trio.sleep(0.7)
            await cluster.wait_for_state("completed", *jobs)

        await run_script(cluster, script)
        assert not started_after_done(cluster)
        assert worker.life.history


class TestOrders:

    @staticmethod
    async def restart_during_start(
        cluster: wire_worker.WireCluster,
        worker: wire_worker.WireWorker,
        other: wire_worker.WireWorker,
    ) -> None:
        """Restart a worker that holds back a start, which goes to another."""
        await trio.sleep(60.0)
        for each in (worker, other):
            each.life.run_seconds = each.run_seconds = 2.5
        worker.hold_back = lambda path, _: path == "/v1/run-start"
        await cluster.submit(JOB, test_leadership.demand(1))
        await cluster.wait_until(lambda: bool(worker.held_back))
        task = changes.TaskName(JOB, 0, 0, 0)
        assert worker.held_back[0]["task"] == str(task)
        worker.restart()
        worker.hold_back = lambda *_: False
        await cluster.wait_until(
            lambda: any(row[0] == task for row in other.life.history)
        )

    # The start's deadline was a time of the old life's clock, which the new
    # one reaches much later.
    async def test_a_late_start_does_not_run_in_the_next_life(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = wire_worker.WireWorker("w1")
        other = wire_worker.WireWorker("w2")
        cluster = wire_worker.WireCluster(worker, other)

        async def script() -> None:
            await self.restart_during_start(cluster, worker, other)
            await worker.carry_out("/v1/run-start", worker.held_back[0])
            await cluster.wait_for_state("completed", JOB)
            assert not cluster.overlaps()

        await run_script(cluster, script)

    async def test_deadlines_are_times_of_the_new_lifes_clock(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = wire_worker.WireWorker("w1")
        cluster = wire_worker.WireCluster(worker)

        async def script() -> None:
            await trio.sleep(60.0)
            worker.restart()
            await trio.sleep(4.0)
            await cluster.submit(JOB, test_leadership.demand(4))
            await cluster.wait_for_state("completed", JOB)

        await run_script(cluster, script)
        assert worker.life.history
        assert worker.life.longest_lease_ms <= LEASE_MS

    # A start to the first life reached the third; the second refused it.
    async def test_a_late_start_does_not_run_two_lives_later(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = wire_worker.WireWorker("w1")
        other = wire_worker.WireWorker("w2")
        cluster = wire_worker.WireCluster(worker, other)

        async def script() -> None:
            await self.restart_during_start(cluster, worker, other)
            worker.restart()
            await trio.sleep(1.6)
            await worker.carry_out("/v1/run-start", worker.held_back[0])
            assert not worker.life.history
            await cluster.wait_for_state("completed", JOB)

        await run_script(cluster, script)

    async def test_the_next_leader_knows_the_life(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = wire_worker.WireWorker("w1")
        cluster = wire_worker.WireCluster(worker)
        jobs = [f"{number:016x}" for number in range(3)]

        async def script() -> None:
            for number, job in enumerate(jobs):
                await cluster.submit(job, test_leadership.demand(8))
                while cluster.job_state(job) != "completed":
                    await trio.sleep(0.05)
                worker.restart()
                cluster.replica.lead(number + 2)
                await trio.sleep(3.0)

        await run_script(cluster, script)
        assert not started_after_done(cluster)


class TestStartsInTheNextLife:
    """A start that the next life carries out before the leader knows of it.

    The leader tries it again while the worker is silent, and the worker comes
    back in between.
    """

    # The run of the next life was taken for one that never began, so the task
    # ran a second time: after its end, or while the run was being stopped.
    @pytest.mark.parametrize("run_seconds", [0.15, 1.4])
    @pytest.mark.parametrize("next_term", [False, True])
    async def test_its_task_does_not_run_twice(
        self,
        mocked_clocks: trio.testing.MockClock,
        run_seconds: float,
        next_term: bool,
    ) -> None:
        worker = wire_worker.WireWorker("w1")
        other = wire_worker.WireWorker("w2")
        cluster = wire_worker.WireCluster(worker, other)

        async def script() -> None:
            await trio.sleep(60.0)
            for each in (worker, other):
                each.life.run_seconds = each.run_seconds = run_seconds
                each.stop_seconds = 0.36
            worker.hold_back = lambda path, _: path == "/v1/run-start"
            await cluster.submit(JOB, test_leadership.demand(1))
            await cluster.wait_until(lambda: bool(worker.held_back))
            worker.life.silent = True
            worker.hold_back = lambda *_: False
            await trio.sleep(0.65)
            worker.restart()
            await cluster.wait_until(lambda: bool(worker.life.history), 1.0)
            if next_term:
                cluster.replica.lead(2)
            await cluster.wait_for_state("completed", JOB)
            await trio.sleep(3.0)

        await run_script(cluster, script)
        assert not cluster.overlaps()
        assert not started_after_done(cluster)


class TestLease:

    # A poll meant for the old life extends the lease of the new one; times of
    # the old clock are far ahead.
    async def test_a_lease_lasts_as_long_as_one_meant_for_the_old_life(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = wire_worker.WireWorker("w1")
        cluster = wire_worker.WireCluster(worker)

        async def script() -> None:
            await trio.sleep(60.0)
            worker.restart()
            restarted_at = trio.current_time()
            await cluster.wait_until(
                lambda: len(cluster.queue_state.gone) == 1
                and len(cluster.queue_state.workers) == 1
            )
            leadership = cluster.leader_api.leadership
            assert leadership is not None
            known = list(leadership.workers.values())[0]
            await trio.sleep(0.2)
            worker.life.silent = True
            until = restarted_at + leases.MAX_LEASE_SECONDS
            while trio.current_time() < until:
                assert not known.lease.has_expired(trio.current_time())
                await trio.sleep(0.1)

        await run_script(cluster, script)


class TestRegistration:

    # The id counted as that of a worker that is gone for good.
    async def test_a_worker_that_left_may_come_back_under_its_id(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = wire_worker.WireWorker("w1")
        cluster = wire_worker.WireCluster(worker)

        async def script() -> None:
            assert await cluster.leader_api.heartbeat(
                worker.heartbeat(state="draining")
            )
            assert await cluster.leader_api.worker_leaving("w1")
            worker.life.crash()
            await trio.sleep(2.0)
            worker.restart()
            await cluster.submit(JOB, test_leadership.demand(4))
            await cluster.wait_for_state("completed", JOB)

        await run_script(cluster, script)

    async def test_late_calls_of_the_old_life_have_no_effect(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = wire_worker.WireWorker("w1")
        cluster = wire_worker.WireCluster(worker)

        async def script() -> None:
            ready = worker.heartbeat()
            draining = worker.heartbeat(state="draining")
            worker.restart()
            await cluster.wait_until(lambda: bool(cluster.queue_state.gone))
            await cluster.wait_until(lambda: bool(cluster.queue_state.workers))
            (live,) = cluster.queue_state.workers
            for late in (ready, draining):
                assert await cluster.leader_api.heartbeat(late)
            assert await cluster.leader_api.worker_leaving("w1")
            await trio.sleep(2.0)
            assert set(cluster.queue_state.workers) == {live}
            assert not cluster.queue_state.draining
            await cluster.submit(JOB, test_leadership.demand(4))
            await cluster.wait_for_state("completed", JOB)

        await run_script(cluster, script)

    # The stops were sent to the old address, which does not answer any more.
    async def test_a_machine_may_come_back_with_another_id_and_address(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker, next_one = (
            wire_worker.WireWorker(name) for name in ("w1", "w9")
        )
        cluster = wire_worker.WireCluster(worker)

        async def script() -> None:
            worker.life.lasting_jobs.add(JOB)
            await cluster.submit(JOB, test_leadership.demand(4, lasting=True))
            await cluster.wait_until(lambda: len(worker.life.runs) == 4)
            worker.life.crash()
            address = next_one.life.record.address
            cluster.wire_workers[address] = next_one
            heartbeat = next_one.heartbeat(machine="m-w1")
            assert await cluster.leader_api.heartbeat(heartbeat)
            await cluster.wait_until(lambda: len(next_one.life.runs) == 4, 2.0)

        await run_script(cluster, script)

    async def test_the_notice_of_a_worker_that_has_gone_is_acknowledged(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = wire_worker.WireWorker("w1")
        cluster = wire_worker.WireCluster(worker)

        async def script() -> None:
            for _ in range(2):
                assert await cluster.leader_api.worker_leaving("w1")
            worker.life.crash()
            await cluster.wait_until(lambda: not cluster.queue_state.workers)
            assert await cluster.leader_api.worker_leaving("w1")
            assert not await cluster.leader_api.worker_leaving("w2")

        await run_script(cluster, script)

    # A worker that does not tell when it started is one life, as before.
    @pytest.mark.parametrize("born", [None, "now", True, -5])
    async def test_a_start_time_that_is_unusable_is_unknown(
        self, mocked_clocks: trio.testing.MockClock, born: object
    ) -> None:
        worker = wire_worker.WireWorker("w1")
        heartbeat = worker.heartbeat(born=born)
        assert heartbeat.worker.id == heartbeat.worker.name == "w1"
        assert heartbeat.worker.born_ms == 0


class TestCrashes:

    async def test_a_task_that_crashes_a_worker_with_a_kept_id_is_given_up(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        workers = [wire_worker.WireWorker(f"w{number}") for number in range(3)]
        cluster = wire_worker.WireCluster(*workers)
        deadly = changes.TaskName(JOB, 0, 0, 0)

        async def restart_crashed() -> None:
            while True:
                for worker in workers:
                    worker.life.deadly_tasks.add(deadly)
                    if worker.life.down:
                        await trio.sleep(1.0)
                        worker.restart()
                await trio.sleep(0.01)

        async def script() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(restart_crashed)
                await trio.sleep(0.1)
                await cluster.submit(JOB, test_leadership.demand(4))
                await cluster.wait_for_state("failed", JOB)
                nursery.cancel_scope.cancel()

        await run_script(cluster, script)
        assert sum(deadly in life.crashed_runs for life in cluster.lives()) <= 3
