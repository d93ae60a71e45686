"""Replicated state, zones and workers' documents of a given size.

Benchmarks and tests use them in place of a running cluster.
"""

from typing import NamedTuple

import trio

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import directory
from turmerichall.backend_servers import dissemination
from turmerichall.customers import customer
from turmerichall.leases import lease
from turmerichall.placement import planner
from turmerichall.placement import weights
from turmerichall.state import change as changes
from turmerichall.state import machine as machines
from turmerichall.templates import template
from turmerichall.zones import announcements
from turmerichall.zones import cross_zone_feasibility
from turmerichall.zones import grant_holder
from turmerichall.zones import scheduler as schedulers
from turmerichall.zones import worker_client

__all__ = [
    "PopulatedZone",
    "announcement_handler",
    "machine_with_waiting_jobs",
    "make_announcement",
    "populated_zone",
]

ZONE = "z1"
ZONE_WORKERS = 79
WAITING_TASKS = 200
SERVICES_PER_WORKER = 4
BATCH_PER_WORKER = 8
WORKER_CAPACITY = resources.Resources(32, 125_000)
BATCH_SIZE = resources.Resources(3, 8_000)
SERVICE_SIZE = resources.Resources(2, 8_000)
INCARNATION = 1_796_330_282_394


class ImmediateLog:
    """A replicated log that applies changes immediately, without a quorum."""

    def __init__(self, machine: machines.StateMachine):
        self.machine = machine

    async def submit(
        self, change: changes.Change
    ) -> changes.Result | outcomes.Refusal | outcomes.Unknown:
        """Apply a change and return its result."""
        await trio.lowlevel.checkpoint()
        return self.apply(change)

    def apply(self, change: changes.Change) -> changes.Result:
        """Apply a change and return its result."""
        index = self.machine.applied_index + 1
        data = self.machine.apply(index, changes.encode(change))
        return changes.decode_result(data)


class AcceptingWorkers:
    """A sender of commands whose workers accept every command."""

    async def send(
        self, _: str, commands: list[announcement.Command]
    ) -> (
        list[worker_client.CommandResult] | outcomes.Refusal | outcomes.Unknown
    ):
        """Return an accepting result for each command."""
        await trio.lowlevel.checkpoint()
        return [
            worker_client.CommandResult(
                command.task_id, command.attempt, True, ""
            )
            for command in commands
        ]


class IsolatedNetwork:
    """The network of an instance without peers."""

    def __init__(self) -> None:
        self.addresses: dict[str, str] = {}

    def handle(self, _: str, __: dissemination.Handler) -> None:
        """Ignore a handler, since no message arrives."""

    def send(self, *_: object) -> bool:
        """Return False, since no peer is connected."""
        return False

    async def call(self, *_: object) -> bytes | outcomes.Refusal:
        """Return that the peer is unreachable."""
        await trio.lowlevel.checkpoint()
        return outcomes.Refusal(outcomes.RefusalReason.UNREACHABLE)


class PopulatedZone(NamedTuple):
    """A zone whose workers all run as many tasks as a full worker does.

    Attributes:
        scheduler: The zone's scheduler, which holds the zone's grant.
        machine: The replicated state.
    """

    scheduler: schedulers.ZoneScheduler
    machine: machines.StateMachine


def operation(name: str) -> changes.Operation:
    """Return an operation with an id of realistic length."""
    return changes.Operation(f"01956c1e-{name:>27}", "operator-01", 1.8e9)


def service_task_id(worker: int, number: int) -> str:
    """Return the id of a worker's service task."""
    return f"svc:customer-01/offers/{ZONE}/{worker * 10 + number}"


def batch_task_id(worker: int, number: int) -> str:
    """Return the id of a worker's batch task."""
    return f"job-20261203-running/{worker * BATCH_PER_WORKER + number}"


def task_reports(worker: int) -> tuple[announcement.TaskReport, ...]:
    """Return the task reports of a full worker."""
    running = announcement.ReportedState.RUNNING
    services = tuple(
        announcement.TaskReport(
            service_task_id(worker, number), 1, running, SERVICE_SIZE, 1.08, 1.5
        )
        for number in range(SERVICES_PER_WORKER)
    )
    batch = tuple(
        announcement.TaskReport(
            batch_task_id(worker, number),
            1,
            running,
            BATCH_SIZE,
            1.2,
            1.5,
            "0.42",
        )
        for number in range(BATCH_PER_WORKER)
    )
    return services + batch


def make_announcement(worker: int, sequence: int) -> announcement.Announcement:
    """Return an announcement of a full worker."""
    return announcement.Announcement(
        f"worker-{worker:04}",
        INCARNATION,
        sequence,
        ZONE,
        f"{ZONE}-rack-{worker % 4}",
        f"10.1.2.{worker % 250}:7200",
        WORKER_CAPACITY,
        tasks=task_reports(worker),
        epoch=1,
    )


def renewal_reply(announced: announcement.Announcement) -> announcement.Reply:
    """Return a reply that renews the leases of all announced tasks."""
    names = tuple(
        announcement.attempt_name(report.task_id, report.attempt)
        for report in announced.tasks
    )
    term = lease.LEASE_SECONDS
    return announcement.Reply(True, epoch=1, renewed=names, lease_seconds=term)


def configured_machine() -> machines.StateMachine:
    """Return replicated state with one customer, its templates and a grant."""
    machine = machines.StateMachine()
    log = ImmediateLog(machine)
    batch = template.Template("roster", template.Kind.BATCH, BATCH_SIZE)
    service = template.Template("offers", template.Kind.SERVICE, SERVICE_SIZE)
    log.apply(changes.PublishTemplate(operation("1"), 0, batch))
    log.apply(changes.PublishTemplate(operation("2"), 0, service))
    log.apply(customer_change())
    log.apply(changes.TakeGrant(ZONE, "entry-01", 0, 0))
    return machine


def customer_change() -> changes.SetCustomer:
    """Return a change that sets a customer's parameters."""
    owner = customer.Customer(
        "customer-01",
        "team-01",
        customer.Urgency.URGENT,
        (ZONE, "z2", "z3"),
        {"offers": ZONE_WORKERS * SERVICES_PER_WORKER},
    )
    return changes.SetCustomer(operation("customer"), 0, owner)


def intention_change(number: int) -> changes.SetIntention:
    """Return a change by which an operator drains a backend server."""
    return changes.SetIntention(
        operation(f"intention-{number}"),
        0,
        f"worker-{number:06}",
        changes.Intention.DRAINING,
    )


def grant_renewal() -> changes.RenewGrant:
    """Return a change that renews the zone's grant."""
    return changes.RenewGrant(ZONE, "entry-01", 1)


def job_acceptance(job_id: str, tasks: int) -> changes.AcceptJob:
    """Return a change that accepts a job."""
    return changes.AcceptJob(
        operation(job_id), job_id, "customer-01", "roster", tasks, 1.8e9
    )


def machine_with_waiting_jobs(
    jobs: int, tasks_per_job: int
) -> machines.StateMachine:
    """Return replicated state with waiting jobs."""
    machine = configured_machine()
    log = ImmediateLog(machine)
    for number in range(jobs):
        log.apply(job_acceptance(f"job-20261203-{number:06}", tasks_per_job))
    return machine


def machine_with_ended_jobs(
    jobs: int, tasks_per_job: int
) -> machines.StateMachine:
    """Return replicated state whose jobs have all finished."""
    machine = machine_with_waiting_jobs(jobs, tasks_per_job)
    log = ImmediateLog(machine)
    names = list(machine.job_store.waiting)
    for at in range(0, len(names), 64):
        batch = names[at : at + 64]
        log.apply(first_starts(batch))
        log.apply(first_ends(batch))
    return machine


def first_starts(names: list[str]) -> changes.StartTasks:
    """Return a change that starts the first attempts of tasks.

    The tasks are assigned to the workers round-robin.
    """
    starts = [
        changes.Start(
            name,
            1,
            f"worker-{number % ZONE_WORKERS:04}",
            INCARNATION,
            # The planner's reasons differ from worker to worker as well.
            f"expected slowdown 1.{number % 50:02}, load 0.{number % 100:02}",
        )
        for number, name in enumerate(names)
    ]
    return changes.StartTasks(ZONE, 1, 1.8e9, starts)


def first_ends(names: list[str]) -> changes.EndTasks:
    """Return a change that ends the first attempts of tasks."""
    ends = [
        changes.End(
            name, 1, changes.Ending.FINISHED, "1.0", "worker reported finished"
        )
        for name in names
    ]
    return changes.EndTasks(ZONE, 1, 1.8e9, ends)


def populated_zone() -> PopulatedZone:
    """Return a zone with full workers and a queue of waiting tasks."""
    machine = configured_machine()
    log = ImmediateLog(machine)
    log.apply(
        job_acceptance("job-20261203-running", ZONE_WORKERS * BATCH_PER_WORKER)
    )
    for worker in range(ZONE_WORKERS):
        names = [service_task_id(worker, n) for n in range(SERVICES_PER_WORKER)]
        names += [batch_task_id(worker, n) for n in range(BATCH_PER_WORKER)]
        worker_name = f"worker-{worker:04}"
        starts = [
            changes.Start(name, 1, worker_name, INCARNATION) for name in names
        ]
        log.apply(changes.StartTasks(ZONE, 1, 1.8e9, starts))
    log.apply(job_acceptance("job-20261203-waiting", WAITING_TASKS))
    holder = grant_holder.GrantHolder(ZONE, "entry-01", machine, log)
    holder.held_epoch = 1
    holder.acquired_at = trio.current_time() - 60.0
    holder.renewed_at = trio.current_time() + 3600.0
    scheduler = schedulers.ZoneScheduler(
        machine,
        holder,
        log,
        AcceptingWorkers(),
        lambda: planner.Planner(weights.BALANCED),
        cross_zone_feasibility.FeasibilityChecker(
            directory.Directory(machine.configuration)
        ),
    )
    zone = PopulatedZone(scheduler, machine)
    for worker in range(ZONE_WORKERS):
        scheduler.announce(make_announcement(worker, 1))
    return zone


def announcement_handler(
    zone: PopulatedZone,
) -> announcements.AnnouncementHandler:
    """Return a handler of the zone's announcements with an empty directory."""
    server_directory = directory.Directory(zone.machine.configuration)
    disseminator = dissemination.Dissemination(
        server_directory, IsolatedNetwork(), 1
    )
    return announcements.AnnouncementHandler(
        "entry-01", zone.machine, disseminator, zone.scheduler
    )
