"""Tests of the rules by which the stand-in worker takes commands."""

import pytest

from turmerichall import resources
from turmerichall.backend_servers import announcement
from turmerichall.tests.standins import audit_trail
from turmerichall.tests.standins import behaviours
from turmerichall.tests.standins import task_runner

INCARNATION = 7
LEASE = 15.0
START = announcement.Command(
    announcement.CommandKind.START,
    "j1/0",
    attempt=1,
    epoch=3,
    incarnation=INCARNATION,
    anchor=1,
    lease_seconds=LEASE,
    size=resources.Resources(4, 1000),
    run_seconds=10.0,
)
SMALL = resources.Resources(1, 1000)
STATES = announcement.ReportedState


@pytest.fixture(name="held")
def _held() -> task_runner.TaskRunner:
    made = task_runner.TaskRunner(
        resources.Resources(8, 16000),
        INCARNATION,
        audit_trail.AuditTrail("", "w"),
    )
    made.note_sent(1, now=100.0)
    return made


def state_of(held: task_runner.TaskRunner) -> announcement.ReportedState:
    """Returns the state of the only attempt."""
    (report,) = held.reports()
    return report.state


class TestStartRefusals:
    """What a start is refused for."""

    @pytest.mark.parametrize(
        ("change", "now", "reason"),
        [
            ({"epoch": 2}, 101.0, "stale_epoch"),
            ({"incarnation": 6}, 101.0, "wrong_state"),
            ({"anchor": 2}, 101.0, "stale_anchor"),
            ({}, 100.0 + LEASE, "stale_anchor"),
            ({"size": resources.Resources(9, 1)}, 101.0, "no_capacity"),
        ],
    )
    def test_refused(
        self,
        held: task_runner.TaskRunner,
        change: dict,
        now: float,
        reason: str,
    ) -> None:
        held.epoch = 3
        answer = held.take(START._replace(**change), now)
        assert not answer.accepted
        assert answer.detail.startswith(f"{reason}: ")
        assert not held.held

    def test_no_second_attempt_while_one_runs(
        self, held: task_runner.TaskRunner
    ) -> None:
        assert held.take(START, 101.0).accepted
        assert not held.take(START._replace(attempt=2), 101.0).accepted

    def test_resend_of_a_held_attempt_is_accepted_once(
        self, held: task_runner.TaskRunner
    ) -> None:
        assert held.take(START, 101.0).accepted
        held.step(101.1)
        late = held.take(START._replace(anchor=9), 101.2)
        assert late.accepted
        assert held.held["j1/0#1"].progress > 0.0

    def test_refused_attempt_does_not_start_later(
        self, held: task_runner.TaskRunner
    ) -> None:
        refused = START._replace(size=resources.Resources(9, 1))
        assert not held.take(refused, 101.0).accepted
        assert not held.take(START, 101.0).accepted
        assert held.take(START._replace(attempt=2), 101.0).accepted

    def test_acknowledged_attempt_does_not_start_again(
        self, held: task_runner.TaskRunner
    ) -> None:
        held.take(START, 101.0)
        held.take(START._replace(kind=announcement.CommandKind.STOP), 101.0)
        reply = announcement.Reply(True, epoch=3, acknowledged=("j1/0#1",))
        held.take_reply(reply, 1, 102.0)
        assert not held.take(START, 102.0).accepted
        assert held.take(START._replace(attempt=2), 102.0).accepted

    def test_room_is_what_running_attempts_leave(
        self, held: task_runner.TaskRunner
    ) -> None:
        for number in range(3):
            command = START._replace(task_id=f"j{number}/0")
            assert held.take(command, 101.0).accepted == (number < 2)


class TestLease:
    """A lease counts from the send time of its anchor."""

    def test_ends_at_the_anchor_plus_its_term(
        self, held: task_runner.TaskRunner
    ) -> None:
        held.take(START._replace(run_seconds=1000.0), 110.0)
        held.step(100.0 + LEASE - 0.01)
        assert state_of(held) == STATES.RUNNING
        assert held.step(100.0 + LEASE)
        assert state_of(held) == STATES.CHECKPOINTED

    def test_renewal_counts_from_the_send_of_its_announcement(
        self, held: task_runner.TaskRunner
    ) -> None:
        held.take(START._replace(run_seconds=1000.0), 101.0)
        held.note_sent(2, 104.0)
        reply = announcement.Reply(
            True, epoch=3, renewed=("j1/0#1",), lease_seconds=LEASE
        )
        held.take_reply(reply, 2, now=109.0)
        assert held.held["j1/0#1"].lease_until == 104.0 + LEASE

    @pytest.mark.parametrize(("epoch", "now"), [(2, 109.0), (3, 116.0)])
    def test_no_renewal_of_an_old_epoch_or_of_an_ended_lease(
        self, held: task_runner.TaskRunner, epoch: int, now: float
    ) -> None:
        held.take(START, 101.0)
        held.note_sent(2, 104.0)
        reply = announcement.Reply(
            True, epoch=epoch, renewed=("j1/0#1",), lease_seconds=LEASE
        )
        held.take_reply(reply, 2, now)
        assert held.held["j1/0#1"].lease_until == 100.0 + LEASE


class TestEnds:
    """Ends of attempts and how they are reported."""

    def test_reported_until_acknowledged(
        self, held: task_runner.TaskRunner
    ) -> None:
        held.take(START._replace(run_seconds=0.1), 101.0)
        held.step(101.2)
        assert state_of(held) == STATES.FINISHED
        held.note_sent(2, 102.0)
        reply = announcement.Reply(True, epoch=3)
        held.take_reply(reply, 2, 102.0)
        assert state_of(held) == STATES.FINISHED
        held.take_reply(reply._replace(acknowledged=("j1/0#1",)), 2, now=102.0)
        assert not held.reports()

    def test_resumes_from_its_checkpoint(
        self, held: task_runner.TaskRunner
    ) -> None:
        held.take(START, 101.0)
        held.step(101.1)
        held.take(START._replace(kind=announcement.CommandKind.EVICT), 101.2)
        (report,) = held.reports()
        assert float(report.checkpoint) == pytest.approx(0.01, abs=1e-3)
        resumed = START._replace(attempt=2, checkpoint=report.checkpoint)
        held.take(resumed, 102.0)
        held.step(102.1)
        progress = held.held["j1/0#2"].progress
        assert progress == pytest.approx(0.02, abs=1e-3)

    def test_a_frozen_worker_does_no_work_meanwhile(
        self, held: task_runner.TaskRunner
    ) -> None:
        held.take(START, 101.0)
        held.step(109.0)
        assert held.held["j1/0#1"].progress < 0.1


class TestServices:
    """When a service is served."""

    def test_only_under_a_lease(self, held: task_runner.TaskRunner) -> None:
        command = START._replace(
            task_id="svc:c/s/z1/0", service=True, customer="c", template="s"
        )
        held.take(command, 101.0)
        assert held.serves("c", "s", 101.0)
        assert not held.serves("c", "other", 101.0)
        assert not held.serves("c", "s", 100.0 + LEASE)


class TestMeasurements:
    """What a worker tells of its tasks when it measures late."""

    def test_noise_shows_as_old_as_it_is(
        self, held: task_runner.TaskRunner
    ) -> None:
        service = START._replace(task_id="svc:c/s/z1/0", service=True)
        noisy = START._replace(task_id="j2/0", template="noisy")
        for command in (service, noisy):
            assert held.take(command._replace(size=SMALL), 101.0).accepted
        measurements = behaviours.Measurements()
        told = []
        for now, noise in ((101.0, 0.0), (102.0, 2.0), (104.0, 2.0)):
            shown = behaviours.Behaviour("noisy", 3.0, noise=noise)
            held.behaviours = {"noisy": shown}
            told.append(measurements.late(held.reports(), 2.0, now))
        assert [r.slowdown for r, _ in told] == [0.0, 0.0, 3.0]
        assert [r.usage.processors for _, r in told] == [0.0, 0.0, 3.0]
        assert told[2][0].measured_seconds_ago == 2.0
