"""Workers that lack least for a task, on which room is free first."""

from collections.abc import Sequence
import heapq

from turmerichall.dispatch import worker_state
from turmerichall.queues import demand as demands

__all__ = ["nearest"]

# Number of workers that are chosen: a constant, and more for each task.  Their
# runs are looked at one by one, so it bounds the time that a round takes.
MIN_WORKERS = 16
WORKERS_PER_TASK = 2


def nearest(
    step: demands.StepDemand,
    count: int,
    workers: Sequence[worker_state.Worker],
    limit: int = 0,
) -> list[worker_state.Worker]:
    """Return the workers that lack least for a task.

    Args:
        step: The step.
        count: Number of tasks.
        workers: The workers to choose from.
        limit: Maximum number of workers; by default it grows with the tasks.
    """
    rows = []
    for number, worker in enumerate(workers):
        lacking = _lacking_share(step, worker)
        if lacking is not None:
            rows.append((lacking, number, worker))
    limit = limit or MIN_WORKERS + WORKERS_PER_TASK * count
    return [worker for _, _, worker in heapq.nsmallest(limit, rows)]


def _lacking_share(
    step: demands.StepDemand, worker: worker_state.Worker
) -> float | None:
    """Return the share of a worker that must become free for a task.

    Returns:
        The share, negative if room is left; None if the end of runs that are
        not long-running frees too little.
    """
    if worker.start_budget < step.cpu or not worker.has_label(step):
        return None
    capacity = worker.capacity
    if step.fills:
        ending_cpu = worker.cpu_batch + worker.cpu_best_effort
        cpu = step.cpu - worker.free_cpu()
    else:
        ending_cpu = worker.cpu_batch
        cpu = step.cpu - (capacity.cpu - worker.cpu_reserved)
    memory_mb = step.memory_mb - (capacity.memory_mb - worker.memory_reserved)
    gpu = step.gpu - (capacity.gpu - worker.gpu_reserved)
    if cpu > ending_cpu and not _is_stopping_any(worker):
        return None
    if step.memory_mb > capacity.memory_mb or step.gpu > capacity.gpu:
        return None
    return max(
        cpu / max(capacity.cpu, 1),
        memory_mb / max(capacity.memory_mb, 1),
        gpu / max(capacity.gpu, 1),
    )


def _is_stopping_any(worker: worker_state.Worker) -> bool:
    return any(run.stopping for run in worker.runs.values())
