"""Replay of batch jobs on a number of slots, with a clock of its own."""

from collections.abc import Mapping
import math
import random
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
from turmerichall.queues import job as job_records
from turmerichall.queues import state as states
from turmerichall.settings import queue_settings

CPU = 1000
SLOTS = 100
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
        declared: Time in seconds that its caller declares for a task.
        cancel_at_ms: Time at which it is canceled; 0 if it isn't.
    """

    at_ms: int
    counts: tuple[int, ...]
    run_seconds: tuple[float, ...]
    declared: float
    cancel_at_ms: int = 0

    def demand(self) -> demands.JobDemand:
        """Return the job as its caller describes it."""
        declared_ms = round(self.declared * 1000)
        return demands.JobDemand(
            "",
            tuple(
                demands.StepDemand(
                    count, CPU, estimate_ms=declared_ms, after=after
                )
                for count, after in zip(
                    self.counts, [()] + [(n,) for n in range(9)]
                )
            ),
        )


class Replay:
    """A leader's waiting work on one worker with a number of slots.

    Attributes:
        finished_ms: Times at which jobs were completed, by id.
        starts: Tasks in the order of their starts, with the time.
    """

    def __init__(self, order: str):
        self.queue_state = states.QueueState()
        self.log = fakes.RecordingLog()
        fake = fakes.FakeWorker("w", SLOTS * CPU)
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
                    self._apply(
                        changes.AcceptJob(
                            job_id, QUEUE.key, job.demand(), now_ms
                        )
                    )
                    self.backlog.add_job(self.queue_state.jobs[job_id], now_ms)
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
            if state == job_records.JobState.COMPLETED:
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


class Burst(NamedTuple):
    """A drawn load of 30 s with a burst of 2.5 times for 4 s.

    Attributes:
        load: Load before and after the burst, as a share of the slots.
        sizes: Factors of the number of tasks, drawn with equal chance.
        error: Maximum error of declared times, as a share.
        slow_share: Share of runs that take seven times as long.
    """

    load: float = 1.0
    sizes: tuple[float, ...] = (1.0,)
    error: float = 0.0
    slow_share: float = 0.0

    def draw(self, seed: int) -> dict[str, ReplayedJob]:
        """Return jobs of two steps by id, from a seed."""
        draw = random.Random(seed)
        jobs: dict[str, ReplayedJob] = {}
        at = 0.0
        while at < 30.0:
            size = 20 * draw.choice(self.sizes)
            seconds = 1.7 * draw.uniform(0.6, 1.4)
            count = max(1, round(size * draw.uniform(0.7, 1.3)))
            run_seconds = tuple(
                seconds
                * draw.uniform(0.85, 1.15)
                * (7 if draw.random() < self.slow_share else 1)
                for _ in range(2 * count)
            )
            declared = seconds * (1 + self.error * draw.uniform(-1, 1))
            at_ms = round(at * 1000) // TICK_MS * TICK_MS
            jobs[f"j{len(jobs):03}"] = ReplayedJob(
                at_ms, (count, count), run_seconds, declared
            )
            rate = SLOTS * self.load * (2.5 if 8 <= at < 12 else 1)
            at += 2 * count * seconds / rate * draw.expovariate(1)
        return jobs


def replay(order: str, jobs: Mapping[str, ReplayedJob]) -> Replay:
    """Return a replay of jobs that has run for 90 s."""
    done = Replay(order)
    done.run(jobs, 90_000)
    return done


def largest(jobs: Mapping[str, ReplayedJob]) -> list[str]:
    """Return the ids of the largest tenth of jobs, by declared work."""
    names = sorted(
        jobs, key=lambda name: sum(jobs[name].counts) * jobs[name].declared
    )
    return names[-max(1, len(names) // 10) :]


def share(done: Replay, jobs: Mapping[str, ReplayedJob]) -> float:
    """Return the value that jobs earned, as a share of all their work.

    As callers count it: all of it within the objective, a seventh within three.
    """
    earned = total = 0.0
    for name, job in jobs.items():
        work = sum(job.counts) * sum(job.run_seconds) / len(job.run_seconds)
        total += work
        objective = QUEUE.objective_seconds(job.declared * len(job.counts))
        finished_ms = done.finished_ms.get(name, math.inf)
        lateness = (finished_ms - job.at_ms) / 1000 / objective
        earned += work * (1 if lateness <= 1 else lateness <= 3 and 1 / 7)
    return earned / total
