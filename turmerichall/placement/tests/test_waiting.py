"""Tests of the queue of waiting tasks."""

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import views
from turmerichall.placement import waiting


def _task(name: str, deadline: float = 9.0) -> views.TaskView:
    size = resources.Resources(1, 100)
    urgency = customers.Urgency.NORMAL
    return views.TaskView(
        name, "t", "c", "team", urgency, False, size, 60.0, deadline
    )


class TestWaitingTasks:
    """Tasks are returned by deadline; removed ones are skipped."""

    def test_head_has_the_earliest_deadline_of_those_not_removed(self) -> None:
        queue = waiting.WaitingTasks()
        for number, deadline in enumerate((5.0, 3.0, 4.0)):
            queue.put(_task(f"j/{number}", deadline))
        queue.drop("j/1")
        bucket = next(iter(queue.buckets.values()))
        head = bucket.head()
        assert head is not None and head.task_id == "j/2"

    def test_replaced_task_has_the_new_deadline(self) -> None:
        queue = waiting.WaitingTasks()
        queue.put(_task("j/0", 1.0))
        queue.put(_task("j/1", 5.0))
        queue.put(_task("j/0", 9.0))
        bucket = next(iter(queue.buckets.values()))
        head = bucket.head()
        assert head is not None and head.task_id == "j/1"

    def test_entries_of_removed_tasks_do_not_accumulate(self) -> None:
        queue = waiting.WaitingTasks()
        queue.put(_task("first/0", 0.0))
        for number in range(10_000):
            queue.put(_task(f"j/{number}"))
            queue.drop(f"j/{number}")
        bucket = next(iter(queue.buckets.values()))
        assert len(bucket.heap) <= waiting.MAX_DROPPED_ENTRIES + 3
