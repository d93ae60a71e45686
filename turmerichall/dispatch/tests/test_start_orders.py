"""Tests of starts that are sent more than once or arrive late."""

import math

import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.queues import change as changes

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

Verdict = worker_client.Verdict

BATCH_SECONDS = 0.05
# Enough for commits of each kind to meet in one batch.
JOBS = 100
# Time after which a delayed start arrives, shortly before its deadline.
LATE_SECONDS = 1.2


class _BatchingReplica(fakes.FakeReplica):
    """A replica that commits in batches, whose callers all wake up at once."""

    async def propose_in_term(
        self, change: bytes, term: int, timeout_seconds: float = 5.0
    ) -> bytes | outcomes.Refusal | outcomes.Unknown:
        """See `agreement.replica.Replica`."""
        batch = math.floor(trio.current_time() / BATCH_SECONDS) + 1
        await trio.sleep_until(batch * BATCH_SECONDS)
        self.apply(changes.decode(change))
        return b""


class _SlowWorker(fakes.FakeWorker):
    """A worker that the first try of a start reaches late.

    It answers the next one that it is unwell, and has then done nothing.

    Attributes:
        tries: Number of tries by task and run.
    """

    def __init__(self, worker_id: str):
        super().__init__(worker_id)
        self.tries: dict[tuple[changes.TaskName, int], int] = {}

    async def start(
        self, order: worker_client.Order, token: int, deadline_ms: int
    ) -> worker_client.OrderResult:
        """See `WorkerClient`."""
        key = order.task, order.run
        self.tries[key] = self.tries.get(key, 0) + 1
        if self.tries[key] == 2:
            await trio.sleep(0.002)
            return worker_client.OrderResult(Verdict.UNWELL, self.clock_ms())
        if self.tries[key] == 1:
            arrives_at = trio.current_time() + LATE_SECONDS
            self.late_starts.append((arrives_at, (order, token, deadline_ms)))
            await trio.sleep(0.35)
            return worker_client.OrderResult(Verdict.UNANSWERED)
        return await super().start(order, token, deadline_ms)


class _BatchingCluster(fakes.FakeCluster):
    """A cluster with a replica that commits in batches."""

    make_replica = _BatchingReplica

    async def run_jobs(self, count: int) -> None:
        """Submit jobs of one task one after the other, and wait for them."""
        asked = test_leadership.demand()
        for number in range(count):
            job = f"{number:016x}"
            submitted = await self.leader_api.submit(fakes.QUEUE, job, asked)
            assert submitted is None
            await trio.sleep(0.013)
        await self.wait_until(
            lambda: all(not job.open for job in self.queue_state.jobs.values())
        )


class TestCommitsInOneBatch:
    """Starts that are committed together with ends on the same worker.

    Many workers answer a loaded leader, and its commits wait for the same
    batch.
    """

    # The session that had waited for its commit found a run that it had not
    # seen started yet, and took it for one of an earlier term.
    async def test_a_start_is_sent_once(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        worker.run_seconds = 0.2
        cluster = _BatchingCluster(worker)
        sent: list[tuple[changes.TaskName, int]] = []
        start = worker.start

        async def count(
            order: worker_client.Order, token: int, deadline_ms: int
        ) -> worker_client.OrderResult:
            sent.append((order.task, order.run))
            return await start(order, token, deadline_ms)

        worker.start = count  # type: ignore[method-assign]

        async def script() -> None:
            await cluster.run_jobs(JOBS)

        await test_leadership.run_script(cluster, script)
        assert len(sent) == len(set(sent)) == JOBS

    # The second start was refused, which ended the run for the leader, while
    # the first one was still under way.
    async def test_a_task_runs_once_at_a_time(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        workers = [_SlowWorker(f"w{number}") for number in range(4)]
        cluster = _BatchingCluster(*workers)

        async def script() -> None:
            await cluster.run_jobs(JOBS)
            assert not cluster.overlaps()

        await test_leadership.run_script(cluster, script)


class TestCancelDuringCommit:
    """Jobs canceled while the starts of their tasks are being committed."""

    # While the ends of these runs were being committed, a session took them for
    # runs of an earlier term, and sent the starts.
    async def test_a_start_is_never_sent(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        cluster = _BatchingCluster(worker)
        asked, large = test_leadership.demand(), test_leadership.demand(6)

        async def script() -> None:
            # Keeps the worker answering at once, as its runs end all the time.
            worker.run_seconds = 0.03
            for number in range(JOBS):
                job = f"{number:016x}"
                await cluster.leader_api.submit(fakes.QUEUE, job, asked)
                await trio.sleep(0.01)
                canceled = f"canceled-{number}"
                await cluster.leader_api.submit(fakes.QUEUE, canceled, large)
                await cluster.leader_api.cancel(canceled)
            await trio.sleep(3.0)

        await test_leadership.run_script(cluster, script)
        jobs = {task.job for task, _, _ in cluster.starts()}
        assert not any(job.startswith("canceled") for job in jobs)
        assert len(jobs) == JOBS


class _ResendingWorker(_SlowWorker):
    """A worker whose client sends each start again on another connection."""

    async def start(
        self, order: worker_client.Order, token: int, deadline_ms: int
    ) -> worker_client.OrderResult:
        """See `WorkerClient`."""
        if (order.task, order.run) not in self.tries:
            arrives_at = trio.current_time() + LATE_SECONDS
            self.late_starts.append((arrives_at, (order, token, deadline_ms)))
            self.tries[order.task, order.run] = 1
            await trio.sleep(0.002)
            return worker_client.OrderResult(
                Verdict.UNWELL, self.clock_ms(), may_be_pending=True
            )
        return await super().start(order, token, deadline_ms)


class TestResentStart:
    """Starts whose connection broke, and which the client sent once more."""

    # The refusal of the second try ended the run for the leader, though the
    # first one was carried out later.
    async def test_a_task_runs_once_at_a_time(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        workers = [_ResendingWorker(f"w{number}") for number in range(4)]
        cluster = _BatchingCluster(*workers)

        async def script() -> None:
            await test_leadership.submit(cluster, test_leadership.demand())
            await trio.sleep(2 * LATE_SECONDS)
            assert not cluster.overlaps()
            await cluster.wait_until(
                lambda: cluster.job_state(test_leadership.JOB) == "completed"
            )

        await test_leadership.run_script(cluster, script)


class TestWorkBegunAgain:
    """A leader whose work ends and begins again in the same term.

    Its token is the same, so workers still obey its earlier orders.
    """

    # The new work sent the start again, and took the refusal for its outcome.
    async def test_a_start_under_way_is_not_forgotten(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        workers = [_SlowWorker(f"w{number}") for number in range(2)]
        cluster = fakes.FakeCluster(*workers)

        async def script() -> None:
            await test_leadership.submit(cluster, test_leadership.demand())
            await cluster.wait_until(lambda: any(w.tries for w in workers))
            leadership = cluster.leader_api.leadership
            assert leadership is not None
            leadership.scope.cancel()
            await trio.sleep(2 * LATE_SECONDS)
            assert cluster.replica.term == 1
            assert not cluster.overlaps()
            await cluster.wait_until(
                lambda: cluster.job_state(test_leadership.JOB) == "completed"
            )

        await test_leadership.run_script(cluster, script)


class _FreezingReplica(fakes.FakeReplica):
    """A replica whose process is frozen just after a start was committed.

    Attributes:
        frozen: Whether no quorum has been in contact for long.
    """

    frozen = False

    def seconds_since_quorum(self) -> float:
        """See `agreement.replica.Replica`."""
        return 99.0 if self.frozen else super().seconds_since_quorum()

    async def propose_in_term(
        self, change: bytes, term: int, timeout_seconds: float = 5.0
    ) -> bytes | outcomes.Refusal | outcomes.Unknown:
        """See `agreement.replica.Replica`."""
        result = await super().propose_in_term(change, term, timeout_seconds)
        if isinstance(changes.decode(change), changes.StartRuns):
            self.frozen = True
        return result


class _FreezingCluster(fakes.FakeCluster):
    """A cluster whose leader is frozen just after a start was committed."""

    make_replica = _FreezingReplica


class TestStartWithoutQuorum:
    """A leader that was frozen, while another one may have been elected.

    The other one waits for the leases that an earlier leader may have granted
    within `QUORUM_SECONDS` of a quorum's answer, and then starts the tasks of
    workers that it can't reach elsewhere.
    """

    # A start granted a lease at any time after its commit.
    async def test_a_start_is_not_sent_before_a_quorum_answers(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        cluster = _FreezingCluster(worker)
        replica = cluster.replica
        assert isinstance(replica, _FreezingReplica)

        async def script() -> None:
            await test_leadership.submit(cluster, test_leadership.demand())
            await cluster.wait_until(lambda: replica.frozen)
            await trio.sleep(12.0)
            assert not worker.history
            replica.frozen = False
            await cluster.wait_until(
                lambda: cluster.job_state(test_leadership.JOB) == "completed",
                3.0,
            )

        await test_leadership.run_script(cluster, script)
        assert len(worker.history) == 1
