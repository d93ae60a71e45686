"""Tests of how a stand-in worker executes commands and ends attempts."""

import pytest

from turmerichall import resources
from turmerichall.backend_servers import announcement
from turmerichall.tests.standins import audit_trail
from turmerichall.tests.standins import behaviours
from turmerichall.tests.standins import task_runner

INCARNATION = 7
LEASE_SECONDS = 15.0
START = announcement.Command(
    announcement.CommandKind.START,
    "j1/0",
    attempt=1,
    epoch=3,
    incarnation=INCARNATION,
    anchor=1,
    lease_seconds=LEASE_SECONDS,
    size=resources.Resources(4, 1000),
    run_seconds=10.0,
)
SMALL = resources.Resources(1, 1000)
STATES = announcement.ReportedState


@pytest.fixture(name="runner")
def _runner() -> task_runner.TaskRunner:
    runner = task_runner.TaskRunner(
        resources.Resources(8, 16000),
        INCARNATION,
        audit_trail.AuditTrail("", "w"),
    )
    runner.record_sent(1, now=100.0)
    return runner


def state_of(runner: task_runner.TaskRunner) -> announcement.ReportedState:
    """Return the state of the only attempt."""
    (report,) = runner.reports()
    return report.state


class TestStartRefusals:
    """Refusals of starts, and starts that a resend repeats."""

    @pytest.mark.parametrize(
        ("change", "now", "reason"),
        [
            ({"epoch": 2}, 101.0, "stale_epoch"),
            ({"incarnation": 6}, 101.0, "wrong_state"),
            ({"anchor": 2}, 101.0, "stale_anchor"),
            ({}, 100.0 + LEASE_SECONDS, "stale_anchor"),
            ({"size": resources.Resources(9, 1)}, 101.0, "no_capacity"),
        ],
    )
    def test_refused(
        self,
        runner: task_runner.TaskRunner,
        change: dict,
        now: float,
        reason: str,
    ) -> None:
        runner.epoch = 3
        result = runner.execute(START._replace(**change), now)
        assert not result.accepted
        assert result.detail.startswith(f"{reason}: ")
        assert not runner.attempts

    def test_no_second_attempt_while_one_runs(
        self, runner: task_runner.TaskRunner
    ) -> None:
        assert runner.execute(START, 101.0).accepted
        assert not runner.execute(START._replace(attempt=2), 101.0).accepted

    def test_resend_of_a_held_attempt_is_accepted_once(
        self, runner: task_runner.TaskRunner
    ) -> None:
        assert runner.execute(START, 101.0).accepted
        runner.step(101.1)
        resent = runner.execute(START._replace(anchor=9), 101.2)
        assert resent.accepted
        assert runner.attempts["j1/0#1"].progress > 0.0

    def test_refused_attempt_does_not_start_later(
        self, runner: task_runner.TaskRunner
    ) -> None:
        refused = START._replace(size=resources.Resources(9, 1))
        assert not runner.execute(refused, 101.0).accepted
        assert not runner.execute(START, 101.0).accepted
        assert runner.execute(START._replace(attempt=2), 101.0).accepted

    def test_acknowledged_attempt_does_not_start_again(
        self, runner: task_runner.TaskRunner
    ) -> None:
        runner.execute(START, 101.0)
        runner.execute(
            START._replace(kind=announcement.CommandKind.STOP), 101.0
        )
        reply = announcement.Reply(True, epoch=3, acknowledged=("j1/0#1",))
        runner.apply_reply(reply, 1, 102.0)
        assert not runner.execute(START, 102.0).accepted
        assert runner.execute(START._replace(attempt=2), 102.0).accepted

    def test_starts_until_capacity_is_used(
        self, runner: task_runner.TaskRunner
    ) -> None:
        for number in range(3):
            command = START._replace(task_id=f"j{number}/0")
            assert runner.execute(command, 101.0).accepted == (number < 2)


class TestLease:
    """Leases are counted from the send time of their anchor."""

    def test_expires_after_its_duration_from_the_anchor(
        self, runner: task_runner.TaskRunner
    ) -> None:
        runner.execute(START._replace(run_seconds=1000.0), 110.0)
        runner.step(100.0 + LEASE_SECONDS - 0.01)
        assert state_of(runner) == STATES.RUNNING
        assert runner.step(100.0 + LEASE_SECONDS)
        assert state_of(runner) == STATES.CHECKPOINTED

    def test_renewal_counts_from_the_sending_of_its_announcement(
        self, runner: task_runner.TaskRunner
    ) -> None:
        runner.execute(START._replace(run_seconds=1000.0), 101.0)
        runner.record_sent(2, 104.0)
        reply = announcement.Reply(
            True, epoch=3, renewed=("j1/0#1",), lease_seconds=LEASE_SECONDS
        )
        runner.apply_reply(reply, 2, now=109.0)
        assert (
            runner.attempts["j1/0#1"].lease_expires_at == 104.0 + LEASE_SECONDS
        )

    @pytest.mark.parametrize(("epoch", "now"), [(2, 109.0), (3, 116.0)])
    def test_no_renewal_by_an_old_epoch_or_after_expiry(
        self, runner: task_runner.TaskRunner, epoch: int, now: float
    ) -> None:
        runner.execute(START, 101.0)
        runner.record_sent(2, 104.0)
        reply = announcement.Reply(
            True, epoch=epoch, renewed=("j1/0#1",), lease_seconds=LEASE_SECONDS
        )
        runner.apply_reply(reply, 2, now)
        assert (
            runner.attempts["j1/0#1"].lease_expires_at == 100.0 + LEASE_SECONDS
        )


class TestEnds:
    """Progress and ends of attempts, and their reports."""

    def test_reported_until_acknowledged(
        self, runner: task_runner.TaskRunner
    ) -> None:
        runner.execute(START._replace(run_seconds=0.1), 101.0)
        runner.step(101.2)
        assert state_of(runner) == STATES.FINISHED
        runner.record_sent(2, 102.0)
        reply = announcement.Reply(True, epoch=3)
        runner.apply_reply(reply, 2, 102.0)
        assert state_of(runner) == STATES.FINISHED
        runner.apply_reply(
            reply._replace(acknowledged=("j1/0#1",)), 2, now=102.0
        )
        assert not runner.reports()

    def test_resumes_from_its_checkpoint(
        self, runner: task_runner.TaskRunner
    ) -> None:
        runner.execute(START, 101.0)
        runner.step(101.1)
        runner.execute(
            START._replace(kind=announcement.CommandKind.EVICT), 101.2
        )
        (report,) = runner.reports()
        assert float(report.checkpoint) == pytest.approx(0.01, abs=1e-3)
        resumed = START._replace(attempt=2, checkpoint=report.checkpoint)
        runner.execute(resumed, 102.0)
        runner.step(102.1)
        progress = runner.attempts["j1/0#2"].progress
        assert progress == pytest.approx(0.02, abs=1e-3)

    def test_no_progress_while_the_worker_is_suspended(
        self, runner: task_runner.TaskRunner
    ) -> None:
        runner.execute(START, 101.0)
        runner.step(109.0)
        assert runner.attempts["j1/0#1"].progress < 0.1


class TestServices:
    """Conditions under which a service accepts requests."""

    def test_serves_only_under_a_valid_lease(
        self, runner: task_runner.TaskRunner
    ) -> None:
        command = START._replace(
            task_id="svc:c/s/z1/0", service=True, customer="c", template="s"
        )
        runner.execute(command, 101.0)
        assert runner.serves("c", "s", 101.0)
        assert not runner.serves("c", "other", 101.0)
        assert not runner.serves("c", "s", 100.0 + LEASE_SECONDS)


class TestMeasurements:
    """Reports of a worker whose measurements are late."""

    def test_late_measurements_report_their_age(
        self, runner: task_runner.TaskRunner
    ) -> None:
        service = START._replace(task_id="svc:c/s/z1/0", service=True)
        noisy = START._replace(task_id="j2/0", template="noisy")
        for command in (service, noisy):
            assert runner.execute(command._replace(size=SMALL), 101.0).accepted
        measurements = behaviours.DelayedMeasurements()
        reports = []
        for now, noise in ((101.0, 0.0), (102.0, 2.0), (104.0, 2.0)):
            behaviour = behaviours.Behaviour("noisy", 3.0, noise=noise)
            runner.behaviours = {"noisy": behaviour}
            reports.append(measurements.delay(runner.reports(), 2.0, now))
        assert [r.slowdown for r, _ in reports] == [0.0, 0.0, 3.0]
        assert [r.usage.processors for _, r in reports] == [0.0, 0.0, 3.0]
        assert reports[2][0].measured_seconds_ago == 2.0
