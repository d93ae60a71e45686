"""Workers and runs as the leader knows them."""

import enum
from typing import NamedTuple

from turmerichall.dispatch import circuit_breaker as circuit_breakers
from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import service_load
from turmerichall.dispatch import stragglers
from turmerichall.dispatch import worker_client
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

__all__ = ["Neighbour", "Phase", "Run", "Worker"]

# Share of what a lasting task asks for that it is taken to use until its load
# is known.
ASSUMED_LONG_RUNNING_USE = 0.5
UNKNOWN_PACE = -1
# A pace at which a run hardly gets on.
LOW_PACE_PERCENT = 40
# Tail of an idle lasting task, as a share of its target, before any was seen.
DEFAULT_IDLE_TAIL = 0.25


class Phase(enum.Enum):
    """How far the leader got with a run."""

    # The start is not committed yet.
    PLANNED = "planned"
    # The start is committed; no answer of the worker yet.
    ORDERED = "ordered"
    RUNNING = "running"


class Neighbour(NamedTuple):
    """The lasting runs of one step on a worker, to a filling task there.

    Attributes:
        image: Their image.
        idle: Tail without load and neighbours, as a share of the target.
        outlook: The load to expect.
    """

    image: str
    idle_tail: float = DEFAULT_IDLE_TAIL
    forecast: service_load.LoadForecast = service_load.DEFAULT_FORECAST


class Run:
    """One run on one worker.

    Attributes:
        task: The task.
        number: Number of the start.
        step: What the task asks for.
        queue: Key of its queue.
        phase: How far it got.
        refused_after_ms: Time on the worker's clock after which a start that
            was sent is refused.
        confirmed_at: When the worker was first known to run it, steady
            seconds.
        stopping: Whether it was asked to stop, or is to be.
        must: Whether it was placed though it raises a tail, for its job has
            nothing else under way.
        moved: Whether that is because it would finish sooner elsewhere.
        pace_percent: Share of its speed that it was last set to, or
            `UNKNOWN_PERCENT`.
        load: Last figure of the worker: tail in ms or processors in use.
        progress_percent: Last progress listed.
        begun_percent: Progress when it was first listed; -1 before.
        progressed_at: When its progress last grew, steady seconds.
        slowed_at: When it was last not at full pace, steady seconds.
        unheld_at: When it last had more than a small pace, steady seconds.
        checkpoint: Last saved progress listed.
    """

    __slots__ = (
        "checkpoint",
        "confirmed_at",
        "forced",
        "initial_percent",
        "last_slowed_at",
        "last_unthrottled_at",
        "load",
        "moved",
        "number",
        "pace_percent",
        "phase",
        "progress_percent",
        "progressed_at",
        "queue",
        "refused_after_ms",
        "step",
        "stopping",
        "task",
    )

    def __init__(
        self,
        task: changes.TaskName,
        number: int,
        step: demands.StepDemand,
        queue: str,
    ):
        self.task = task
        self.number = number
        self.step = step
        self.queue = queue
        self.phase = Phase.PLANNED
        self.refused_after_ms = 0
        self.confirmed_at = 0.0
        self.stopping = False
        self.moved = False
        self.forced = False
        self.pace_percent = 100
        self.load = 0
        self.progress_percent = 0
        self.initial_percent = -1
        self.progressed_at = 0.0
        self.last_slowed_at = -float("inf")
        self.last_unthrottled_at = 0.0
        self.checkpoint = ""

    def record_progress(self, percent: int, now: float) -> None:
        """Takes in the progress that the worker lists now."""
        if self.initial_percent < 0:
            self.initial_percent = percent
        if percent > self.progress_percent or not self.progressed_at:
            self.progressed_at = now
        if self.pace_percent < 100:
            self.last_slowed_at = now
        if self.pace_percent > LOW_PACE_PERCENT or not self.last_unthrottled_at:
            self.last_unthrottled_at = now
        self.progress_percent = percent

    def progress(self, now: float) -> stragglers.Progress:
        """Returns how far it is."""
        return stragglers.Progress(
            now - self.confirmed_at,
            self.progress_percent,
            max(self.initial_percent, 0),
            now - self.progressed_at,
            now - self.last_slowed_at,
            0.0 if self.forced else now - self.last_unthrottled_at,
            self.step.checkpoints,
        )

    def order(self) -> worker_client.Order:
        """Returns what names it towards the worker."""
        return worker_client.Order(self.task, self.number)


class Worker:
    """One life of a worker.

    Attributes:
        record: What it told of itself.
        port: How to reach it.
        lease: Its lease.
        draining: Whether it is about to leave.
        runs: Runs by task, from planned until their end is committed.
        in_touch: Whether it answered the last look.
        suspicion: How far it can be trusted.
        cpu_asked: Processors that runs asked for and that count.
        lasting_load: Processors that lasting runs are taken to use soon.
        cpu_working: Processors that runs asked for that count and end.
        cpu_filled: Processors that filling runs asked for.
        memory_used: Memory of all runs, MB.
        gpu_used: Accelerators of all runs.
        lasting: Number of lasting runs.
        neighbours: Lasting runs that a filling task would disturb, by job,
            occurrence and step.
        filled: Processors that filling runs asked for, by image.
        heartbeat: Sequence of its last heartbeat.
    """

    def __init__(
        self,
        record: changes.WorkerRecord,
        client: worker_client.WorkerClient,
        term_began_at: float,
        draining: bool = False,
    ):
        self.record = record
        self.client = client
        self.lease = leases.Lease(term_began_at)
        self.draining = draining
        self.runs: dict[changes.TaskName, Run] = {}
        self.in_touch = False
        self.breaker = circuit_breakers.CircuitBreaker()
        self.cpu_asked = 0
        self.long_running_load = 0.0
        self.cpu_batch = 0
        self.cpu_best_effort = 0
        self.memory_used = 0
        self.gpu_used = 0
        self.lasting = 0
        self.neighbours: dict[tuple[str, int, int], Neighbour] = {}
        self.best_effort_cpu: dict[str, int] = {}
        self.heartbeat = 0

    def add(self, run: Run) -> None:
        """Reserves what a run asks for."""
        self.runs[run.task] = run
        self._count(run.step, 1)
        if run.step.lasting and run.step.target_ms:
            key = run.task[:3]
            self.neighbours.setdefault(key, Neighbour(run.step.image))

    def remove(self, run: Run) -> None:
        """Frees what a run asked for."""
        if self.runs.get(run.task) is run:
            del self.runs[run.task]
            self._count(run.step, -1)
            if run.step.lasting:
                self._forget_neighbour(run.task[:3])

    def _forget_neighbour(self, step: tuple[str, int, int]) -> None:
        if not any(task[:3] == step for task in self.runs):
            self.neighbours.pop(step, None)

    def _count(self, step: demands.StepDemand, sign: int) -> None:
        self.memory_used += sign * step.memory_mb
        self.gpu_used += sign * step.gpu
        if step.fills:
            self.cpu_best_effort += sign * step.cpu
            best_effort_cpu = (
                self.best_effort_cpu.get(step.image, 0) + sign * step.cpu
            )
            if best_effort_cpu > 0:
                self.best_effort_cpu[step.image] = best_effort_cpu
            else:
                self.best_effort_cpu.pop(step.image, None)
            return
        self.cpu_asked += sign * step.cpu
        if step.lasting:
            self.lasting += sign
            self.long_running_load += sign * step.cpu * ASSUMED_LONG_RUNNING_USE
        else:
            self.cpu_batch += sign * step.cpu

    def has_room_for(self, step: demands.StepDemand) -> bool:
        """Tells whether what a task asks for is free here."""
        record = self.record
        if self.memory_used + step.memory_mb > record.memory_mb:
            return False
        if self.gpu_used + step.gpu > record.gpu:
            return False
        return step.fills or self.cpu_asked + step.cpu <= record.cpu

    def could_ever_run(self, step: demands.StepDemand) -> bool:
        """Tells whether an empty worker like this one could run a task."""
        record = self.record
        return (
            step.memory_mb <= record.memory_mb
            and step.gpu <= record.gpu
            and step.cpu <= record.cpu
            and self.has_label(step)
        )

    def has_label(self, step: demands.StepDemand) -> bool:
        """Tells whether it has the label that a step requires, if any."""
        label = step.required_label
        return not label or label in self.record.labels

    def obtainable_cpu(self, best_effort: bool) -> float:
        """Returns processors that tasks which end get here, or could get.

        Args:
            filling: Whether it is about tasks that fill.
        """
        if best_effort:
            return self.cpu_best_effort + max(self.free_cpu(), 0.0)
        return self.cpu_batch + max(self.record.cpu - self.cpu_asked, 0)

    def free_cpu(self) -> float:
        """Returns processors that are taken to be unused."""
        used = self.long_running_load + self.cpu_batch + self.cpu_best_effort
        return self.record.cpu - used
