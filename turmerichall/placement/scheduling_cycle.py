"""One scheduling cycle, which starts waiting tasks in order of priority."""

import heapq
from typing import NamedTuple

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.placement import decisions
from turmerichall.placement import priority as priorities
from turmerichall.placement import selection
from turmerichall.placement import views
from turmerichall.placement import waiting

__all__ = ["RefusedTask", "SchedulingCycle"]

# A task that is at risk of its deadline may use the whole margin of services
# only after this wait.  Without it, urgent tasks that came later on a small
# fleet waited for up to 18 s instead of 10 s.
MIN_WAIT_SECONDS = 600.0

QueueEntry = tuple[priorities.Priority, waiting.BucketKey]


class RefusedTask(NamedTuple):
    """A waiting task that could not be started.

    It is the one to start next in its bucket, a group of waiting tasks of one
    shape, team and urgency.

    Attributes:
        key: Key of the bucket.
        task: The task.
        priority: Priority of the task.
        refusal: Why the task could not be started.
    """

    key: waiting.BucketKey
    task: views.TaskView
    priority: priorities.Priority
    refusal: outcomes.Refusal


class SchedulingCycle:
    """One cycle that starts as many waiting tasks as fit on the workers.

    A first pass defers tasks of normal and lower priority whose cheapest worker
    costs more than is typical for tasks of their shape, so that free capacity
    goes to the tasks that suit it best.  A second pass starts deferred tasks on
    the capacity that is left.

    Attributes:
        queue: The waiting tasks.
        selector: Selects the worker of a task.
        now: The caller's monotonic clock, in seconds.
        wall_now: Unix time.
        headroom: Number of processors that batch tasks may still use.
        refusals: Refusals of tasks that fit on no worker now, by their shape.
        deferred: Priorities and keys of the buckets that the first pass
            deferred.
        starts: Decisions to start tasks.
        refused: Tasks that could not be started, one for each bucket.
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
        """Start waiting tasks until none is left that fits on a worker.

        Args:
            max_starts: Maximum number of tasks to start.
        """
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
            queued, key = heapq.heappop(heap)
            bucket = self.queue.buckets[key]
            current = self._priority(bucket)
            if current > queued:
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
        """Try to start the next task of a bucket; return whether it started.

        The first pass defers it if its cheapest worker costs too much.
        """
        task = bucket.head()
        assert task is not None
        size = self.selector.fleet.size_of(task)
        chosen = self._select(task, size, key.shape)
        if isinstance(chosen, outcomes.Refusal) and self._is_starved(
            priority, task
        ):
            shape = key.shape._replace(at_risk=True)
            chosen = self._select(task._replace(at_risk=True), size, shape)
        if isinstance(chosen, outcomes.Refusal):
            self.refused.append(RefusedTask(key, task, priority, chosen))
            return False
        if (
            defer_costly
            and priority.priority_class >= priorities.PriorityClass.NORMAL
            and not chosen.is_low_cost
        ):
            self.deferred.append((priority, key))
            return False
        self.queue.drop(task.task_id)
        self.starts.append(self.selector.place(task, chosen, self.now))
        if not task.service:
            self.headroom -= size.processors
        return True

    def _is_starved(
        self, priority: priorities.Priority, task: views.TaskView
    ) -> bool:
        """Return whether a task at risk has waited for long.

        It has not if another task of its template runs.
        """
        if (
            priority.priority_class != priorities.PriorityClass.AT_RISK
            or self.wall_now - task.submitted_wall_seconds < MIN_WAIT_SECONDS
        ):
            return False
        workers = self.selector.fleet.workers.values()
        return all(
            task.template not in each.use_by_template for each in workers
        )

    def _select(
        self,
        task: views.TaskView,
        size: resources.Resources,
        shape: waiting.Shape,
    ) -> selection.Selection | outcomes.Refusal:
        """Select a worker, unless the shape was refused in this cycle."""
        chosen = self.refusals.get(shape) or self.selector.select(
            task, size, self.now, self.headroom
        )
        if (
            isinstance(chosen, outcomes.Refusal)
            and chosen.reason == outcomes.RefusalReason.NO_CAPACITY
        ):
            self.refusals[shape] = chosen
        return chosen
