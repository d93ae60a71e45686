"""Queue of waiting tasks, in buckets of tasks that are scheduled alike.

The cost of removing a task does not grow with the number of waiting tasks: its
entry stays in the heap of its bucket and is skipped when it reaches the top.
"""

import heapq
import itertools
from typing import NamedTuple

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import views

__all__ = ["Bucket", "Shape", "WaitingTasks", "is_high_priority"]


MAX_DROPPED_ENTRIES = 64


class Shape(NamedTuple):
    """Properties of a task that determine on which workers it may run.

    Attributes:
        template: Name of the template.
        service_of: Name of the customer of a service task; empty for a batch
            task.
        size: Resources declared for the task.
        zones: Availability zones that it may run in; empty for all.
        is_high_priority: Whether it is a service task or urgent.
        at_risk: Whether it may use the whole margin of services.
    """

    template: str
    service_of: str
    size: resources.Resources
    zones: tuple[str, ...]
    is_high_priority: bool
    at_risk: bool = False

    @classmethod
    def of(cls, task: views.TaskView) -> "Shape":
        """Return the shape of a task."""
        service_of = task.customer if task.service else ""
        return cls(
            task.template,
            service_of,
            task.size,
            task.zones,
            is_high_priority(task),
            task.at_risk,
        )


class BucketKey(NamedTuple):
    """Properties of all tasks of a bucket, which their priority depends on."""

    shape: Shape
    team: str
    urgency: customers.Urgency


class Bucket:
    """Waiting tasks of one shape, team and urgency.

    Attributes:
        key: Properties that all tasks of the bucket share.
        live: Waiting tasks by id, each with the sequence number of its heap
            entry.
        heap: Heap entries of waiting tasks and of some removed ones; the one to
            start next is at the top.
    """

    def __init__(self, key: BucketKey) -> None:
        self.key = key
        self.live: dict[str, tuple[int, views.TaskView]] = {}
        self.heap: list[tuple[bool, float, float, int, str]] = []

    def push(self, task: views.TaskView, number: int) -> None:
        """Add a task to the heap.

        Evicted tasks come first, then those with the earliest deadline.

        Args:
            task: The task.
            number: Sequence number of its heap entry.
        """
        self.live[task.task_id] = (number, task)
        entry = (
            not task.evicted,
            task.deadline_wall_seconds,
            task.submitted_wall_seconds,
            number,
            task.task_id,
        )
        heapq.heappush(self.heap, entry)

    def drop(self, task_id: str) -> views.TaskView:
        """Remove and return a task; its heap entry is removed later."""
        _, task = self.live.pop(task_id)
        if len(self.heap) > 2 * len(self.live) + MAX_DROPPED_ENTRIES:
            self.heap = [entry for entry in self.heap if self._is_live(entry)]
            heapq.heapify(self.heap)
        return task

    def _is_live(self, entry: tuple[bool, float, float, int, str]) -> bool:
        found = self.live.get(entry[-1])
        return found is not None and found[0] == entry[-2]

    def head(self) -> views.TaskView | None:
        """Return the task to start next, or None if the bucket is empty."""
        while self.heap:
            number, task_id = self.heap[0][-2:]
            found = self.live.get(task_id)
            if found is not None and found[0] == number:
                return found[1]
            heapq.heappop(self.heap)
        return None


class WaitingTasks:
    """All waiting tasks.

    Attributes:
        buckets: Buckets with at least one task, by key.
        bucket_of: Bucket of each waiting task, by task id.
        jobs: Waiting tasks by job id and task id.
    """

    def __init__(self) -> None:
        self.buckets: dict[BucketKey, Bucket] = {}
        self.bucket_of: dict[str, Bucket] = {}
        self.jobs: dict[str, dict[str, views.TaskView]] = {}
        self.sequence = itertools.count()

    def __len__(self) -> int:
        return len(self.bucket_of)

    def __contains__(self, task_id: str) -> bool:
        return task_id in self.bucket_of

    def put(self, task: views.TaskView) -> None:
        """Add a task, replacing one with the same id."""
        self.drop(task.task_id)
        key = BucketKey(Shape.of(task), task.team, task.urgency)
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = self.buckets[key] = Bucket(key)
        bucket.push(task, next(self.sequence))
        self.bucket_of[task.task_id] = bucket
        job = views.job_id_of(task.task_id)
        self.jobs.setdefault(job, {})[task.task_id] = task

    def drop(self, task_id: str) -> views.TaskView | None:
        """Remove and return a task, or return None if it does not wait."""
        bucket = self.bucket_of.pop(task_id, None)
        if bucket is None:
            return None
        task = bucket.drop(task_id)
        if not bucket.live:
            del self.buckets[bucket.key]
        job = views.job_id_of(task_id)
        of_job = self.jobs[job]
        del of_job[task_id]
        if not of_job:
            del self.jobs[job]
        return task


def is_high_priority(task: views.TaskView) -> bool:
    """Return whether a task is a service task or urgent.

    Such tasks may use the processors kept free for services, and preempt batch
    tasks.
    """
    return task.service or task.urgency == customers.Urgency.URGENT
