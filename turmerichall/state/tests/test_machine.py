"""Tests of the machine that applies changes."""

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
    made: machine.StateMachine, change: changes.Change
) -> changes.Result:
    data = made.apply(made.applied_index + 1, changes.encode(change))
    return changes.decode_result(data)


def _with_job() -> machine.StateMachine:
    made = machine.StateMachine()
    body = customer.Customer("c", "team", customer.Urgency.NORMAL, ("z1",), {})
    _apply(made, changes.PublishTemplate(_operation("t"), 0, _template()))
    _apply(made, changes.SetCustomer(_operation("c"), 0, body))
    _apply(made, changes.AcceptJob(_operation("j"), "j1", "c", "r", 2, 9.0))
    _apply(made, changes.TakeGrant("z1", "i1", 0, 0))
    return made


def _start(attempt: int, epoch: int = 1) -> changes.StartTasks:
    starts = [changes.Start("j1/0", attempt, "w1", 1)]
    return changes.StartTasks("z1", epoch, 2.0, starts)


def _end(attempt: int, ending: changes.Ending) -> changes.EndTasks:
    ends = [changes.End("j1/0", attempt, ending, "half")]
    return changes.EndTasks("z1", 1, 3.0, ends)


class TestVersions:

    def test_equal_base_versions_conflict(self) -> None:
        made = machine.StateMachine()
        first = changes.PublishTemplate(_operation("1"), 0, _template())
        second = changes.PublishTemplate(
            _operation("2", "ben"), 0, _template(5.0)
        )
        assert _apply(made, first).status == changes.Status.APPLIED
        result = _apply(made, second)
        assert result.status == changes.Status.CONFLICT
        assert result.holder == "ann"
        assert made.configuration.templates["r"].body.run_seconds == 60.0

    def test_resend_is_the_same_change(self) -> None:
        made = machine.StateMachine()
        change = changes.PublishTemplate(_operation("1"), 0, _template())
        first = _apply(made, change)
        made.restore(made.snapshot())
        assert _apply(made, change) == first
        assert made.configuration.templates["r"].version == 1


class TestTasks:

    def test_second_start_of_a_running_task_is_passed_over(self) -> None:
        made = _with_job()
        assert _apply(made, _start(1)).refused == ()
        assert _apply(made, _start(2)).refused == ("j1/0",)
        assert made.job_store.tasks["j1/0"].attempt == 1

    def test_stale_epoch_starts_nothing(self) -> None:
        made = _with_job()
        result = _apply(made, _start(1, epoch=0))
        assert result.reason == "stale_epoch"
        assert made.job_store.tasks["j1/0"].state == job.TaskState.WAITING

    def test_stale_epoch_ends_nothing(self) -> None:
        made = _with_job()
        _apply(made, _start(1))
        end = _end(1, changes.Ending.LOST)._replace(epoch=0)
        assert _apply(made, end).reason == "stale_epoch"
        assert made.job_store.tasks["j1/0"].state == job.TaskState.RUNNING

    def test_evicted_task_waits_with_its_checkpoint(self) -> None:
        made = _with_job()
        _apply(made, _start(1))
        _apply(made, _end(1, changes.Ending.EVICTED))
        task = made.job_store.tasks["j1/0"]
        assert task.state == job.TaskState.WAITING
        assert task.checkpoint == "half"
        assert _apply(made, _end(1, changes.Ending.FINISHED)).refused

    def test_failures_on_one_worker_do_not_end_a_task(self) -> None:
        made = _with_job()
        for attempt in range(1, 6):
            _apply(made, _start(attempt))
            _apply(made, _end(attempt, changes.Ending.FAILED))
        assert made.job_store.tasks["j1/0"].state == job.TaskState.WAITING

    def test_failures_on_different_workers_end_it(self) -> None:
        made = _with_job()
        for attempt in range(1, 4):
            start = changes.Start("j1/0", attempt, f"w{attempt}", 1)
            _apply(made, changes.StartTasks("z1", 1, 2.0, [start]))
            _apply(made, _end(attempt, changes.Ending.FAILED))
        assert made.job_store.tasks["j1/0"].state == job.TaskState.FAILED

    def test_snapshot_keeps_everything(self) -> None:
        made = _with_job()
        _apply(made, _start(1))
        restored = machine.StateMachine()
        restored.restore(made.snapshot())
        assert restored.snapshot() == made.snapshot()
        assert list(restored.job_store.waiting) == ["j1/1"]
        assert list(restored.job_store.live_by_worker["w1"]) == ["j1/0"]


def _finish_job(made: machine.StateMachine, job_id: str) -> None:
    """Accepts a job of one task and runs it to its end."""
    asked = changes.AcceptJob(_operation(job_id), job_id, "c", "r", 1, 9.0)
    start = changes.Start(f"{job_id}/0", 1, "w1", 1)
    end = changes.End(f"{job_id}/0", 1, changes.Ending.FINISHED)
    _apply(made, asked)
    _apply(made, changes.StartTasks("z1", 1, 2.0, [start]))
    _apply(made, changes.EndTasks("z1", 1, 3.0, [end]))


class TestEndedJobs:

    def test_old_ones_keep_their_totals_and_no_tasks(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(job_store, "MAX_DETAILED_JOBS", 2)
        made = _with_job()
        for number in range(4):
            _finish_job(made, f"e{number}")
        kept = {name for name in made.job_store.tasks if name.startswith("e")}
        assert kept == {"e2/0", "e3/0"}
        totals = made.job_store.job_totals("e0")
        assert totals.states == {job.TaskState.FINISHED: 1}
        held = made.job_store.jobs["e0"]
        assert job.job_state(held, totals) == job.JobState.FINISHED

    def test_oldest_are_forgotten_and_running_ones_never(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(job_store, "MAX_DETAILED_JOBS", 1)
        monkeypatch.setattr(job_store, "MAX_ENDED_JOBS", 3)
        made = _with_job()
        for number in range(6):
            _finish_job(made, f"e{number}")
        assert list(made.job_store.jobs) == ["j1", "e3", "e4", "e5"]

    def test_restored_ones_are_dropped_in_the_same_order(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(job_store, "MAX_DETAILED_JOBS", 2)
        monkeypatch.setattr(job_store, "MAX_ENDED_JOBS", 4)
        made = _with_job()
        for number in range(5):
            _finish_job(made, f"e{number}")
        restored = machine.StateMachine()
        restored.restore(made.snapshot())
        for number in range(5, 9):
            _finish_job(made, f"e{number}")
            _finish_job(restored, f"e{number}")
        assert restored.snapshot() == made.snapshot()


class TestPresence:

    def test_returns_in_two_steps_and_survives_a_snapshot(self) -> None:
        made = machine.StateMachine()
        entry = instance.Instance("i1", "r", "z1", "", "", "", False)
        _apply(made, changes.RegisterInstance(entry))
        present, absent, returning = presences.Presence
        for asked, held in [
            (returning, present),
            (absent, absent),
            (present, absent),
            (returning, returning),
            (absent, absent),
            (returning, returning),
            (present, present),
            (absent, absent),
        ]:
            _apply(made, changes.SetPresence("i1", asked, "i2"))
            made.restore(made.snapshot())
            assert made.presence("i1") == held

    def test_forgotten_instance_is_not_absent_when_it_is_listed_anew(
        self,
    ) -> None:
        made = machine.StateMachine()
        entry = instance.Instance("i1", "r", "z1", "", "", "", False)
        absent = changes.SetPresence("i1", presences.Presence.ABSENT, "i2")
        assert _apply(made, absent).status == changes.Status.REFUSED
        _apply(made, changes.RegisterInstance(entry))
        _apply(made, absent)
        _apply(made, changes.ForgetInstance(_operation("1"), "i1"))
        _apply(made, changes.RegisterInstance(entry))
        assert made.presence("i1") == presences.Presence.PRESENT
