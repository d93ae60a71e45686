"""Tests of the order of waiting tasks, by replays of load above capacity."""

import pytest
import trio
import trio.testing

from turmerichall.dispatch.tests import fakes
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

pytestmark = pytest.mark.usefixtures("mocked_clocks")

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

JOBS = 40
SECONDS_BETWEEN_JOBS = 1.0
# Tasks that the worker can hold at a time.
ROOM = 4
MEMORY_MB = 64000 // ROOM
# A job takes 2 s of the whole worker, and polls of it some time more.
SECONDS_PER_JOB = 2.5


def _two_steps() -> demands.JobDemand:
    """Return a best-effort job of two steps that each fill the worker."""

    def step(*after: int) -> demands.StepDemand:
        return demands.StepDemand(
            ROOM,
            cpu=1000,
            memory_mb=MEMORY_MB,
            estimate_ms=1000,
            fills=True,
            after=after,
        )

    return demands.JobDemand("text", (step(), step(0)))


class TestJobsAboveCapacity:
    """More jobs of two steps arrive than the worker can finish."""

    # Jobs began while only their next step could still be on time; their later
    # steps were late, and came after the first steps of others.
    async def test_as_many_are_on_time_as_the_worker_can_run(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))
        queue = fakes.QUEUE._replace(stretch=4.0, target_latency_ms=0)
        cluster.replica.apply(
            changes.SetConfiguration(
                fakes.CONFIGURATION._replace(version=2, queues=(queue,)), b"{}"
            )
        )
        submitted_at: dict[str, float] = {}
        seconds: dict[str, float] = {}

        async def watch() -> None:
            while True:
                for job, began_at in submitted_at.items():
                    if cluster.job_state(job) == "completed":
                        now = trio.current_time()
                        seconds.setdefault(job, now - began_at)
                await trio.sleep(0.01)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(cluster.leader_api.run)
            await cluster.wait_until(
                lambda: cluster.leader_api.leadership is not None
            )
            nursery.start_soon(watch)
            for number in range(JOBS):
                job = f"{number:016x}"
                asked = _two_steps()
                assert (
                    await cluster.leader_api.submit(queue, job, asked) is None
                )
                submitted_at[job] = trio.current_time()
                await trio.sleep(SECONDS_BETWEEN_JOBS)
            await trio.sleep(queue.objective_seconds(2.0))
            nursery.cancel_scope.cancel()
        on_time = [
            job
            for job, took in seconds.items()
            if took <= queue.objective_seconds(2.0)
        ]
        capacity = JOBS * SECONDS_BETWEEN_JOBS / SECONDS_PER_JOB
        assert len(on_time) >= capacity
