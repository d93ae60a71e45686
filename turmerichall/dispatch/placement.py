"""Which worker a task goes to.

Answers machines that latency-critical and batch tasks share: urgent tasks go
where most processors are free, lasting tasks to others of their image, tasks
that fill where they raise no tail of lasting tasks beyond a margin.
"""

from collections.abc import Iterable

from turmerichall.dispatch import pacing
from turmerichall.dispatch import roster
from turmerichall.dispatch import sensitivity as sensitivities
from turmerichall.queues import demand as demands

__all__ = ["choose"]

# A filling task is not added where a tail would pass this share of its target.
TAIL_MARGIN = 0.65
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
    for image in worker.lasting_images():
        added = sensitivity.weight(image, step.image) * step.cpu / cpu
        if added > pacing.HARMLESS_RATIO and not must:
            expected = worker.expected_tail(image, sensitivity, step)
            if expected > TAIL_MARGIN:
                return None
        worst = max(worst, added)
    return free - worst * cpu


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
