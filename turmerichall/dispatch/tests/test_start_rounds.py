"""Tests of jobs with thousands of tasks that can all start at once."""

import pytest
import trio
import trio.testing

from turmerichall.dispatch import planner as planners
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

TASKS = 3 * planners.MAX_STARTS + 10


class TestStartRounds:

    # Each new leader was kept busy for over a second by the starts of one
    # round, so that no leader stayed.
    @pytest.mark.parametrize(
        "demand",
        [
            demands.JobDemand("x", (demands.StepDemand(TASKS),)),
            demands.JobDemand(
                "x", (demands.StepDemand(5),), demands.Schedule(0, 1, TASKS)
            ),
        ],
        ids=["one step", "occurrences"],
    )
    async def test_a_round_starts_a_limited_number_of_tasks(
        self, mocked_clocks: trio.testing.MockClock, demand: demands.JobDemand
    ) -> None:
        worker = fakes.FakeWorker("w1")
        worker.lasting_jobs.add(test_leadership.JOB)
        cluster = fakes.FakeCluster(worker)

        async def script() -> None:
            await trio.sleep(1.0)
            await test_leadership.submit(cluster, demand)
            await cluster.wait_until(lambda: len(worker.runs) >= TASKS, 3.0)

        await test_leadership.run_script(cluster, script)
        rounds = [
            len(each.rows)
            for each in cluster.replica.changes
            if isinstance(each, changes.StartRuns)
        ]
        # The last group of a round may be placed whole.
        assert max(rounds) < planners.MAX_STARTS + 5

    async def test_a_gang_is_started_whole(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        cluster = fakes.FakeCluster(worker)
        count = planners.MAX_STARTS + 10
        step = demands.StepDemand(count, gang=True)

        async def script() -> None:
            await trio.sleep(1.0)
            await test_leadership.submit(
                cluster, demands.JobDemand("x", (step,))
            )
            await cluster.wait_until(lambda: len(worker.runs) == count, 1.0)

        await test_leadership.run_script(cluster, script)
