"""Replays of urgent arrivals on a fleet that long-running tasks fill.

The load: long-running jobs come before the traffic and ask for nearly all
processors of the fleet; urgent jobs, whose tasks are as large, come later.
"""

import collections
import random

import pytest

from turmerichall.dispatch import preemption
from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

CPU = 32000
NOW = 100.0
URGENT = demands.StepDemand(9, cpu=6400, memory_mb=1000, estimate_ms=1000)


def long_running_step(
    cpu: int = 6400, image: str = "desk", max_unavailable: int = -1
) -> demands.StepDemand:
    return demands.StepDemand(
        5,
        cpu=cpu,
        memory_mb=1000,
        lasting=True,
        image=image,
        target_ms=18,
        max_unavailable=max_unavailable,
    )


def make_worker(
    name: str, steps: list[demands.StepDemand], confirmed_at: float = 0.0
) -> worker_state.Worker:
    """Return a worker that runs one long-running task of each step."""
    fake = fakes.FakeWorker(name, CPU)
    worker = worker_state.Worker(fake.record, fake, 0.0)
    worker.in_touch = True
    for number, step in enumerate(steps):
        task = changes.TaskName(f"{name}-{step.image}", 0, 0, number)
        run = run_state.Run(task, 1, step, "reminders")
        run.phase = run_state.Phase.RUNNING
        run.confirmed_at = confirmed_at
        worker.add(run)
    return worker


def make_fleet(workers: int) -> list[worker_state.Worker]:
    """Return a fleet on which long-running tasks ask for all processors."""
    return [
        make_worker(f"w{number}", [long_running_step()] * 5)
        for number in range(workers)
    ]


def waiting(
    count: int, step: demands.StepDemand = URGENT, job: str = "offer"
) -> preemption.WaitingTasks:
    return preemption.WaitingTasks(job, step, count, {})


def choose(
    tasks: list[preemption.WaitingTasks], workers: list[worker_state.Worker]
) -> list[preemption.Stop]:
    return preemption.choose_stops(
        tasks, workers, NOW, lambda run: run.step.max_unavailable < 0
    )


class TestFullFleet:

    @pytest.mark.parametrize("workers", [24, 270])
    def test_each_urgent_task_costs_one_run(self, workers: int) -> None:
        stops = choose([waiting(9), waiting(4, job="b")], make_fleet(workers))
        assert len(stops) == 13
        assert len({stop.run.task for stop in stops}) == 13
        jobs = collections.Counter(stop.urgent_job for stop in stops)
        assert jobs == {"offer": 9, "b": 4}

    def test_runs_that_already_stop_are_counted(self) -> None:
        fleet = make_fleet(24)
        for stop in choose([waiting(9)], fleet):
            stop.run.stopping = True
        assert not choose([waiting(9)], fleet)
        assert len(choose([waiting(11)], fleet)) == 2

    def test_free_room_is_used_first(self) -> None:
        free = make_worker("free", [long_running_step()] * 3)
        stops = choose([waiting(3)], [*make_fleet(4), free])
        assert len(stops) == 1

    def test_the_tasks_of_a_round_are_limited(self) -> None:
        stops = choose([waiting(500)], make_fleet(270))
        assert len(stops) == preemption.MAX_TASKS_PER_ROUND

    def test_a_large_task_stops_several_runs_of_one_worker(self) -> None:
        large = demands.StepDemand(1, cpu=12000, memory_mb=1000)
        stops = choose([waiting(1, large)], make_fleet(3))
        assert len(stops) == 2
        assert len({stop.worker.record.id for stop in stops}) == 1


class TestChoice:

    def test_the_smallest_run_that_suffices_is_stopped(self) -> None:
        worker = make_worker(
            "w", [long_running_step(cpu) for cpu in (9000, 7000, 8000, 8000)]
        )
        [stop] = choose([waiting(1)], [worker])
        assert stop.run.step.cpu == 7000

    def test_a_rare_image_goes_first(self) -> None:
        """The worker stays one on which few images limit the fillers."""
        steps = [long_running_step()] * 4 + [long_running_step(image="rare")]
        [stop] = choose([waiting(1)], [make_worker("w", steps)])
        assert stop.run.step.image == "rare"

    def test_a_job_that_limits_absences_is_left_alone(self) -> None:
        steps = [long_running_step(max_unavailable=1)] * 5
        assert not choose([waiting(1)], [make_worker("w", steps)])

    def test_a_run_that_just_started_is_left_alone(self) -> None:
        worker = make_worker("w", [long_running_step()] * 5, NOW - 0.5)
        assert not choose([waiting(1)], [worker])

    @pytest.mark.parametrize("flaw", ["draining", "out_of_touch", "tripped"])
    def test_nothing_is_stopped_where_nothing_would_be_placed(
        self, flaw: str
    ) -> None:
        [worker] = make_fleet(1)
        if flaw == "draining":
            worker.draining = True
        elif flaw == "out_of_touch":
            worker.in_touch = False
        else:
            worker.breaker.trip(NOW)
        assert not choose([waiting(1)], [worker])

    def test_the_limit_of_tasks_per_worker_is_kept(self) -> None:
        step = demands.StepDemand(4, cpu=6400, memory_mb=1000, max_per_worker=1)
        stops = choose([waiting(4, step)], make_fleet(3))
        assert len(stops) == 3
        assert len({stop.worker.record.id for stop in stops}) == 3


def plain_choice(
    tasks: preemption.WaitingTasks, workers: list[worker_state.Worker]
) -> list[tuple[str, changes.TaskName]]:
    """Choose stops for one step by comparing all workers for each task."""
    step, siblings = tasks.step, dict(tasks.siblings)
    stopped: set[changes.TaskName] = set()
    claimed: collections.Counter[str] = collections.Counter()
    chosen = []

    def stops_on(worker: worker_state.Worker) -> list[run_state.Run] | None:
        name = worker.record.id
        most = step.max_per_worker
        if not worker.could_ever_run(step) or (
            most and siblings.get(name, 0) >= most
        ):
            return None
        runs = list(worker.runs.values())
        gone = [r for r in runs if r.stopping or r.task in stopped]
        cpu = worker.cpu_reserved + (claimed[name] + 1) * step.cpu
        cpu -= worker.capacity.cpu + sum(r.step.cpu for r in gone)
        if cpu <= 0:
            return []
        left = [
            r
            for r in runs
            if r not in gone and r.step.lasting and r.confirmed_at <= NOW - 2
        ]
        by_image: collections.Counter[str] = collections.Counter()
        for r in runs:
            is_new = not r.step.lasting or r.confirmed_at > NOW - 2
            if not r.stopping and not is_new:
                by_image[r.step.image] += r.step.cpu
        left.sort(key=lambda r: (by_image[r.step.image], r.step.cpu))
        left = [r for r in left if r.step.max_unavailable < 0]
        for r in left:
            if r.step.cpu >= cpu:
                return [r]
        several = []
        for r in sorted(left, key=lambda r: r.step.cpu, reverse=True):
            several.append(r)
            cpu -= r.step.cpu
            if cpu <= 0:
                return several
        return None

    for _ in range(tasks.waiting):
        found = [
            (sum(r.step.cpu for r in runs), number, runs)
            for number, worker in enumerate(workers)
            if (runs := stops_on(worker)) is not None
        ]
        if not found:
            break
        _, number, runs = min(found, key=lambda row: row[:2])
        name = workers[number].record.id
        stopped |= {r.task for r in runs}
        chosen += [(name, r.task) for r in runs]
        claimed[name] += 1
        siblings[name] = siblings.get(name, 0) + 1
    return chosen


class TestDrawnFleets:

    @pytest.mark.parametrize("seed", range(30))
    def test_the_cheapest_worker_is_chosen_for_each_task(
        self, seed: int
    ) -> None:
        """Guards against a bound that hides a worker which costs less."""
        drawn = random.Random(seed)
        fleet = []
        for number in range(12):
            steps = [
                long_running_step(
                    drawn.choice((3000, 5000, 6400, 7000)),
                    drawn.choice("abc"),
                    drawn.choice((-1, -1, -1, 1)),
                )
                for _ in range(drawn.randrange(3, 6))
            ]
            worker = make_worker(f"w{number}", steps)
            for run in worker.runs.values():
                run.stopping = drawn.random() < 0.1
                run.confirmed_at = drawn.choice((0.0, 0.0, 0.0, NOW - 1))
            fleet.append(worker)
        step = demands.StepDemand(
            drawn.randrange(1, 20),
            cpu=drawn.choice((2000, 6400, 9000, 14000)),
            max_per_worker=drawn.choice((0, 1, 2)),
        )
        tasks = waiting(step.count, step)
        assert [
            (stop.worker.record.id, stop.run.task)
            for stop in choose([tasks], fleet)
        ] == plain_choice(tasks, fleet)
