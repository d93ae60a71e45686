"""Tests of workers that register, and of workers that drain."""

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


class TestRegister:
    """Late heartbeats of a dead incarnation, and many at once."""

    @staticmethod
    async def register(
        cluster: fakes.FakeCluster,
        record: changes.WorkerRecord,
        sequence: int = 1,
    ) -> bool:
        """Send the heartbeat of a worker; return if it is acknowledged."""
        heartbeat = worker_client.Heartbeat(record, False, sequence, 5000)
        return await cluster.leader_api.heartbeat(heartbeat)

    # The live worker was removed, and its runs were started elsewhere while
    # they went on.
    async def test_a_dead_incarnation_does_not_replace_its_machine(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        live = fakes.FakeWorker("live")
        live.record = live.record._replace(machine="m1")
        live.run_seconds = 60.0
        cluster = fakes.FakeCluster(live, fakes.FakeWorker("spare"))
        dead = live.record._replace(id="dead", address=fakes.address_of("dead"))

        async def script() -> None:
            await test_leadership.submit(cluster, test_leadership.demand(8))
            await cluster.wait_until(lambda: bool(live.runs))
            assert not await self.register(cluster, dead)
            await trio.sleep(2.0)
            assert "live" in cluster.queue_state.workers

        await test_leadership.run_script(cluster, script)
        tasks = [task for task, _, _ in cluster.starts()]
        assert len(tasks) == len(set(tasks))

    async def test_a_new_incarnation_replaces_its_machine(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        old, new = fakes.FakeWorker("old"), fakes.FakeWorker("new")
        for worker in (old, new):
            worker.record = worker.record._replace(machine="m1")
        cluster = fakes.FakeCluster(old)
        cluster.workers[new.record.address] = new

        async def script() -> None:
            assert await self.register(cluster, new.record)
            assert list(cluster.queue_state.workers) == ["new"]

        await test_leadership.run_script(cluster, script)

    # Workers that don't name their machine are not on the same one.
    async def test_an_unknown_machine_is_not_verified(
        self,
        mocked_clocks: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        old, new = fakes.FakeWorker("old"), fakes.FakeWorker("new")
        cluster = fakes.FakeCluster(old)
        cluster.workers[new.record.address] = new

        async def refuse(*_: object) -> worker_client.PollFailure:
            await trio.sleep(0.002)
            return worker_client.PollFailure(worker_client.Verdict.UNANSWERED)

        async def script() -> None:
            monkeypatch.setattr(new, "poll", refuse)
            assert await self.register(cluster, new.record)
            assert set(cluster.queue_state.workers) == {"old", "new"}

        await test_leadership.run_script(cluster, script)

    # The leader did not know the live worker yet, so it did not verify the
    # other one, which was registered after it and removed it.
    @pytest.mark.parametrize(
        "address, machine",
        [(fakes.address_of("live"), ""), (fakes.address_of("dead"), "m1")],
        ids=["same address", "same machine"],
    )
    async def test_a_dead_incarnation_does_not_replace_one_being_registered(
        self,
        mocked_clocks: trio.testing.MockClock,
        address: str,
        machine: str,
    ) -> None:
        live = fakes.FakeWorker("live")
        live.record = live.record._replace(machine="m1")
        cluster = fakes.FakeCluster()
        cluster.workers[live.record.address] = live
        acknowledged: dict[str, bool] = {}

        async def register(record: changes.WorkerRecord, delay: float) -> None:
            await trio.sleep(delay)
            acknowledged[record.id] = await self.register(cluster, record)

        async def script() -> None:
            late = live.record._replace(
                id="dead", address=address, machine=machine
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(register, live.record, 0.0)
                nursery.start_soon(register, late, 0.005)
            assert acknowledged == {"live": True, "dead": False}
            assert set(cluster.queue_state.workers) == {"live"}

        await test_leadership.run_script(cluster, script)

    # A commit without an answer may be applied after the next one is proposed.
    async def test_a_dead_incarnation_does_not_replace_one_of_uncertain_commit(
        self,
        mocked_clocks: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        live = fakes.FakeWorker("live")
        cluster = fakes.FakeCluster()
        cluster.workers[live.record.address] = live
        propose = cluster.replica.propose_in_term

        async def lose_answer(
            change: bytes, term: int, timeout_seconds: float = 5.0
        ) -> bytes | outcomes.Refusal | outcomes.Unknown:
            decoded = changes.decode(change)
            if (
                not isinstance(decoded, changes.RegisterWorker)
                or decoded.worker != live.record
            ):
                return await propose(change, term, timeout_seconds)
            await trio.sleep(timeout_seconds)
            return outcomes.Unknown(outcomes.UnknownReason.LEADER_LOST)

        async def script() -> None:
            monkeypatch.setattr(cluster.replica, "propose_in_term", lose_answer)
            assert not await self.register(cluster, live.record)
            dead = live.record._replace(id="dead")
            assert not await self.register(cluster, dead)
            assert not cluster.queue_state.workers
            monkeypatch.undo()

        await test_leadership.run_script(cluster, script)

    async def test_different_workers_register_at_the_same_time(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        workers = [fakes.FakeWorker(f"w{number}") for number in range(300)]
        cluster = fakes.FakeCluster()
        for worker in workers:
            cluster.workers[worker.record.address] = worker

        async def register(record: changes.WorkerRecord) -> None:
            assert await self.register(cluster, record)

        async def script() -> None:
            began_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                for worker in workers:
                    nursery.start_soon(register, worker.record)
            assert trio.current_time() - began_at < 0.1
            assert len(cluster.queue_state.workers) == len(workers)

        await test_leadership.run_script(cluster, script)


class TestLeave:

    # A worker whose notice is not acknowledged in time ends by itself, some
    # seconds later; until then its runs go on.
    async def test_runs_of_a_worker_that_still_answers_are_not_started_again(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        first = fakes.FakeWorker("w1")
        first.run_seconds = 4.0
        cluster = fakes.FakeCluster(first)
        second = fakes.FakeWorker("w2")
        cluster.workers[second.record.address] = second

        async def script() -> None:
            await test_leadership.submit(cluster, test_leadership.demand())
            await cluster.wait_until(lambda: bool(first.runs))
            assert await cluster.leader_api.heartbeat(
                _Cluster.heartbeat(second, 1)
            )
            # The acknowledgement doesn't reach the worker.
            assert await cluster.leader_api.worker_leaving("w1")
            await cluster.wait_until(
                lambda: cluster.job_state(test_leadership.JOB) == "completed"
            )
            assert not cluster.overlaps()

        await test_leadership.run_script(cluster, script)

    async def test_a_worker_that_has_ended_is_removed_soon(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        first = fakes.FakeWorker("w1")
        cluster = fakes.FakeCluster(first)

        async def script() -> None:
            for _ in range(2):
                assert await cluster.leader_api.worker_leaving("w1")
            first.silent = True
            await cluster.wait_until(
                lambda: "w1" in cluster.queue_state.gone, 1.0
            )

        await test_leadership.run_script(cluster, script)
