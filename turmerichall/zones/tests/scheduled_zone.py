"""A zone with its scheduler, on fakes and a mock clock, for tests."""

from typing import NamedTuple

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
from turmerichall.zones import grant_holder
from turmerichall.zones import scheduler as schedulers
from turmerichall.zones import worker_client

ROOM = resources.Resources(8, 8000)
LEASE_END_SECONDS = lease.task_ended_after_seconds()


class Log:
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


class Sender:
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


class Zone(NamedTuple):
    """One scheduler with its fakes."""

    machine: machines.StateMachine
    log: Log
    sender: Sender
    holder: grant_holder.GrantHolder
    scheduler: schedulers.ZoneScheduler

    async def settle(self, rounds: int = 4) -> None:
        """Let the scheduler take its next steps."""
        for _ in range(rounds):
            self.scheduler.wake()
            await trio.sleep(schedulers.STEP_PERIOD_SECONDS)

    async def run_job(self) -> None:
        """Submit a job with one task, which is started on w1."""
        submit_job(self.log)
        self.announce(1)
        await self.settle()

    def announce(
        self,
        sequence: int,
        *tasks: announcement.TaskReport,
        worker: str = "w1",
        incarnation: int = 1,
        epoch: int = 1,
        host: str = "",
    ) -> announcement.Reply:
        """Send an announcement of a worker and return the reply."""
        address = f"{host or worker}:1"
        announced = announcement.Announcement(
            worker, incarnation, sequence, "z1", "r1", address, ROOM
        )
        reply = self.scheduler.announce(
            announced._replace(tasks=tasks, epoch=epoch)
        )
        assert reply is not None
        return reply

    def task(self, number: int = 0) -> job.Task:
        """Return a task of job `j1`."""
        return self.machine.job_store.tasks[f"j1/{number}"]


def operation(name: str) -> changes.Operation:
    """Return the operation of an operator, with its idempotency key."""
    return changes.Operation(name, "ann", 1.0)


def machine_with_customer() -> tuple[machines.StateMachine, Log]:
    """Return a machine with a customer, and the log that changes it."""
    machine = machines.StateMachine()
    log = Log(machine)
    size = resources.Resources(2, 1000)
    batch = template.Template("roster", template.Kind.BATCH, size)
    service = template.Template("offers", template.Kind.SERVICE, size)
    owner = customer.Customer(
        "c", "team", customer.Urgency.URGENT, ("z1",), {"offers": 1}
    )
    log.apply(changes.PublishTemplate(operation("1"), 0, batch))
    log.apply(changes.PublishTemplate(operation("2"), 0, service))
    log.apply(changes.SetCustomer(operation("3"), 0, owner))
    return machine, log


def submit_job(log: Log, tasks: int = 1) -> None:
    """Submit job `j1`."""
    request = changes.AcceptJob(operation("j"), "j1", "c", "roster", tasks, 9e9)
    log.apply(request)


def make_zone(
    machine: machines.StateMachine, log: Log, name: str = "i1"
) -> Zone:
    """Return the scheduler of zone `z1` with its fakes, not yet running."""
    sender = Sender()
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
    return Zone(machine, log, sender, holder, created)


def running_report(
    attempt: int = 1, name: str = "j1/0"
) -> announcement.TaskReport:
    """Return the report of a running attempt."""
    state = announcement.ReportedState.RUNNING
    return announcement.TaskReport(name, attempt, state)


async def advance(zone: Zone, seconds: float, worker: str) -> None:
    """Let time pass while one worker keeps announcing itself."""
    until = trio.current_time() + seconds
    sequence = 1000
    while trio.current_time() < until:
        sequence += 1
        zone.announce(sequence, worker=worker)
        await zone.settle(2)
