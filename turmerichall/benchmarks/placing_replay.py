"""Replay of loads against the planner, without a network."""

from collections.abc import Callable, Iterable, Sequence
import time

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import durations
from turmerichall.dispatch import interference_model as interference_models
from turmerichall.dispatch import planner as planners
from turmerichall.dispatch import run_state
from turmerichall.dispatch import ticket_cache as ticket_caches
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.forecasts import forecast
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands
from turmerichall.queues import state as states
from turmerichall.settings import queue_settings
from turmerichall.telemetry import lightweight_metrics

ROUND_SECONDS = 0.05
# Simulated time at which a replay begins; 0 stands for "not confirmed".
BEGIN_SECONDS = 100.0
STOP_SECONDS = 0.4
URGENT = "a.example/urgent"
BATCH = "a.example/batch"


def make_workers(
    count: int, cpu: int = 8000, per_rack: int = 4
) -> list[worker_state.Worker]:
    """Return workers in touch without runs."""
    workers = []
    for number in range(count):
        fake = fakes.FakeWorker(f"w{number:03}", cpu)
        record = fake.record._replace(rack=f"r{number // per_rack}")
        worker = worker_state.Worker(record, fake, 0.0)
        worker.in_touch = True
        workers.append(worker)
    return workers


class GrowingForecaster(forecast.Forecaster):
    """Forecasts in which a run that outlives its forecast has time left."""

    def remaining(self, run: run_state.Run, now: float) -> forecast.RunForecast:
        """See `forecast.Forecaster`."""
        left = super().remaining(run, now)
        if left.typical_seconds > 0:
            return left
        over = now - run.confirmed_at - run.step.estimate_ms / 1000
        return forecast.RunForecast(max(over, 0.05), max(2 * over, 0.1))


class Replay:
    """A planner, its workers, and runs that end at their time.

    Attributes:
        now: Simulated time on the steady clock.
        starts: Job, time and worker of each start.
        done_at: Time at which jobs were done, by id.
        planning_seconds: Processor time of all placing rounds.
        seconds_of: Actual run time of a task; by default the estimate.
    """

    def __init__(
        self,
        workers: Iterable[worker_state.Worker],
        backfill: bool,
    ):
        self.now = BEGIN_SECONDS
        self.queue_state = states.QueueState()
        queues = tuple(
            configurations.Queue(
                key.split("/")[1],
                "a.example",
                "/" + key.split("/")[1],
                "desk",
                priority,
            )
            for key, priority in ((URGENT, 0), (BATCH, 2))
        )
        self.apply(
            changes.SetConfiguration(
                configurations.Configuration(
                    1, queues, (configurations.Service("desk"),)
                ),
                b"{}",
            )
        )
        self.workers = {each.record.id: each for each in workers}
        for worker in self.workers.values():
            self.apply(changes.RegisterWorker(worker.record))
        self.backlog = backlogs.Backlog(self.queue_state)
        self.log = fakes.RecordingLog()
        self.metrics = lightweight_metrics.MetricsRegistry()
        self.forecaster = GrowingForecaster(durations.DurationEstimator())
        self.planner = planners.Planner(
            self.metrics,
            self.backlog,
            self.workers,
            interference_models.InterferenceModel(),
            ticket_caches.TicketCache(None, self.log, self.metrics),
            self.log,
            queue_settings.Scheduling(backfill=backfill),
            self.forecaster,
        )
        self.arrivals: list[tuple[float, str, str, demands.StepDemand]] = []
        self.starts: list[tuple[str, float, str]] = []
        self.done_at: dict[str, float] = {}
        self.planning_seconds = 0.0
        self.seconds_of: Callable[[changes.TaskName, demands.StepDemand], float]
        self.seconds_of = lambda _, step: step.estimate_ms / 1000
        self._ends: list[tuple[float, worker_state.Worker, run_state.Run]] = []

    def apply(self, change: changes.Change) -> None:
        """Apply a change as if it were committed."""
        self.queue_state.apply(0, changes.encode(change))

    def submit(
        self,
        job: str,
        queue: str,
        step: demands.StepDemand,
        after_seconds: float = 0.0,
    ) -> None:
        """Have a job of one step arrive some time after the begin."""
        self.arrivals.append((BEGIN_SECONDS + after_seconds, job, queue, step))

    def cancel(self, job: str) -> None:
        """Cancel a job; its runs go on to their end."""
        self.apply(changes.CancelJob(job))
        self.backlog.drop_job(job)

    def run(self, seconds: float) -> None:
        """Advance the replay."""
        until = self.now + seconds
        while self.now < until:
            self.step()

    def step(self) -> planners.PlannedRuns:
        """Play one placing round, and return what it planned."""
        self.now += ROUND_SECONDS
        now_ms = int(self.now * 1000)
        self._end_runs()
        due = [row for row in self.arrivals if row[0] <= self.now]
        self.arrivals = [row for row in self.arrivals if row[0] > self.now]
        for _, job, queue, step in due:
            demand = demands.JobDemand("", (step,))
            self.apply(changes.AcceptJob(job, queue, demand, now_ms))
            self.backlog.add_job(self.queue_state.jobs[job], now_ms)
        began = time.process_time()
        planned = self.planner.plan(self.now, now_ms)
        self.planning_seconds += time.process_time() - began
        rows = []
        for worker, run in planned:
            rows.append(
                changes.StartedRun(run.task, run.number, worker.record.id)
            )
            run.phase = run_state.Phase.RUNNING
            run.confirmed_at = self.now
            self.starts.append((run.task.job, self.now, worker.record.id))
            seconds = self.seconds_of(run.task, run.step)
            if run.step.lasting:
                seconds = float("inf")
            self._ends.append((self.now + seconds, worker, run))
        self.apply(changes.StartRuns(tuple(rows)))
        for stop in self.planner.stops:
            stop.run.stopping = stop.run.preempted = True
            self._ends.append((self.now + STOP_SECONDS, stop.worker, stop.run))
        return planned

    def _end_runs(self) -> None:
        """End the runs whose time has come."""
        due = [row for row in self._ends if row[0] <= self.now]
        self._ends = [row for row in self._ends if row[0] > self.now]
        for _, worker, run in due:
            if worker.runs.get(run.task) is not run:
                continue
            ending = changes.Ending.DONE
            if run.stopping:
                ending = changes.Ending.STOPPED
            ended = changes.EndedRun(run.task, run.number, ending, "")
            self.apply(changes.EndRuns((ended,)))
            worker.remove(run)
            if run.stopping:
                self.backlog.requeue(run.task)
                self.backlog.pause(run.task, self.now)
                continue
            self.forecaster.record(run, self.now - run.confirmed_at)
            if self.backlog.record_done(run.task):
                self.done_at[run.task.job] = self.now

    def started_at(self, job: str) -> float:
        """Return the time from the begin to a job's first start."""
        times = [at for name, at, _ in self.starts if name == job]
        return min(times, default=float("inf")) - BEGIN_SECONDS


def stream(
    replay: Replay,
    step: demands.StepDemand,
    interval_seconds: float,
    seconds: float,
    queue: str = BATCH,
    name: str = "s",
) -> Sequence[str]:
    """Submit one job after the other, and return their ids."""
    jobs = []
    for number in range(int(seconds / interval_seconds)):
        job = f"{name}{number:04}"
        replay.submit(job, queue, step, number * interval_seconds)
        jobs.append(job)
    return jobs
