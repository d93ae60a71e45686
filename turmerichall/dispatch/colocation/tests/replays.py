"""Replay of best-effort runs beside long-running tasks, without a network.

Tail latencies are those of a queue with one server, of a load that rises and
falls for all tasks of a step.  The platform applies a pace 0.1 s after the
order, reports tail latencies over the last half second, and starts runs at full
pace.
"""

import collections
from collections.abc import Callable, Sequence
import random

import trio

from turmerichall.dispatch import interference_model as interference_models
from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import run_state
from turmerichall.dispatch import tail_latency_controller
from turmerichall.dispatch import worker_client
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.colocation import careful_policy
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_interference as interference
from turmerichall.queues import change as changes
from turmerichall.settings import queue_settings
from turmerichall.telemetry import logs

STEP_SECONDS = 0.1
TICKS_PER_POLL = 4
TAIL_STEPS = 5
RUN_SECONDS = 1.7
# Standard deviation of reported tail latencies, as a share of them.
TAIL_NOISE = 0.04


class Owner(interference.FakeOwner):
    """A leader with or without careful colocation."""

    def __init__(self, colocation: str) -> None:
        super().__init__()
        self.interference_model = interference_models.InterferenceModel(
            colocation == "careful"
        )
        self.colocation = careful_policy.make_policy(
            queue_settings.Scheduling(colocation=colocation),
            self.interference_model,
            self.metrics_registry,
            logs.Log("replay"),
        )

    def first_encounters(self) -> int:
        """Return the number of unknown pairs that were met."""
        return sum(
            family.samples[0].value
            for family in self.metrics_registry.metric_families()
            if family.name.endswith("first_encounters")
        )


class _Worker(fakes.FakeWorker):
    """A worker that applies paces late, and may not answer."""

    def __init__(self, name: str, loss: float) -> None:
        super().__init__(name, interference.CPU)
        self.loss = loss
        self.orders = 0
        self.random = random.Random(name)
        self.applied: dict[tuple[changes.TaskName, int], int] = {}
        self.pending: list[tuple[float, changes.TaskName, int, int]] = []

    async def pace(
        self, order: worker_client.Order, percent: int, token: int
    ) -> worker_client.OrderResult:
        """See `WorkerClient`."""
        self.orders += 1
        await trio.lowlevel.checkpoint()
        self.pending.append(
            (trio.current_time() + STEP_SECONDS, order.task, order.run, percent)
        )
        if self.random.random() < self.loss:
            return worker_client.OrderResult(fakes.Verdict.UNANSWERED)
        return worker_client.OrderResult(fakes.Verdict.DONE)

    def pace_of(self, run: run_state.Run) -> int:
        """Return the pace at which a run works, after orders that are due."""
        due = [row for row in self.pending if row[0] <= trio.current_time()]
        self.pending = self.pending[len(due) :]
        for _, task, number, percent in due:
            self.applied[(task, number)] = percent
        return self.applied.get((run.task, run.number), 100)


class Replay:
    """Workers with one long-running task each, and slots of best-effort runs.

    Attributes:
        over_seconds: Time for which tail latencies missed their targets.
        longest_over_seconds: Longest such time without a break.
        work_lost: Core seconds that best-effort runs lost by throttling.
    """

    def __init__(
        self,
        colocation: str,
        slots: Sequence[tuple[str, ...]],
        weights: dict[str, float],
        loss: float = 0.0,
        load: Callable[[float], float] = interference.SimulatedCluster.load,
        seed: int = 1,
    ):
        self.owner = Owner(colocation)
        self.weights = weights
        self.load = load
        self._random = random.Random(seed)
        self.over_seconds = 0.0
        self.longest_over_seconds = 0.0
        self.work_lost = 0.0
        self.workers = []
        self.numbers: dict[changes.TaskName, int] = {}
        self.done: dict[changes.TaskName, float] = {}
        for number, images in enumerate(slots):
            client = _Worker(f"w{number}", loss)
            worker = worker_state.Worker(client.record, client, 0.0)
            interference.SimulatedCluster.run(
                worker,
                interference.LONG_RUNNING_STEP,
                changes.TaskName("desk", 0, 0, number),
            )
            self.workers.append((worker, client, images))
        self.elect(colocation)
        self._tails = [interference.IDLE_MS for _ in self.workers]
        self._busy = [
            collections.deque[float](maxlen=TAIL_STEPS) for _ in self.workers
        ]
        self._over = [0.0 for _ in self.workers]

    @property
    def orders(self) -> int:
        """Number of pace orders that were sent."""
        return sum(client.orders for _, client, _ in self.workers)

    def elect(self, colocation: str) -> None:
        """Let another leader take over, which knows what is stored."""
        owner = Owner(colocation)
        owner.interference_model.restore(
            self.owner.interference_model.table(),
            self.owner.interference_model.strengths(),
        )
        self.owner = owner
        for worker, _, _ in self.workers:
            for run in worker.runs.values():
                run.pace_percent = run_state.UNKNOWN_PACE
        self.controllers = [
            tail_latency_controller.TailLatencyController(owner, worker)
            for worker, _, _ in self.workers
        ]

    def _replace_run(
        self, worker: worker_state.Worker, task: changes.TaskName, image: str
    ) -> None:
        """Start the next run of a slot, with full pace."""
        if task in worker.runs:
            worker.remove(worker.runs[task])
        self.numbers[task] = self.numbers.get(task, 0) + 1
        self.done[task] = 0.0
        run = run_state.Run(
            task, self.numbers[task], interference.best_effort_step(image), "q"
        )
        run.phase = run_state.Phase.RUNNING
        run.confirmed_at = max(leases.steady_seconds(), 0.001)
        worker.add(run)

    async def _advance(self, index: int, images: tuple[str, ...]) -> None:
        """Bring one worker up to date, a step of the simulated time later."""
        worker, client, _ = self.workers[index]
        now = leases.steady_seconds()
        slowdown = 1.0
        started = False
        for slot, image in enumerate(images):
            task = changes.TaskName(f"f{index}", 0, 0, slot)
            if self.done.get(task, RUN_SECONDS) >= RUN_SECONDS:
                self._replace_run(worker, task, image)
                started = True
            run = worker.runs[task]
            pace = client.pace_of(run) / 100
            share = run.step.cpu / interference.CPU * pace
            run.load = round(share * interference.CPU)
            slowdown += self.weights[image] * share
            self.done[task] += STEP_SECONDS * pace
            self.work_lost += STEP_SECONDS * run.step.cpu / 1000 * (1 - pace)
        busy = self._busy[index]
        busy.append(min(self.load(now) * slowdown, 0.99))
        tail = interference.IDLE_MS / (1 - sum(busy) / len(busy))
        self._tails[index] = tail
        if tail >= interference.TARGET_MS:
            self._over[index] += STEP_SECONDS
            self.over_seconds += STEP_SECONDS
            self.longest_over_seconds = max(
                self.longest_over_seconds, self._over[index]
            )
        else:
            self._over[index] = 0.0
        if started:
            await self.controllers[index].pace()

    async def run(self, seconds: float, warm_up_seconds: float = 0.0) -> None:
        """Run the replay for some simulated time.

        Args:
            seconds: Time for which there are best-effort runs.
            warm_up_seconds: Time before that.
        """
        warm_up = round(warm_up_seconds / STEP_SECONDS)
        for tick in range(warm_up + round(seconds / STEP_SECONDS)):
            for index, (worker, _, images) in enumerate(self.workers):
                await self._advance(index, images if tick >= warm_up else ())
                if tick % TICKS_PER_POLL != index % TICKS_PER_POLL:
                    continue
                for run in worker.runs.values():
                    if run.step.lasting:
                        noise = self._random.gauss(1.0, TAIL_NOISE)
                        run.load = round(self._tails[index] * noise)
                await self.controllers[index].adjust()
            await trio.sleep(STEP_SECONDS)

    def summary(self) -> str:
        """Return the results in a line."""
        return (
            f"over {self.over_seconds:.1f} s, longest "
            f"{self.longest_over_seconds:.1f} s, work lost "
            f"{self.work_lost:.0f} core s, {self.orders} orders"
        )
