"""Which worker a task goes to.

Answers machines that latency-critical and batch tasks share: urgent tasks go
where most processors are free, lasting tasks to others of their image, tasks
that fill where they slow no lasting task beyond what it can bear now, and
rather where it can bear them at its next peak too.
"""

from collections.abc import Iterable

from turmerichall.dispatch import pacing
from turmerichall.dispatch import roster
from turmerichall.dispatch import sensitivity as sensitivities
from turmerichall.queues import demand as demands

__all__ = ["choose"]

# Of the target: where a filling task would bring a tail at once it is not
# placed; below what pacing holds.
TAIL_MARGIN = 0.8
# What a worker counts for less, as a share of its processors, if a filling task
# there would have to be paced at the next peak of load.
PACED_LATER = 2.0
# What a core of lasting tasks of the same image counts for, against a free one.
IMAGE_WEIGHT = 2.0


def choose(
    step: demands.StepDemand,
    workers: Iterable[roster.Worker],
    now: float,
    sensitivity: sensitivities.Sensitivity,
    avoided: Iterable[str] = (),
    siblings: dict[str, int] | None = None,
    must: bool = False,
) -> roster.Worker | None:
    """Returns the worker for a task, or None if it has to wait.

    Args:
        step: What the task asks for.
        workers: Workers of its service.
        now: Steady seconds.
        sensitivity: What filling images add to tails.
        avoided: Ids of workers where it failed; taken only if all others are
            too small.
        siblings: Tasks of its step on each worker, by id.
        must: Whether a filling task is placed also where it raises a tail; its
            pace is held down there.
    """
    best: roster.Worker | None = None
    best_score = -float("inf")
    for worker in workers:
        if worker.draining or not worker.in_touch:
            continue
        if not worker.holds(step):
            continue
        if not worker.has_label(step):
            continue
        count = siblings.get(worker.record.id, 0) if siblings else 0
        if step.max_per_worker and count >= step.max_per_worker:
            continue
        if not worker.suspicion.allows(now):
            continue
        score = _score(step, worker, sensitivity, must)
        if score is None:
            continue
        if worker.record.id in avoided:
            score -= 10 * worker.record.cpu
        if step.data_rack and worker.record.rack != step.data_rack:
            score -= 3 * worker.record.cpu
        score -= count
        if score > best_score:
            best = worker
            best_score = score
    return best


def _score(
    step: demands.StepDemand,
    worker: roster.Worker,
    sensitivity: sensitivities.Sensitivity,
    must: bool,
) -> float | None:
    """Returns how well a worker suits, in thousandths of a core."""
    cpu = worker.record.cpu
    free = worker.free_cpu()
    if step.lasting:
        return cpu - worker.cpu_asked + _company(step, worker)
    if not step.fills:
        return free
    if free < step.cpu and not must:
        return None
    worst = 0.0
    penalty = 0.0
    crowd = max(0.0, (step.cpu - free) / cpu + 1.0 - pacing.UNCROWDED)
    for neighbour in worker.neighbours.values():
        image = neighbour.image
        added = sensitivity.cautious(image, step.image) * step.cpu / cpu
        if added + crowd > pacing.HARMLESS and not must:
            total = (
                added
                + pacing.CROWDING * crowd
                + sum(
                    sensitivity.weight(image, other) * filled / cpu
                    for other, filled in worker.filled.items()
                )
            )
            outlook = neighbour.outlook
            idle = neighbour.idle
            if total > pacing.bearable(idle, outlook.soon, TAIL_MARGIN):
                return None
            if total > pacing.bearable(idle, outlook.peak, TAIL_MARGIN):
                penalty = PACED_LATER
        worst = max(worst, added)
    return free - (worst + penalty) * cpu


def _company(step: demands.StepDemand, worker: roster.Worker) -> float:
    """Prefers workers whose lasting tasks have the same image.

    Images differ in which filling tasks they bear, so workers of few images
    leave room for more kinds of filling tasks.
    """
    same = sum(
        run.step.cpu if run.step.image == step.image else -run.step.cpu
        for run in worker.runs.values()
        if run.step.lasting
    )
    return IMAGE_WEIGHT * same
