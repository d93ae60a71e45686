"""Tests of the choice of workers on drawn fleets."""

import random

import pytest

from turmerichall.dispatch import interference_model as interference_models
from turmerichall.dispatch import placement
from turmerichall.dispatch import run_state
from turmerichall.dispatch import service_load
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

LONG_RUNNING_IMAGES = ("desk", "mail", "feed")
BEST_EFFORT_IMAGES = ("sort", "scan", "pack")


def draw_step(draw: random.Random, kind: str) -> demands.StepDemand:
    return demands.StepDemand(
        draw.randint(1, 40),
        cpu=draw.choice((500, 2000, 6400)),
        memory_mb=draw.choice((500, 4000)),
        lasting=kind == "lasting",
        fills=kind == "fills",
        target_ms=18 if kind == "lasting" else 0,
        image=draw.choice(
            BEST_EFFORT_IMAGES if kind == "fills" else LONG_RUNNING_IMAGES
        ),
        max_per_worker=draw.choice((0, 0, 1, 2)),
        data_rack=draw.choice(("", "", "r1")),
    )


def draw_fleet(
    draw: random.Random, workers: int
) -> tuple[list[worker_state.Worker], interference_models.InterferenceModel]:
    """Return workers with drawn runs and loads, and a drawn model."""
    model = interference_models.InterferenceModel()
    model.restore(
        {
            image: {
                other: draw.choice((0.0, 0.1, 3.0))
                for other in BEST_EFFORT_IMAGES
            }
            for image in LONG_RUNNING_IMAGES
        }
    )
    fleet = []
    for number in range(workers):
        fake = fakes.FakeWorker(f"w{number}", draw.choice((16000, 32000)))
        worker = worker_state.Worker(fake.record, fake, 0.0)
        worker.in_touch = True
        for index in range(draw.randint(0, 5)):
            kind = draw.choice(("lasting", "lasting", "fills", "urgent"))
            step = draw_step(draw, kind)
            if worker.has_room_for(step):
                task = changes.TaskName(f"j{number}", 0, 0, index)
                worker.add(run_state.Run(task, 1, step, "q"))
        for key, neighbour in worker.neighbours.items():
            soon = draw.uniform(0.1, 0.7)
            forecast = service_load.LoadForecast(soon, soon + 0.1)
            worker.neighbours[key] = neighbour._replace(forecast=forecast)
        fleet.append(worker)
    return fleet, model


class TestCandidates:

    @pytest.mark.parametrize("kind", ["lasting", "fills", "urgent"])
    @pytest.mark.parametrize("seed", range(20))
    def test_choices_are_those_of_one_look_at_all_workers_a_task(
        self, seed: int, kind: str
    ) -> None:
        chosen: list[list[str | None]] = []
        for scan in (False, True):
            draw = random.Random(seed)
            fleet, model = draw_fleet(draw, 30)
            step = draw_step(draw, kind)
            siblings: dict[str, int] = {}
            candidates = placement.Candidates(step, fleet, 0.0, model, siblings)
            names: list[str | None] = []
            for number in range(step.count):
                worker = (
                    placement.choose_worker(
                        step, fleet, 0.0, model, (), siblings
                    )
                    if scan
                    else candidates.best()
                )
                names.append(worker.record.id if worker else None)
                if worker is None:
                    break
                task = changes.TaskName("new", 0, 0, number)
                worker.add(run_state.Run(task, 1, step, "q"))
                name = worker.record.id
                siblings[name] = siblings.get(name, 0) + 1
                candidates.update(worker)
            chosen.append(names)
        assert chosen[0] == chosen[1]

    def test_a_breaker_that_opens_meanwhile_counts(self) -> None:
        fleet, model = draw_fleet(random.Random(1), 3)
        step = demands.StepDemand(3, cpu=500)
        candidates = placement.Candidates(step, fleet, 0.0, model, {})
        for worker in fleet:
            worker.breaker.trip(0.0)
            candidates.update(worker)
        assert candidates.best() is None
