"""Tests of the scheduler of a zone, with fakes and a mock clock."""

from typing import NamedTuple

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import directory
from turmerichall.customers import customer
from turmerichall.jobs import job
from turmerichall.leases import lease
from turmerichall.placement import planner
from turmerichall.placement import weights
from turmerichall.state import change as changes
from turmerichall.state import machine as machines
from turmerichall.templates import template
from turmerichall.zones import cross_zone_feasibility
from turmerichall.zones import grant as grants
from turmerichall.zones import grant_holder
from turmerichall.zones import scheduler as schedulers
from turmerichall.zones import worker_client

ROOM = resources.Resources(8, 8000)
LEASE_END_SECONDS = lease.task_ended_after_seconds()


class _Log:
    """Applies changes at once, unless it is without a quorum."""

    def __init__(self, machine: machines.StateMachine):
        self.machine = machine
        self.without_quorum = False

    async def submit(
        self, change: changes.Change
    ) -> changes.Result | outcomes.Refusal | outcomes.Unknown:
        """Apply a change."""
        await trio.lowlevel.checkpoint()
        if self.without_quorum:
            return outcomes.Refusal(outcomes.RefusalReason.NO_QUORUM)
        return self.apply(change)

    def apply(self, change: changes.Change) -> changes.Result:
        index = self.machine.applied_index + 1
        data = self.machine.apply(index, changes.encode(change))
        return changes.decode_result(data)


class _Sender:
    """Records the commands that are sent to workers."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, announcement.Command]] = []
        self.accept = True

    async def send(
        self, address: str, commands: list[announcement.Command]
    ) -> (
        list[worker_client.CommandResult] | outcomes.Refusal | outcomes.Unknown
    ):
        """Record the commands and return the same answer to each."""
        await trio.lowlevel.checkpoint()
        self.sent += [(address, command) for command in commands]
        return [
            worker_client.CommandResult(
                c.task_id, c.attempt, self.accept, "full"
            )
            for c in commands
        ]


class _Zone(NamedTuple):
    """One scheduler with its fakes."""

    machine: machines.StateMachine
    log: _Log
    sender: _Sender
    holder: grant_holder.GrantHolder
    scheduler: schedulers.ZoneScheduler

    async def settle(self, rounds: int = 4) -> None:
        """Let the scheduler take its next steps."""
        for _ in range(rounds):
            self.scheduler.wake()
            await trio.sleep(schedulers.STEP_PERIOD_SECONDS)

    async def run_job(self) -> None:
        """Submit a job with one task, which is started on w1."""
        _submit(self.log)
        self.announce(1)
        await self.settle()

    def announce(
        self,
        sequence: int,
        *tasks: announcement.TaskReport,
        worker: str = "w1",
        incarnation: int = 1,
        epoch: int = 1,
    ) -> announcement.Reply:
        """Send an announcement of a worker and return the reply."""
        announced = announcement.Announcement(
            worker, incarnation, sequence, "z1", "r1", f"{worker}:1", ROOM
        )
        reply = self.scheduler.announce(
            announced._replace(tasks=tasks, epoch=epoch)
        )
        assert reply is not None
        return reply

    def task(self, number: int = 0) -> job.Task:
        """Return a task of job `j1`."""
        return self.machine.job_store.tasks[f"j1/{number}"]


def _operation(name: str) -> changes.Operation:
    return changes.Operation(name, "ann", 1.0)


def _machine() -> tuple[machines.StateMachine, _Log]:
    machine = machines.StateMachine()
    log = _Log(machine)
    size = resources.Resources(2, 1000)
    batch = template.Template("roster", template.Kind.BATCH, size)
    service = template.Template("offers", template.Kind.SERVICE, size)
    owner = customer.Customer(
        "c", "team", customer.Urgency.URGENT, ("z1",), {"offers": 1}
    )
    log.apply(changes.PublishTemplate(_operation("1"), 0, batch))
    log.apply(changes.PublishTemplate(_operation("2"), 0, service))
    log.apply(changes.SetCustomer(_operation("3"), 0, owner))
    return machine, log


def _submit(log: _Log, tasks: int = 1) -> None:
    request = changes.AcceptJob(
        _operation("j"), "j1", "c", "roster", tasks, 9e9
    )
    log.apply(request)


def _zone(machine: machines.StateMachine, log: _Log, name: str = "i1") -> _Zone:
    sender = _Sender()
    holder = grant_holder.GrantHolder("z1", name, machine, log)
    created = schedulers.ZoneScheduler(
        machine,
        holder,
        log,
        sender,
        lambda: planner.Planner(weights.BALANCED),
        cross_zone_feasibility.FeasibilityChecker(
            directory.Directory(machine.configuration)
        ),
    )
    return _Zone(machine, log, sender, holder, created)


@pytest.fixture(name="zone")
async def _running_zone(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> _Zone:
    del autojump_clock
    created = _zone(*_machine())
    nursery.start_soon(created.holder.run)
    nursery.start_soon(created.scheduler.run)
    await created.settle()
    return created


def _running(attempt: int = 1, name: str = "j1/0") -> announcement.TaskReport:
    state = announcement.ReportedState.RUNNING
    return announcement.TaskReport(name, attempt, state)


async def _advance(zone: _Zone, seconds: float, worker: str) -> None:
    """Let time pass while one worker keeps announcing itself."""
    until = trio.current_time() + seconds
    sequence = 1000
    while trio.current_time() < until:
        sequence += 1
        zone.announce(sequence, worker=worker)
        await zone.settle(2)


class TestNeverFits:

    async def test_is_not_recorded_for_one_zone_alone(
        self, zone: _Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        huge = template.Template(
            "roster", template.Kind.BATCH, resources.Resources(99, 1)
        )
        zone.log.apply(changes.PublishTemplate(_operation("4"), 1, huge))
        zone.announce(1)
        _submit(zone.log)
        await _advance(zone, 30.0, "w1")
        decisions = zone.machine.job_store.decisions["j1"]
        waits = [each.reason for each in decisions if each.what == "waits"]
        assert "not heard from: zone z1" in waits[-1]
        assert not any("never_fits" in wait for wait in waits)


class TestStart:

    async def test_waiting_task_is_sent_to_a_worker_with_its_lease(
        self, zone: _Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        _submit(zone.log)
        zone.announce(5)
        await zone.settle()
        sent = {c.task_id: (a, c) for a, c in zone.sender.sent}
        address, command = sent["j1/0"]
        assert address == "w1:1"
        assert command.kind == announcement.CommandKind.START
        assert (command.epoch, command.anchor) == (1, 5)
        assert zone.task().state == job.TaskState.RUNNING
        assert "svc:c/offers/z1/0" in sent

    async def test_refused_start_waits_again(
        self, zone: _Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        zone.sender.accept = False
        _submit(zone.log)
        zone.announce(1)
        await zone.settle(1)
        zone.sender.accept = True
        await zone.settle()
        assert zone.task().attempt >= 2
        assert zone.task().failures == 0

    async def test_unreported_start_is_sent_again_as_the_same_attempt(
        self, zone: _Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        await zone.run_job()
        zone.announce(2)
        await zone.settle()
        sent = [c for _, c in zone.sender.sent if c.task_id == "j1/0"]
        assert [c.attempt for c in sent] == [1, 1]
        assert sent[-1].anchor == 2

    async def test_no_start_without_a_quorum(
        self, zone: _Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        zone.announce(1)
        zone.log.without_quorum = True
        await trio.sleep(grants.GRANT_SECONDS + 1)
        _submit(zone.log)
        zone.announce(2)
        await zone.settle()
        assert zone.task().state == job.TaskState.WAITING


class TestStoppedBackendServer:

    async def test_its_batch_tasks_are_evicted_at_once(
        self, autojump_clock: trio.testing.MockClock, zone: _Zone
    ) -> None:
        await zone.run_job()
        zone.announce(2, _running())
        stop = changes.SetIntention(
            _operation("s"), 0, "w1", changes.Intention.STOPPED
        )
        zone.log.apply(stop)
        await zone.settle(2)
        assert zone.task().state == job.TaskState.EVICTING
        reply = zone.announce(3, _running())
        kinds = [command.kind for command in reply.commands]
        assert kinds == [announcement.CommandKind.EVICT]


class TestLeaseEnd:

    async def test_silent_worker_keeps_its_task_until_the_lease_ended(
        self, zone: _Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        await zone.run_job()
        zone.announce(2, _running())
        heard_at = trio.current_time()
        await _advance(zone, LEASE_END_SECONDS - 3, "w2")
        assert zone.task().held is not None
        assert zone.task().attempt == 1
        await _advance(zone, 6, "w2")
        held = zone.task().held
        assert zone.task().attempt == 2
        assert held is not None and held.worker == "w2"
        assert trio.current_time() - heard_at > lease.LEASE_SECONDS

    async def test_tasks_of_a_restarted_worker_are_lost_at_once(
        self, zone: _Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        await zone.run_job()
        zone.announce(1, incarnation=2)
        await zone.settle()
        assert zone.task().attempt == 2

    async def test_ended_attempt_is_recorded_then_acknowledged(
        self, zone: _Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        await zone.run_job()
        done = _running()._replace(state=announcement.ReportedState.FINISHED)
        assert zone.announce(2, done).acknowledged == ()
        await zone.settle()
        assert zone.task().state == job.TaskState.FINISHED
        assert zone.announce(3, done).acknowledged == ("j1/0#1",)

    async def test_attempt_that_is_not_current_is_stopped(
        self, zone: _Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        _submit(zone.log)
        reply = zone.announce(1, _running(attempt=7))
        assert [c.kind for c in reply.commands] == [
            announcement.CommandKind.STOP
        ]
        assert reply.renewed == ()

    async def test_holder_without_quorum_renews_batch_for_the_grace_period_only(
        self, zone: _Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        await zone.run_job()
        service = _running(name="svc:c/offers/z1/0")
        zone.log.without_quorum = True
        await trio.sleep(grants.QUORUM_LOSS_GRACE_SECONDS - 20)
        assert "j1/0#1" in zone.announce(2, _running(), service).renewed
        await trio.sleep(25)
        renewed = zone.announce(3, _running(), service).renewed
        assert renewed == ("svc:c/offers/z1/0#1",)


async def _taken_over(
    zone: _Zone, nursery: trio.Nursery, still_active: bool
) -> _Zone:
    """Let another instance acquire the grant from one without a quorum.

    Args:
        zone: The scheduler that loses the grant.
        nursery: Runs the other instance.
        still_active: Whether the earlier holder may still renew leases.

    Returns:
        The other instance's scheduler.
    """
    await zone.run_job()
    zone.announce(2, _running())
    zone.log.without_quorum = True
    second = _zone(zone.machine, _Log(zone.machine), "i2")
    nursery.start_soon(second.holder.run)
    nursery.start_soon(second.scheduler.run)
    with trio.fail_after(60):
        while not second.holder.holds():
            await trio.sleep(0.5)
    if not still_active:
        second.scheduler.confirm_holder_stopped("i1")
    return second


class TestTakeover:

    @pytest.mark.parametrize(
        "still_active, wait_seconds",
        [
            (False, LEASE_END_SECONDS),
            (True, grants.QUORUM_LOSS_GRACE_SECONDS + LEASE_END_SECONDS),
        ],
    )
    async def test_tasks_of_a_silent_worker_wait_for_the_earlier_holder(
        self,
        autojump_clock: trio.testing.MockClock,
        zone: _Zone,
        nursery: trio.Nursery,
        still_active: bool,
        wait_seconds: float,
    ) -> None:
        second = await _taken_over(zone, nursery, still_active)
        await _advance(second, wait_seconds - 4, "w2")
        assert second.task().attempt == 1
        await _advance(second, 20, "w2")
        assert second.task().attempt == 2

    async def test_worker_that_announces_to_the_new_holder_keeps_its_task(
        self,
        zone: _Zone,
        autojump_clock: trio.testing.MockClock,
        nursery: trio.Nursery,
    ) -> None:
        second = await _taken_over(zone, nursery, True)
        reply = second.announce(3, _running())
        assert (reply.epoch, reply.renewed) == (2, ("j1/0#1",))
        assert not zone.holder.holds()

    async def test_worker_without_the_new_epoch_keeps_its_task(
        self,
        autojump_clock: trio.testing.MockClock,
        zone: _Zone,
        nursery: trio.Nursery,
    ) -> None:
        second = await _taken_over(zone, nursery, True)
        second.announce(3, _running(), epoch=1)
        await _advance(second, 2 * LEASE_END_SECONDS, "w2")
        assert second.task().attempt == 1

    async def test_service_held_by_an_earlier_holder_is_never_started_twice(
        self,
        zone: _Zone,
        autojump_clock: trio.testing.MockClock,
        nursery: trio.Nursery,
    ) -> None:
        second = await _taken_over(zone, nursery, True)
        wait_seconds = grants.QUORUM_LOSS_GRACE_SECONDS + 2 * LEASE_END_SECONDS
        await _advance(second, wait_seconds, "w2")
        tasks = second.machine.job_store.tasks
        first = tasks["svc:c/offers/z1/0"]
        assert first.held is not None and first.attempt == 1
        assert tasks["svc:c/offers/z1/1"].held is not None
