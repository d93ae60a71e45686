"""Which worker a task goes to.

Answers machines that latency-critical and batch tasks share: urgent tasks go
where most processors are free, lasting tasks to others of their image, tasks
that fill where they slow no lasting task beyond what it can bear now, and
rather where it can bear them at its next peak too.
"""

from collections.abc import Iterable

from turmerichall.dispatch import interference_model as interference_models
from turmerichall.dispatch import pacing
from turmerichall.dispatch import worker_state
from turmerichall.queues import demand as demands

__all__ = ["choose_worker"]

# Of the target: where a filling task would bring a tail at once it is not
# placed; below what pacing holds.
PLACEMENT_TARGET_SHARE = 0.8
# What a worker counts for less, as a share of its processors, if a filling task
# there would have to be paced at the next peak of load.
PEAK_THROTTLE_PENALTY = 2.0
# What a core of lasting tasks of the same image counts for, against a free one.
IMAGE_WEIGHT = 2.0


def choose_worker(
    step: demands.StepDemand,
    workers: Iterable[worker_state.Worker],
    now: float,
    interference_model: interference_models.InterferenceModel,
    avoided: Iterable[str] = (),
    siblings: dict[str, int] | None = None,
    force: bool = False,
) -> worker_state.Worker | None:
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
    best: worker_state.Worker | None = None
    best_score = -float("inf")
    for worker in workers:
        if worker.draining or not worker.in_touch:
            continue
        if not worker.has_room_for(step):
            continue
        if not worker.has_label(step):
            continue
        count = siblings.get(worker.record.id, 0) if siblings else 0
        if step.max_per_worker and count >= step.max_per_worker:
            continue
        if not worker.breaker.allows(now):
            continue
        score = _score(step, worker, interference_model, force)
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
    worker: worker_state.Worker,
    interference_model: interference_models.InterferenceModel,
    force: bool,
) -> float | None:
    """Returns how well a worker suits, in thousandths of a core."""
    cpu = worker.record.cpu
    free = worker.free_cpu()
    if step.lasting:
        return cpu - worker.cpu_asked + _image_affinity(step, worker)
    if not step.fills:
        return free
    if free < step.cpu and not force:
        return None
    worst_slowdown = 0.0
    penalty = 0.0
    overcommit = max(
        0.0, (step.cpu - free) / cpu + 1.0 - pacing.UNCONTENDED_SHARE
    )
    for neighbour in worker.neighbours.values():
        image = neighbour.image
        added_slowdown = (
            interference_model.upper_weight(image, step.image) * step.cpu / cpu
        )
        if (
            added_slowdown + overcommit > pacing.NEGLIGIBLE_SLOWDOWN
            and not force
        ):
            total_slowdown = (
                added_slowdown
                + pacing.CONTENTION_FACTOR * overcommit
                + sum(
                    interference_model.weight(image, other)
                    * best_effort_cpu
                    / cpu
                    for other, best_effort_cpu in worker.best_effort_cpu.items()
                )
            )
            forecast = neighbour.forecast
            idle_tail = neighbour.idle_tail
            if total_slowdown > pacing.tolerable_slowdown(
                idle_tail, forecast.soon, PLACEMENT_TARGET_SHARE
            ):
                return None
            if total_slowdown > pacing.tolerable_slowdown(
                idle_tail, forecast.peak, PLACEMENT_TARGET_SHARE
            ):
                penalty = PEAK_THROTTLE_PENALTY
        worst_slowdown = max(worst_slowdown, added_slowdown)
    return free - (worst_slowdown + penalty) * cpu


def _image_affinity(
    step: demands.StepDemand, worker: worker_state.Worker
) -> float:
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
