"""Tests of the scheduler of a zone, with fakes and a mock clock."""

import pytest
import trio
import trio.testing

from turmerichall import resources
from turmerichall.backend_servers import announcement
from turmerichall.jobs import job
from turmerichall.leases import lease
from turmerichall.state import change as changes
from turmerichall.templates import template
from turmerichall.zones import grant as grants
from turmerichall.zones.tests import scheduled_zone


class TestNeverFits:

    async def test_is_not_recorded_for_one_zone_alone(
        self, zone: scheduled_zone.Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        huge = template.Template(
            "roster", template.Kind.BATCH, resources.Resources(99, 1)
        )
        zone.log.apply(
            changes.PublishTemplate(scheduled_zone.operation("4"), 1, huge)
        )
        zone.announce(1)
        scheduled_zone.submit_job(zone.log)
        await scheduled_zone.advance(zone, 30.0, "w1")
        decisions = zone.machine.job_store.decisions["j1"]
        waits = [each.reason for each in decisions if each.what == "waits"]
        assert "not heard from: zone z1" in waits[-1]
        assert not any("never_fits" in wait for wait in waits)


class TestStart:

    async def test_waiting_task_is_sent_to_a_worker_with_its_lease(
        self, zone: scheduled_zone.Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        scheduled_zone.submit_job(zone.log)
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
        self, zone: scheduled_zone.Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        zone.sender.accept = False
        scheduled_zone.submit_job(zone.log)
        zone.announce(1)
        await zone.settle(1)
        zone.sender.accept = True
        await zone.settle()
        assert zone.task().attempt >= 2
        assert zone.task().failures == 0

    async def test_unreported_start_is_sent_again_as_the_same_attempt(
        self, zone: scheduled_zone.Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        await zone.run_job()
        zone.announce(2)
        await zone.settle()
        sent = [c for _, c in zone.sender.sent if c.task_id == "j1/0"]
        assert [c.attempt for c in sent] == [1, 1]
        assert sent[-1].anchor == 2

    async def test_refusal_by_a_later_incarnation_does_not_end_the_attempt(
        self, zone: scheduled_zone.Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        await zone.run_job()
        zone.sender.accept = False
        zone.announce(2)
        zone.announce(1, incarnation=2, host="w1-moved")
        await zone.settle()
        task = zone.task()
        assert (task.state, task.attempt) == (job.TaskState.RUNNING, 1)

    async def test_start_is_not_sent_to_a_later_incarnation(
        self, zone: scheduled_zone.Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        await zone.run_job()
        zone.announce(2)
        zone.announce(1, incarnation=2, host="w1-moved")
        await zone.settle()
        sent = [c for _, c in zone.sender.sent if c.task_id == "j1/0"]
        assert [c.incarnation for c in sent] == [1]

    async def test_no_start_without_a_quorum(
        self, zone: scheduled_zone.Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        zone.announce(1)
        zone.log.without_quorum = True
        await trio.sleep(grants.GRANT_SECONDS + 1)
        scheduled_zone.submit_job(zone.log)
        zone.announce(2)
        await zone.settle()
        assert zone.task().state == job.TaskState.WAITING


class TestStoppedBackendServer:

    async def test_its_batch_tasks_are_evicted_at_once(
        self, autojump_clock: trio.testing.MockClock, zone: scheduled_zone.Zone
    ) -> None:
        await zone.run_job()
        zone.announce(2, scheduled_zone.running_report())
        stop = changes.SetIntention(
            scheduled_zone.operation("s"), 0, "w1", changes.Intention.STOPPED
        )
        zone.log.apply(stop)
        await zone.settle(2)
        assert zone.task().state == job.TaskState.EVICTING
        reply = zone.announce(3, scheduled_zone.running_report())
        kinds = [command.kind for command in reply.commands]
        assert kinds == [announcement.CommandKind.EVICT]


class TestLeaseEnd:

    async def test_silent_worker_keeps_its_task_until_the_lease_ended(
        self, zone: scheduled_zone.Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        await zone.run_job()
        zone.announce(2, scheduled_zone.running_report())
        heard_at = trio.current_time()
        await scheduled_zone.advance(
            zone, scheduled_zone.LEASE_END_SECONDS - 3, "w2"
        )
        assert zone.task().held is not None
        assert zone.task().attempt == 1
        await scheduled_zone.advance(zone, 6, "w2")
        held = zone.task().held
        assert zone.task().attempt == 2
        assert held is not None and held.worker == "w2"
        assert trio.current_time() - heard_at > lease.LEASE_SECONDS

    async def test_tasks_of_a_restarted_worker_are_lost_at_once(
        self, zone: scheduled_zone.Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        await zone.run_job()
        zone.announce(1, incarnation=2)
        await zone.settle()
        assert zone.task().attempt == 2

    async def test_ended_attempt_is_recorded_then_acknowledged(
        self, zone: scheduled_zone.Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        await zone.run_job()
        done = scheduled_zone.running_report()._replace(
            state=announcement.ReportedState.FINISHED
        )
        assert zone.announce(2, done).acknowledged == ()
        await zone.settle()
        assert zone.task().state == job.TaskState.FINISHED
        assert zone.announce(3, done).acknowledged == ("j1/0#1",)

    async def test_attempt_that_is_not_current_is_stopped(
        self, zone: scheduled_zone.Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        scheduled_zone.submit_job(zone.log)
        reply = zone.announce(1, scheduled_zone.running_report(attempt=7))
        assert [c.kind for c in reply.commands] == [
            announcement.CommandKind.STOP
        ]
        assert reply.renewed == ()

    async def test_holder_without_quorum_renews_batch_for_the_grace_period_only(
        self, zone: scheduled_zone.Zone, autojump_clock: trio.testing.MockClock
    ) -> None:
        await zone.run_job()
        service = scheduled_zone.running_report(name="svc:c/offers/z1/0")
        zone.log.without_quorum = True
        await trio.sleep(grants.QUORUM_LOSS_GRACE_SECONDS - 20)
        assert (
            "j1/0#1"
            in zone.announce(
                2, scheduled_zone.running_report(), service
            ).renewed
        )
        await trio.sleep(25)
        renewed = zone.announce(
            3, scheduled_zone.running_report(), service
        ).renewed
        assert renewed == ("svc:c/offers/z1/0#1",)


async def _taken_over(
    zone: scheduled_zone.Zone, nursery: trio.Nursery, still_active: bool
) -> scheduled_zone.Zone:
    """Let another instance acquire the grant from one without a quorum.

    Args:
        zone: The scheduler that loses the grant.
        nursery: Runs the other instance.
        still_active: Whether the earlier holder may still renew leases.

    Returns:
        The other instance's scheduler.
    """
    await zone.run_job()
    zone.announce(2, scheduled_zone.running_report())
    zone.log.without_quorum = True
    second = scheduled_zone.make_zone(
        zone.machine, scheduled_zone.Log(zone.machine), "i2"
    )
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
            (False, scheduled_zone.LEASE_END_SECONDS),
            (
                True,
                grants.QUORUM_LOSS_GRACE_SECONDS
                + scheduled_zone.LEASE_END_SECONDS,
            ),
        ],
    )
    async def test_tasks_of_a_silent_worker_wait_for_the_earlier_holder(
        self,
        autojump_clock: trio.testing.MockClock,
        zone: scheduled_zone.Zone,
        nursery: trio.Nursery,
        still_active: bool,
        wait_seconds: float,
    ) -> None:
        second = await _taken_over(zone, nursery, still_active)
        await scheduled_zone.advance(second, wait_seconds - 4, "w2")
        assert second.task().attempt == 1
        await scheduled_zone.advance(second, 20, "w2")
        assert second.task().attempt == 2

    async def test_worker_that_announces_to_the_new_holder_keeps_its_task(
        self,
        zone: scheduled_zone.Zone,
        autojump_clock: trio.testing.MockClock,
        nursery: trio.Nursery,
    ) -> None:
        second = await _taken_over(zone, nursery, True)
        reply = second.announce(3, scheduled_zone.running_report())
        assert (reply.epoch, reply.renewed) == (2, ("j1/0#1",))
        assert not zone.holder.holds()

    async def test_worker_without_the_new_epoch_keeps_its_task(
        self,
        autojump_clock: trio.testing.MockClock,
        zone: scheduled_zone.Zone,
        nursery: trio.Nursery,
    ) -> None:
        second = await _taken_over(zone, nursery, True)
        second.announce(3, scheduled_zone.running_report(), epoch=1)
        await scheduled_zone.advance(
            second, 2 * scheduled_zone.LEASE_END_SECONDS, "w2"
        )
        assert second.task().attempt == 1

    async def test_service_held_by_an_earlier_holder_is_never_started_twice(
        self,
        zone: scheduled_zone.Zone,
        autojump_clock: trio.testing.MockClock,
        nursery: trio.Nursery,
    ) -> None:
        second = await _taken_over(zone, nursery, True)
        wait_seconds = (
            grants.QUORUM_LOSS_GRACE_SECONDS
            + 2 * scheduled_zone.LEASE_END_SECONDS
        )
        await scheduled_zone.advance(second, wait_seconds, "w2")
        tasks = second.machine.job_store.tasks
        first = tasks["svc:c/offers/z1/0"]
        assert first.held is not None and first.attempt == 1
        assert tasks["svc:c/offers/z1/1"].held is not None
