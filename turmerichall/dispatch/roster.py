"""Workers and runs as the leader knows them."""

import enum

from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import sensitivity as sensitivities
from turmerichall.dispatch import stragglers
from turmerichall.dispatch import suspicion as suspicions
from turmerichall.dispatch import worker_port
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

__all__ = ["Phase", "Run", "Worker"]

# Share of what a lasting task asks for that it is taken to use.
LASTING_USE = 0.5
UNKNOWN_PERCENT = -1
# A pace at which a run hardly gets on.
SMALL_PERCENT = 40
# Tail of a lasting task, as a share of its target, before any was measured.
UNKNOWN_TAIL = 0.5
# Share of the way from an earlier peak of a tail to a lower one, for each look.
TAIL_FADING = 0.15


class Phase(enum.Enum):
    """How far the leader got with a run."""

    # The start is not committed yet.
    PLANNED = "planned"
    # The start is committed; no answer of the worker yet.
    ORDERED = "ordered"
    RUNNING = "running"


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
        "begun_percent",
        "checkpoint",
        "confirmed_at",
        "load",
        "moved",
        "must",
        "number",
        "pace_percent",
        "phase",
        "progress_percent",
        "progressed_at",
        "queue",
        "refused_after_ms",
        "slowed_at",
        "step",
        "stopping",
        "task",
        "unheld_at",
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
        self.must = False
        self.pace_percent = 100
        self.load = 0
        self.progress_percent = 0
        self.begun_percent = -1
        self.progressed_at = 0.0
        self.slowed_at = -float("inf")
        self.unheld_at = 0.0
        self.checkpoint = ""

    def note_progress(self, percent: int, now: float) -> None:
        """Takes in the progress that the worker lists now."""
        if self.begun_percent < 0:
            self.begun_percent = percent
        if percent > self.progress_percent or not self.progressed_at:
            self.progressed_at = now
        if self.pace_percent < 100:
            self.slowed_at = now
        if self.pace_percent > SMALL_PERCENT or not self.unheld_at:
            self.unheld_at = now
        self.progress_percent = percent

    def progress(self, now: float) -> stragglers.Progress:
        """Returns how far it is."""
        return stragglers.Progress(
            now - self.confirmed_at,
            self.progress_percent,
            max(self.begun_percent, 0),
            now - self.progressed_at,
            now - self.slowed_at,
            0.0 if self.must else now - self.unheld_at,
            self.step.checkpoints,
        )

    def order(self) -> worker_port.Order:
        """Returns what names it towards the worker."""
        return worker_port.Order(self.task, self.number)


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
        cpu_used: Processors that these runs are taken to use.
        cpu_working: Processors that runs asked for that count and end.
        cpu_filled: Processors that filling runs asked for.
        memory_used: Memory of all runs, MB.
        gpu_used: Accelerators of all runs.
        lasting: Number of lasting runs.
        tails: Tail without filling runs as a share of its target, by image of
            the lasting runs: a peak that fades.
        heartbeat: Sequence of its last heartbeat.
    """

    def __init__(
        self,
        record: changes.WorkerRecord,
        port: worker_port.WorkerPort,
        term_began_at: float,
        draining: bool = False,
    ):
        self.record = record
        self.port = port
        self.lease = leases.Lease(term_began_at)
        self.draining = draining
        self.runs: dict[changes.TaskName, Run] = {}
        self.in_touch = False
        self.suspicion = suspicions.Suspicion()
        self.cpu_asked = 0
        self.cpu_used = 0.0
        self.cpu_working = 0
        self.cpu_filled = 0
        self.memory_used = 0
        self.gpu_used = 0
        self.lasting = 0
        self.tails: dict[str, float] = {}
        self.heartbeat = 0

    def add(self, run: Run) -> None:
        """Reserves what a run asks for."""
        self.runs[run.task] = run
        self._count(run.step, 1)

    def remove(self, run: Run) -> None:
        """Frees what a run asked for."""
        if self.runs.get(run.task) is run:
            del self.runs[run.task]
            self._count(run.step, -1)

    def _count(self, step: demands.StepDemand, sign: int) -> None:
        self.memory_used += sign * step.memory_mb
        self.gpu_used += sign * step.gpu
        if step.fills:
            self.cpu_filled += sign * step.cpu
            return
        self.cpu_asked += sign * step.cpu
        if step.lasting:
            self.lasting += sign
            self.cpu_used += sign * step.cpu * LASTING_USE
        else:
            self.cpu_working += sign * step.cpu
            self.cpu_used += sign * step.cpu

    def holds(self, step: demands.StepDemand) -> bool:
        """Tells whether what a task asks for is free here."""
        record = self.record
        if self.memory_used + step.memory_mb > record.memory_mb:
            return False
        if self.gpu_used + step.gpu > record.gpu:
            return False
        return step.fills or self.cpu_asked + step.cpu <= record.cpu

    def may_ever_hold(self, step: demands.StepDemand) -> bool:
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

    def lasting_images(self) -> set[str]:
        """Returns the images of its lasting runs."""
        return {
            run.step.image for run in self.runs.values() if run.step.lasting
        }

    def note_tail(self, image: str, ratio: float) -> None:
        """Takes in a tail without what filling runs add to it."""
        before = self.tails.get(image, ratio)
        self.tails[image] = max(ratio, before + TAIL_FADING * (ratio - before))

    def expected_tail(
        self,
        image: str,
        sensitivity: sensitivities.Sensitivity,
        extra: demands.StepDemand,
    ) -> float:
        """Returns the tail to expect, as a share of its target.

        Args:
            image: Image of lasting runs here.
            sensitivity: What filling images add.
            extra: A further filling task.
        """
        asked: dict[str, int] = {}
        for run in self.runs.values():
            if run.step.fills:
                name = run.step.image
                asked[name] = asked.get(name, 0) + run.step.cpu
        asked[extra.image] = asked.get(extra.image, 0) + extra.cpu
        expected = self.tails.get(image, UNKNOWN_TAIL)
        for filling, cpu in asked.items():
            weight = sensitivity.weight(image, filling)
            expected += weight * cpu / max(self.record.cpu, 1)
        return expected

    def rate(self, filling: bool) -> float:
        """Returns processors that tasks which end get here, or could get.

        Args:
            filling: Whether it is about tasks that fill.
        """
        if filling:
            return self.cpu_filled + max(self.free_cpu(), 0.0)
        return self.cpu_working + max(self.record.cpu - self.cpu_asked, 0)

    def free_cpu(self) -> float:
        """Returns processors that are taken to be unused."""
        return self.record.cpu - self.cpu_used - self.cpu_filled
