"""Tests that a failure in the session with one worker ends nothing else.

In an incident, an exception in one of hundreds of sessions ended the process
of each leader, one after the other.
"""

from collections.abc import AsyncIterator
import contextlib

import pytest
import trio
import trio.testing

from turmerichall.dispatch import session as sessions
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.platform import http_worker_client
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

JOB = "5c0e7a21d94b36f8"
OTHER_JOB = "5c0e7a21d94b36f9"
LEASE_SECONDS = 12.0

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument


class RaisingWorker(fakes.FakeWorker):
    """A worker with calls that raise in their client.

    Attributes:
        raising: Names of these calls.
        raised: Number of calls that raised.
    """

    def __init__(self, worker_id: str):
        super().__init__(worker_id)
        self.raising: set[str] = set()
        self.raised = 0

    def _raise(self, call: str) -> None:
        if call in self.raising:
            self.raised += 1
            raise ValueError("value has 4400 digits")

    async def poll(
        self,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> worker_client.WorkerStatus | worker_client.PollFailure:
        status = await super().poll(token, acknowledged, deadline_ms, wait_ms)
        self._raise("poll")
        return status

    async def start(
        self, order: worker_client.Order, token: int, deadline_ms: int
    ) -> worker_client.OrderResult:
        result = await super().start(order, token, deadline_ms)
        self._raise("start")
        return result

    async def stop(
        self, order: worker_client.Order, token: int
    ) -> worker_client.OrderResult:
        self._raise("stop")
        return await super().stop(order, token)


def _demand(count: int = 1, **step: object) -> demands.JobDemand:
    asked = {"cpu": 1000, "memory_mb": 100, "estimate_ms": 1000, **step}
    first = demands.StepDemand(count, **asked)  # type: ignore[arg-type]
    return demands.JobDemand("text", (first,))


@contextlib.asynccontextmanager
async def _leading(cluster: fakes.FakeCluster) -> AsyncIterator[None]:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(cluster.leader_api.run)
        await cluster.wait_until(
            lambda: cluster.leader_api.leadership is not None
        )
        yield
        nursery.cancel_scope.cancel()


def _logged(
    cluster: fakes.FakeCluster, message: str
) -> list[dict[str, object]]:
    return [fields for text, fields in cluster.log.lines if text == message]


class TestRaisingPolls:

    async def test_other_workers_go_on_and_its_tasks_move_after_the_lease(
        self,
        mocked_clocks: trio.testing.MockClock,
    ) -> None:
        worker, other = RaisingWorker("w1"), fakes.FakeWorker("w2")
        worker.run_seconds = other.run_seconds = 2.0
        cluster = fakes.FakeCluster(worker, other)
        async with _leading(cluster):
            await cluster.submit(JOB, _demand(4))
            await cluster.wait_until(lambda: len(cluster.starts()) == 4)
            assert worker.runs
            worker.raising.add("poll")
            await cluster.submit(OTHER_JOB, _demand(2))
            await cluster.wait_for_state("active", OTHER_JOB, seconds=2.0)
            await cluster.wait_for_state(
                "completed", JOB, OTHER_JOB, seconds=90
            )
            assert not cluster.overlaps()
            failures = _logged(cluster, "session with a worker failed")
            assert failures[0]["worker"] == "w1"
            assert failures[0]["cause"] == "ValueError"

    async def test_tries_get_rare_and_it_is_used_again_afterwards(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = RaisingWorker("w1")
        cluster = fakes.FakeCluster(worker)
        async with _leading(cluster):
            worker.raising.add("poll")
            await trio.sleep(60.0)
            assert 10 < worker.raised < 60
            worker.raising.clear()
            await cluster.submit(JOB, _demand())
            await cluster.wait_for_state("completed", JOB, seconds=20.0)


class TestRaisingOrders:

    async def test_a_start_counts_as_unanswered(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = RaisingWorker("w1")
        cluster = fakes.FakeCluster(worker)
        async with _leading(cluster):
            worker.raising.add("start")
            await cluster.submit(JOB, _demand(3))
            await cluster.wait_for_state("completed", JOB, seconds=30.0)
            assert worker.raised
            # Each was carried out, and none was started a second time.
            assert len(cluster.starts()) == 3

    async def test_a_stop_is_tried_again(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = RaisingWorker("w1")
        worker.run_seconds = 1000.0
        cluster = fakes.FakeCluster(worker)
        async with _leading(cluster):
            await cluster.submit(JOB, _demand())
            await cluster.wait_until(lambda: bool(worker.runs))
            worker.raising.add("stop")
            assert await cluster.leader_api.cancel(JOB) is None
            await cluster.wait_until(lambda: worker.raised > 1)
            worker.raising.clear()
            await cluster.wait_until(lambda: not worker.runs, 10.0)


class TestRaisingProcessing:

    # The lease was renewed between failures, so the tasks never moved.
    async def test_lets_the_lease_run_out(
        self,
        mocked_clocks: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        worker, other = fakes.FakeWorker("w1"), fakes.FakeWorker("w2")
        cluster = fakes.FakeCluster(worker, other)
        # pylint: disable-next=protected-access
        commit_ends = sessions.WorkerSession._commit_ends
        failed = 0

        async def fail(
            session: sessions.WorkerSession, status: worker_client.WorkerStatus
        ) -> None:
            nonlocal failed
            if session.worker.record.id == "w1" and status.ends:
                failed += 1
                raise OverflowError("int too large to convert to float")
            await commit_ends(session, status)

        monkeypatch.setattr(sessions.WorkerSession, "_commit_ends", fail)
        async with _leading(cluster):
            await cluster.submit(JOB, _demand(4))
            await cluster.wait_for_state("completed", JOB, seconds=40.0)
        assert 0 < failed < 30
        assert not cluster.overlaps()


class UnusableCluster(fakes.FakeCluster):
    """A cluster in whose log a worker with an unusable address stands."""

    def _client(
        self, record: changes.WorkerRecord
    ) -> worker_client.WorkerClient:
        if record.id == "i-9099other":
            return http_worker_client.HttpWorkerClient(record)
        return super()._client(record)


class TestUnusableRecords:

    @pytest.mark.parametrize(
        "address",
        ["10.0.0..9:8080", f"10.0.0.9:{'8' * 4400}"],
        ids=["host", "port"],
    )
    async def test_a_leader_that_loads_one_serves_and_removes_it(
        self, mocked_clocks: trio.testing.MockClock, address: str
    ) -> None:
        cluster = UnusableCluster(fakes.FakeWorker("w1"))
        record = fakes.FakeWorker("i-9099other").record._replace(
            address=address
        )
        cluster.replica.apply(changes.RegisterWorker(record))
        # A run that the state shows there is not lost.
        cluster.replica.apply(
            changes.AcceptJob(JOB, fakes.QUEUE.key, _demand(), 0)
        )
        task = changes.TaskName(JOB, 0, 0, 0)
        started = changes.StartedRun(task, 1, record.id)
        cluster.replica.apply(changes.StartRuns((started,)))
        async with _leading(cluster):
            await cluster.submit(OTHER_JOB, _demand(2))
            await cluster.wait_for_state("completed", OTHER_JOB, seconds=5.0)
            await cluster.wait_for_state("completed", JOB, seconds=20.0)
            await cluster.wait_until(
                lambda: record.id not in cluster.queue_state.workers, 20.0
            )
        found = _logged(cluster, "registered worker can't be used")
        assert [each["worker"] for each in found] == ["i-9099other"]
        assert "w1" in cluster.queue_state.workers
