"""Tests of heartbeats that don't tell which life of a worker sent them."""

import pytest
import trio
import trio.testing

from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.platform.tests import wire_worker

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

JOB = test_leadership.JOB
# Time that a stop takes.
STOP_SECONDS = 0.4


class _SlowLife(wire_worker.Life):
    """A life whose runs take a while to stop."""

    async def stop(
        self, order: worker_client.Order, token: int
    ) -> fakes.Result:
        """See `FakeWorker`."""
        run = self.runs.get(order.task)
        if run is None:
            return await super().stop(order, token)
        await self._answer()
        run.ends_at = min(run.ends_at, trio.current_time() + STOP_SECONDS)
        return fakes.Result(fakes.Verdict.DONE, self.clock_ms())


class _Cluster(wire_worker.WireCluster):
    """A cluster of two workers that keep their ids."""

    def __init__(self) -> None:
        self.first = wire_worker.WireWorker("w1")
        self.first.lives = [_SlowLife("w1", 8000)]
        self.second = wire_worker.WireWorker("w2")
        super().__init__(self.first, self.second)
        for worker in (self.first, self.second):
            worker.life.run_seconds = 30.0

    async def report(
        self, worker: wire_worker.WireWorker, **fields: object
    ) -> bool:
        """Send a heartbeat; return whether it is acknowledged."""
        return await self.leader_api.heartbeat(worker.heartbeat(**fields))

    async def report_unnamed(
        self, worker: wire_worker.WireWorker, **fields: object
    ) -> bool:
        """Send a heartbeat that lacks the time of the worker's start."""
        heartbeat = worker.heartbeat(**fields)
        record = heartbeat.worker._replace(
            id=worker.name, kept_name="", born_ms=0
        )
        return await self.leader_api.heartbeat(
            heartbeat._replace(worker=record)
        )

    async def run_tasks(self) -> None:
        """Start tasks on the first worker, then add the second."""
        await self.submit(JOB, test_leadership.demand(4))
        await self.wait_until(lambda: len(self.first.life.runs) == 4)
        await trio.sleep(1.0)
        assert await self.report(self.second)


class TestKnownLife:

    # It replaced the registration of the live worker, whose tasks were started
    # elsewhere while their runs were still being stopped.
    async def test_a_heartbeat_without_a_start_time_replaces_no_life(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            assert await cluster.report(cluster.first)
            known = set(cluster.queue_state.workers)
            await cluster.run_tasks()
            for state in ("ready", "draining"):
                assert not await cluster.report_unnamed(
                    cluster.first, state=state
                )
            await trio.sleep(2.0)
            assert known < set(cluster.queue_state.workers)
            assert not cluster.queue_state.draining
            assert len(cluster.starts()) == 4
            assert not cluster.overlaps()

        await test_leadership.run_script(cluster, script)

    # A late heartbeat of an earlier life replaced the live one, if the answer
    # to the poll that verifies it lacked the field.
    async def test_an_answer_without_a_start_time_confirms_no_life(
        self,
        mocked_clocks: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            assert await cluster.report(cluster.first)
            known = set(cluster.queue_state.workers)
            monkeypatch.setattr(_SlowLife, "born_ms", 0)
            assert not await cluster.report(cluster.first, born=1700000000001)
            assert set(cluster.queue_state.workers) == known

        await test_leadership.run_script(cluster, script)


class TestUnknownLife:

    # The life that had been registered without a start time was taken for an
    # earlier one, and its tasks ran twice.
    async def test_a_start_time_that_comes_later_ends_no_runs(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            assert await cluster.report_unnamed(cluster.first)
            assert set(cluster.queue_state.workers) == {"w1"}
            await cluster.run_tasks()
            assert await cluster.report(cluster.first)
            await trio.sleep(2.0)
            assert len(cluster.starts()) == 4
            assert await cluster.report(cluster.first, state="draining")
            assert cluster.queue_state.draining == {"w1"}
            assert not cluster.overlaps()

        await test_leadership.run_script(cluster, script)

    async def test_a_start_time_is_taken_over_once_nothing_runs(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()
        cluster.first.life.run_seconds = 3.0

        async def script() -> None:
            assert await cluster.report_unnamed(cluster.first)
            await cluster.run_tasks()
            await cluster.wait_for_state("completed", JOB)
            assert await cluster.report(cluster.first)
            assert "w1" in cluster.queue_state.gone
            assert any(
                record.name == "w1" and record.born_ms
                for record in cluster.queue_state.workers.values()
            )

        await test_leadership.run_script(cluster, script)

    async def test_a_restart_frees_the_tasks_of_an_unknown_life(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            assert await cluster.report_unnamed(cluster.first)
            await cluster.run_tasks()
            cluster.first.restart()
            began_at = trio.current_time()
            while len(cluster.starts()) < 8:
                await cluster.report(cluster.first)
                await trio.sleep(0.5)
            assert trio.current_time() - began_at < 4.0
            assert not cluster.overlaps()

        await test_leadership.run_script(cluster, script)
