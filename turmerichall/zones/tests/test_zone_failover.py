"""Tests of the failover of lost zones, and of released grants."""

import trio
import trio.testing

from turmerichall import resources
from turmerichall.customers import customer
from turmerichall.jobs import job
from turmerichall.state import change as changes
from turmerichall.state import machine as machines
from turmerichall.templates import template
from turmerichall.zones import grant as grants
from turmerichall.zones import grant_holder
from turmerichall.zones import zone_failover


class _Log:
    """Applies changes at once."""

    def __init__(self, machine: machines.StateMachine):
        self.machine = machine

    async def submit(self, change: changes.Change) -> changes.Result:
        await trio.lowlevel.checkpoint()
        index = self.machine.applied_index + 1
        data = self.machine.apply(index, changes.encode(change))
        return changes.decode_result(data)


def _operation(name: str) -> changes.Operation:
    return changes.Operation(name, "ann", 1.0)


async def _with_running_job() -> _Log:
    """Return a state in which zone z1 runs a batch and a service task."""
    log = _Log(machines.StateMachine())
    size = resources.Resources(1, 100)
    batch = template.Template("roster", template.Kind.BATCH, size)
    owner = customer.Customer(
        "c", "team", customer.Urgency.NORMAL, ("z1", "z2"), {}
    )
    await log.submit(changes.PublishTemplate(_operation("t"), 0, batch))
    await log.submit(changes.SetCustomer(_operation("c"), 0, owner))
    await log.submit(
        changes.AcceptJob(_operation("j"), "j1", "c", "roster", 1, 9e9)
    )
    await log.submit(changes.TakeGrant("z1", "i1", 0, 0))
    starts = [
        changes.Start("j1/0", 1, "w1", 1),
        changes.Start("svc:c/offers/z1/0", 1, "w1", 1),
    ]
    await log.submit(changes.StartTasks("z1", 1, 2.0, starts))
    return log


async def _start_failover(log: _Log, nursery: trio.Nursery) -> None:
    """Start an authority of zone z2 that recovers lost zones."""
    holder = grant_holder.GrantHolder("z2", "i2", log.machine, log)
    failover = zone_failover.ZoneFailover(holder, log.machine, log)
    nursery.start_soon(holder.run)
    nursery.start_soon(failover.run)


class TestLostZone:

    async def test_batch_tasks_wait_again_after_the_grace_period(
        self, autojump_clock: trio.testing.MockClock, nursery: trio.Nursery
    ) -> None:
        log = await _with_running_job()
        await _start_failover(log, nursery)
        await trio.sleep(grants.QUORUM_LOSS_GRACE_SECONDS + 15)
        assert log.machine.job_store.tasks["j1/0"].held is not None
        await trio.sleep(60)
        task = log.machine.job_store.tasks["j1/0"]
        assert task.state == job.TaskState.WAITING
        service = log.machine.job_store.tasks["svc:c/offers/z1/0"]
        assert service.held is not None

    async def test_previous_holder_is_fenced(
        self, autojump_clock: trio.testing.MockClock, nursery: trio.Nursery
    ) -> None:
        log = await _with_running_job()
        await _start_failover(log, nursery)
        await trio.sleep(zone_failover.zone_lost_after_seconds() + 10)
        renewed = await log.submit(changes.RenewGrant("z1", "i1", 1))
        assert renewed.status == changes.Status.CONFLICT
        late = changes.End("j1/0", 1, changes.Ending.FINISHED)
        ended = await log.submit(changes.EndTasks("z1", 1, 3.0, [late]))
        assert ended.status == changes.Status.REFUSED

    async def test_zone_that_renews_its_grant_keeps_its_tasks(
        self, autojump_clock: trio.testing.MockClock, nursery: trio.Nursery
    ) -> None:
        log = await _with_running_job()
        await _start_failover(log, nursery)
        for _ in range(10):
            await trio.sleep(100)
            await log.submit(changes.RenewGrant("z1", "i1", 1))
        assert log.machine.job_store.tasks["j1/0"].held is not None


class TestReleasedGrant:

    async def test_another_instance_acquires_it_at_once(
        self, autojump_clock: trio.testing.MockClock, nursery: trio.Nursery
    ) -> None:
        log = _Log(machines.StateMachine())
        first = grant_holder.GrantHolder("z1", "i1", log.machine, log)
        second = grant_holder.GrantHolder("z1", "i2", log.machine, log)
        nursery.start_soon(first.run)
        await trio.sleep(1)
        nursery.start_soon(second.run)
        await first.release()
        await trio.sleep(1)
        assert second.holds()
        assert second.unconfirmed_holders() == []
        await trio.sleep(30)
        assert not first.holds()
