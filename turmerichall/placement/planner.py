"""The planner: keeps what it is told and decides what to start and evict.

It reads no clock, draws no random numbers and does no input or output, so the
daemon and the benchmark run the same code.
"""

import heapq

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import decisions
from turmerichall.placement import occupancy
from turmerichall.placement import views
from turmerichall.placement import waiting
from turmerichall.placement import weights as weighing
from turmerichall.state import change as changes

__all__ = ["Planner"]

MAX_STARTS = 64

_URGENCY_RANK = {
    customers.Urgency.URGENT: 0,
    customers.Urgency.NORMAL: 1,
    customers.Urgency.DEFERRABLE: 2,
}


class Planner:
    """Decides placement for the workers that it is told of.

    What it decided counts against capacity at once: a start until its end is
    noted, an eviction until the worker's end of it is noted.

    Attributes:
        weights: What a placement is judged by.
        workers: Occupancy by worker name.
        waiting: The waiting tasks.
        worker_of: Worker that holds each held task.
    """

    def __init__(self, weights: weighing.Weights) -> None:
        self.weights = weights
        self.workers: dict[str, occupancy.Occupancy] = {}
        self.waiting = waiting.WaitingTasks()
        self.worker_of: dict[str, str] = {}
        self.quotas: dict[str, resources.Resources] = {}
        self.resubmitted: dict[str, views.TaskView] = {}
        self.told: dict[waiting.BucketKey, outcomes.RefusalReason] = {}

    def put_worker(self, view: views.WorkerView) -> None:
        """Adds a worker or takes over its new announcement."""
        known = self.workers.get(view.name)
        if known is None:
            self.workers[view.name] = occupancy.Occupancy(view)
        else:
            known.update(view)

    def drop_worker(self, name: str) -> None:
        """Stops using a worker; what it holds counts until its end is noted."""
        known = self.workers.get(name)
        if known is None:
            return
        known.present = False
        if not known.held:
            del self.workers[name]

    def put_waiting(self, task: views.TaskView) -> None:
        """Adds a waiting task; one still held waits from its end on."""
        if task.task_id in self.worker_of:
            self.resubmitted[task.task_id] = task
            return
        self.waiting.put(task)

    def drop_waiting(self, task_id: str) -> None:
        """Forgets a waiting task, at a cost that is flat in their number."""
        self.resubmitted.pop(task_id, None)
        self.waiting.drop(task_id)

    def put_running(self, task: views.TaskView, worker: str, at: float) -> None:
        """Takes over a task that was started before this planner was made."""
        self.waiting.drop(task.task_id)
        held = occupancy.Held(task, worker, task.size, at, started_at=at)
        self._occupancy(worker).hold(held)
        self.worker_of[task.task_id] = worker

    def note_started(self, task_id: str, worker: str, at: float) -> None:
        """Notes that a start was carried out."""
        held = self._held(task_id, worker)
        if held is not None and held.started_at is None:
            self.workers[worker].hold(held._replace(started_at=at))

    def note_ended(
        self, task_id: str, worker: str, ending: changes.Ending, at: float
    ) -> None:
        """Notes that an attempt ended and holds nothing any more.

        A task that waits again is put in by `put_waiting`, before or after.

        Args:
            task_id: The task.
            worker: Worker that held it.
            ending: How it ended; `REFUSED` if the start was not carried out.
            at: When it ended.
        """
        del ending, at
        if self._held(task_id, worker) is None:
            return
        known = self.workers[worker]
        known.release(task_id)
        del self.worker_of[task_id]
        if not known.present and not known.held:
            del self.workers[worker]
        again = self.resubmitted.pop(task_id, None)
        if again is not None:
            self.waiting.put(again)

    def set_quota(self, team: str, limit: resources.Resources | None) -> None:
        """Sets what the batch work of a team may hold; None for no limit."""
        if limit is None:
            self.quotas.pop(team, None)
        else:
            self.quotas[team] = limit

    def put_usage(self, report: views.UsageReport) -> None:
        """Takes in a measurement, which may be late or out of order."""
        del report

    def plan(
        self, now: float, wall_now: float, max_starts: int = MAX_STARTS
    ) -> decisions.Plan:
        """Decides what to do next.

        Args:
            now: The caller's monotonic clock, in seconds.
            wall_now: Unix time.
            max_starts: Starts to decide at most.

        Returns:
            The decisions, which the planner regards as under way from now on.
        """
        del wall_now
        starts: list[decisions.StartDecision] = []
        waits: list[decisions.WaitDecision] = []
        heap = self._heads()
        while heap and len(starts) < max_starts:
            _, key = heapq.heappop(heap)
            bucket = self.waiting.buckets[key]
            task = bucket.head()
            if task is None:
                continue
            chosen = self._choose(task)
            if chosen is None:
                waits += self._tell(key, task)
                continue
            starts.append(self._start(task, chosen, now))
            self.told.pop(key, None)
            if bucket.live:
                heapq.heappush(heap, (_rank(bucket), key))
        return decisions.Plan(tuple(starts), waits=tuple(waits))

    def _heads(self) -> list[tuple[tuple[int, float], waiting.BucketKey]]:
        heads = [
            (_rank(bucket), key) for key, bucket in self.waiting.buckets.items()
        ]
        heapq.heapify(heads)
        return heads

    def _choose(self, task: views.TaskView) -> occupancy.Occupancy | None:
        best = None
        for known in self.workers.values():
            if not _allowed(task, known) or not known.has_room(task.size):
                continue
            if best is None or known.free.processors > best.free.processors:
                best = known
        return best

    def _start(
        self, task: views.TaskView, chosen: occupancy.Occupancy, now: float
    ) -> decisions.StartDecision:
        name = chosen.view.name
        reason = f"most free processors ({chosen.free.processors:g})"
        self.waiting.drop(task.task_id)
        chosen.hold(occupancy.Held(task, name, task.size, now))
        self.worker_of[task.task_id] = name
        return decisions.StartDecision(task.task_id, name, reason)

    def _tell(
        self, key: waiting.BucketKey, task: views.TaskView
    ) -> list[decisions.WaitDecision]:
        reason = outcomes.RefusalReason.NO_CAPACITY
        detail = "no worker has room now"
        if not any(self._could_fit(task, w) for w in self.workers.values()):
            reason = outcomes.RefusalReason.NEVER_FITS
            detail = "larger than any worker that it may use"
        if self.told.get(key) == reason:
            return []
        self.told[key] = reason
        return [decisions.WaitDecision(task.task_id, reason, detail)]

    def _could_fit(
        self, task: views.TaskView, known: occupancy.Occupancy
    ) -> bool:
        in_zone = not task.zones or known.view.zone in task.zones
        return in_zone and task.size.fits_in(known.view.capacity)

    def _held(self, task_id: str, worker: str) -> occupancy.Held | None:
        known = self.workers.get(worker)
        return None if known is None else known.held.get(task_id)

    def _occupancy(self, worker: str) -> occupancy.Occupancy:
        if worker not in self.workers:
            unknown = views.WorkerView(worker, "", "", resources.NOTHING)
            self.workers[worker] = occupancy.Occupancy(unknown)
            self.workers[worker].present = False
        return self.workers[worker]


def _rank(bucket: waiting.Bucket) -> tuple[int, float]:
    """Returns the turn of a bucket: services, then urgency and deadline."""
    task = bucket.head()
    assert task is not None
    if task.service:
        return (-1, 0.0)
    return (_URGENCY_RANK[task.urgency], task.deadline_wall_seconds)


def _allowed(task: views.TaskView, known: occupancy.Occupancy) -> bool:
    if not known.takes_work():
        return False
    return not task.zones or known.view.zone in task.zones
