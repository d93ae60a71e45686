"""Tests of the checkpoints from which the members of a gang resume."""

import pytest
import trio.testing

from turmerichall.dispatch import gang_checkpoint
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.queues import change as changes
from turmerichall.queues import job as job_records

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

JOB = test_leadership.JOB
TASKS = [changes.TaskName(JOB, 0, 0, number) for number in range(3)]


class TestChooseCheckpoint:

    # Each member had its own, and the member whose worker had crashed none.
    @pytest.mark.parametrize(
        "held, chosen",
        [
            (["", "b1", "b1"], "b1"),
            (["a9", "b1", "b1"], "b1"),
            (["", "b1", "b2"], "b2"),
            (["", "", ""], ""),
        ],
    )
    def test_all_members_of_a_gang_carry_the_same(
        self, held: list[str], chosen: str
    ) -> None:
        job = job_records.Job(JOB, "q", test_leadership.demand(3, gang=True), 0)
        for task, checkpoint in zip(TASKS, held, strict=True):
            job.task(task).checkpoint = checkpoint
        assert {
            gang_checkpoint.choose_checkpoint(job, task) for task in TASKS
        } == {chosen}

    def test_a_task_of_no_gang_carries_its_own(self) -> None:
        job = job_records.Job(JOB, "q", test_leadership.demand(3), 0)
        job.task(TASKS[1]).checkpoint = "b1"
        assert [
            gang_checkpoint.choose_checkpoint(job, task) for task in TASKS
        ] == ["", "b1", ""]


class TestStarts:

    async def test_a_gang_is_started_again_with_one_checkpoint(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        workers = [fakes.FakeWorker("w1"), fakes.FakeWorker("w2")]
        cluster = fakes.FakeCluster(*workers)
        gang = test_leadership.demand(3, gang=True)
        ended = [
            changes.EndedRun(task, 1, changes.Ending.BROKEN, "b1")
            for task in TASKS[1:]
        ]
        for change in (
            changes.AcceptJob(JOB, fakes.QUEUE.key, gang, 0),
            changes.RegisterWorker(fakes.FakeWorker("ghost").record),
            changes.StartRuns(
                tuple(changes.StartedRun(task, 1, "ghost") for task in TASKS)
            ),
            changes.EndRuns(tuple(ended)),
            changes.LoseWorker("ghost"),
        ):
            cluster.replica.apply(change)

        async def script() -> None:
            await cluster.wait_until(lambda: len(cluster.starts()) == 3)
            orders = [
                run.order for each in workers for run in each.runs.values()
            ]
            assert [order.checkpoint for order in orders] == ["b1"] * 3

        await test_leadership.run_script(cluster, script)
