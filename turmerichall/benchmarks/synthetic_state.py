"""Fills the parts of control with work of a given size, for benchmarks."""

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
    """Applies changes at once, in place of a log and its quorum."""

    def __init__(self, held: machines.StateMachine):
        self.machine = held

    async def submit(
        self, change: changes.Change
    ) -> changes.Result | outcomes.Refusal | outcomes.Unknown:
        """Applies a change."""
        await trio.lowlevel.checkpoint()
        return self.apply(change)

    def apply(self, change: changes.Change) -> changes.Result:
        """Applies a change."""
        index = self.machine.applied_index + 1
        data = self.machine.apply(index, changes.encode(change))
        return changes.decode_result(data)


class AcceptingWorkers:
    """Takes every command, in place of workers."""

    async def send(
        self, _: str, commands: list[announcement.Command]
    ) -> (
        list[worker_client.CommandResult] | outcomes.Refusal | outcomes.Unknown
    ):
        """Accepts commands."""
        await trio.lowlevel.checkpoint()
        return [
            worker_client.CommandResult(
                command.task_id, command.attempt, True, ""
            )
            for command in commands
        ]


class IsolatedNetwork:
    """Connections of an instance that has no others to talk to."""

    def __init__(self) -> None:
        self.addresses: dict[str, str] = {}

    def handle(self, _: str, __: dissemination.Handler) -> None:
        """Takes a handler that is never called."""

    def send(self, *_: object) -> bool:
        """Sends nothing."""
        return False

    async def call(self, *_: object) -> bytes | outcomes.Refusal:
        """Reaches nobody."""
        await trio.lowlevel.checkpoint()
        return outcomes.Refusal(outcomes.RefusalReason.UNREACHABLE)


class PopulatedZone(NamedTuple):
    """An authority whose workers all run their full share.

    Attributes:
        scheduler: The authority.
        machine: The replicated state.
    """

    scheduler: schedulers.ZoneScheduler
    machine: machines.StateMachine


def operation(name: str) -> changes.Operation:
    """Returns an operation with a realistic id."""
    return changes.Operation(f"01956c1e-{name:>27}", "operator-01", 1.8e9)


def service_task_id(worker: int, number: int) -> str:
    """Names a service task of a worker."""
    return f"svc:customer-01/offers/{ZONE}/{worker * 10 + number}"


def batch_task_id(worker: int, number: int) -> str:
    """Names a batch task of a worker."""
    return f"job-20261203-running/{worker * BATCH_PER_WORKER + number}"


def task_reports(worker: int) -> tuple[announcement.TaskReport, ...]:
    """Returns what a full worker reports of its tasks."""
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
    """Returns an announcement of a full worker."""
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


def renewal_reply(told: announcement.Announcement) -> announcement.Reply:
    """Returns a reply that renews every lease."""
    names = tuple(
        announcement.attempt_name(report.task_id, report.attempt)
        for report in told.tasks
    )
    term = lease.LEASE_SECONDS
    return announcement.Reply(True, epoch=1, renewed=names, lease_seconds=term)


def configured_machine() -> machines.StateMachine:
    """Returns a replicated state with one customer and its templates."""
    made = machines.StateMachine()
    log = ImmediateLog(made)
    batch = template.Template("roster", template.Kind.BATCH, BATCH_SIZE)
    service = template.Template("offers", template.Kind.SERVICE, SERVICE_SIZE)
    log.apply(changes.PublishTemplate(operation("1"), 0, batch))
    log.apply(changes.PublishTemplate(operation("2"), 0, service))
    log.apply(customer_change())
    log.apply(changes.TakeGrant(ZONE, "entry-01", 0, 0))
    return made


def customer_change() -> changes.SetCustomer:
    """Returns a change of a customer's parameters."""
    owner = customer.Customer(
        "customer-01",
        "team-01",
        customer.Urgency.URGENT,
        (ZONE, "z2", "z3"),
        {"offers": ZONE_WORKERS * SERVICES_PER_WORKER},
    )
    return changes.SetCustomer(operation("customer"), 0, owner)


def intention_change(number: int) -> changes.SetIntention:
    """Returns a change of what operators want of a backend server."""
    return changes.SetIntention(
        operation(f"intention-{number}"),
        0,
        f"worker-{number:06}",
        changes.Intention.DRAINING,
    )


def grant_renewal() -> changes.RenewGrant:
    """Returns a renewal of the zone's grant."""
    return changes.RenewGrant(ZONE, "entry-01", 1)


def job_acceptance(job_id: str, tasks: int) -> changes.AcceptJob:
    """Returns the acceptance of a job."""
    return changes.AcceptJob(
        operation(job_id), job_id, "customer-01", "roster", tasks, 1.8e9
    )


def machine_with_waiting_jobs(
    jobs: int, tasks_per_job: int
) -> machines.StateMachine:
    """Returns a replicated state with waiting jobs."""
    made = configured_machine()
    log = ImmediateLog(made)
    for number in range(jobs):
        log.apply(job_acceptance(f"job-20261203-{number:06}", tasks_per_job))
    return made


def machine_with_ended_jobs(
    jobs: int, tasks_per_job: int
) -> machines.StateMachine:
    """Returns a replicated state whose jobs have all finished."""
    made = machine_with_waiting_jobs(jobs, tasks_per_job)
    log = ImmediateLog(made)
    names = list(made.job_store.waiting)
    for at in range(0, len(names), 64):
        batch = names[at : at + 64]
        log.apply(first_starts(batch))
        log.apply(first_ends(batch))
    return made


def first_starts(names: list[str]) -> changes.StartTasks:
    """Returns the first starts of tasks, on workers in turn."""
    starts = [
        changes.Start(
            name,
            1,
            f"worker-{number % ZONE_WORKERS:04}",
            INCARNATION,
            # As the planner gives them, different for each worker.
            f"expected slowdown 1.{number % 50:02}, load 0.{number % 100:02}",
        )
        for number, name in enumerate(names)
    ]
    return changes.StartTasks(ZONE, 1, 1.8e9, starts)


def first_ends(names: list[str]) -> changes.EndTasks:
    """Returns the ends of first attempts of tasks."""
    ends = [
        changes.End(
            name, 1, changes.Ending.FINISHED, "1.0", "worker reported finished"
        )
        for name in names
    ]
    return changes.EndTasks(ZONE, 1, 1.8e9, ends)


def populated_zone() -> PopulatedZone:
    """Returns an authority of a zone with full workers and a queue."""
    made = configured_machine()
    log = ImmediateLog(made)
    log.apply(
        job_acceptance("job-20261203-running", ZONE_WORKERS * BATCH_PER_WORKER)
    )
    for worker in range(ZONE_WORKERS):
        names = [service_task_id(worker, n) for n in range(SERVICES_PER_WORKER)]
        names += [batch_task_id(worker, n) for n in range(BATCH_PER_WORKER)]
        where = f"worker-{worker:04}"
        starts = [changes.Start(name, 1, where, INCARNATION) for name in names]
        log.apply(changes.StartTasks(ZONE, 1, 1.8e9, starts))
    log.apply(job_acceptance("job-20261203-waiting", WAITING_TASKS))
    holder = grant_holder.GrantHolder(ZONE, "entry-01", made, log)
    holder.held_epoch = 1
    holder.acquired_at = trio.current_time() - 60.0
    holder.renewed_at = trio.current_time() + 3600.0
    scheduler = schedulers.ZoneScheduler(
        made,
        holder,
        log,
        AcceptingWorkers(),
        lambda: planner.Planner(weights.BALANCED),
        cross_zone_feasibility.FeasibilityChecker(
            directory.Directory(made.configuration)
        ),
    )
    zone = PopulatedZone(scheduler, made)
    for worker in range(ZONE_WORKERS):
        scheduler.announce(make_announcement(worker, 1))
    return zone


def announcement_handler(
    zone: PopulatedZone,
) -> announcements.AnnouncementHandler:
    """Returns what takes announcements for an authority, knowing none yet."""
    known = directory.Directory(zone.machine.configuration)
    passing_on = dissemination.Dissemination(known, IsolatedNetwork(), 1)
    return announcements.AnnouncementHandler(
        "entry-01", zone.machine, passing_on, zone.scheduler
    )
