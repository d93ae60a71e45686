"""Tests of the replicated state of queues."""

import pytest

from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands
from turmerichall.queues import state as states

QUEUE = configurations.Queue(
    "batch", "a.example", "/jobs/", "desk", max_attempts=2
)
WORKER = changes.WorkerRecord(
    "w1", "m1", "10.0.0.1:80", "desk", "z", "r1", ("a", "r1"), 8000, 9000, 0
)


def started(index: int, run: int = 1, worker: str = "w1") -> changes.StartedRun:
    return changes.StartedRun(changes.TaskName("j", 0, 0, index), run, worker)


def ended(
    index: int, ending: changes.Ending, run: int = 1, saved: str = ""
) -> changes.EndedRun:
    return changes.EndedRun(
        changes.TaskName("j", 0, 0, index), run, ending, saved
    )


class Book:
    """A replicated state with a queue, a worker and a job of two tasks."""

    def __init__(
        self, schedule: demands.Schedule | None = None, **step: object
    ) -> None:
        self.state = states.QueueState()
        self.index = 0
        document = b'{"version":3}'
        configuration = configurations.Configuration(3, (QUEUE,))
        demand = demands.JobDemand(
            "text",
            (demands.StepDemand(2, **step),),  # type: ignore[arg-type]
            schedule,
        )
        self.apply(
            changes.SetConfiguration(configuration, document),
            changes.RegisterWorker(WORKER),
            changes.AcceptJob("j", QUEUE.key, demand, 1000),
        )

    def apply(self, *given: changes.Change) -> None:
        for change in given:
            self.index += 1
            self.state.apply(self.index, changes.encode(change))

    @property
    def job(self) -> states.Job:
        return self.state.jobs["j"]

    def task(self, index: int) -> states.TaskRecord:
        return self.job.task(changes.TaskName("j", 0, 0, index))


class TestJobs:

    def test_is_completed_once_every_task_is_done(self) -> None:
        book = Book()
        assert book.job.state == states.JobState.QUEUED
        assert book.state.waiting[QUEUE.key] == {"j"}
        book.apply(changes.StartRuns((started(0), started(1))))
        assert book.job.state == states.JobState.ACTIVE
        assert not book.state.waiting[QUEUE.key]
        done = changes.Ending.DONE
        book.apply(changes.EndRuns((ended(0, done),)))
        assert book.job.state == states.JobState.ACTIVE
        book.apply(changes.EndRuns((ended(1, done),)))
        assert book.job.state == states.JobState.COMPLETED

    def test_a_resend_is_the_same_job(self) -> None:
        book = Book()
        book.apply(changes.StartRuns((started(0),)))
        other = demands.JobDemand("other", (demands.StepDemand(9),))
        book.apply(changes.AcceptJob("j", QUEUE.key, other, 2000))
        assert book.job.demand.spec == "text"
        assert book.job.state == states.JobState.ACTIVE

    def test_fails_after_the_last_attempt_only(self) -> None:
        book = Book()
        failed = changes.Ending.FAILED
        book.apply(changes.StartRuns((started(0),)))
        book.apply(changes.EndRuns((ended(0, failed),)))
        assert book.job.open
        book.apply(changes.StartRuns((started(0, run=2),)))
        book.apply(changes.EndRuns((ended(0, failed, run=2),)))
        assert book.job.state == states.JobState.FAILED

    @pytest.mark.parametrize(
        "ending",
        [
            changes.Ending.STOPPED,
            changes.Ending.LOST,
            changes.Ending.BROKEN,
            changes.Ending.ALONE,
            changes.Ending.UNSTARTED,
        ],
    )
    def test_other_ends_are_no_attempts(self, ending: changes.Ending) -> None:
        book = Book()
        for run in range(1, 6):
            book.apply(changes.StartRuns((started(0, run=run),)))
            book.apply(changes.EndRuns((ended(0, ending, run=run),)))
        assert book.job.open
        assert book.task(0).failures == 0

    def test_lasting_tasks_have_no_last_attempt_and_are_never_done(
        self,
    ) -> None:
        book = Book(lasting=True)
        for run, ending in enumerate(
            [changes.Ending.FAILED, changes.Ending.FAILED, changes.Ending.DONE],
            1,
        ):
            book.apply(changes.StartRuns((started(0, run=run),)))
            book.apply(changes.EndRuns((ended(0, ending, run=run),)))
        assert book.job.state == states.JobState.ACTIVE
        assert not book.task(0).done

    def test_all_ends_of_a_gang_finish_one_occurrence(self) -> None:
        book = Book(gang=True, schedule=demands.Schedule(0, 1000, 2))
        book.apply(changes.StartRuns((started(0), started(1))))
        for index in (0, 1):
            book.apply(changes.EndRuns((ended(index, changes.Ending.DONE),)))
        assert book.job.finished == 1
        assert book.job.state == states.JobState.ACTIVE

    def test_one_end_of_a_gang_stands_for_all(self) -> None:
        book = Book(gang=True)
        book.apply(changes.StartRuns((started(0), started(1))))
        book.apply(changes.EndRuns((ended(0, changes.Ending.DONE),)))
        assert book.job.state == states.JobState.COMPLETED

    def test_canceled_stays_canceled(self) -> None:
        book = Book()
        book.apply(changes.StartRuns((started(0), started(1))))
        book.apply(changes.CancelJob("j"))
        done = changes.Ending.DONE
        book.apply(changes.EndRuns((ended(0, done), ended(1, done))))
        assert book.job.state == states.JobState.CANCELED


class TestRuns:

    def test_a_start_needs_the_next_run_of_an_idle_task(self) -> None:
        book = Book()
        book.apply(changes.StartRuns((started(0),)))
        book.apply(changes.StartRuns((started(0, run=2),)))
        assert book.task(0).run == 1
        book.apply(changes.EndRuns((ended(0, changes.Ending.LOST),)))
        book.apply(changes.StartRuns((started(0, run=1),)))
        assert book.task(0).worker == ""
        book.apply(changes.StartRuns((started(0, run=2),)))
        assert book.task(0).run == 2

    def test_nothing_starts_after_done_or_canceled(self) -> None:
        book = Book()
        book.apply(changes.StartRuns((started(0),)))
        book.apply(changes.EndRuns((ended(0, changes.Ending.DONE),)))
        book.apply(changes.StartRuns((started(0, run=2),)))
        assert book.task(0).worker == ""
        book.apply(changes.CancelJob("j"))
        book.apply(changes.StartRuns((started(1),)))
        assert book.task(1).worker == ""

    def test_an_end_of_another_run_changes_nothing(self) -> None:
        book = Book()
        book.apply(changes.StartRuns((started(0),)))
        book.apply(changes.EndRuns((ended(0, changes.Ending.DONE, run=2),)))
        assert book.task(0).worker == "w1"

    def test_a_checkpoint_is_kept(self) -> None:
        book = Book()
        book.apply(changes.StartRuns((started(0),)))
        stopped = changes.Ending.STOPPED
        book.apply(changes.EndRuns((ended(0, stopped, saved="c7"),)))
        assert book.task(0).checkpoint == "c7"


class TestWorkers:

    def test_a_lost_worker_loses_its_runs(self) -> None:
        book = Book()
        book.apply(changes.StartRuns((started(0),)))
        book.apply(changes.LoseWorker("w1"))
        assert book.task(0).worker == ""
        assert book.state.gone == {"w1"}

    def test_another_life_at_the_address_replaces_the_first(self) -> None:
        book = Book()
        book.apply(changes.StartRuns((started(0),)))
        book.apply(changes.RegisterWorker(WORKER._replace(id="w2")))
        assert set(book.state.workers) == {"w2"}
        assert book.task(0).worker == ""
        book.apply(changes.RegisterWorker(WORKER))
        assert set(book.state.workers) == {"w2"}


class TestConfiguration:

    def test_the_highest_version_stays(self) -> None:
        book = Book()
        for version in (2, 3):
            other = configurations.Configuration(version)
            book.apply(changes.SetConfiguration(other, b"other"))
        assert book.state.document == b'{"version":3}'
        newer = configurations.Configuration(4)
        book.apply(changes.SetConfiguration(newer, b"newer"))
        assert book.state.document == b"newer"
        assert QUEUE.key in book.state.queues

    def test_the_longest_prefix_wins(self) -> None:
        longer = QUEUE._replace(name="long", path_prefix="/jobs/x/")
        configuration = configurations.Configuration(1, (QUEUE, longer))
        found = configuration.find("a.example", "/jobs/x/1")
        assert found is not None and found.name == "long"
        assert configuration.find("b.example", "/jobs/1") is None


class TestSnapshot:

    def test_restores_what_was_applied(self) -> None:
        book = Book()
        book.apply(
            changes.StartRuns((started(0),)),
            changes.DrainWorker("w1"),
            changes.NoteInterference({"desk": {"sort": 2.0}}),
        )
        other = states.QueueState()
        other.restore(book.state.snapshot())
        assert other.snapshot() == book.state.snapshot()
        assert other.draining == {"w1"}
        assert other.interference == {"desk": {"sort": 2.0}}
