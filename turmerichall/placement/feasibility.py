"""Tasks that fit on no known worker, and the nearest size that would fit."""

from collections.abc import Iterable

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.placement import decisions
from turmerichall.placement import views
from turmerichall.placement import waiting

__all__ = ["UnschedulableTasks", "unschedulable_reason"]

# Time after a planner starts within which all workers are expected to announce
# themselves.
STARTUP_GRACE_SECONDS = 5.0
MAX_REASONS = 4096


class UnschedulableTasks:
    """Waiting tasks that fit on no known worker, even if it were empty.

    They are kept out of the queue until a worker is added or resized.

    Attributes:
        tasks: The tasks by id.
        reasons: Cached results of `unschedulable_reason` by `waiting.Shape`;
            cleared when a worker is added or resized.
        first_checked_at: Time of the first call of `collect`, which starts the
            grace period for workers to announce themselves; None before it.
    """

    def __init__(self) -> None:
        self.tasks: dict[str, views.TaskView] = {}
        self.reasons: dict[waiting.Shape, str | None] = {}
        self.first_checked_at: float | None = None

    def reset(self) -> list[views.TaskView]:
        """Forget tasks and reasons; return the tasks, to be queued again."""
        again = list(self.tasks.values())
        self.tasks.clear()
        self.reasons.clear()
        return again

    def collect(
        self,
        queue: waiting.WaitingTasks,
        workers: Iterable[views.WorkerView],
        now: float,
    ) -> list[decisions.WaitDecision]:
        """Move the tasks that fit on no known worker out of the queue.

        Args:
            queue: The waiting tasks.
            workers: All known workers.
            now: The caller's monotonic clock, in seconds.

        Returns:
            One decision for each job whose tasks were moved; none during the
            grace period.
        """
        if self.first_checked_at is None:
            self.first_checked_at = now
        if now < self.first_checked_at + STARTUP_GRACE_SECONDS:
            return []
        if len(self.reasons) > MAX_REASONS:
            self.reasons.clear()
        decided: dict[str, decisions.WaitDecision] = {}
        for bucket in list(queue.buckets.values()):
            shape = bucket.key.shape
            if shape not in self.reasons:
                head = bucket.head()
                assert head is not None
                self.reasons[shape] = unschedulable_reason(head, workers)
            finding = self.reasons[shape]
            if finding is None:
                continue
            tasks = [task for _, task in bucket.live.values()]
            for task in tasks:
                queue.drop(task.task_id)
                self.tasks[task.task_id] = task
                decided.setdefault(
                    views.job_id_of(task.task_id),
                    decisions.WaitDecision(
                        task.task_id,
                        outcomes.RefusalReason.NEVER_FITS,
                        finding,
                    ),
                )
        return list(decided.values())


def unschedulable_reason(
    task: views.TaskView, workers: Iterable[views.WorkerView]
) -> str | None:
    """Return why a task fits on no worker, or None if it fits on one.

    Args:
        task: The task, with its declared size.
        workers: All known workers, whatever they run.

    Returns:
        The size of the task and the nearest size that would fit, as a message
        for operators.  None if the task fits on the capacity of a worker, or if
        no worker is known in its zones.

    Examples:
        >>> from turmerichall.customers import customer
        >>> room = resources.Resources(32, 125_000, 0)
        >>> task = views.TaskView("j/0", "t", "c", "team",
        ...     customer.Urgency.NORMAL, False, resources.Resources(40, 9))
        >>> worker = views.WorkerView("w", "r", "z", room)
        >>> found = unschedulable_reason(task, [worker])
        >>> found.split("; ")[1]
        'the nearest that fits is 32 processors, 9 MiB on w'
    """
    nearest: tuple[float, str, resources.Resources] | None = None
    for worker in workers:
        if task.zones and worker.zone not in task.zones:
            continue
        if task.size.fits_in(worker.capacity):
            return None
        size = task.size.minimum(worker.capacity)
        fitting = _fitting_share(task.size, size)
        if nearest is None or fitting > nearest[0]:
            nearest = (fitting, worker.name, size)
    if nearest is None:
        return None
    _, name, size = nearest
    asked = _format_size(task.size)
    return (
        f"needs {asked}; the nearest that fits is {_format_size(size)}"
        f" on {name}"
    )


def _fitting_share(
    asked: resources.Resources, size: resources.Resources
) -> float:
    shares = [
        fitting / wanted
        for fitting, wanted in zip(size, asked, strict=True)
        if wanted > 0
    ]
    return min(shares, default=0.0) + 0.01 * sum(shares)


def _format_size(size: resources.Resources) -> str:
    text = f"{size.processors:g} processors, {size.memory_mb} MiB"
    if size.accelerators:
        text += f", {size.accelerators} accelerators"
    return text
