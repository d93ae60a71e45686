"""One step of a planner through the waiting tasks, in turn."""

import heapq
from typing import NamedTuple

from turmerichall import outcomes
from turmerichall.placement import selection
from turmerichall.placement import decisions
from turmerichall.placement import priority as priorities
from turmerichall.placement import views
from turmerichall.placement import waiting

__all__ = ["RefusedTask", "SchedulingCycle"]

QueueEntry = tuple[priorities.Priority, waiting.BucketKey]


class RefusedTask(NamedTuple):
    """A task that could not be started, for all of its bucket.

    Attributes:
        key: The bucket.
        task: The task whose turn it was.
        priority: Its turn.
        refusal: Why.
    """

    key: waiting.BucketKey
    task: views.TaskView
    priority: priorities.Priority
    refusal: outcomes.Refusal


class SchedulingCycle:
    """Starts what can be started now.

    Tasks that can wait are passed over at first where the cheapest worker
    would cost more than is usual for them, so that each room goes to whom it
    suits best.  Room that is left after that goes to them too.

    Attributes:
        queue: The waiting tasks.
        selector: Chooses workers.
        now: The caller's monotonic clock, in seconds.
        wall_now: Unix time.
        headroom: Processors that batch tasks may still take.
        refusals: Shapes that were found to have no room.
        deferred: Entries that were passed over.
        starts: What was started.
        refused: What could not be started.
    """

    def __init__(
        self,
        queue: waiting.WaitingTasks,
        selector: selection.WorkerSelector,
        now: float,
        wall_now: float,
        headroom: float,
    ) -> None:
        self.queue = queue
        self.selector = selector
        self.now = now
        self.wall_now = wall_now
        self.headroom = headroom
        self.refusals: dict[waiting.Shape, outcomes.Refusal] = {}
        self.deferred: list[QueueEntry] = []
        self.starts: list[decisions.StartDecision] = []
        self.refused: list[RefusedTask] = []

    def run(self, max_starts: int) -> None:
        """Starts tasks until no room or no task is left."""
        heap = [
            (self._priority(bucket), key)
            for key, bucket in self.queue.buckets.items()
        ]
        self._start_in_order(heap, max_starts, defer_costly=True)
        self._start_in_order(self.deferred, max_starts, defer_costly=False)

    def _start_in_order(
        self, heap: list[QueueEntry], max_starts: int, defer_costly: bool
    ) -> None:
        heapq.heapify(heap)
        while heap and len(self.starts) < max_starts:
            found, key = heapq.heappop(heap)
            bucket = self.queue.buckets[key]
            current = self._priority(bucket)
            if current > found:
                heapq.heappush(heap, (current, key))
                continue
            if not self._try_start(key, bucket, current, defer_costly):
                continue
            if bucket.live:
                heapq.heappush(heap, (current, key))

    def _priority(self, bucket: waiting.Bucket) -> priorities.Priority:
        task = bucket.head()
        assert task is not None
        fleet = self.selector.fleet
        size = fleet.size_of(task)
        return priorities.priority_of(
            task, size, fleet, self.selector.quotas, self.wall_now
        )

    def _try_start(
        self,
        key: waiting.BucketKey,
        bucket: waiting.Bucket,
        priority: priorities.Priority,
        defer_costly: bool,
    ) -> bool:
        """Starts the task whose turn it is in a bucket, if it can."""
        task = bucket.head()
        assert task is not None
        size = self.selector.fleet.size_of(task)
        chosen = self.refusals.get(key.shape) or self.selector.select(
            task, size, self.now, self.headroom
        )
        if isinstance(chosen, outcomes.Refusal):
            if chosen.reason == outcomes.RefusalReason.NO_CAPACITY:
                self.refusals[key.shape] = chosen
            self.refused.append(RefusedTask(key, task, priority, chosen))
            return False
        if (
            defer_costly
            and priority.priority_class >= priorities.PriorityClass.NORMAL
            and not chosen.is_near_best
        ):
            self.deferred.append((priority, key))
            return False
        self.queue.drop(task.task_id)
        self.starts.append(self.selector.place(task, chosen, self.now))
        if not task.service:
            self.headroom -= size.processors
        return True
