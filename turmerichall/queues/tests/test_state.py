"""Tests of the replicated state of queues."""

import pytest

from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands
from turmerichall.queues import job as job_records
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


class StateFixture:
    """Replicated state with a queue, a worker and a job of two tasks."""

    def __init__(
        self, schedule: demands.Schedule | None = None, **step: object
    ) -> None:
        self.queue_state = states.QueueState()
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

    def apply(self, *new_changes: changes.Change) -> None:
        for change in new_changes:
            self.index += 1
            self.queue_state.apply(self.index, changes.encode(change))

    @property
    def job(self) -> job_records.Job:
        return self.queue_state.jobs["j"]

    def task(self, index: int) -> job_records.TaskRecord:
        return self.job.task(changes.TaskName("j", 0, 0, index))


class TestJobs:

    def test_a_job_is_completed_once_every_task_is_done(self) -> None:
        fixture = StateFixture()
        assert fixture.job.state == job_records.JobState.QUEUED
        assert fixture.queue_state.waiting[QUEUE.key] == {"j"}
        fixture.apply(changes.StartRuns((started(0), started(1))))
        assert fixture.job.state == job_records.JobState.ACTIVE
        assert not fixture.queue_state.waiting[QUEUE.key]
        done = changes.Ending.DONE
        fixture.apply(changes.EndRuns((ended(0, done),)))
        assert fixture.job.state == job_records.JobState.ACTIVE
        fixture.apply(changes.EndRuns((ended(1, done),)))
        assert fixture.job.state == job_records.JobState.COMPLETED

    def test_a_resubmitted_job_is_ignored(self) -> None:
        fixture = StateFixture()
        fixture.apply(changes.StartRuns((started(0),)))
        other = demands.JobDemand("other", (demands.StepDemand(9),))
        fixture.apply(changes.AcceptJob("j", QUEUE.key, other, 2000))
        assert fixture.job.demand.spec == "text"
        assert fixture.job.state == job_records.JobState.ACTIVE

    def test_a_job_fails_after_the_last_attempt_only(self) -> None:
        fixture = StateFixture()
        failed = changes.Ending.FAILED
        fixture.apply(changes.StartRuns((started(0),)))
        fixture.apply(changes.EndRuns((ended(0, failed),)))
        assert fixture.job.open
        fixture.apply(changes.StartRuns((started(0, run=2),)))
        fixture.apply(changes.EndRuns((ended(0, failed, run=2),)))
        assert fixture.job.state == job_records.JobState.FAILED

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
    def test_other_endings_are_not_attempts(
        self, ending: changes.Ending
    ) -> None:
        fixture = StateFixture()
        for run in range(1, 6):
            fixture.apply(changes.StartRuns((started(0, run=run),)))
            fixture.apply(changes.EndRuns((ended(0, ending, run=run),)))
        assert fixture.job.open
        assert fixture.task(0).failures == 0

    def test_long_running_tasks_restart_without_limit_and_are_never_done(
        self,
    ) -> None:
        fixture = StateFixture(lasting=True)
        for run, ending in enumerate(
            [changes.Ending.FAILED, changes.Ending.FAILED, changes.Ending.DONE],
            1,
        ):
            fixture.apply(changes.StartRuns((started(0, run=run),)))
            fixture.apply(changes.EndRuns((ended(0, ending, run=run),)))
        assert fixture.job.state == job_records.JobState.ACTIVE
        assert not fixture.task(0).done

    def test_all_ends_of_a_gang_finish_one_occurrence(self) -> None:
        fixture = StateFixture(gang=True, schedule=demands.Schedule(0, 1000, 2))
        fixture.apply(changes.StartRuns((started(0), started(1))))
        for index in (0, 1):
            fixture.apply(changes.EndRuns((ended(index, changes.Ending.DONE),)))
        assert fixture.job.finished == 1
        assert fixture.job.state == job_records.JobState.ACTIVE

    def test_one_done_member_completes_the_gang(self) -> None:
        fixture = StateFixture(gang=True)
        fixture.apply(changes.StartRuns((started(0), started(1))))
        fixture.apply(changes.EndRuns((ended(0, changes.Ending.DONE),)))
        assert fixture.job.state == job_records.JobState.COMPLETED

    def test_a_canceled_job_stays_canceled(self) -> None:
        fixture = StateFixture()
        fixture.apply(changes.StartRuns((started(0), started(1))))
        fixture.apply(changes.CancelJob("j"))
        done = changes.Ending.DONE
        fixture.apply(changes.EndRuns((ended(0, done), ended(1, done))))
        assert fixture.job.state == job_records.JobState.CANCELED


class TestRuns:

    def test_a_start_requires_an_idle_task_and_a_higher_run(self) -> None:
        fixture = StateFixture()
        fixture.apply(changes.StartRuns((started(0),)))
        fixture.apply(changes.StartRuns((started(0, run=2),)))
        assert fixture.task(0).run == 1
        fixture.apply(changes.EndRuns((ended(0, changes.Ending.LOST),)))
        fixture.apply(changes.StartRuns((started(0, run=1),)))
        assert fixture.task(0).worker == ""
        fixture.apply(changes.StartRuns((started(0, run=2),)))
        assert fixture.task(0).run == 2

    def test_no_run_starts_after_done_or_canceled(self) -> None:
        fixture = StateFixture()
        fixture.apply(changes.StartRuns((started(0),)))
        fixture.apply(changes.EndRuns((ended(0, changes.Ending.DONE),)))
        fixture.apply(changes.StartRuns((started(0, run=2),)))
        assert fixture.task(0).worker == ""
        fixture.apply(changes.CancelJob("j"))
        fixture.apply(changes.StartRuns((started(1),)))
        assert fixture.task(1).worker == ""

    def test_the_end_of_another_run_is_ignored(self) -> None:
        fixture = StateFixture()
        fixture.apply(changes.StartRuns((started(0),)))
        fixture.apply(changes.EndRuns((ended(0, changes.Ending.DONE, run=2),)))
        assert fixture.task(0).worker == "w1"

    def test_a_checkpoint_is_kept(self) -> None:
        fixture = StateFixture()
        fixture.apply(changes.StartRuns((started(0),)))
        stopped = changes.Ending.STOPPED
        fixture.apply(changes.EndRuns((ended(0, stopped, saved="c7"),)))
        assert fixture.task(0).checkpoint == "c7"


class TestWorkers:

    def test_a_lost_worker_loses_its_runs(self) -> None:
        fixture = StateFixture()
        fixture.apply(changes.StartRuns((started(0),)))
        fixture.apply(changes.LoseWorker("w1"))
        assert fixture.task(0).worker == ""
        assert fixture.queue_state.gone == {"w1"}

    def test_a_new_incarnation_at_the_address_replaces_the_old(self) -> None:
        fixture = StateFixture()
        fixture.apply(changes.StartRuns((started(0),)))
        fixture.apply(changes.RegisterWorker(WORKER._replace(id="w2")))
        assert set(fixture.queue_state.workers) == {"w2"}
        assert fixture.task(0).worker == ""
        fixture.apply(changes.RegisterWorker(WORKER))
        assert set(fixture.queue_state.workers) == {"w2"}


class TestConfiguration:

    def test_the_highest_version_stays(self) -> None:
        fixture = StateFixture()
        for version in (2, 3):
            other = configurations.Configuration(version)
            fixture.apply(changes.SetConfiguration(other, b"other"))
        assert fixture.queue_state.document == b'{"version":3}'
        newer = configurations.Configuration(4)
        fixture.apply(changes.SetConfiguration(newer, b"newer"))
        assert fixture.queue_state.document == b"newer"
        assert QUEUE.key in fixture.queue_state.queues

    def test_the_longest_path_prefix_wins(self) -> None:
        longer = QUEUE._replace(name="long", path_prefix="/jobs/x/")
        configuration = configurations.Configuration(1, (QUEUE, longer))
        found = configuration.find("a.example", "/jobs/x/1")
        assert found is not None and found.name == "long"
        assert configuration.find("b.example", "/jobs/1") is None


class TestSnapshot:

    def test_a_restored_snapshot_equals_the_original(self) -> None:
        fixture = StateFixture()
        fixture.apply(
            changes.StartRuns((started(0),)),
            changes.DrainWorker("w1"),
            changes.NoteInterference({"desk": {"sort": 2.0}}),
        )
        other = states.QueueState()
        other.restore(fixture.queue_state.snapshot())
        assert other.snapshot() == fixture.queue_state.snapshot()
        assert other.draining == {"w1"}
        assert other.interference == {"desk": {"sort": 2.0}}


class TestFailedGang:

    # A gang whose members failed in turn was started more often than its queue
    # permits, since the failures of each member were counted apart.
    @pytest.mark.parametrize("members", [(0, 1), (1, 0), (0, 0)])
    def test_it_fails_after_as_many_runs_as_a_task_may(
        self, members: tuple[int, int]
    ) -> None:
        fixture = StateFixture(gang=True)
        for run, member in enumerate(members, 1):
            assert fixture.job.state == job_records.JobState(
                "queued" if run == 1 else "active"
            )
            fixture.apply(
                changes.StartRuns((started(0, run), started(1, run))),
                changes.EndRuns(
                    (
                        ended(member, changes.Ending.FAILED, run),
                        ended(1 - member, changes.Ending.BROKEN, run),
                    )
                ),
            )
        assert fixture.job.state == job_records.JobState.FAILED

    def test_members_that_fail_in_one_run_count_once(self) -> None:
        fixture = StateFixture(gang=True)
        fixture.apply(
            changes.StartRuns((started(0), started(1))),
            changes.EndRuns(
                (
                    ended(0, changes.Ending.FAILED),
                    ended(1, changes.Ending.FAILED),
                )
            ),
        )
        assert fixture.job.open

    def test_tasks_that_start_by_themselves_are_counted_apart(self) -> None:
        fixture = StateFixture()
        for index in (0, 1):
            fixture.apply(
                changes.StartRuns((started(index),)),
                changes.EndRuns((ended(index, changes.Ending.FAILED),)),
            )
        assert fixture.job.open
