"""Scenarios of the placement benchmark: fleets, workloads and faults."""

import math
import random
from typing import NamedTuple

from turmerichall import resources
from turmerichall.benchmarks import placement_templates as templates
from turmerichall.benchmarks import placement_ground_truth as ground_truths
from turmerichall.customers import customer as customers
from turmerichall.placement import views

__all__ = ["Event", "FLEETS", "FleetSpec", "NAMES", "Scenario", "make"]

NAMES = (
    "steady_day",
    "noisy_wave",
    "nightly_upgrade",
    "wrong_sizes",
    "bad_workers",
    "zone_loss",
    "cancel_wave",
    "urgent_wave",
)
TEAMS = 6
# The team of the urgent jobs has no quota, because a quota would determine how
# soon its tasks start.
URGENT_TEAM = "urgent"
BATCH_LOAD = 0.42
STEP_SECONDS = 2.0
# Step of the daemon's scheduler, on which the start delay of urgent tasks
# depends.
URGENT_STEP_SECONDS = 0.5
URGENT_PERIOD_SECONDS = 60.0


class FleetSpec(NamedTuple):
    """The size of a fleet and the length of its scenarios.

    Attributes:
        workers: Number of workers in all zones.
        capacity: Capacity of each worker.
        rack: Number of workers in a rack.
        zones: Number of availability zones.
        seconds: Simulated time of a scenario.
    """

    workers: int
    capacity: resources.Resources
    rack: int
    zones: int
    seconds: float


FLEETS = {
    "ikengwu": FleetSpec(24, resources.Resources(32, 125_000), 8, 3, 3600.0),
    "blue_mountain": FleetSpec(
        33, resources.Resources(64, 250_000), 11, 3, 3600.0
    ),
    "small": FleetSpec(6, resources.Resources(16, 60_000), 1, 3, 1200.0),
    "large": FleetSpec(790, resources.Resources(64, 250_000), 16, 10, 900.0),
}


class Event(NamedTuple):
    """An event of a scenario.

    Attributes:
        at: When it happens, in seconds from the start of the scenario.
        what: Kind of the event: `submit`, `cancel`, `leave`, `restart`,
            `return`, `partition`, `reconnect`, `crash` or `load`.
        name: The worker or job concerned, or empty.
        tasks: Tasks to submit, for `submit`.
        factor: Factor by which the load of services is multiplied, for `load`.
    """

    at: float
    what: str
    name: str = ""
    tasks: tuple[views.TaskView, ...] = ()
    factor: float = 1.0


class Scenario(NamedTuple):
    """A fleet, its workload and its faults over one night.

    Attributes:
        name: Name of the scenario.
        fleet: The fleet.
        workers: The workers as first announced.
        ground_truth: True behavior of the templates.
        events: Events in order of time.
        bad_workers: Workers on which all batch tasks fail.
        bad_jobs: Jobs whose tasks fail on any worker.
        quotas: Names of teams and their quotas.
        step_seconds: Time between two steps of the simulation.
    """

    name: str
    fleet: FleetSpec
    workers: tuple[views.WorkerView, ...]
    ground_truth: ground_truths.GroundTruth
    events: tuple[Event, ...]
    bad_workers: tuple[str, ...] = ()
    bad_jobs: tuple[str, ...] = ()
    quotas: tuple[tuple[str, resources.Resources], ...] = ()
    step_seconds: float = STEP_SECONDS


def make(name: str, fleet_name: str, seed: int) -> Scenario:
    """Return a scenario; the same arguments return the same scenario.

    Args:
        name: One of `NAMES`.
        fleet_name: One of `FLEETS`.
        seed: Seed of the random numbers.
    """
    rng = random.Random(f"{name} {fleet_name} {seed}")
    fleet = FLEETS[fleet_name]
    misdeclared = name == "wrong_sizes"
    ground_truth = ground_truths.GroundTruth(
        templates.make(rng, fleet.capacity, misdeclared), rng
    )
    workers = _workers(name, fleet)
    events = _services(fleet, ground_truth)
    events += _jobs(rng, fleet, ground_truth, name)
    scenario = Scenario(
        name, fleet, workers, ground_truth, (), quotas=_quotas(fleet)
    )
    if name in ("noisy_wave", "urgent_wave"):
        events += _noise_waves(rng, fleet, ground_truth)
    elif name == "nightly_upgrade":
        events += _rolling_upgrade(workers, fleet)
    elif name == "bad_workers":
        scenario, faults = _faults(scenario, events)
        events += faults
    elif name == "zone_loss":
        events += _zone_loss(workers, fleet)
    elif name == "cancel_wave":
        events += _cancellations(events, fleet)
    if name == "urgent_wave":
        events += _urgent_jobs(rng, fleet, ground_truth)
        scenario = scenario._replace(step_seconds=URGENT_STEP_SECONDS)
    events.sort(key=lambda event: event.at)
    return scenario._replace(events=tuple(events))


def _workers(name: str, fleet: FleetSpec) -> tuple[views.WorkerView, ...]:
    workers = []
    workers_per_zone = math.ceil(fleet.workers / fleet.zones)
    for number in range(fleet.workers):
        zone = number // workers_per_zone
        rack = (number % workers_per_zone) // fleet.rack
        leaves_at = math.inf
        if name == "nightly_upgrade":
            leaves_at = _leave_time(number, fleet)
        workers.append(
            views.WorkerView(
                f"w{number:03}",
                f"z{zone}-r{rack}",
                f"z{zone}",
                fleet.capacity,
                slots=16,
                leaves_at=leaves_at,
            )
        )
    return tuple(workers)


def _services(
    fleet: FleetSpec, ground_truth: ground_truths.GroundTruth
) -> list[Event]:
    tasks = []
    tasks_per_service = max(2, round(fleet.workers * 1.25))
    for template in ground_truth.templates.values():
        if not template.service:
            continue
        for number in range(tasks_per_service):
            zone = f"z{number % fleet.zones}"
            tasks.append(
                views.TaskView(
                    f"svc:desk/{template.name}/{zone}/{number}",
                    template.name,
                    "desk",
                    "desk",
                    customers.Urgency.URGENT,
                    True,
                    template.declared,
                    zones=(zone,) if number % 2 else (),
                )
            )
    return [Event(0.0, "submit", "", tuple(tasks))]


def _jobs(
    rng: random.Random,
    fleet: FleetSpec,
    ground_truth: ground_truths.GroundTruth,
    name: str,
) -> list[Event]:
    """Draw random batch jobs.

    Their work reaches the share `BATCH_LOAD` of the fleet's processor time.
    """
    batch = [t for t in ground_truth.templates.values() if not t.service]
    processor_seconds = (
        fleet.workers * fleet.capacity.processors * fleet.seconds
    )
    remaining_work = BATCH_LOAD * processor_seconds
    events = []
    number = 0
    while remaining_work > 0:
        template = batch[number % len(batch)]
        tasks = rng.randint(4, 16) * max(1, fleet.workers // 100)
        # 70 % of the jobs arrive in the evening (the first quarter of the
        # scenario), the rest during the night (until 60 % of it).
        at = rng.uniform(10.0, 0.25 * fleet.seconds)
        if rng.random() < 0.3:
            at = rng.uniform(0.25, 0.6) * fleet.seconds
        events.append(
            _job(rng, f"j{number:04}", template, tasks, at, fleet.seconds)
        )
        work = template.used.processors * template.run_seconds
        if name == "wrong_sizes":
            work = max(
                work, template.declared.processors * template.run_seconds
            )
        remaining_work -= tasks * work
        number += 1
    return events


def _job(
    rng: random.Random,
    name: str,
    template: ground_truths.TemplateBehavior,
    tasks: int,
    at: float,
    deadline: float,
    urgent: bool = False,
) -> Event:
    team = f"team-{rng.randrange(TEAMS)}"
    urgency = rng.choice(
        (
            customers.Urgency.NORMAL,
            customers.Urgency.NORMAL,
            customers.Urgency.DEFERRABLE,
        )
    )
    if urgent:
        urgency = customers.Urgency.URGENT
        team = URGENT_TEAM
    task_views = tuple(
        views.TaskView(
            f"{name}/{number}",
            template.name,
            "night",
            team,
            urgency,
            False,
            template.declared,
            template.declared_run_seconds,
            deadline,
            at,
        )
        for number in range(tasks)
    )
    return Event(at, "submit", name, task_views)


def _quotas(
    fleet: FleetSpec,
) -> tuple[tuple[str, resources.Resources], ...]:
    processors = fleet.workers * fleet.capacity.processors
    memory = fleet.workers * fleet.capacity.memory_mb
    share = resources.Resources(processors / TEAMS, memory // TEAMS)
    return tuple((f"team-{number}", share) for number in range(TEAMS))


def _noise_waves(
    rng: random.Random,
    fleet: FleetSpec,
    ground_truth: ground_truths.GroundTruth,
) -> list[Event]:
    noisy = [
        template
        for template in ground_truth.templates.values()
        if not template.service and template.intensity >= 2.0
    ]
    events = []
    for wave in range(3):
        at = (0.2 + 0.22 * wave) * fleet.seconds
        events.append(Event(at, "load", factor=1.35))
        events.append(Event(at + 0.08 * fleet.seconds, "load", factor=1.0))
        for number in range(4):
            tasks = max(2, fleet.workers // 4)
            template = noisy[number % len(noisy)]
            name = f"n{wave}{number}"
            events.append(_job(rng, name, template, tasks, at, fleet.seconds))
    return events


def _urgent_jobs(
    rng: random.Random,
    fleet: FleetSpec,
    ground_truth: ground_truths.GroundTruth,
) -> list[Event]:
    """Draw small urgent jobs that arrive while the fleet is fully loaded."""
    batch = [t for t in ground_truth.templates.values() if not t.service]
    events: list[Event] = []
    at = 0.2 * fleet.seconds
    while at < 0.75 * fleet.seconds:
        template = rng.choice(batch)
        tasks = rng.randint(1, 4) * max(1, fleet.workers // 100)
        name = f"u{len(events):03}"
        events.append(
            _job(rng, name, template, tasks, at, fleet.seconds, urgent=True)
        )
        at += rng.expovariate(1 / URGENT_PERIOD_SECONDS)
    return events


def _leave_time(number: int, fleet: FleetSpec) -> float:
    """Return when the worker with this number leaves.

    The workers leave one by one over half of the scenario.
    """
    start = 0.25 * fleet.seconds
    return start + 0.5 * fleet.seconds * number / fleet.workers


def _rolling_upgrade(
    workers: tuple[views.WorkerView, ...], fleet: FleetSpec
) -> list[Event]:
    events = []
    for number, worker in enumerate(workers):
        at = _leave_time(number, fleet)
        events.append(Event(at, "leave", worker.name))
        events.append(Event(at + 120.0, "restart", worker.name))
        events.append(Event(at + 150.0, "return", worker.name))
    return events


def _faults(
    scenario: Scenario, events: list[Event]
) -> tuple[Scenario, list[Event]]:
    names = [worker.name for worker in scenario.workers]
    flapping, partitioned = names[2], names[5]
    faults = []
    at = 300.0
    while at < 0.8 * scenario.fleet.seconds:
        faults.append(Event(at, "crash", flapping))
        faults.append(Event(at + 40.0, "return", flapping))
        at += 200.0
    faults.append(Event(900.0, "partition", partitioned))
    faults.append(Event(1500.0, "reconnect", partitioned))
    jobs = [event.name for event in events if event.name]
    bad_workers = (names[0], names[len(names) // 2])
    bad_jobs = tuple(jobs[3::12])
    return scenario._replace(bad_workers=bad_workers, bad_jobs=bad_jobs), faults


def _zone_loss(
    workers: tuple[views.WorkerView, ...], fleet: FleetSpec
) -> list[Event]:
    """Return the failure of a zone and, at once, half a rack of another.

    It lasts 20 minutes or 30 % of the scenario, whichever is shorter.
    """
    at = 0.3 * fleet.seconds
    lost = [worker for worker in workers if worker.zone == "z0"]
    rack = [worker for worker in workers if worker.rack == "z1-r0"]
    lost += rack[: len(rack) // 2]
    events = []
    for worker in lost:
        events.append(Event(at, "crash", worker.name))
        returns_at = at + min(1200.0, 0.3 * fleet.seconds)
        events.append(Event(returns_at, "return", worker.name))
    return events


def _cancellations(events: list[Event], fleet: FleetSpec) -> list[Event]:
    at = 0.35 * fleet.seconds
    jobs = [event.name for event in events if event.name and event.at < at]
    return [
        Event(at, "cancel", job)
        for number, job in enumerate(jobs)
        if number % 3 != 0
    ]
