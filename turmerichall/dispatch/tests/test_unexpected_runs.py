"""Tests of what happens to runs that a worker lists unexpectedly."""

import trio
import trio.testing

from turmerichall.dispatch import unexpected_runs
from turmerichall.dispatch import worker_client
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.tests import fakes
from turmerichall.peers import link
from turmerichall.queues import change as changes

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument


class Owner:
    """A leader that only logs."""

    token = 1

    def __init__(self) -> None:
        self.lines = fakes.RecordingLog()
        self.log: link.Log = self.lines

    def fenced(self, worker: worker_state.Worker) -> None:
        raise AssertionError(worker.record.id)


def _row(name: str, run: int) -> worker_client.RunningTask:
    task = changes.TaskName(name, 0, 0, 0) if name else None
    return worker_client.RunningTask(task, name or "?", run, "", 0, 0)


class TestManyRuns:

    async def test_a_list_of_thousands_holds_up_neither_polls_nor_log(
        self,
        mocked_clocks: trio.testing.MockClock,
    ) -> None:
        worker = fakes.FakeWorker("w1")
        owner = Owner()
        runs = unexpected_runs.UnexpectedRuns(
            owner, worker_state.Worker(worker.record, worker, 0.0)
        )
        rows = [_row(f"job{number}", 1) for number in range(10_000)]
        for _ in range(4):
            began_at = trio.current_time()
            await runs.handle(rows)
            assert trio.current_time() - began_at < 0.2
        assert len(owner.lines.lines) == 1
        assert len(worker.fenced) == unexpected_runs.MAX_STOPS


class TestMalformedRows:

    async def test_are_logged_and_not_stopped(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        owner = Owner()
        runs = unexpected_runs.UnexpectedRuns(
            owner, worker_state.Worker(worker.record, worker, 0.0)
        )
        await runs.handle([_row("", 1), _row("job", worker_client.UNKNOWN_RUN)])
        assert not worker.fenced
        assert [fields["runs"] for _, fields in owner.lines.lines] == [
            ["?/1", "job/0"]
        ]
