"""Replays of load that rises and falls beside filling tasks.

Workers here slow their lasting tasks as a queue with one server does: a tail is
`IDLE / (1 - load * slowdown)`, averaged over the last half second, where the
load is a wave that all tasks of a step share.
"""

import math

import trio
import trio.testing

from turmerichall.dispatch import interference_model as interference_models
from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import pacing
from turmerichall.dispatch import placement
from turmerichall.dispatch import service_load
from turmerichall.dispatch import tail_latency_controller
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

# Tests name the fixture as an argument: only then do they run on its clock.
# pylint: disable=unused-argument

IDLE_MS = 4.0
TARGET_MS = 18
WAVE_SECONDS = 10.0
LOOK_SECONDS = 0.4
CPU = 32000
# Bound of the platform on how long a tail may be over its target on end.
BOUND_SECONDS = 4.0
# By how much a whole worker of a filling image slows a lasting task.
SLOWDOWN_WEIGHTS = {"sort": 5.0, "scan": 0.0}

DESK = demands.StepDemand(
    3, cpu=6400, lasting=True, image="desk", target_ms=TARGET_MS
)


def filling(image: str) -> demands.StepDemand:
    return demands.StepDemand(1, cpu=3200, fills=True, image=image)


class FakeOwner:
    """Stands in for the leader.

    Attributes:
        fences: How often a newer term was met.
    """

    def __init__(self) -> None:
        self.token = 1
        self.interference_model = interference_models.InterferenceModel()
        self.load_tracker = service_load.LoadTracker()
        self.fences = 0

    def fenced(self, _: worker_state.Worker) -> None:
        """See `tail_keeper.Owner`."""
        self.fences += 1


class SimulatedCluster:
    """Workers with one lasting task of a step each, and filling tasks.

    Attributes:
        over: For how long each worker's tail was over its target at most, on
            end, in seconds.
        worked: Share of its full pace that each filling image worked.
    """

    def __init__(self, *images: tuple[str, ...]):
        self.owner = FakeOwner()
        self.workers: list[worker_state.Worker] = []
        self.controllers: list[
            tail_latency_controller.TailLatencyController
        ] = []
        self.over: dict[str, float] = {}
        self.worked: dict[str, list[float]] = {}
        for number, names in enumerate(images):
            client = fakes.FakeWorker(f"w{number}", CPU)
            worker = worker_state.Worker(client.record, client, 0.0)
            worker.in_touch = True
            self.run(worker, DESK, changes.TaskName("desk", 0, 0, number))
            for index, image in enumerate(names):
                task = changes.TaskName(f"f{number}", 0, 0, index)
                self.run(worker, filling(image), task)
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
        """Adds a run that is under way."""
        run = worker_state.Run(task, 1, step, "q")
        run.phase = worker_state.Phase.RUNNING
        run.confirmed_at = 0.001
        run.progress_percent = 100
        worker.add(run)

    @staticmethod
    def load(now: float) -> float:
        """Returns the share of time in use without neighbours."""
        return 0.42 * (1 + 0.5 * math.sin(2 * math.pi * now / WAVE_SECONDS))

    def measure(self, worker: worker_state.Worker, now: float) -> None:
        """Sets the figures that a look would bring."""
        slowdown = 1.0
        for run in worker.runs.values():
            if run.step.fills:
                share = run.step.cpu / CPU * run.pace_percent / 100
                run.load = round(share * CPU)
                slowdown += SLOWDOWN_WEIGHTS[run.step.image] * share
                name = run.step.image
                self.worked.setdefault(name, []).append(run.pace_percent)
        utilization = min(self.load(now - 0.25) * slowdown, 0.99)
        for run in worker.runs.values():
            if run.step.lasting:
                run.load = round(IDLE_MS / (1 - utilization))

    async def simulate(self, seconds: float, settle: float = 5.0) -> None:
        """Looks at all workers in turn; the first seconds don't count."""
        since: dict[str, float] = {}
        begun = leases.steady_seconds()
        while leases.steady_seconds() - begun < seconds:
            now = leases.steady_seconds()
            if now - begun < settle:
                self.worked.clear()
            for worker, controller in zip(self.workers, self.controllers):
                self.measure(worker, now)
                name = worker.record.id
                tail = max(
                    run.load for run in worker.runs.values() if run.step.lasting
                )
                if tail < TARGET_MS or now - begun < settle:
                    since.pop(name, None)
                over = now - since.setdefault(name, now)
                if tail >= TARGET_MS:
                    self.over[name] = max(self.over.get(name, 0.0), over)
                await controller.adjust()
            await trio.sleep(LOOK_SECONDS)

    def mean_pace(self, image: str) -> float:
        """Returns the mean pace of an image, percent."""
        paces = self.worked[image]
        return sum(paces) / len(paces)


class TestReplay:

    async def test_tails_stay_below_their_targets(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = SimulatedCluster(
            ("sort", "sort"), ("scan", "scan"), ("scan",), ()
        )
        await cluster.simulate(60.0)
        assert max(cluster.over.values(), default=0.0) < BOUND_SECONDS / 2

    async def test_harmless_work_keeps_its_pace(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = SimulatedCluster(
            ("sort", "sort"), ("scan", "scan"), ("scan",), ()
        )
        await cluster.simulate(60.0)
        assert cluster.mean_pace("scan") > 95
        # It works while callers are few.
        assert 10 < cluster.mean_pace("sort") < 90

    async def test_the_wave_itself_is_not_taken_for_interference(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = SimulatedCluster(("scan", "scan"), ("scan",), ("scan",), ())
        await cluster.simulate(60.0)
        weight = cluster.owner.interference_model.weight("desk", "scan")
        # So that no task of the image is held back.
        assert weight * filling("scan").cpu / CPU < pacing.NEGLIGIBLE_SLOWDOWN
        assert cluster.mean_pace("scan") == 100

    async def test_what_harms_is_learnt_within_a_wave(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = SimulatedCluster(("sort",), ("scan",), ("scan",), ())
        await cluster.simulate(WAVE_SECONDS)
        assert cluster.owner.interference_model.weight("desk", "sort") > 2.5

    async def test_all_stops_where_a_tail_stays_over_its_target(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = SimulatedCluster(("scan", "scan"))
        # An image whose harm was never learnt: nothing to compare with.
        SLOWDOWN_WEIGHTS["scan"] = 8.0
        try:
            await cluster.simulate(30.0, settle=0.0)
        finally:
            SLOWDOWN_WEIGHTS["scan"] = 0.0
        assert max(cluster.over.values()) < BOUND_SECONDS


class TestPlacement:

    async def test_harmful_work_goes_elsewhere(
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
                filling(image),
                [mixed, free],
                leases.steady_seconds(),
                cluster.owner.interference_model,
            )
            assert chosen is free

    def test_room_for_the_peak_is_bearable(self) -> None:
        assert (
            pacing.tolerable_slowdown(
                IDLE_MS / TARGET_MS, SimulatedCluster.load(2.5)
            )
            > 0
        )
