"""Tests of the change by which records leave the state."""

import pytest

from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands
from turmerichall.queues import forgetting
from turmerichall.queues import state as states

QUEUE = configurations.Queue("batch", "a.example", "/jobs/", "desk")
WORKER = changes.WorkerRecord(
    "w1", "m1", "10.0.0.1:80", "desk", "z", "", (), 8000, 64000, 0
)
TASK = changes.TaskName("job", 0, 0, 0)


def apply(state: states.QueueState, *committed: changes.Change) -> None:
    for change in committed:
        state.apply(0, changes.encode(change))


@pytest.fixture(name="state")
def make_state() -> states.QueueState:
    """Return a state with a queue, a worker and a job that runs there."""
    state = states.QueueState()
    demand = demands.JobDemand("spec", (demands.StepDemand(1, 1000),))
    apply(
        state,
        changes.SetConfiguration(
            configurations.Configuration(1, (QUEUE,)), b""
        ),
        changes.RegisterWorker(WORKER),
        changes.AcceptJob("job", QUEUE.key, demand, 0),
        changes.StartRuns((changes.StartedRun(TASK, 1, "w1"),)),
    )
    return state


class TestForget:
    """What is still needed stays, whatever a change names."""

    def test_an_open_job_and_its_worker_stay(
        self, state: states.QueueState
    ) -> None:
        apply(state, forgetting.Forget(jobs=("job",), silent=("w1",)))
        assert "job" in state.jobs
        assert "w1" in state.workers

    def test_a_canceled_job_stays_until_its_runs_have_ended(
        self, state: states.QueueState
    ) -> None:
        forget = forgetting.Forget(jobs=("job",))
        apply(state, changes.CancelJob("job"), forget)
        assert "job" in state.jobs
        stopped = changes.EndedRun(TASK, 1, changes.Ending.STOPPED, "")
        apply(state, changes.EndRuns((stopped,)), forget)
        assert not state.jobs
        assert not state.jobs_bytes

    def test_a_late_end_of_a_run_of_a_removed_job_changes_nothing(
        self, state: states.QueueState
    ) -> None:
        done = changes.EndedRun(TASK, 1, changes.Ending.DONE, "")
        ends = changes.EndRuns((done,))
        apply(state, ends, forgetting.Forget(jobs=("job",)))
        assert not state.jobs
        before = state.snapshot()
        starts = changes.StartRuns((changes.StartedRun(TASK, 2, "w1"),))
        apply(state, ends, starts)
        assert state.snapshot() == before
        # A cancellation only keeps the job from being accepted again.
        apply(state, changes.CancelJob("job"))
        assert state.withdrawn == {"job"}
        apply(state, forgetting.Forget(withdrawn=("job",)))
        assert state.snapshot() == before

    def test_a_configured_queue_and_one_with_jobs_stay(
        self, state: states.QueueState
    ) -> None:
        forget = forgetting.Forget(queues=(QUEUE.key,))
        apply(state, forget)
        assert QUEUE.key in state.queues
        empty = configurations.Configuration(2)
        apply(state, changes.SetConfiguration(empty, b""), forget)
        assert QUEUE.key in state.queues
        done = changes.EndedRun(TASK, 1, changes.Ending.DONE, "")
        apply(state, changes.EndRuns((done,)))
        apply(state, forgetting.Forget(jobs=("job",)), forget)
        assert not state.queues

    def test_size_is_the_same_after_a_restart(
        self, state: states.QueueState
    ) -> None:
        done = changes.EndedRun(TASK, 1, changes.Ending.DONE, "")
        apply(state, changes.EndRuns((done,)))
        restarted = states.QueueState()
        restarted.restore(state.snapshot())
        assert restarted.jobs_bytes == state.jobs_bytes > 0
