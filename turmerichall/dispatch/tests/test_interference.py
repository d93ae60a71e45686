"""Tests of the control of interference, with simulated waves of load.

The tail latency of a simulated long-running task is that of a queue with one
server, `IDLE_MS / (1 - load * slowdown)`, where the load is a wave that all
tasks of a step share.  Reported values lag by a quarter of a second, as if
averaged over the last half second.
"""

import math

import trio
import trio.testing

from turmerichall.dispatch import interference_model as interference_models
from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import pacing
from turmerichall.dispatch import placement
from turmerichall.dispatch import run_state
from turmerichall.dispatch import service_load
from turmerichall.dispatch import tail_latency_controller
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.colocation import careful_policy
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands
from turmerichall.telemetry import lightweight_metrics

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

IDLE_MS = 4.0
TARGET_MS = 18
WAVE_SECONDS = 10.0
POLL_SECONDS = 0.4
CPU = 32000
# The platform's limit on the time for which a tail latency may exceed its
# target without interruption.
BOUND_SECONDS = 4.0
# Slowdown of a long-running task by a best-effort image that uses a whole
# worker.
SLOWDOWN_WEIGHTS = {"sort": 5.0, "scan": 0.0}

LONG_RUNNING_STEP = demands.StepDemand(
    3, cpu=6400, lasting=True, image="desk", target_ms=TARGET_MS
)


def best_effort_step(image: str) -> demands.StepDemand:
    return demands.StepDemand(1, cpu=3200, fills=True, image=image)


class FakeOwner:
    """Fake of the leader.

    Attributes:
        fences: Number of calls of `fenced`.
    """

    def __init__(self) -> None:
        self.token = 1
        self.interference_model = interference_models.InterferenceModel()
        self.load_tracker = service_load.LoadTracker()
        self.metrics_registry = lightweight_metrics.MetricsRegistry()
        self.colocation: careful_policy.CarefulPolicy | None = None
        self.fences = 0

    def fenced(self, _: worker_state.Worker) -> None:
        """See `tail_latency_controller.Owner`."""
        self.fences += 1


class SimulatedCluster:
    """Workers with one long-running task of a step each, and best-effort tasks.

    Attributes:
        over: Longest time in seconds for which each worker's tail latency
            exceeded its target without interruption.
        paces: Paces of each best-effort image at each poll, in percent.
    """

    def __init__(self, *images: tuple[str, ...]):
        self.owner = FakeOwner()
        self.workers: list[worker_state.Worker] = []
        self.controllers: list[
            tail_latency_controller.TailLatencyController
        ] = []
        self.over: dict[str, float] = {}
        self.paces: dict[str, list[float]] = {}
        for number, names in enumerate(images):
            client = fakes.FakeWorker(f"w{number}", CPU)
            worker = worker_state.Worker(client.record, client, 0.0)
            worker.in_touch = True
            self.run(
                worker,
                LONG_RUNNING_STEP,
                changes.TaskName("desk", 0, 0, number),
            )
            for index, image in enumerate(names):
                task = changes.TaskName(f"f{number}", 0, 0, index)
                self.run(worker, best_effort_step(image), task)
            self.workers.append(worker)
            self.controllers.append(
                tail_latency_controller.TailLatencyController(
                    self.owner, worker
                )
            )

    @staticmethod
    def run(
        worker: worker_state.Worker,
        step: demands.StepDemand,
        task: changes.TaskName,
    ) -> None:
        """Add a running run to a worker."""
        run = run_state.Run(task, 1, step, "q")
        run.phase = run_state.Phase.RUNNING
        run.confirmed_at = 0.001
        run.progress_percent = 100
        worker.add(run)

    @staticmethod
    def load(now: float) -> float:
        """Return the utilization without neighbours at a time."""
        return 0.42 * (1 + 0.5 * math.sin(2 * math.pi * now / WAVE_SECONDS))

    def measure(self, worker: worker_state.Worker, now: float) -> None:
        """Set the measurements that a poll would return."""
        slowdown = 1.0
        for run in worker.runs.values():
            if run.step.fills:
                share = run.step.cpu / CPU * run.pace_percent / 100
                run.load = round(share * CPU)
                slowdown += SLOWDOWN_WEIGHTS[run.step.image] * share
                name = run.step.image
                self.paces.setdefault(name, []).append(run.pace_percent)
        utilization = min(self.load(now - 0.25) * slowdown, 0.99)
        for run in worker.runs.values():
            if run.step.lasting:
                run.load = round(IDLE_MS / (1 - utilization))

    async def simulate(self, seconds: float, settle: float = 5.0) -> None:
        """Poll all workers in turn.

        Args:
            seconds: Simulated time.
            settle: Time at the start that is left out of the results.
        """
        since: dict[str, float] = {}
        began_at = leases.steady_seconds()
        while leases.steady_seconds() - began_at < seconds:
            now = leases.steady_seconds()
            if now - began_at < settle:
                self.paces.clear()
            for worker, controller in zip(self.workers, self.controllers):
                self.measure(worker, now)
                name = worker.record.id
                tail = max(
                    run.load for run in worker.runs.values() if run.step.lasting
                )
                if tail < TARGET_MS or now - began_at < settle:
                    since.pop(name, None)
                over = now - since.setdefault(name, now)
                if tail >= TARGET_MS:
                    self.over[name] = max(self.over.get(name, 0.0), over)
                await controller.adjust()
            await trio.sleep(POLL_SECONDS)

    def mean_pace(self, image: str) -> float:
        """Return the mean pace of an image in percent."""
        paces = self.paces[image]
        return sum(paces) / len(paces)


class TestSimulation:

    async def test_tail_latencies_stay_below_their_targets(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = SimulatedCluster(
            ("sort", "sort"), ("scan", "scan"), ("scan",), ()
        )
        await cluster.simulate(60.0)
        assert max(cluster.over.values(), default=0.0) < BOUND_SECONDS / 2

    async def test_harmless_tasks_keep_their_pace(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = SimulatedCluster(
            ("sort", "sort"), ("scan", "scan"), ("scan",), ()
        )
        await cluster.simulate(60.0)
        assert cluster.mean_pace("scan") > 95
        # It runs faster while the load of callers is low.
        assert 10 < cluster.mean_pace("sort") < 90

    async def test_a_wave_of_load_is_not_mistaken_for_interference(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = SimulatedCluster(("scan", "scan"), ("scan",), ("scan",), ())
        await cluster.simulate(60.0)
        weight = cluster.owner.interference_model.weight("desk", "scan")
        # Below this slowdown, no task of the image is throttled.
        assert (
            weight * best_effort_step("scan").cpu / CPU
            < pacing.NEGLIGIBLE_SLOWDOWN
        )
        assert cluster.mean_pace("scan") == 100

    async def test_interference_is_learned_within_one_wave(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = SimulatedCluster(("sort",), ("scan",), ("scan",), ())
        await cluster.simulate(WAVE_SECONDS)
        assert cluster.owner.interference_model.weight("desk", "sort") > 2.5

    async def test_best_effort_tasks_stop_if_a_tail_latency_stays_too_high(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = SimulatedCluster(("scan", "scan"))
        # The slowdown can't be learned, because the step has no other task to
        # compare with.
        SLOWDOWN_WEIGHTS["scan"] = 8.0
        try:
            await cluster.simulate(30.0, settle=0.0)
        finally:
            SLOWDOWN_WEIGHTS["scan"] = 0.0
        assert max(cluster.over.values()) < BOUND_SECONDS


class TestPlacement:

    async def test_harmful_tasks_are_placed_on_another_worker(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = SimulatedCluster(("sort",), ("scan",), ("scan",), ())
        await cluster.simulate(40.0)
        mixed = cluster.workers[0]
        free = worker_state.Worker(
            fakes.FakeWorker("w9", CPU).record, mixed.client, 0.0
        )
        free.in_touch = True
        for image in ("sort", "scan"):
            chosen = placement.choose_worker(
                best_effort_step(image),
                [mixed, free],
                leases.steady_seconds(),
                cluster.owner.interference_model,
            )
            assert chosen is free

    def test_the_peak_of_the_wave_is_tolerable(self) -> None:
        assert (
            pacing.tolerable_slowdown(
                IDLE_MS / TARGET_MS, SimulatedCluster.load(2.5)
            )
            > 0
        )
