"""Which worker a task goes to.

Answers machines that latency-critical and batch tasks share: lasting and urgent
tasks go where most processors are free, tasks that fill go where most are
unused and where the tails of lasting tasks leave a margin.
"""

from collections.abc import Iterable

from turmerichall.dispatch import roster
from turmerichall.queues import demand as demands

__all__ = ["choose"]

# A filling task is not added where a tail is above this share of its target.
TAIL_MARGIN = 0.75
# Share of its unused processors that a worker gives to filling tasks.
FILL_SHARE = 1.0


def choose(
    step: demands.StepDemand,
    workers: Iterable[roster.Worker],
    now: float,
    avoided: Iterable[str] = (),
    siblings: dict[str, int] | None = None,
    rack: str = "",
) -> roster.Worker | None:
    """Returns the worker for a task, or None if it has to wait.

    Args:
        step: What the task asks for.
        workers: Workers of its service.
        now: Steady seconds.
        avoided: Ids of workers where it failed; taken only if all others are
            too small.
        siblings: Tasks of its step on each worker, by id.
        rack: Rack that it should run on, or empty.
    """
    best: roster.Worker | None = None
    best_score = -float("inf")
    for worker in workers:
        if worker.draining or not worker.in_touch:
            continue
        if not worker.holds(step):
            continue
        if step.required_label and (
            step.required_label not in worker.record.labels
        ):
            continue
        count = siblings.get(worker.record.id, 0) if siblings else 0
        if step.max_per_worker and count >= step.max_per_worker:
            continue
        if not worker.suspicion.allows(now, len(worker.runs)):
            continue
        free = worker.free_cpu()
        if step.fills:
            if free * FILL_SHARE < step.cpu:
                continue
            if worker.lasting and (
                worker.tail_ratio > TAIL_MARGIN or worker.filler_percent < 100
            ):
                continue
            score = free - worker.tail_ratio * worker.record.cpu
        elif step.lasting:
            score = worker.record.cpu - worker.cpu_asked - worker.cpu_filled
        else:
            score = free
        if worker.record.id in avoided:
            score -= 10 * worker.record.cpu
        if rack and worker.record.rack != rack:
            score -= 3 * worker.record.cpu
        score -= count
        if score > best_score:
            best = worker
            best_score = score
    return best
