"""Tests of the replicated state machine."""

import pytest

from turmerichall import resources
from turmerichall.customers import customer
from turmerichall.instances import instance
from turmerichall.instances import presence as presences
from turmerichall.jobs import job
from turmerichall.state import change as changes
from turmerichall.state import job_store
from turmerichall.state import machine
from turmerichall.templates import template


def _operation(operation_id: str, operator: str = "ann") -> changes.Operation:
    return changes.Operation(operation_id, operator, 1.0)


def _template(run_seconds: float = 60.0) -> template.Template:
    size = resources.Resources(1, 100)
    return template.Template("r", template.Kind.BATCH, size, run_seconds)


def _apply(
    state_machine: machine.StateMachine, change: changes.Change
) -> changes.Result:
    data = state_machine.apply(
        state_machine.applied_index + 1, changes.encode(change)
    )
    return changes.decode_result(data)


def _machine_with_job() -> machine.StateMachine:
    state_machine = machine.StateMachine()
    body = customer.Customer("c", "team", customer.Urgency.NORMAL, ("z1",), {})
    _apply(
        state_machine, changes.PublishTemplate(_operation("t"), 0, _template())
    )
    _apply(state_machine, changes.SetCustomer(_operation("c"), 0, body))
    _apply(
        state_machine,
        changes.AcceptJob(_operation("j"), "j1", "c", "r", 2, 9.0),
    )
    _apply(state_machine, changes.TakeGrant("z1", "i1", 0, 0))
    return state_machine


def _start(attempt: int, epoch: int = 1) -> changes.StartTasks:
    starts = [changes.Start("j1/0", attempt, "w1", 1)]
    return changes.StartTasks("z1", epoch, 2.0, starts)


def _end(attempt: int, ending: changes.Ending) -> changes.EndTasks:
    ends = [changes.End("j1/0", attempt, ending, "half")]
    return changes.EndTasks("z1", 1, 3.0, ends)


class TestVersions:

    def test_second_change_of_the_same_base_version_conflicts(self) -> None:
        state_machine = machine.StateMachine()
        first = changes.PublishTemplate(_operation("1"), 0, _template())
        second = changes.PublishTemplate(
            _operation("2", "ben"), 0, _template(5.0)
        )
        assert _apply(state_machine, first).status == changes.Status.APPLIED
        result = _apply(state_machine, second)
        assert result.status == changes.Status.CONFLICT
        assert result.holder == "ann"
        assert (
            state_machine.configuration.templates["r"].body.run_seconds == 60.0
        )

    def test_retry_returns_the_result_of_the_first_attempt(self) -> None:
        state_machine = machine.StateMachine()
        change = changes.PublishTemplate(_operation("1"), 0, _template())
        first = _apply(state_machine, change)
        state_machine.restore(state_machine.snapshot())
        assert _apply(state_machine, change) == first
        assert state_machine.configuration.templates["r"].version == 1


class TestTasks:

    def test_second_start_of_a_running_task_is_skipped(self) -> None:
        state_machine = _machine_with_job()
        assert _apply(state_machine, _start(1)).refused == ()
        assert _apply(state_machine, _start(2)).refused == ("j1/0",)
        assert state_machine.job_store.tasks["j1/0"].attempt == 1

    def test_start_with_a_stale_epoch_is_refused(self) -> None:
        state_machine = _machine_with_job()
        result = _apply(state_machine, _start(1, epoch=0))
        assert result.reason == "stale_epoch"
        assert (
            state_machine.job_store.tasks["j1/0"].state == job.TaskState.WAITING
        )

    def test_end_with_a_stale_epoch_is_refused(self) -> None:
        state_machine = _machine_with_job()
        _apply(state_machine, _start(1))
        end = _end(1, changes.Ending.LOST)._replace(epoch=0)
        assert _apply(state_machine, end).reason == "stale_epoch"
        assert (
            state_machine.job_store.tasks["j1/0"].state == job.TaskState.RUNNING
        )

    def test_evicted_task_waits_and_keeps_its_checkpoint(self) -> None:
        state_machine = _machine_with_job()
        _apply(state_machine, _start(1))
        _apply(state_machine, _end(1, changes.Ending.EVICTED))
        task = state_machine.job_store.tasks["j1/0"]
        assert task.state == job.TaskState.WAITING
        assert task.checkpoint == "half"
        assert _apply(state_machine, _end(1, changes.Ending.FINISHED)).refused

    def test_failures_on_one_worker_do_not_end_a_task(self) -> None:
        state_machine = _machine_with_job()
        for attempt in range(1, 6):
            _apply(state_machine, _start(attempt))
            _apply(state_machine, _end(attempt, changes.Ending.FAILED))
        assert (
            state_machine.job_store.tasks["j1/0"].state == job.TaskState.WAITING
        )

    def test_failures_on_different_workers_end_a_task(self) -> None:
        state_machine = _machine_with_job()
        for attempt in range(1, 4):
            start = changes.Start("j1/0", attempt, f"w{attempt}", 1)
            _apply(state_machine, changes.StartTasks("z1", 1, 2.0, [start]))
            _apply(state_machine, _end(attempt, changes.Ending.FAILED))
        assert (
            state_machine.job_store.tasks["j1/0"].state == job.TaskState.FAILED
        )

    def test_snapshot_restores_the_whole_state(self) -> None:
        state_machine = _machine_with_job()
        _apply(state_machine, _start(1))
        restored = machine.StateMachine()
        restored.restore(state_machine.snapshot())
        assert restored.snapshot() == state_machine.snapshot()
        assert list(restored.job_store.waiting) == ["j1/1"]
        assert list(restored.job_store.live_by_worker["w1"]) == ["j1/0"]


def _finish_job(state_machine: machine.StateMachine, job_id: str) -> None:
    """Accept a job with one task and record that the task finished."""
    request = changes.AcceptJob(_operation(job_id), job_id, "c", "r", 1, 9.0)
    start = changes.Start(f"{job_id}/0", 1, "w1", 1)
    end = changes.End(f"{job_id}/0", 1, changes.Ending.FINISHED)
    _apply(state_machine, request)
    _apply(state_machine, changes.StartTasks("z1", 1, 2.0, [start]))
    _apply(state_machine, changes.EndTasks("z1", 1, 3.0, [end]))


class TestEndedJobs:

    def test_old_jobs_keep_totals_but_no_tasks(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(job_store, "MAX_DETAILED_JOBS", 2)
        state_machine = _machine_with_job()
        for number in range(4):
            _finish_job(state_machine, f"e{number}")
        kept = {
            name
            for name in state_machine.job_store.tasks
            if name.startswith("e")
        }
        assert kept == {"e2/0", "e3/0"}
        totals = state_machine.job_store.job_totals("e0")
        assert totals.states == {job.TaskState.FINISHED: 1}
        batch_job = state_machine.job_store.jobs["e0"]
        assert job.job_state(batch_job, totals) == job.JobState.FINISHED

    def test_oldest_ended_jobs_are_dropped_but_not_running_ones(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(job_store, "MAX_DETAILED_JOBS", 1)
        monkeypatch.setattr(job_store, "MAX_ENDED_JOBS", 3)
        state_machine = _machine_with_job()
        for number in range(6):
            _finish_job(state_machine, f"e{number}")
        assert list(state_machine.job_store.jobs) == ["j1", "e3", "e4", "e5"]

    def test_restored_jobs_are_dropped_in_the_same_order(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(job_store, "MAX_DETAILED_JOBS", 2)
        monkeypatch.setattr(job_store, "MAX_ENDED_JOBS", 4)
        state_machine = _machine_with_job()
        for number in range(5):
            _finish_job(state_machine, f"e{number}")
        restored = machine.StateMachine()
        restored.restore(state_machine.snapshot())
        for number in range(5, 9):
            _finish_job(state_machine, f"e{number}")
            _finish_job(restored, f"e{number}")
        assert restored.snapshot() == state_machine.snapshot()


class TestPresence:

    def test_presence_changes_in_order_and_survives_a_snapshot(self) -> None:
        state_machine = machine.StateMachine()
        entry = instance.Instance("i1", "r", "z1", "", "", "", False)
        _apply(state_machine, changes.RegisterInstance(entry))
        present, absent, returning = presences.Presence
        for requested, expected in [
            (returning, present),
            (absent, absent),
            (present, absent),
            (returning, returning),
            (absent, absent),
            (returning, returning),
            (present, present),
            (absent, absent),
        ]:
            _apply(state_machine, changes.SetPresence("i1", requested, "i2"))
            state_machine.restore(state_machine.snapshot())
            assert state_machine.presence("i1") == expected

    def test_instance_that_is_registered_again_is_present(
        self,
    ) -> None:
        state_machine = machine.StateMachine()
        entry = instance.Instance("i1", "r", "z1", "", "", "", False)
        absent = changes.SetPresence("i1", presences.Presence.ABSENT, "i2")
        assert _apply(state_machine, absent).status == changes.Status.REFUSED
        _apply(state_machine, changes.RegisterInstance(entry))
        _apply(state_machine, absent)
        _apply(state_machine, changes.ForgetInstance(_operation("1"), "i1"))
        _apply(state_machine, changes.RegisterInstance(entry))
        assert state_machine.presence("i1") == presences.Presence.PRESENT
