"""Scenarios of the placement benchmark: fleets, work and what goes wrong."""

import math
import random
from typing import NamedTuple

from turmerichall import resources
from turmerichall.benchmarks import placement_templates as templates
from turmerichall.benchmarks import placement_ground_truth as ground_truths
from turmerichall.customers import customer as customers
from turmerichall.placement import views

__all__ = ["Event", "FLEETS", "FleetSize", "NAMES", "Scenario", "make"]

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
# It has no quota, which else would decide how soon its tasks start.
URGENT_TEAM = "urgent"
BATCH_LOAD = 0.42
STEP_SECONDS = 2.0
# The daemon's step; how soon urgent work starts depends on it.
URGENT_STEP_SECONDS = 0.5
URGENT_PERIOD_SECONDS = 60.0


class FleetSize(NamedTuple):
    """A fleet.

    Attributes:
        workers: Workers in sum.
        capacity: What each offers.
        rack: Workers in a rack.
        zones: Availability zones.
        seconds: Length of the night that is run.
    """

    workers: int
    capacity: resources.Resources
    rack: int
    zones: int
    seconds: float


FLEETS = {
    "ikengwu": FleetSize(24, resources.Resources(32, 125_000), 8, 3, 3600.0),
    "blue_mountain": FleetSize(
        33, resources.Resources(64, 250_000), 11, 3, 3600.0
    ),
    "small": FleetSize(6, resources.Resources(16, 60_000), 1, 3, 1200.0),
    "large": FleetSize(790, resources.Resources(64, 250_000), 16, 10, 900.0),
}


class Event(NamedTuple):
    """Something that happens.

    Attributes:
        at: When, in seconds from the start.
        what: `submit`, `cancel`, `leave`, `restart`, `return`, `silence`,
            `heard`, `lose` or `load`.
        name: The worker or job, or empty.
        tasks: Tasks to submit.
        factor: Load of services, for `load`.
    """

    at: float
    what: str
    name: str = ""
    tasks: tuple[views.TaskView, ...] = ()
    factor: float = 1.0


class Scenario(NamedTuple):
    """One night.

    Attributes:
        name: Name of the scenario.
        fleet: The fleet.
        workers: The workers as first announced.
        truth: What is true of the templates.
        events: What happens, in order of time.
        bad_workers: Workers that fail everything they start.
        bad_jobs: Jobs that fail on any worker.
        quotas: Teams and their quotas.
        step_seconds: Time between two steps.
    """

    name: str
    fleet: FleetSize
    workers: tuple[views.WorkerView, ...]
    truth: ground_truths.GroundTruth
    events: tuple[Event, ...]
    bad_workers: tuple[str, ...] = ()
    bad_jobs: tuple[str, ...] = ()
    quotas: tuple[tuple[str, resources.Resources], ...] = ()
    step_seconds: float = STEP_SECONDS


def make(name: str, fleet_name: str, seed: int) -> Scenario:
    """Makes a scenario; the same arguments give the same one."""
    draw = random.Random(f"{name} {fleet_name} {seed}")
    fleet = FLEETS[fleet_name]
    wrong = name == "wrong_sizes"
    truth = ground_truths.GroundTruth(
        templates.make(draw, fleet.capacity, wrong), draw
    )
    workers = _workers(name, fleet)
    events = _services(fleet, truth)
    events += _jobs(draw, fleet, truth, name)
    made = Scenario(name, fleet, workers, truth, (), quotas=_quotas(fleet))
    if name in ("noisy_wave", "urgent_wave"):
        events += _waves(draw, fleet, truth)
    elif name == "nightly_upgrade":
        events += _upgrade(workers, fleet)
    elif name == "bad_workers":
        made, more = _faults(made, events)
        events += more
    elif name == "zone_loss":
        events += _losses(workers, fleet)
    elif name == "cancel_wave":
        events += _cancellations(events, fleet)
    if name == "urgent_wave":
        events += _urgent(draw, fleet, truth)
        made = made._replace(step_seconds=URGENT_STEP_SECONDS)
    events.sort(key=lambda event: event.at)
    return made._replace(events=tuple(events))


def _workers(name: str, fleet: FleetSize) -> tuple[views.WorkerView, ...]:
    found = []
    each = math.ceil(fleet.workers / fleet.zones)
    for number in range(fleet.workers):
        zone = number // each
        rack = (number % each) // fleet.rack
        leaves_at = math.inf
        if name == "nightly_upgrade":
            leaves_at = _leaves_at(number, fleet)
        found.append(
            views.WorkerView(
                f"w{number:03}",
                f"z{zone}-r{rack}",
                f"z{zone}",
                fleet.capacity,
                slots=16,
                leaves_at=leaves_at,
            )
        )
    return tuple(found)


def _services(
    fleet: FleetSize, truth: ground_truths.GroundTruth
) -> list[Event]:
    tasks = []
    per_kind = max(2, round(fleet.workers * 1.25))
    for template in truth.templates.values():
        if not template.service:
            continue
        for number in range(per_kind):
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
    draw: random.Random,
    fleet: FleetSize,
    truth: ground_truths.GroundTruth,
    name: str,
) -> list[Event]:
    """Draws batch jobs until their work reaches `BATCH_LOAD`."""
    batch = [t for t in truth.templates.values() if not t.service]
    room = fleet.workers * fleet.capacity.processors * fleet.seconds
    wanted = BATCH_LOAD * room
    found = []
    number = 0
    while wanted > 0:
        template = batch[number % len(batch)]
        tasks = draw.randint(4, 16) * max(1, fleet.workers // 100)
        # Four fifths come with the evening, the rest during the night.
        at = draw.uniform(10.0, 0.25 * fleet.seconds)
        if draw.random() < 0.3:
            at = draw.uniform(0.25, 0.6) * fleet.seconds
        found.append(
            _job(draw, f"j{number:04}", template, tasks, at, fleet.seconds)
        )
        work = template.used.processors * template.run_seconds
        if name == "wrong_sizes":
            work = max(
                work, template.declared.processors * template.run_seconds
            )
        wanted -= tasks * work
        number += 1
    return found


def _job(
    draw: random.Random,
    name: str,
    template: ground_truths.TemplateBehavior,
    tasks: int,
    at: float,
    deadline: float,
    urgent: bool = False,
) -> Event:
    team = f"team-{draw.randrange(TEAMS)}"
    urgency = draw.choice(
        (
            customers.Urgency.NORMAL,
            customers.Urgency.NORMAL,
            customers.Urgency.DEFERRABLE,
        )
    )
    if urgent:
        urgency = customers.Urgency.URGENT
        team = URGENT_TEAM
    made = tuple(
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
    return Event(at, "submit", name, made)


def _quotas(
    fleet: FleetSize,
) -> tuple[tuple[str, resources.Resources], ...]:
    processors = fleet.workers * fleet.capacity.processors
    memory = fleet.workers * fleet.capacity.memory_mb
    share = resources.Resources(processors / TEAMS, memory // TEAMS)
    return tuple((f"team-{number}", share) for number in range(TEAMS))


def _waves(
    draw: random.Random, fleet: FleetSize, truth: ground_truths.GroundTruth
) -> list[Event]:
    noisy = [
        template
        for template in truth.templates.values()
        if not template.service and template.intensity >= 2.0
    ]
    found = []
    for wave in range(3):
        at = (0.2 + 0.22 * wave) * fleet.seconds
        found.append(Event(at, "load", factor=1.35))
        found.append(Event(at + 0.08 * fleet.seconds, "load", factor=1.0))
        for number in range(4):
            tasks = max(2, fleet.workers // 4)
            template = noisy[number % len(noisy)]
            name = f"n{wave}{number}"
            found.append(_job(draw, name, template, tasks, at, fleet.seconds))
    return found


def _urgent(
    draw: random.Random, fleet: FleetSize, truth: ground_truths.GroundTruth
) -> list[Event]:
    """Draws small urgent jobs for the time in which the fleet is full."""
    batch = [t for t in truth.templates.values() if not t.service]
    found: list[Event] = []
    at = 0.2 * fleet.seconds
    while at < 0.75 * fleet.seconds:
        template = draw.choice(batch)
        tasks = draw.randint(1, 4) * max(1, fleet.workers // 100)
        name = f"u{len(found):03}"
        found.append(
            _job(draw, name, template, tasks, at, fleet.seconds, urgent=True)
        )
        at += draw.expovariate(1 / URGENT_PERIOD_SECONDS)
    return found


def _leaves_at(number: int, fleet: FleetSize) -> float:
    """Workers leave one after the other over the middle of the night."""
    start = 0.25 * fleet.seconds
    return start + 0.5 * fleet.seconds * number / fleet.workers


def _upgrade(
    workers: tuple[views.WorkerView, ...], fleet: FleetSize
) -> list[Event]:
    found = []
    for number, worker in enumerate(workers):
        at = _leaves_at(number, fleet)
        found.append(Event(at, "leave", worker.name))
        found.append(Event(at + 120.0, "restart", worker.name))
        found.append(Event(at + 150.0, "return", worker.name))
    return found


def _faults(
    made: Scenario, events: list[Event]
) -> tuple[Scenario, list[Event]]:
    names = [worker.name for worker in made.workers]
    flapping, silent = names[2], names[5]
    found = []
    at = 300.0
    while at < 0.8 * made.fleet.seconds:
        found.append(Event(at, "lose", flapping))
        found.append(Event(at + 40.0, "return", flapping))
        at += 200.0
    found.append(Event(900.0, "silence", silent))
    found.append(Event(1500.0, "heard", silent))
    jobs = [event.name for event in events if event.name]
    bad_workers = (names[0], names[len(names) // 2])
    bad_jobs = tuple(jobs[3::12])
    return made._replace(bad_workers=bad_workers, bad_jobs=bad_jobs), found


def _losses(
    workers: tuple[views.WorkerView, ...], fleet: FleetSize
) -> list[Event]:
    """Loses one zone and half a rack of another at once, for 20 minutes."""
    at = 0.3 * fleet.seconds
    lost = [worker for worker in workers if worker.zone == "z0"]
    rack = [worker for worker in workers if worker.rack == "z1-r0"]
    lost += rack[: len(rack) // 2]
    found = []
    for worker in lost:
        found.append(Event(at, "lose", worker.name))
        back = at + min(1200.0, 0.3 * fleet.seconds)
        found.append(Event(back, "return", worker.name))
    return found


def _cancellations(events: list[Event], fleet: FleetSize) -> list[Event]:
    at = 0.35 * fleet.seconds
    jobs = [event.name for event in events if event.name and event.at < at]
    return [
        Event(at, "cancel", job)
        for number, job in enumerate(jobs)
        if number % 3 != 0
    ]
