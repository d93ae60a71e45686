"""Choice of a worker for a task, where services and batch jobs share workers.

Urgent tasks go to the worker with the most free processors, long-running tasks
to workers that run others of their image, and best-effort tasks to workers
whose long-running tasks tolerate the slowdown now, preferably also at their
next peak of load.
"""

from collections.abc import Hashable, Iterable, Iterator
import heapq

from turmerichall.dispatch import interference_model as interference_models
from turmerichall.dispatch import pacing
from turmerichall.dispatch import worker_state
from turmerichall.queues import demand as demands

__all__ = ["Candidates", "choose_worker", "choose_worker_for_trial"]

# A best-effort task is not placed where it would raise a tail latency above
# this share of its target; lower than the share that pacing maintains.
PLACEMENT_TARGET_SHARE = 0.8
# Penalty for a worker on which a best-effort task would have to be throttled at
# the next peak of load, as a share of the worker's processors.
PEAK_THROTTLE_PENALTY = 2.0
# Score of a core used by long-running tasks of the same image, relative to a
# free core; cores used by long-running tasks of other images are deducted.
IMAGE_WEIGHT = 2.0

_Entry = tuple[float, int, int, bool, worker_state.Worker]


def choose_worker(
    step: demands.StepDemand,
    workers: Iterable[worker_state.Worker],
    now: float,
    interference_model: interference_models.InterferenceModel,
    avoided: Iterable[str] = (),
    siblings: dict[str, int] | None = None,
    force: bool = False,
    trial: Hashable = None,
) -> worker_state.Worker | None:
    """Return the worker for a task, or None if it has to wait.

    Args:
        step: The step of the task, with the resources that it requests.
        workers: Workers of its service.
        now: Current time on the steady clock.
        interference_model: Learned slowdowns of long-running tasks.
        avoided: Ids of workers on which the task failed or from which it was
            moved; used only if no other worker has room.
        siblings: Number of tasks of its step on each worker, by id.
        force: Whether a best-effort task is placed even where it raises a tail
            latency too far; it is then throttled there.
        trial: See `circuit_breaker.CircuitBreaker.allows`.
    """
    best: worker_state.Worker | None = None
    best_score = -float("inf")
    for worker, score in _eligible(
        step, workers, now, interference_model, siblings, force, trial
    ):
        if worker.record.id in avoided:
            score -= 10 * worker.capacity.cpu
        if score > best_score:
            best = worker
            best_score = score
    return best


def choose_worker_for_trial(
    step: demands.StepDemand,
    workers: Iterable[worker_state.Worker],
    now: float,
    interference_model: interference_models.InterferenceModel,
    job: str,
    avoided: Iterable[str],
    siblings: dict[str, int],
    trial: Hashable = None,
) -> worker_state.Worker | None:
    """Return the worker for a task that may crash it, or None.

    Answers crashes that take other tasks along: the worker on which least is at
    work is chosen, and one on which no other job's task has just started, as
    that would leave open which of both caused the next crash.

    Args:
        step: The step of the task.
        workers: Workers of its service.
        now: Current time on the steady clock.
        interference_model: Learned slowdowns of long-running tasks.
        job: Id of the task's job.
        avoided: Ids of workers on which the task failed or from which it was
            moved; used only if no other worker has room.
        siblings: Number of tasks of its step on each worker, by id.
        trial: See `circuit_breaker.CircuitBreaker.allows`.
    """
    return max(
        (
            worker
            for worker, _ in _eligible(
                step, workers, now, interference_model, siblings, False, trial
            )
        ),
        key=lambda worker: (
            worker.record.id not in avoided,
            not worker.has_just_started_others(job, now),
            worker.record.rack == step.data_rack,
            -(worker.cpu_reserved + worker.cpu_best_effort),
        ),
        default=None,
    )


def _eligible(
    step: demands.StepDemand,
    workers: Iterable[worker_state.Worker],
    now: float,
    interference_model: interference_models.InterferenceModel,
    siblings: dict[str, int] | None,
    force: bool,
    trial: Hashable,
) -> Iterator[tuple[worker_state.Worker, float]]:
    """Yield the workers that a task may go to, each with its score.

    See `choose_worker` for the arguments.
    """
    for worker in workers:
        if worker.draining or not worker.in_touch:
            continue
        if not worker.breaker.allows(now, trial):
            continue
        count = siblings.get(worker.record.id, 0) if siblings else 0
        score = _score_if_eligible(
            step, worker, interference_model, count, force
        )
        if score is not None:
            yield worker, score


class Candidates:
    """The workers that could take tasks of one step, best first.

    Placing a task changes the score of one worker only, so the tasks of a step
    cost at most one look at each worker together, and not one look each.  The
    choices are those that `choose_worker` makes for one task after the other.

    Attributes:
        step: The step.
        siblings: Number of tasks of the step on each worker, by id; the caller
            keeps it up to date.
    """

    def __init__(
        self,
        step: demands.StepDemand,
        workers: Iterable[worker_state.Worker],
        now: float,
        interference_model: interference_models.InterferenceModel,
        siblings: dict[str, int],
        trial: Hashable = None,
    ):
        """Score the workers.

        Args:
            step: The step.
            workers: Workers that are in touch and are not draining.
            now: Current time on the steady clock.
            interference_model: Learned slowdowns of long-running tasks.
            siblings: See the class.
            trial: See `circuit_breaker.CircuitBreaker.allows`.
        """
        self.step = step
        self.siblings = siblings
        self._now = now
        self._trial = trial
        self._interference_model = interference_model
        # Positions of the workers, and how often each was scored again.
        self._numbers: dict[str, int] = {}
        self._versions: dict[str, int] = {}
        # Negative score or a lower bound of it, position, version of the score,
        # whether it is the score, and the worker.  Most workers are never
        # chosen, so a worker is scored when no other can be better.
        self._heap: list[_Entry] = []
        fills = step.fills and not step.lasting
        cpu = step.cpu
        for number, worker in enumerate(workers):
            free = worker.free_cpu()
            # Most workers lack the processors for a task.
            if fills:
                if free < cpu:
                    continue
            elif not step.fills and (
                worker.cpu_reserved + cpu > worker.capacity.cpu
            ):
                continue
            self._numbers[worker.record.id] = number
            if not step.lasting:
                # Everything else lowers the score.
                self._heap.append((-free, number, 0, False, worker))
                continue
            entry = self._entry(number, worker)
            if entry is not None:
                self._heap.append(entry)
        heapq.heapify(self._heap)

    def _entry(self, number: int, worker: worker_state.Worker) -> _Entry | None:
        if not worker.breaker.allows(self._now, self._trial):
            return None
        score = _score_if_eligible(
            self.step,
            worker,
            self._interference_model,
            self.siblings.get(worker.record.id, 0),
            False,
        )
        if score is None:
            return None
        version = self._versions.get(worker.record.id, 0)
        return -score, number, version, True, worker

    def best(self) -> worker_state.Worker | None:
        """Return the best worker for the next task, or None if none fits."""
        while self._heap:
            _, number, version, is_scored, worker = self._heap[0]
            if version != self._versions.get(worker.record.id, 0):
                heapq.heappop(self._heap)
                continue
            if is_scored:
                return worker
            entry = self._entry(number, worker)
            if entry is None:
                heapq.heappop(self._heap)
            else:
                heapq.heapreplace(self._heap, entry)
        return None

    def update(self, worker: worker_state.Worker) -> None:
        """Score a worker again, after a task was placed on it."""
        self._versions[worker.record.id] = (
            self._versions.get(worker.record.id, 0) + 1
        )
        entry = self._entry(self._numbers[worker.record.id], worker)
        if entry is not None:
            heapq.heappush(self._heap, entry)

    def remove(self, worker: worker_state.Worker) -> None:
        """Leave a worker out, on which no more tasks may be placed."""
        self._versions[worker.record.id] = (
            self._versions.get(worker.record.id, 0) + 1
        )


def _score_if_eligible(
    step: demands.StepDemand,
    worker: worker_state.Worker,
    interference_model: interference_models.InterferenceModel,
    siblings: int,
    force: bool,
) -> float | None:
    """Return a worker's score, or None if a task should not go there.

    Args:
        step: The step of the task.
        worker: The worker.
        interference_model: Learned slowdowns of long-running tasks.
        siblings: Number of tasks of the step on the worker.
        force: See `choose_worker`.
    """
    if not worker.has_room_for(step) or not worker.has_label(step):
        return None
    if step.max_per_worker and siblings >= step.max_per_worker:
        return None
    score = _score(step, worker, interference_model, force)
    if score is None:
        return None
    if step.data_rack and worker.record.rack != step.data_rack:
        score -= 3 * worker.capacity.cpu
    return score - siblings


def _score(
    step: demands.StepDemand,
    worker: worker_state.Worker,
    interference_model: interference_models.InterferenceModel,
    force: bool,
) -> float | None:
    """Return a worker's score in thousandths of a core; None if unsuitable."""
    cpu = worker.capacity.cpu
    free = worker.free_cpu()
    if step.lasting:
        return cpu - worker.cpu_reserved + _image_affinity(step, worker)
    if not step.fills:
        return free
    if free < step.cpu and not force:
        return None
    worst_slowdown = 0.0
    penalty = 0.0
    overcommit = max(
        0.0, (step.cpu - free) / cpu + 1.0 - pacing.UNCONTENDED_SHARE
    )
    if not worker.neighbours:
        return free
    shares = {
        image: best_effort_cpu / cpu
        for image, best_effort_cpu in worker.best_effort_cpu.items()
    }
    for neighbour in worker.neighbours.values():
        image = neighbour.image
        if not force and not interference_model.admits(
            image, step.image, shares
        ):
            return None
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
                + interference_model.slowdown(image, shares)
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
    """Return how well a long-running task fits those already on a worker.

    Cores used by tasks of the same image count for the worker, cores used by
    tasks of other images against it.

    Images differ in the best-effort tasks that they tolerate, so workers with
    few images have room for more kinds of best-effort tasks.
    """
    same = sum(
        run.step.cpu if run.step.image == step.image else -run.step.cpu
        for run in worker.runs.values()
        if run.step.lasting
    )
    return IMAGE_WEIGHT * same
