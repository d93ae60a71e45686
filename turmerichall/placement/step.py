"""One step of a planner through the waiting tasks, in turn."""

import heapq
from typing import NamedTuple

from turmerichall import outcomes
from turmerichall.placement import choice
from turmerichall.placement import decisions
from turmerichall.placement import turns
from turmerichall.placement import views
from turmerichall.placement import waiting

__all__ = ["Refused", "Step"]

Entry = tuple[turns.Turn, waiting.BucketKey]


class Refused(NamedTuple):
    """A task that could not be started, for all of its bucket.

    Attributes:
        key: The bucket.
        task: The task whose turn it was.
        turn: Its turn.
        refusal: Why.
    """

    key: waiting.BucketKey
    task: views.TaskView
    turn: turns.Turn
    refusal: outcomes.Refusal


class Step:
    """Starts what can be started now.

    Tasks that can wait are passed over at first where the cheapest worker
    would cost more than is usual for them, so that each room goes to whom it
    suits best.  Room that is left after that goes to them too.

    Attributes:
        queue: The waiting tasks.
        chooser: Chooses workers.
        now: The caller's monotonic clock, in seconds.
        wall_now: Unix time.
        headroom: Processors that batch tasks may still take.
        full: Shapes that were found to have no room.
        postponed: Entries that were passed over.
        starts: What was started.
        refused: What could not be started.
    """

    def __init__(
        self,
        queue: waiting.WaitingTasks,
        chooser: choice.Chooser,
        now: float,
        wall_now: float,
        headroom: float,
    ) -> None:
        self.queue = queue
        self.chooser = chooser
        self.now = now
        self.wall_now = wall_now
        self.headroom = headroom
        self.full: dict[waiting.Shape, outcomes.Refusal] = {}
        self.postponed: list[Entry] = []
        self.starts: list[decisions.StartDecision] = []
        self.refused: list[Refused] = []

    def run(self, max_starts: int) -> None:
        """Starts tasks until no room or no task is left."""
        heap = [
            (self._turn(bucket), key)
            for key, bucket in self.queue.buckets.items()
        ]
        self._walk(heap, max_starts, patient=True)
        self._walk(self.postponed, max_starts, patient=False)

    def _walk(self, heap: list[Entry], max_starts: int, patient: bool) -> None:
        heapq.heapify(heap)
        while heap and len(self.starts) < max_starts:
            found, key = heapq.heappop(heap)
            bucket = self.queue.buckets[key]
            current = self._turn(bucket)
            if current > found:
                heapq.heappush(heap, (current, key))
                continue
            if not self._try(key, bucket, current, patient):
                continue
            if bucket.live:
                heapq.heappush(heap, (current, key))

    def _turn(self, bucket: waiting.Bucket) -> turns.Turn:
        task = bucket.head()
        assert task is not None
        fleet = self.chooser.fleet
        size = fleet.size_of(task)
        return turns.turn(task, size, fleet, self.chooser.quotas, self.wall_now)

    def _try(
        self,
        key: waiting.BucketKey,
        bucket: waiting.Bucket,
        turn: turns.Turn,
        patient: bool,
    ) -> bool:
        """Starts the task whose turn it is in a bucket, if it can."""
        task = bucket.head()
        assert task is not None
        size = self.chooser.fleet.size_of(task)
        chosen = self.full.get(key.shape) or self.chooser.choose(
            task, size, self.now, self.headroom
        )
        if isinstance(chosen, outcomes.Refusal):
            if chosen.reason == outcomes.RefusalReason.NO_CAPACITY:
                self.full[key.shape] = chosen
            self.refused.append(Refused(key, task, turn, chosen))
            return False
        if patient and turn.line >= turns.Line.NORMAL and not chosen.good:
            self.postponed.append((turn, key))
            return False
        self.queue.drop(task.task_id)
        self.starts.append(self.chooser.place(task, chosen, self.now))
        if not task.service:
            self.headroom -= size.processors
        return True
