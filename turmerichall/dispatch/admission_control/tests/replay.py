"""Replay of submissions against admission control, without a network.

Tasks are placed in the order of `waiting_order` and run for their time on
simulated workers; callers retry as they are told, up to four times.
"""

from collections.abc import Callable
import heapq
from typing import NamedTuple

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import durations as run_durations
from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.admission_control import controller
from turmerichall.dispatch.admission_control import selection
from turmerichall.dispatch.forecasts import forecast
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.waiting_order import slack_order
from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands
from turmerichall.queues import state as states
from turmerichall.settings import queue_settings
from turmerichall.telemetry import lightweight_metrics

TICK_SECONDS = 0.05
MAX_RETRIES = 4

BATCH = configurations.Queue(
    "batch", "a.example", "/batch/", "desk", 2, 3, 2.0, 1000
)
URGENT = configurations.Queue(
    "urgent", "a.example", "/urgent/", "desk", 0, 3, 1.5, 250
)
# Two steps of 20 tasks, and two of 10, as in docs/design/hard-load.md.
BATCH_STEP = demands.StepDemand(20, 1800, 100, estimate_ms=1700, fills=True)
URGENT_STEP = demands.StepDemand(10, 1800, 100, estimate_ms=640)


def chain(step: demands.StepDemand, size: float = 1.0) -> demands.JobDemand:
    """Return a job of two equal steps, one after the other.

    Args:
        step: The step.
        size: Factor on the number of tasks.
    """
    count = round(step.count * size)
    first = demands.StepDemand(
        count, step.cpu, 100, estimate_ms=step.estimate_ms, fills=step.fills
    )
    second = demands.StepDemand(
        count,
        step.cpu,
        100,
        estimate_ms=step.estimate_ms,
        after=(0,),
        fills=step.fills,
    )
    return demands.JobDemand("", (first, second))


class Arrival(NamedTuple):
    """First submission of a job, at a time in seconds."""

    at: float
    job: str
    queue: configurations.Queue
    demand: demands.JobDemand
    zone: str = ""


class Fate(NamedTuple):
    """What became of a job.

    Attributes:
        arrival: Its first submission.
        seconds: Time from then to its end; infinite if it was refused.
        refused_at: Times at which it was refused.
    """

    arrival: Arrival
    seconds: float
    refused_at: tuple[float, ...]

    @property
    def value(self) -> float:
        """Value of the job: 1 on time, a seventh up to three times late."""
        seconds = self.arrival.demand.critical_path_ms() / 1000
        objective = self.arrival.queue.objective_seconds(seconds)
        if self.seconds <= objective:
            return 1.0
        return 1 / 7 if self.seconds <= 3 * objective else 0.0


class Replay:
    """A leader's admission and placement on simulated workers.

    Attributes:
        now: Current time in seconds.
        admission: The admission control.
        log: Log of the leader.
        metrics_registry: Metrics of the leader.
        free_shares: At each tick, the share of processors that were free.
    """

    def __init__(
        self, admission: str, workers: int = 20, order: str = "slack"
    ) -> None:
        self.now = 1000.0
        self.queue_state = states.QueueState()
        for queue in (BATCH, URGENT):
            self.queue_state.queues[queue.key] = queue
        self.backlog = backlogs.Backlog(self.queue_state)
        self.scheduling = queue_settings.Scheduling(order, False, admission)
        self.workers = [self._worker(i) for i in range(workers)]
        self._order = slack_order.SlackOrder(self.queue_state)
        self._running: list[tuple[float, int, worker_state.Worker]] = []
        self._runs: dict[int, run_state.Run] = {}
        self._number = 0
        self.elect()

    def elect(self) -> None:
        """Begin a term: admission control starts without any memory."""
        self.log = fakes.RecordingLog()
        self.metrics_registry = lightweight_metrics.MetricsRegistry()
        durations = run_durations.DurationEstimator()
        self.admission = selection.make_controller(
            self.scheduling,
            self.backlog,
            durations,
            forecast.Forecaster(durations),
            self.log,
            self.metrics_registry,
            lambda: round(self.now * 1000),
        )

    def _worker(self, number: int) -> worker_state.Worker:
        record = fakes.FakeWorker(f"w{number}", 16000).record
        self.queue_state.workers[record.id] = record
        worker = worker_state.Worker(
            record, None, 0.0  # type: ignore[arg-type]
        )
        worker.in_touch = True
        return worker

    def run(
        self,
        arrivals: list[Arrival],
        seconds: float,
        elect_at: float = float("inf"),
    ) -> dict[str, Fate]:
        """Return what becomes of jobs; times count from the replay's begin."""
        began_at = self.now
        calls = [(row.at, number) for number, row in enumerate(arrivals)]
        heapq.heapify(calls)
        refused: dict[str, list[float]] = {row.job: [] for row in arrivals}
        done: dict[str, float] = {}
        while self.now < began_at + seconds:
            at = self.now - began_at
            if at >= elect_at:
                self.elect()
                elect_at = float("inf")
            self._end_runs(done)
            while calls and calls[0][0] <= at:
                number = heapq.heappop(calls)[1]
                row = arrivals[number]
                retry_seconds = self.submit(row)
                if retry_seconds is not None:
                    refused[row.job].append(at)
                    if len(refused[row.job]) <= MAX_RETRIES:
                        heapq.heappush(calls, (at + retry_seconds, number))
            self._place()
            self.now += TICK_SECONDS
        return {
            row.job: Fate(
                row,
                done.get(row.job, float("inf")) - began_at - row.at,
                tuple(refused[row.job]),
            )
            for row in arrivals
        }

    def submit(self, row: Arrival) -> float | None:
        """Submit a job; return the time to retry after if it is refused."""
        refusal = self.admission.decide(
            controller.Submission(row.job, row.queue, row.demand, row.zone),
            self.workers,
            self.now,
        )
        if refusal is not None:
            assert refusal.retry_after_seconds is not None
            return refusal.retry_after_seconds
        now_ms = round(self.now * 1000)
        accepted = changes.AcceptJob(row.job, row.queue.key, row.demand, now_ms)
        self.queue_state.apply(0, changes.encode(accepted))
        self.backlog.add_job(self.queue_state.jobs[row.job], now_ms)
        return None

    def _end_runs(self, done: dict[str, float]) -> None:
        while self._running and self._running[0][0] <= self.now:
            _, number, worker = heapq.heappop(self._running)
            run = self._runs.pop(number)
            worker.remove(run)
            ended = changes.EndedRun(
                run.task, run.number, changes.Ending.DONE, ""
            )
            self.queue_state.apply(0, changes.encode(changes.EndRuns((ended,))))
            self.backlog.record_done(run.task)
            if not self.queue_state.jobs[run.task.job].open:
                self.backlog.drop_job(run.task.job)
                done[run.task.job] = self.now

    def _place(self) -> None:
        now_ms = round(self.now * 1000)
        for row in self._order.ranked(self.backlog.ready(), self.now, now_ms):
            group = row.group
            for worker in self.workers:
                while group.waiting and self._fits(worker, group.step):
                    self._start(worker, group)

    def _fits(
        self, worker: worker_state.Worker, step: demands.StepDemand
    ) -> bool:
        if step.fills:
            return worker.free_cpu() >= step.cpu
        return worker.has_room_for(step)

    def _start(
        self, worker: worker_state.Worker, group: backlogs.TaskGroup
    ) -> None:
        task = group.task(group.waiting.pop())
        run = run_state.Run(task, 1, group.step, group.job.queue)
        worker.add(run)
        started = changes.StartedRun(task, 1, worker.record.id)
        self.queue_state.apply(0, changes.encode(changes.StartRuns((started,))))
        self._number += 1
        self._runs[self._number] = run
        ends_at = self.now + group.step.estimate_ms / 1000
        heapq.heappush(self._running, (ends_at, self._number, worker))


def total(fates: dict[str, Fate], test: Callable[[Arrival], bool]) -> float:
    """Return the earned share of the value of the jobs that pass a test."""
    chosen = [fate for fate in fates.values() if test(fate.arrival)]
    works = [
        sum(step.count * step.cpu * step.estimate_ms for step in d.steps)
        for d in (fate.arrival.demand for fate in chosen)
    ]
    earned = sum(fate.value * work for fate, work in zip(chosen, works))
    return earned / sum(works)
