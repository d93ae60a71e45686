"""Replay of batch jobs on a number of slots, with a clock of its own."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import durations as run_durations
from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.forecasts import forecast
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.waiting_order import selection
from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands
from turmerichall.queues import state as states
from turmerichall.settings import queue_settings

CPU = 1000
TICK_MS = 50
QUEUE = configurations.Queue(
    "batch",
    "a.example",
    "/jobs/",
    "desk",
    priority=2,
    stretch=2.0,
    target_latency_ms=1000,
)
CONFIGURATION = configurations.Configuration(
    1, (QUEUE,), (configurations.Service("desk"),)
)


class ReplayedJob(NamedTuple):
    """A job of a replay.

    Attributes:
        at_ms: Time of its arrival.
        counts: Number of tasks of each step; each step follows the one before.
        run_seconds: Run times of the tasks, which are used in turn.
        declared_seconds: What its caller declares for each task.
        cancel_at_ms: Time at which it is canceled; 0 if it isn't.
    """

    at_ms: int
    counts: tuple[int, ...]
    run_seconds: tuple[float, ...]
    declared_seconds: float
    cancel_at_ms: int = 0

    def demand(self) -> demands.JobDemand:
        """Return the job as its caller describes it."""
        return demands.JobDemand(
            "",
            tuple(
                demands.StepDemand(
                    count,
                    CPU,
                    estimate_ms=round(self.declared_seconds * 1000),
                    after=(number - 1,) if number else (),
                )
                for number, count in enumerate(self.counts)
            ),
        )


class Replay:
    """A leader's waiting work on one worker with a number of slots.

    Attributes:
        finished_ms: Times at which jobs were completed, by id.
        starts: Tasks in the order of their starts, with the time.
    """

    def __init__(self, order: str, slots: int):
        self.queue_state = states.QueueState()
        self.log = fakes.RecordingLog()
        fake = fakes.FakeWorker("w", slots * CPU)
        self.worker = worker_state.Worker(fake.record, fake, 0.0)
        self.worker.in_touch = True
        self.forecaster = forecast.Forecaster(run_durations.DurationEstimator())
        self.order = selection.make_order(
            queue_settings.Scheduling(order=order),
            self.queue_state,
            self.forecaster,
            {"w": self.worker},
            self.log,
        )
        self.backlog = backlogs.Backlog(self.queue_state)
        self.finished_ms: dict[str, int] = {}
        self.starts: list[tuple[int, changes.TaskName]] = []
        self._ends_ms: dict[changes.TaskName, int] = {}
        self._index = 0
        self._apply(changes.SetConfiguration(CONFIGURATION, b""))
        self._apply(changes.RegisterWorker(fake.record))

    def _apply(self, change: changes.Change) -> None:
        self._index += 1
        self.queue_state.apply(self._index, changes.encode(change))

    def run(self, jobs: Mapping[str, ReplayedJob], until_ms: int) -> None:
        """Replay jobs, by id, until a time or until all have ended."""
        for now_ms in range(0, until_ms, TICK_MS):
            self._end_runs(now_ms)
            for job_id, job in jobs.items():
                if now_ms <= job.at_ms < now_ms + TICK_MS:
                    change = changes.AcceptJob(
                        job_id, QUEUE.key, job.demand(), now_ms
                    )
                    self._apply(change)
                    accepted = self.queue_state.jobs[job_id]
                    self.backlog.add_job(accepted, now_ms)
                if job.cancel_at_ms and job.cancel_at_ms == now_ms:
                    self._cancel(job_id)
            self._start_runs(jobs, now_ms)

    def _cancel(self, job_id: str) -> None:
        self._apply(changes.CancelJob(job_id))
        self.backlog.drop_job(job_id)
        for run in list(self.worker.runs.values()):
            if run.task.job == job_id:
                self.worker.remove(run)
                del self._ends_ms[run.task]

    def _end_runs(self, now_ms: int) -> None:
        for task, end_ms in list(self._ends_ms.items()):
            if end_ms > now_ms:
                continue
            del self._ends_ms[task]
            run = self.worker.runs[task]
            seconds = now_ms / 1000 - run.confirmed_at
            self.forecaster.record(run, seconds)
            row = changes.EndedRun(task, run.number, changes.Ending.DONE, "")
            self._apply(changes.EndRuns((row,)))
            self.worker.remove(run)
            self.backlog.record_done(task)
            state = self.queue_state.jobs[task.job].state
            if state == states.JobState.COMPLETED:
                self.finished_ms[task.job] = now_ms

    def _start_runs(self, jobs: Mapping[str, ReplayedJob], now_ms: int) -> None:
        now = now_ms / 1000
        groups = self.backlog.ready()
        for _, _, group in self.order.ranked(groups, now, now_ms):
            for number in sorted(group.waiting):
                if not self.worker.has_room_for(group.step):
                    return
                task = group.task(number)
                run = run_state.Run(task, 1, group.step, QUEUE.key)
                run.confirmed_at = max(now, 0.001)
                self.worker.add(run)
                self._apply(
                    changes.StartRuns((changes.StartedRun(task, 1, "w"),))
                )
                group.waiting.discard(number)
                times = jobs[task.job].run_seconds
                seconds = times[(task.step * 7 + number) % len(times)]
                self._ends_ms[task] = now_ms + round(seconds * 1000)
                self.starts.append((now_ms, task))


def replay(
    order: str,
    slots: int,
    jobs: Mapping[str, ReplayedJob],
    until_ms: int = 90_000,
) -> Replay:
    """Return a replay of jobs that has run."""
    done = Replay(order, slots)
    done.run(jobs, until_ms)
    return done


def value(job: ReplayedJob, finished_ms: int | None) -> float:
    """Return the value of a job, as callers count it, from 0 to 1."""
    if finished_ms is None:
        return 0.0
    objective = QUEUE.objective_seconds(job.declared_seconds * len(job.counts))
    seconds = (finished_ms - job.at_ms) / 1000
    if seconds <= objective:
        return 1.0
    return 1 / 7 if seconds <= 3 * objective else 0.0


def share(
    done: Replay, jobs: Mapping[str, ReplayedJob], names: Sequence[str]
) -> float:
    """Return the value earned by some jobs as a share of all their work."""
    earned = total = 0.0
    for name in names:
        job = jobs[name]
        work = sum(job.counts) * sum(job.run_seconds) / len(job.run_seconds)
        earned += work * value(job, done.finished_ms.get(name))
        total += work
    return earned / total
