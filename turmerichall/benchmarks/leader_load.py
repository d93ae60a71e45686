"""Load of a large site on the leader's decisions, without a network.

A real `leadership.Leadership` is driven step by step over fakes: submissions,
placing rounds, answers of polls and ends of runs.  No task of trio runs, since
none of the fakes ever waits.  The time of each part excludes the time of the
parts that it calls.
"""

from collections.abc import Callable
import functools
import heapq
import itertools
import math
import random
from typing import Any
import unittest.mock

from turmerichall.benchmarks import leader_fakes
from turmerichall.dispatch import durations
from turmerichall.dispatch import freshness as freshnesses
from turmerichall.dispatch import interference_model as interference_models
from turmerichall.dispatch import leadership as leaderships
from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import run_state
from turmerichall.dispatch import session as sessions
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.admission_control import controller
from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands
from turmerichall.queues import state as states
from turmerichall.settings import queue_settings
from turmerichall.telemetry import lightweight_metrics

__all__ = ["Load", "PARTS", "measure_parts"]

# Simulated time at which a load begins; 0 stands for "not confirmed".
BEGIN_SECONDS = 100.0
# Time between two placing rounds: the leader waits 5 ms for more work, and a
# commit takes 10 ms or more.
ROUND_SECONDS = 0.025
POLL_SECONDS = 0.4
STOP_SECONDS = 0.3
WORKER_CPU = 64000
WORKER_MEMORY_MB = 256000
# Jobs by worker and second, of a site of 246 workers.
URGENT_RATE = 4.7 / 246
BATCH_RATE = 5.9 / 246
LASTING_WIDTH = 14
# Long-running jobs at the begin, by worker: they ask for 95 % of the cores.
LASTING_JOBS = 82 / 246
LASTING_IMAGES = 10
BATCH_IMAGES = 18
IDLE_MS = 10.0
TARGET_MS = 45
WARM_UP_SECONDS = 8.0
MEASURED_SECONDS = 4.0

# Parts of the decisions; `Load.wrap_parts` lists their functions.
PARTS = (
    "admission",
    "order",
    "workers",
    "placing",
    "preemption",
    "round",
    "starts",
    "tails",
    "pace",
    "stragglers",
    "ends",
    "closing",
)
# The fake agreement, which is no part of the decisions.
_COMMIT = "commit"


class Load:
    """A leader and the load of a site.

    Attributes:
        now: Simulated time on the steady clock.
        leadership: The leader's work.
        timers: Processor time by part.
        orders: All orders to workers.
        started: Number of starts among them.
    """

    def __init__(self, workers: int, seed: int = 1):
        self.now = BEGIN_SECONDS
        self.timers = leader_fakes.Timers()
        self.orders: list[leader_fakes.Order] = []
        self.started = 0
        self._random = random.Random(seed)
        self._workers = workers
        self._numbers = itertools.count()
        # Time, number, and what happens then.
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._queue_state = states.QueueState()
        self._replica = leader_fakes.Replica(self._queue_state)
        self._queues = tuple(
            configurations.Queue(name, "a.example", f"/{name}", "desk", number)
            for name, number in (("urgent", 0), ("batch", 2), ("lasting", 0))
        )
        self._replica.apply(
            changes.SetConfiguration(
                configurations.Configuration(
                    1, self._queues, (configurations.Service("desk"),)
                ),
                b"{}",
            )
        )
        for number in range(workers):
            record = changes.WorkerRecord(
                f"w{number:03}",
                "",
                f"w{number:03}:80",
                "desk",
                f"zone{number % 4}",
                f"r{number // 8}",
                (),
                WORKER_CPU,
                WORKER_MEMORY_MB,
                0,
            )
            self._replica.apply(changes.RegisterWorker(record))
        self.leadership = leaderships.Leadership(
            self._replica,  # type: ignore[arg-type]
            self._queue_state,
            1,
            lambda _: leader_fakes.Client(self.orders),  # type: ignore[arg-type,return-value]
            freshnesses.QuorumFreshness(self._replica),
            leader_fakes.NullLog(),
            durations.DurationEstimator(),
            interference_models.InterferenceModel(),
            lightweight_metrics.MetricsRegistry(),
            scheduling=queue_settings.Scheduling(order="remaining_work"),
        )
        setattr(self.leadership, "_nursery", self)
        setattr(self.leadership, "commit", self._replica.commit)
        setattr(
            self.leadership,
            "_end_commits",
            leader_fakes.EndCommits(self._replica),
        )
        self.planner = getattr(self.leadership, "_planner")
        self.leadership.registry.load(self)  # type: ignore[arg-type]
        self.wrap_parts()
        sessions_by_id = self.leadership.registry.sessions
        for number, session in enumerate(sessions_by_id.values()):
            session.worker.in_touch = True
            first_at = self.now + POLL_SECONDS * number / workers
            self._at(first_at, functools.partial(self._poll, session))
        for number in range(round(workers * LASTING_JOBS)):
            step = demands.StepDemand(
                LASTING_WIDTH,
                cpu=round(13000 * self._random.uniform(0.8, 1.2)),
                memory_mb=26000,
                lasting=True,
                image=f"lasting{number % LASTING_IMAGES}",
                target_ms=TARGET_MS,
            )
            self._at(
                self.now, functools.partial(self._submit, 2, (step,), None)
            )
        self._arrive(URGENT_RATE * workers, self._submit_urgent)
        self._arrive(BATCH_RATE * workers, self._submit_batch)

    def wrap_parts(self) -> None:
        """Count the time of the parts."""
        leadership, planner = self.leadership, self.planner
        for owner, method, part in (
            (leadership.job_requests.admission, "decide", "admission"),
            (leadership, "commit", _COMMIT),
            (leadership, "commit_ends", "ends"),
            (leadership, "_close_job", "closing"),
            (leadership, "_start_runs", "starts"),
            (leadership, "move_stragglers", "stragglers"),
            (planner, "plan", "round"),
            (planner, "_usable_workers", "workers"),
            (planner, "_plan_group", "placing"),
            (planner, "_choose_stops", "preemption"),
            (getattr(planner, "_order"), "ranked", "order"),
            (getattr(planner, "_zone_states"), "begin_round", "workers"),
        ):
            self.timers.wrap(owner, method, part)
        for session in leadership.registry.sessions.values():
            tails = getattr(session, "_tail_controller")
            self.timers.wrap(tails, "adjust", "tails")
            self.timers.wrap(tails, "pace", "pace")

    def _at(self, at: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), event))

    def _arrive(self, rate: float, submit: Callable[[], None]) -> None:
        """Have jobs arrive at a mean rate from now on."""
        at = self.now + self._random.expovariate(rate)

        def arrive() -> None:
            submit()
            self._arrive(rate, submit)

        self._at(at, arrive)

    def _submit(
        self,
        queue: int,
        steps: tuple[demands.StepDemand, ...],
        schedule: demands.Schedule | None,
    ) -> None:
        submission = controller.Submission(
            f"{next(self._numbers):016x}",
            self._queues[queue],
            demands.JobDemand("", steps, schedule),
        )
        job_id, its_queue, demand, _ = submission
        leadership = self.leadership
        refusal = leadership.job_requests.admission.decide(
            submission, leadership.workers.values(), self.now
        )
        if refusal is None:
            wall_ms = leaderships.wall_ms()
            self._replica.apply(
                changes.AcceptJob(job_id, its_queue.key, demand, wall_ms)
            )
            leadership.job_accepted(job_id)

    def _submit_urgent(self) -> None:
        steps = tuple(
            demands.StepDemand(
                10,
                cpu=round(11000 * self._random.uniform(0.6, 1.4)),
                memory_mb=22000,
                estimate_ms=640,
                after=(number - 1,) if number else (),
            )
            for number in range(self._random.choice((1, 1, 2, 2, 2)))
        )
        self._submit(0, steps, None)

    def _submit_batch(self) -> None:
        image = f"batch{self._random.randrange(BATCH_IMAGES)}"
        steps = tuple(
            demands.StepDemand(
                20,
                cpu=round(7000 * self._random.uniform(0.7, 1.3)),
                memory_mb=13000,
                estimate_ms=2200,
                after=(number - 1,) if number else (),
                checkpoints=True,
                image=image,
                fills=True,
            )
            for number in range(2)
        )
        self._submit(1, steps, None)

    def start_soon(self, function: Callable[..., Any], *args: Any) -> None:
        """Carry out an order, in place of a nursery."""
        session = getattr(function, "__self__")
        if function.__name__ in ("start", "stop"):
            run, worker = args[0], session.worker
            self.orders.append(
                (function.__name__, run.task, run.number, worker.record.id)
            )
        if function.__name__ == "start":
            self._start(session, args[0])
        elif function.__name__ == "stop":
            end = functools.partial(
                self._end, session.worker, args[0], changes.Ending.STOPPED
            )
            self._at(self.now + STOP_SECONDS, end)

    def _start(
        self, session: sessions.WorkerSession, run: run_state.Run
    ) -> None:
        run.phase = run_state.Phase.RUNNING
        run.sent_at = run.confirmed_at = self.now
        self.started += 1
        if run.step.lasting:
            return
        if run.step.fills:
            leader_fakes.finish(getattr(session, "_tail_controller").pace())
        seconds = run.step.estimate_ms / 1000 * self._random.uniform(0.7, 1.3)
        end = functools.partial(
            self._end, session.worker, run, changes.Ending.DONE
        )
        self._at(self.now + seconds, end)

    def _end(
        self,
        worker: worker_state.Worker,
        run: run_state.Run,
        ending: changes.Ending,
    ) -> None:
        """Report the end of a run."""
        if worker.runs.get(run.task) is not run:
            return
        with self.timers.part("ends"):
            if ending == changes.Ending.DONE:
                seconds = self.now - run.confirmed_at
                self.leadership.record_run_time(run, seconds)
                worker.breaker.record(True, self.now, run.task.job)
            row = changes.EndedRun(run.task, run.number, ending, "")
            leader_fakes.finish(self.leadership.commit_ends(worker, [row]))

    def _poll(self, session: sessions.WorkerSession) -> None:
        """Have a worker answer a poll."""
        worker = session.worker
        slowdown = 0.0
        for run in worker.runs.values():
            if run.step.fills:
                run.load = run.step.cpu * max(run.pace_percent, 0) // 100
                slowdown += run.load / WORKER_CPU * (len(run.step.image) % 2)
        for run in worker.runs.values():
            if run.step.lasting:
                phase = int(run.task.job, 16)
                wave = math.sin(math.tau * self.now / 14.0 + phase)
                busy = 0.42 * (1 + 0.6 * wave) * (1 + slowdown)
                run.load = round(IDLE_MS / max(1 - busy, 0.1))
                run.record_progress(100, self.now)
            elif run.confirmed_at:
                age_ms = 1000 * (self.now - run.confirmed_at)
                percent = int(100 * age_ms / run.step.estimate_ms)
                run.record_progress(min(percent, 99), self.now)
        leader_fakes.finish(getattr(session, "_tail_controller").adjust())
        self.leadership.move_stragglers(session)
        self._at(
            self.now + POLL_SECONDS, functools.partial(self._poll, session)
        )

    def run(self, seconds: float) -> None:
        """Advance the load."""
        until = self.now + seconds
        with (
            unittest.mock.patch.object(
                leases, "steady_seconds", lambda: self.now
            ),
            unittest.mock.patch.object(
                leaderships, "wall_ms", lambda: int(self.now * 1000)
            ),
        ):
            while self.now < until:
                self._play_round()

    def _play_round(self) -> None:
        round_at = self.now + ROUND_SECONDS
        while self._events[0][0] <= round_at:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = round_at
        planned = self.planner.plan(self.now, int(self.now * 1000))
        with self.timers.part("starts"):
            getattr(self.leadership, "_stop_for_urgent_tasks")()
            if planned:
                leader_fakes.finish(
                    getattr(self.leadership, "_start_runs")(planned)
                )


def measure_parts(workers: int, repeats: int = 2) -> dict[str, float]:
    """Return processor time in ms a started task, by part.

    Args:
        workers: Number of workers.
        repeats: Number of runs, of which the least time of each part counts.
    """
    least: dict[str, float] = {}
    for _ in range(repeats):
        load = Load(workers)
        load.run(WARM_UP_SECONDS)
        load.timers.seconds.clear()
        before = load.started
        load.run(MEASURED_SECONDS)
        started = max(load.started - before, 1)
        for part in PARTS:
            spent = load.timers.seconds[part] * 1000 / started
            least[part] = min(least.get(part, spent), spent)
    return least
