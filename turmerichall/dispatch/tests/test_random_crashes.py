"""Drawn mixes of crashing tasks, losses of power and changes of leader."""

import random

import pytest
import trio
import trio.testing

from turmerichall.dispatch.tests import crash_cluster
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_crashing_tasks
from turmerichall.dispatch.tests import test_leadership
from turmerichall.queues import change as changes

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument


class TestRandomCrashes:

    JOBS = 14

    @pytest.mark.parametrize("seed", range(16))
    async def test_only_jobs_with_two_crashes_fail(
        self, mocked_clocks: trio.testing.MockClock, seed: int
    ) -> None:
        draw = random.Random(seed)
        cluster = crash_cluster.CrashCluster(8, cpu=6000)
        jobs = [f"{number:016x}" for number in range(self.JOBS)]
        for job in draw.sample(jobs, 3):
            for number in range(draw.choice((1, 1, 4))):
                cluster.deadly_tasks.add(changes.TaskName(job, 0, 0, number))

        async def disturb() -> None:
            term = 1
            for _ in range(draw.randrange(1, 5)):
                await trio.sleep(draw.uniform(0.2, 5.0))
                if draw.random() < 0.5:
                    alive = [w for w in cluster.workers.values() if not w.down]
                    count = min(len(alive), draw.choice((1, 2, 5)))
                    for worker in draw.sample(alive, count):
                        worker.crash()
                else:
                    term += 1
                    cluster.replica.lead(term)

        async def script() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(disturb)
                for job in jobs:
                    asked = test_leadership.demand(draw.choice((1, 4, 8)))
                    with trio.move_on_after(20.0):
                        while (
                            await cluster.leader_api.submit(
                                fakes.QUEUE, job, asked
                            )
                            is not None
                        ):
                            await trio.sleep(0.1)
                    await trio.sleep(draw.uniform(0.0, 0.4))
            await cluster.wait_until(
                lambda: not any(
                    cluster.queue_state.jobs[job].open for job in jobs
                ),
                120.0,
            )

        await crash_cluster.run_script(cluster, script)
        for job in jobs:
            if cluster.job_state(job) != "failed":
                continue
            assert any(
                cluster.crashes_under(changes.TaskName(job, 0, 0, number)) >= 2
                for number in range(8)
            ), job
        for task in cluster.deadly_tasks:
            assert (
                cluster.starts_of(task)
                < 3 + test_crashing_tasks.STARTS_AFTER_THIRD_CRASH
            )
