"""Preemption of long-running tasks for urgent tasks that find no room.

Answers a load in which long-running jobs come first and hold nearly all
processors, and small urgent jobs come later.  An urgent task needs a worker's
processors for a second or so, and its job is worthless soon after; a
long-running task that pauses for that time loses only that time.  So runs of
long-running tasks are stopped where a waiting urgent task needs least beyond
what is free, and are restarted once the urgent tasks are done.
"""

from collections.abc import Callable, Iterable, Sequence
import heapq
from typing import NamedTuple

from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_state
from turmerichall.queues import demand as demands

__all__ = ["MayStop", "Stop", "WaitingTasks", "choose_stops"]

# Maximum number of tasks for which room is made in one placing round, which
# bounds the time that the round takes.
MAX_TASKS_PER_ROUND = 64
# A run younger than this is not stopped: its start-up would be wasted.
MIN_RUN_SECONDS = 2.0

MayStop = Callable[[run_state.Run], bool]


class WaitingTasks(NamedTuple):
    """Urgent tasks of one step that found no room.

    Attributes:
        job: Id of their job.
        step: The step.
        waiting: Number of waiting tasks.
        siblings: Number of running tasks of the step on each worker, by id.
    """

    job: str
    step: demands.StepDemand
    waiting: int
    siblings: dict[str, int]


class Stop(NamedTuple):
    """A long-running run to be stopped.

    Attributes:
        worker: The worker on which it runs.
        run: The run.
        urgent_job: Id of the job for which it is stopped.
    """

    worker: worker_state.Worker
    run: run_state.Run
    urgent_job: str


class _Room:
    """Room on one worker, including what stopping runs will free.

    Attributes:
        worker: The worker.
        cpu: Processors that no run asks for, in thousandths of a core.
        memory_mb: Memory that no run asks for.
    """

    __slots__ = ("_candidates", "_now", "cpu", "memory_mb", "worker")

    def __init__(self, worker: worker_state.Worker, now: float):
        self.worker = worker
        self.cpu = worker.capacity.cpu - worker.cpu_reserved
        self.memory_mb = worker.capacity.memory_mb - worker.memory_reserved
        self._now = now
        self._candidates: list[run_state.Run] | None = None
        for run in worker.runs.values():
            if run.stopping:
                if not run.step.fills:
                    self.cpu += run.step.cpu
                self.memory_mb += run.step.memory_mb

    @property
    def candidates(self) -> list[run_state.Run]:
        """Long-running runs that may be stopped, the preferred ones first.

        They are found when they are first needed: mostly, earlier stops have
        made enough room for all that waits.
        """
        if self._candidates is None:
            self._candidates = self._find_candidates()
        return self._candidates

    def _find_candidates(self) -> list[run_state.Run]:
        candidates = [
            run
            for run in self.worker.runs.values()
            if run.step.lasting
            and not run.stopping
            and run.phase == run_state.Phase.RUNNING
            and self._now - run.confirmed_at >= MIN_RUN_SECONDS
        ]
        # Workers with few images have room for more kinds of best-effort tasks,
        # so images of which the worker runs little go first.
        cpu_by_image: dict[str, int] = {}
        for run in candidates:
            image = run.step.image
            cpu_by_image[image] = cpu_by_image.get(image, 0) + run.step.cpu
        candidates.sort(
            key=lambda run: (cpu_by_image[run.step.image], run.step.cpu)
        )
        return candidates

    def fits(self, step: demands.StepDemand) -> bool:
        """Return whether a task fits into the room."""
        return self.cpu >= step.cpu and self.memory_mb >= step.memory_mb

    def free(self, run: run_state.Run) -> None:
        """Count the resources of a run that is going to be stopped."""
        self.candidates.remove(run)
        self.cpu += run.step.cpu
        self.memory_mb += run.step.memory_mb

    def claim(self, step: demands.StepDemand) -> None:
        """Take the room for a task."""
        self.cpu -= step.cpu
        self.memory_mb -= step.memory_mb

    def cheapest(
        self, step: demands.StepDemand, may_stop: MayStop
    ) -> list[run_state.Run]:
        """Return the runs to stop so that a task fits; empty if none do.

        The first run that frees enough alone is chosen; where none does, the
        largest runs are, until they free enough.
        """
        chosen: list[run_state.Run] = []
        cpu = step.cpu - self.cpu
        memory_mb = step.memory_mb - self.memory_mb
        for run in self.candidates:
            if run.step.cpu >= cpu and run.step.memory_mb >= memory_mb:
                if may_stop(run):
                    return [run]
        for run in sorted(
            self.candidates, key=lambda run: run.step.cpu, reverse=True
        ):
            if not may_stop(run):
                continue
            chosen.append(run)
            cpu -= run.step.cpu
            memory_mb -= run.step.memory_mb
            if cpu <= 0 and memory_mb <= 0:
                return chosen
        return []


def choose_stops(
    waiting: Sequence[WaitingTasks],
    workers: Iterable[worker_state.Worker],
    now: float,
    may_stop: MayStop,
) -> list[Stop]:
    """Return the runs of long-running tasks to stop for urgent tasks.

    Room that runs already being stopped will free is counted first, so calling
    this again while they end stops nothing more.

    Args:
        waiting: Urgent tasks without room, the most urgent first.
        workers: The workers of their service.
        now: Current time on the steady clock.
        may_stop: Whether a run may be stopped, as far as its job allows.
    """
    rooms = [
        _Room(worker, now)
        for worker in workers
        if worker.in_touch
        and not worker.draining
        and worker.breaker.allows(now)
    ]
    stops: list[Stop] = []
    left = MAX_TASKS_PER_ROUND
    for tasks in waiting:
        count = min(tasks.waiting, left)
        left -= count
        stops += _stops_for_step(tasks, count, rooms, may_stop)
        if not left:
            break
    return stops


def _stops_for_step(
    tasks: WaitingTasks, count: int, rooms: list[_Room], may_stop: MayStop
) -> list[Stop]:
    """Return the stops that make room for some tasks of one step.

    Tasks for which stopping runs makes no room are left out.
    """
    step = tasks.step
    siblings = dict(tasks.siblings)

    def cost(room: _Room) -> float | None:
        """Return the processors to free for a task; None if it can't fit."""
        if not room.worker.could_ever_run(step):
            return None
        worker_id = room.worker.record.id
        if (
            step.max_per_worker
            and siblings.get(worker_id, 0) >= step.max_per_worker
        ):
            return None
        if room.fits(step):
            return 0.0
        runs = room.cheapest(step, may_stop)
        return sum(run.step.cpu for run in runs) if runs else None

    # Cost, number of the room, and whether that is the cost and not only a
    # lower bound of it.  The cost of a room is computed when no other can be
    # lower.
    heap: list[tuple[float, int, bool]] = []
    cpu = step.cpu
    for number, room in enumerate(rooms):
        lacking = cpu - room.cpu
        heap.append((lacking if lacking > 0 else 0, number, False))
    heapq.heapify(heap)
    stops: list[Stop] = []
    while count and heap:
        _, number, is_exact = heap[0]
        room = rooms[number]
        if is_exact:
            count -= 1
            if not room.fits(step):
                for run in room.cheapest(step, may_stop):
                    room.free(run)
                    stops.append(Stop(room.worker, run, tasks.job))
            room.claim(step)
            worker_id = room.worker.record.id
            siblings[worker_id] = siblings.get(worker_id, 0) + 1
        room_cost = cost(room)
        if room_cost is None:
            heapq.heappop(heap)
        else:
            heapq.heapreplace(heap, (room_cost, number, True))
    return stops
