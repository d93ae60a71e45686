"""Tests of workers whose capacity changes while they run."""

import trio
import trio.testing

from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

JOB = test_leadership.JOB
OTHER_JOB = "77ac860c07bd7f9d"


class _Cluster(fakes.FakeCluster):
    """One worker of 8 cores that may report another capacity."""

    def __init__(self) -> None:
        self.worker = fakes.FakeWorker("w1")
        super().__init__(self.worker)
        self.sequence = 0

    async def report(self, cpu: int, memory_mb: int = 64000) -> None:
        """Let the worker report a capacity, until it is acknowledged."""
        record = self.worker.record._replace(cpu=cpu, memory_mb=memory_mb)
        acknowledged = False
        while not acknowledged:
            self.sequence += 1
            acknowledged = await self.leader_api.heartbeat(
                worker_client.Heartbeat(
                    record, False, self.sequence, self.worker.clock_ms()
                )
            )
            await trio.sleep(0.05)

    async def most_runs(self, seconds: float) -> int:
        """Return how many runs there are at most within a time."""
        most = 0
        with trio.move_on_after(seconds):
            while True:
                most = max(most, len(self.worker.runs))
                await trio.sleep(0.01)
        return most


class TestShrunkCapacity:

    # The capacity of the registration was used for the worker's whole life.
    async def test_starts_stay_within_a_capacity_that_has_shrunk(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            await cluster.report(8000)
            await cluster.report(3000)
            await cluster.submit(JOB, test_leadership.demand(12))
            assert await cluster.most_runs(3.0) == 3
            await cluster.report(8000, memory_mb=200)
            assert await cluster.most_runs(2.0) <= 3

        await test_leadership.run_script(cluster, script)

    async def test_runs_from_before_count_until_they_have_ended(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()
        cluster.worker.lasting_jobs.add(JOB)

        async def script() -> None:
            await cluster.submit(JOB, test_leadership.demand(5, lasting=True))
            await cluster.wait_until(lambda: len(cluster.worker.runs) == 5)
            await cluster.report(3000)
            await cluster.submit(OTHER_JOB, test_leadership.demand(1))
            await trio.sleep(2.0)
            assert cluster.job_state(OTHER_JOB) == "queued"
            assert await cluster.leader_api.cancel(JOB) is None
            await cluster.wait_for_state("completed", OTHER_JOB)

        await test_leadership.run_script(cluster, script)

    async def test_a_new_leader_knows_the_capacity(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            await cluster.report(3000)
            cluster.replica.lead(2)
            await cluster.wait_until(
                lambda: cluster.leader_api.leadership is not None
                and cluster.leader_api.leadership.token == 2
            )
            await cluster.submit(JOB, test_leadership.demand(12))
            assert await cluster.most_runs(3.0) == 3

        await test_leadership.run_script(cluster, script)

    async def test_a_late_heartbeat_does_not_bring_back_an_old_capacity(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            await cluster.report(8000)
            await cluster.report(3000)
            late = worker_client.Heartbeat(cluster.worker.record, False, 1, 1)
            assert await cluster.leader_api.heartbeat(late)
            await cluster.submit(JOB, test_leadership.demand(12))
            assert await cluster.most_runs(3.0) == 3

        await test_leadership.run_script(cluster, script)

    async def test_a_change_that_was_not_committed_is_repeated(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()
        record = cluster.worker.record._replace(cpu=3000)

        async def script() -> None:
            cluster.replica.committing = False
            for sequence in (1, 2):
                heartbeat = worker_client.Heartbeat(record, False, sequence, 1)
                assert not await cluster.leader_api.heartbeat(heartbeat)
            cluster.replica.committing = True
            cluster.sequence = 2
            await cluster.report(3000)
            assert cluster.queue_state.capacities["w1"].cpu == 3000

        await test_leadership.run_script(cluster, script)

    # The room may come back while the job waits.
    async def test_a_job_that_fits_the_full_capacity_is_accepted(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            await cluster.report(3000)
            await cluster.submit(JOB, test_leadership.demand(1, cpu=6000))
            await trio.sleep(1.0)
            assert not cluster.starts()
            await cluster.report(8000)
            await cluster.wait_for_state("completed", JOB)

        await test_leadership.run_script(cluster, script)


class TestGrownCapacity:

    async def test_a_capacity_that_has_grown_is_used(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            await cluster.submit(JOB, test_leadership.demand(24))
            await cluster.wait_until(lambda: len(cluster.worker.runs) == 8)
            await cluster.report(12000)
            assert await cluster.most_runs(2.0) == 12

        await test_leadership.run_script(cluster, script)

    async def test_a_job_that_fits_only_a_grown_capacity_is_accepted(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            await cluster.report(12000)
            await cluster.submit(JOB, test_leadership.demand(1, cpu=10000))
            await cluster.wait_for_state("completed", JOB)

        await test_leadership.run_script(cluster, script)
