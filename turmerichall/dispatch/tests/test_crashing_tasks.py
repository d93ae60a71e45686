"""Tests of tasks that crash the workers that start them."""

from typing import Any

import pytest
import trio
import trio.testing

from turmerichall.dispatch import crash_attribution
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import crash_cluster
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.queues import change as changes

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

JOB = test_leadership.JOB
DEADLY = changes.TaskName(JOB, 0, 0, 0)
# Starts after the third crash at which a task counts as never given up.
STARTS_AFTER_THIRD_CRASH = 3


def suspect(
    cluster: crash_cluster.CrashCluster, **tasks: tuple[changes.TaskName, ...]
) -> None:
    """Commit the crash of a worker that the leader doesn't know.

    Args:
        cluster: The cluster, in which the deadly task's job was accepted.
        **tasks: Fields of `LoseWorker`.
    """
    ghost = fakes.FakeWorker("ghost").record
    started = changes.StartedRun(DEADLY, 1, ghost.id)
    for change in (
        changes.RegisterWorker(ghost),
        changes.StartRuns((started,)),
        changes.LoseWorker(ghost.id, **tasks),  # type: ignore[arg-type]
    ):
        cluster.replica.apply(change)


class TestGivenUp:

    # Such a task crashed one worker after the other until the end of the day,
    # each time with all that ran there.
    async def test_a_task_that_crashes_its_workers_is_given_up(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = crash_cluster.CrashCluster(6)
        cluster.deadly_tasks.add(DEADLY)

        async def script() -> None:
            await cluster.submit(JOB, test_leadership.demand(4))
            with trio.move_on_after(60.0):
                await cluster.wait_for_state("failed", JOB, seconds=99.0)

        await crash_cluster.run_script(cluster, script)
        assert cluster.starts_of(DEADLY) < 3 + STARTS_AFTER_THIRD_CRASH
        assert cluster.job_state(JOB) == "failed"

    async def test_it_is_given_up_once_and_its_other_tasks_are_stopped(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = crash_cluster.CrashCluster(6)
        cluster.deadly_tasks.add(DEADLY)
        for worker in cluster.incarnations:
            worker.run_seconds = 60.0

        async def script() -> None:
            await cluster.submit(JOB, test_leadership.demand(4))
            await cluster.wait_for_state("failed", JOB, seconds=60.0)
            await trio.sleep(1.0)
            assert not any(each.runs for each in cluster.workers.values())

        await crash_cluster.run_script(cluster, script)
        ended = [
            fields
            for message, fields in cluster.log.lines
            if message == "job ended"
        ]
        assert [fields["state"] for fields in ended] == ["failed"]

    async def test_crashes_before_a_new_leader_count(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = crash_cluster.CrashCluster(6)
        cluster.deadly_tasks.add(DEADLY)

        async def script() -> None:
            await cluster.submit(JOB, test_leadership.demand(4))
            for term in (2, 3, 4, 5):
                await trio.sleep(crash_cluster.RESTART_SECONDS + 0.5)
                cluster.replica.lead(term)
            await cluster.wait_for_state("failed", JOB, seconds=30.0)

        await crash_cluster.run_script(cluster, script)
        assert cluster.starts_of(DEADLY) < 3 + STARTS_AFTER_THIRD_CRASH

    @pytest.mark.parametrize(
        "step", [{"gang": True}, {"lasting": True}, {"fills": True}]
    )
    async def test_tasks_of_each_kind_are_given_up(
        self, mocked_clocks: trio.testing.MockClock, step: dict[str, Any]
    ) -> None:
        cluster = crash_cluster.CrashCluster(6)
        cluster.deadly_tasks.add(DEADLY)
        if "gang" in step:
            cluster.gangs.add(JOB)

        async def script() -> None:
            await cluster.submit(JOB, test_leadership.demand(4, **step))
            await cluster.wait_for_state("failed", JOB, seconds=60.0)

        await crash_cluster.run_script(cluster, script)
        assert cluster.starts_of(DEADLY) < 3 + STARTS_AFTER_THIRD_CRASH

    # They crash their workers at the same moment, like a loss of power.
    async def test_a_job_whose_tasks_all_crash_their_workers_is_given_up(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = crash_cluster.CrashCluster(8)
        tasks = [DEADLY._replace(number=number) for number in range(6)]
        cluster.deadly_tasks.update(tasks)

        async def script() -> None:
            await cluster.submit(
                JOB, test_leadership.demand(6, max_per_worker=1)
            )
            await cluster.wait_for_state("failed", JOB, seconds=60.0)

        await crash_cluster.run_script(cluster, script)
        assert len(cluster.crashes) < 3 * len(tasks)
        for task in tasks:
            assert cluster.starts_of(task) < 3 + STARTS_AFTER_THIRD_CRASH


class TestInnocent:

    async def test_jobs_beside_a_task_that_is_given_up_are_completed(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = crash_cluster.CrashCluster(3, cpu=20000)
        cluster.deadly_tasks.add(DEADLY)
        others = [f"{number:016x}" for number in range(6)]

        async def script() -> None:
            for job in others:
                await cluster.submit(job, test_leadership.demand(6))
            await cluster.submit(JOB, test_leadership.demand(2))
            await cluster.wait_for_state("failed", JOB, seconds=60.0)
            await cluster.wait_for_state("completed", *others)

        await crash_cluster.run_script(cluster, script)

    # Losses of power 4 s apart hit tasks that are on trial again.
    async def test_losses_of_power_fail_no_job(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = crash_cluster.CrashCluster(6)
        for worker in cluster.incarnations:
            worker.run_seconds = 2.0
        jobs = [f"{number:016x}" for number in range(8)]

        async def script() -> None:
            for job in jobs:
                await cluster.submit(job, test_leadership.demand(5))
            for _ in range(3):
                await trio.sleep(0.4)
                for worker in list(cluster.workers.values())[:4]:
                    worker.crash()
                await trio.sleep(crash_cluster.RESTART_SECONDS + 0.6)
            await cluster.wait_for_state("completed", *jobs, seconds=60.0)

        await crash_cluster.run_script(cluster, script)

    async def test_a_worker_that_leaves_charges_no_task(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = crash_cluster.CrashCluster(2)
        worker = cluster.incarnations[0]

        async def script() -> None:
            await cluster.submit(JOB, test_leadership.demand(8))
            await cluster.wait_until(lambda: bool(worker.runs))
            leaving = worker_client.Heartbeat(
                worker.record, True, 1, worker.clock_ms()
            )
            assert await cluster.leader_api.heartbeat(leaving)
            worker.crash()
            await cluster.wait_until(
                lambda: worker.record.id in cluster.queue_state.gone
            )
            tasks = cluster.queue_state.jobs[JOB].steps(0)[0].tasks
            assert not any(task.crashes for task in tasks)

        await crash_cluster.run_script(cluster, script)

    @staticmethod
    def suspected(cluster: crash_cluster.CrashCluster) -> bool:
        """Return whether any task of the job is suspected of a crash."""
        tasks = cluster.queue_state.jobs[JOB].steps(0)[0].tasks
        return any(task.suspected for task in tasks)

    async def test_crashes_no_longer_count_after_a_long_run(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = crash_cluster.CrashCluster(2)
        for worker in cluster.incarnations:
            worker.lasting_jobs.add(JOB)

        async def script() -> None:
            await cluster.submit(JOB, test_leadership.demand(4, lasting=True))
            await trio.sleep(2.0)
            cluster.incarnations[0].crash()
            await cluster.wait_until(lambda: self.suspected(cluster))
            await cluster.wait_until(lambda: not self.suspected(cluster), 20.0)

        await crash_cluster.run_script(cluster, script)

    # They were kept, and added up over the life of a long-running task.
    async def test_doubtful_crashes_no_longer_count_after_a_long_run(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = crash_cluster.CrashCluster(2)

        async def script() -> None:
            for worker in cluster.incarnations:
                worker.lasting_jobs.add(JOB)
            accepted = test_leadership.demand(1, lasting=True)
            cluster.replica.apply(
                changes.AcceptJob(JOB, fakes.QUEUE.key, accepted, 0)
            )
            suspect(cluster, doubtful=(DEADLY,))
            assert self.suspected(cluster)
            cluster.replica.lead(2)
            await cluster.wait_until(lambda: bool(cluster.starts()))
            await cluster.wait_until(lambda: not self.suspected(cluster), 20.0)

        await crash_cluster.run_script(cluster, script)


class TestTrial:
    """Tasks that were charged with a crash start apart from others."""

    # All that ran beside such a task was lost with the next crash.
    async def test_nothing_is_started_beside_a_charged_task(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = crash_cluster.CrashCluster(5, cpu=20000)
        charged: set[changes.TaskName] = set()

        async def script() -> None:
            for number in range(40):
                job = f"{number:016x}"
                await cluster.submit(job, test_leadership.demand(4))
                if number == 4:
                    await trio.sleep(0.3)
                    charged.update(cluster.incarnations[0].runs)
                    cluster.incarnations[0].crash()
                await trio.sleep(0.1)
            await trio.sleep(2.0)

        await crash_cluster.run_script(cluster, script)
        assert len(charged) > 2
        beside = []
        for worker in cluster.incarnations:
            for task, run, at in worker.history:
                if task not in charged or run == 1:
                    continue
                beside += [
                    other
                    for other, _, other_at in worker.history
                    if other.job != task.job
                    and 0 <= other_at - at < crash_attribution.TRIAL_SECONDS
                ]
        assert not beside

    async def test_a_charged_task_starts_where_least_runs(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = crash_cluster.CrashCluster(5)
        cluster.deadly_tasks.add(DEADLY)
        busy = "0" * 16

        async def script() -> None:
            for worker in cluster.incarnations:
                worker.lasting_jobs.add(busy)
            asked = test_leadership.demand(
                3, cpu=2000, lasting=True, max_per_worker=1
            )
            await cluster.submit(busy, asked)
            await trio.sleep(0.5)
            # Long-running tasks prefer workers that run others of their image.
            await cluster.submit(JOB, test_leadership.demand(1, lasting=True))
            await cluster.wait_until(lambda: len(cluster.crashes) == 2)

        await crash_cluster.run_script(cluster, script)
        lost = [len(tasks) for _, tasks in cluster.crashes]
        assert lost == [2, 1]

    # Its reservations were undone in each round, but not its trials.
    async def test_a_charged_gang_without_room_keeps_no_one_waiting(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = crash_cluster.CrashCluster(3, cpu=2000)
        other = "1" * 16
        gang = tuple(DEADLY._replace(number=number) for number in range(7))

        async def script() -> None:
            await cluster.submit(
                JOB, test_leadership.demand(len(gang), gang=True)
            )
            suspect(cluster, charged=gang, on_trial=gang)
            await trio.sleep(0.5)
            await cluster.submit(other, test_leadership.demand(2))
            await cluster.wait_for_state("completed", other, seconds=1.6)

        await crash_cluster.run_script(cluster, script)

    # It may have ended behind the cut, before the crash.
    async def test_a_crash_behind_a_cut_is_doubtful(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = crash_cluster.CrashCluster(2)
        worker = cluster.incarnations[0]
        worker.run_seconds = 60.0

        async def script() -> None:
            await cluster.submit(JOB, test_leadership.demand(8))
            await cluster.wait_until(lambda: bool(worker.runs))
            worker.silent = True
            await trio.sleep(3.0)
            worker.crash()
            await cluster.wait_until(
                lambda: worker.record.id in cluster.queue_state.gone
            )
            (lost,) = (
                change
                for change in cluster.replica.changes
                if isinstance(change, changes.LoseWorker)
            )
            assert lost.doubtful
            assert not lost.charged

        await crash_cluster.run_script(cluster, script)
