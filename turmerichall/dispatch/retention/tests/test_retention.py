"""Tests of records that leave the replicated state."""

import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.retention import poll_pacing
from turmerichall.dispatch.retention import retention as retentions
from turmerichall.dispatch.retention import worker_bound
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.queues import forgetting

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

JOB = test_leadership.JOB
KEPT_SECONDS = 600.0
OPTIONS = retentions.Options(KEPT_SECONDS)
# A record leaves with the first look after its time.
LEAVES_SECONDS = KEPT_SECONDS + 2 * retentions.CHECK_SECONDS


def new_cluster(
    *workers: fakes.FakeWorker, options: retentions.Options = OPTIONS
) -> fakes.FakeCluster:
    return fakes.FakeCluster(
        *(workers or (fakes.FakeWorker("w1"),)), retention=options
    )


async def complete(cluster: fakes.FakeCluster, job: str = JOB) -> None:
    await cluster.submit(job, test_leadership.demand(2))
    await cluster.wait_for_state("completed", job)


def forgotten(cluster: fakes.FakeCluster) -> list[forgetting.Forget]:
    """Return the committed changes by which records left."""
    changes = cluster.replica.changes
    return [each for each in changes if isinstance(each, forgetting.Forget)]


class TestJobs:
    """Jobs that ended add up in the state of all replicas."""

    async def test_a_job_leaves_after_its_time_and_not_before(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = new_cluster()

        async def script() -> None:
            await complete(cluster)
            await trio.sleep(KEPT_SECONDS - 1.0)
            assert cluster.job_state(JOB) == "completed"
            # A submission that is sent again stays one job.
            await cluster.submit(JOB, test_leadership.demand(2))
            await trio.sleep(LEAVES_SECONDS - KEPT_SECONDS)
            state = cluster.leader_api.job_state(JOB)
            assert isinstance(state, outcomes.Refusal)
            assert state.reason == outcomes.RefusalReason.UNKNOWN_NAME

        await test_leadership.run_script(cluster, script)
        assert len(cluster.starts()) == 2
        assert not cluster.queue_state.jobs_bytes

    async def test_an_open_job_stays(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        worker.lasting_jobs.add(JOB)
        cluster = new_cluster(worker)

        async def script() -> None:
            await cluster.submit(JOB, test_leadership.demand(1, lasting=True))
            await trio.sleep(2 * LEAVES_SECONDS)

        await test_leadership.run_script(cluster, script)
        assert cluster.job_state(JOB) == "active"

    async def test_a_new_leader_counts_anew(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = new_cluster()

        async def first() -> None:
            await complete(cluster)
            await trio.sleep(KEPT_SECONDS - 1.0)

        async def second() -> None:
            await trio.sleep(KEPT_SECONDS - 1.0)
            assert cluster.job_state(JOB) == "completed"
            await trio.sleep(LEAVES_SECONDS - KEPT_SECONDS)
            assert JOB not in cluster.queue_state.jobs

        await test_leadership.run_script(cluster, first)
        cluster.replica.term += 1
        await test_leadership.run_script(cluster, second)

    async def test_nothing_leaves_while_a_replica_runs_an_earlier_release(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        may_forget = False
        options = OPTIONS._replace(may_forget=lambda: may_forget)
        cluster = new_cluster(options=options)

        async def script() -> None:
            nonlocal may_forget
            await complete(cluster)
            await trio.sleep(2 * LEAVES_SECONDS)
            assert not forgotten(cluster)
            may_forget = True
            await trio.sleep(2 * retentions.CHECK_SECONDS)
            assert not cluster.queue_state.jobs

        await test_leadership.run_script(cluster, script)

    async def test_many_jobs_leave_in_small_changes(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = new_cluster()
        count = 3 * retentions.BATCH_RECORDS + 1
        jobs = [f"{number:016x}" for number in range(count)]
        cluster.workers.clear()

        async def script() -> None:
            for job in jobs:
                await cluster.submit(job, test_leadership.demand(1))
                await cluster.leader_api.cancel(job)
            await trio.sleep(LEAVES_SECONDS)

        await test_leadership.run_script(cluster, script)
        sizes = [len(each.jobs) for each in forgotten(cluster)]
        assert sum(sizes) == count
        assert max(sizes) <= retentions.BATCH_RECORDS
        assert not cluster.queue_state.jobs


class TestMemory:
    """All replicas would be ended by their limits at the same time."""

    async def test_new_jobs_are_refused_until_jobs_have_left(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        options = retentions.Options(3600.0, memory_bytes=20_000)
        cluster = new_cluster(options=options)
        accepted = []

        async def submit(number: int) -> fakes.leader_apis.Failure | None:
            return await cluster.leader_api.submit(
                fakes.QUEUE, f"{number:016x}", test_leadership.demand(1)
            )

        async def script() -> None:
            for number in range(50):
                failure = await submit(number)
                if failure is not None:
                    break
                accepted.append(number)
                await cluster.wait_for_state("completed", f"{number:016x}")
            assert isinstance(failure, outcomes.Refusal)
            assert failure.reason == outcomes.RefusalReason.NO_ROOM
            assert failure.retry_after_seconds
            await trio.sleep(
                retentions.SHORT_SECONDS + 3 * retentions.CHECK_SECONDS
            )
            assert await submit(99) is None

        await test_leadership.run_script(cluster, script)
        assert accepted


class TestWorkers:
    """A writer registers id after id at which nothing answers."""

    async def test_a_silent_worker_leaves_and_may_return(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        cluster = new_cluster(worker)

        async def script() -> None:
            worker.silent = True
            await trio.sleep(LEAVES_SECONDS + 20.0)
            assert not cluster.queue_state.workers
            worker.silent = False
            heartbeat = worker_client.Heartbeat(
                worker.record, False, 1, worker.clock_ms()
            )
            assert await cluster.leader_api.heartbeat(heartbeat)
            await complete(cluster)

        await test_leadership.run_script(cluster, script)

    async def test_removed_workers_are_not_remembered_for_ever(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = new_cluster()
        changes = fakes.changes
        cluster.replica.apply(changes.LoseWorker("w1"))

        async def script() -> None:
            await trio.sleep(KEPT_SECONDS - 1.0)
            assert cluster.queue_state.gone == {"w1"}
            await trio.sleep(LEAVES_SECONDS - KEPT_SECONDS)
            assert not cluster.queue_state.gone

        await test_leadership.run_script(cluster, script)

    async def test_a_worker_that_answers_gets_in_at_the_bound(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        silent = [fakes.FakeWorker(f"s{number}") for number in range(5)]
        for each in silent:
            each.silent = True
        answering = fakes.FakeWorker("w1")
        cluster = new_cluster(answering, *silent)

        async def script() -> None:
            leadership = cluster.leader_api.leadership
            assert leadership is not None
            most = len(cluster.workers)
            # Their leases of an earlier term may last.
            assert not await worker_bound.make_room(leadership, most)
            await trio.sleep(15.0)
            assert await worker_bound.make_room(leadership, most)
            left = {each.record.id for each in silent}
            left -= cluster.queue_state.workers.keys()
            assert len(left) == 1
            assert "w1" in cluster.queue_state.workers

        await test_leadership.run_script(cluster, script)


class _CountedWorker(fakes.FakeWorker):
    """A worker that counts the polls that are under way at the same time.

    Attributes:
        polls: Number of such polls of all workers, and the most so far.
    """

    polls = [0, 0]

    async def poll(
        self,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> worker_client.WorkerStatus | worker_client.PollFailure:
        """See `WorkerClient`."""
        self.polls[0] += 1
        self.polls[1] = max(self.polls)
        try:
            return await super().poll(token, acknowledged, deadline_ms, wait_ms)
        finally:
            self.polls[0] -= 1


class TestPollsOfSilentWorkers:
    """No term lasted, since their polls kept the event loop busy."""

    async def test_are_limited_and_keep_no_other_worker_waiting(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        _CountedWorker.polls = [0, 0]
        silent = [_CountedWorker(f"s{number}") for number in range(600)]
        for each in silent:
            each.silent = True
        answering = fakes.FakeWorker("w1")
        cluster = new_cluster(*silent, answering)

        async def script() -> None:
            leadership = cluster.leader_api.leadership
            assert leadership is not None
            worker = leadership.workers["w1"]
            await cluster.wait_until(lambda: worker.in_touch, 3.0)
            assert _CountedWorker.polls[1] <= poll_pacing.FIRST_POLLS
            await trio.sleep(10.0)
            _CountedWorker.polls[1] = 0
            await complete(cluster)
            assert 0 < _CountedWorker.polls[1] <= poll_pacing.REPEATED_POLLS

        await test_leadership.run_script(cluster, script)
