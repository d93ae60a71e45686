"""The workers with all they hold, and what was learnt from their reports."""

from turmerichall import resources
from turmerichall.placement import health
from turmerichall.placement import interference
from turmerichall.placement import occupancy
from turmerichall.placement import ranking
from turmerichall.placement import reservations
from turmerichall.placement import sizes
from turmerichall.placement import views

__all__ = ["Fleet", "situation"]

MAX_REPORT_AGE_SECONDS = 150.0
EXCESS_KEPT_SECONDS = 10.0
# The margin of a service is not kept free if nothing of it was measured for
# this long.
UNMEASURED_AFTER_SECONDS = 300.0
# A service task that takes longer to move does not hold up others.
MOVE_SECONDS = 60.0
# Share of a worker that is kept for tasks with accelerators, at most.
MAX_KEPT_SHARE = 0.5


class Fleet:
    """Keeps what is held where, and learns from reports.

    Attributes:
        workers: Occupancy by worker name.
        worker_of: Worker that holds each held task.
        learnt: Sizes and run times by template.
        estimator: Interference between templates.
        health: Which workers and jobs fail.
        rankings: Orders of workers that must hear of each change.
        troubled: Workers on which something may have to be throttled or
            evicted, oldest first.
        spread: Service tasks by customer and template, then by rack.
        learns_sizes: Whether learnt sizes are used.
        reservations: Room that is being made.
        spare: Worker that is kept free of batch tasks, or empty.
        margin_share: Share of the services' margin that batch tasks may use.
        per_accelerator: Most that a task was seen to need beside each of its
            accelerators.
        wanted: Service tasks that wait or run, by customer and template.
        moving: Service tasks between places, with the time of the last step,
            by customer and template.
        measured: Templates whose slowdown was ever measured.
        first_held_at: When a task of each service was first held.
    """

    def __init__(
        self, estimator: interference.Estimator, learns_sizes: bool
    ) -> None:
        self.workers: dict[str, occupancy.Occupancy] = {}
        self.worker_of: dict[str, str] = {}
        self.learnt = sizes.LearntSizes()
        self.estimator = estimator
        self.health = health.Health()
        self.rankings = ranking.Rankings()
        self.troubled: dict[str, None] = {}
        self.spread: dict[tuple[str, str], dict[str, int]] = {}
        self.learns_sizes = learns_sizes
        self.reservations = reservations.Reservations()
        self.spare = ""
        self.margin_share = 1.0
        self.per_accelerator = resources.NOTHING
        self.wanted: dict[tuple[str, str], dict[str, None]] = {}
        self.moving: dict[tuple[str, str], dict[str, float]] = {}
        self.excess: dict[str, tuple[int, float, dict[str, float]]] = {}
        self.measured: set[str] = set()
        self.first_held_at: dict[str, float] = {}

    def put_worker(self, view: views.WorkerView, now: float) -> None:
        """Adds a worker or takes over its new announcement."""
        known = self.workers.get(view.name)
        if known is None:
            self.workers[view.name] = occupancy.Occupancy(view)
        else:
            if not known.present:
                self.health.record_return(view.name, now)
            elif known.view == view:
                return
            known.update(view)
        if not view.capacity.fits_in(self.learnt.largest):
            self.learnt.largest = self.learnt.largest.higher(view.capacity)
        self.rankings.mark(view.name)
        if view.leaving:
            self.troubled[view.name] = None

    def drop_worker(self, name: str) -> None:
        """Stops using a worker; what it holds counts until its end is noted."""
        known = self.workers.get(name)
        if known is None:
            return
        known.present = False
        self.rankings.mark(name)
        if not known.held:
            self._forget(name)

    def size_of(self, task: views.TaskView) -> resources.Resources:
        """Returns what a task counts for when it is placed."""
        if not self.learns_sizes:
            return task.size
        return self.learnt.size(task.template, task.size)

    def size_on(
        self, task: views.TaskView, known: occupancy.Occupancy
    ) -> resources.Resources:
        """Returns what a task counts for on a worker.

        A learnt size larger than the worker counts as all of it, so that the
        task can run there alone.
        """
        learnt = self.size_of(task).lower(known.view.capacity)
        return task.size.higher(learnt)

    def note_accelerated(self, task: views.TaskView) -> None:
        """Notes what a task needs beside each of its accelerators."""
        count = task.size.accelerators
        if count:
            processors = task.size.processors / count
            memory_mb = task.size.memory_mb // count
            needed = resources.Resources(processors, memory_mb)
            self.per_accelerator = self.per_accelerator.higher(needed)

    def kept_for_accelerators(
        self, known: occupancy.Occupancy
    ) -> resources.Resources:
        """Returns what other tasks must leave free beside accelerators."""
        count = max(0, known.free.accelerators)
        if not count:
            return resources.NOTHING
        share = MAX_KEPT_SHARE
        needed = self.per_accelerator
        return resources.Resources(
            min(
                needed.processors * count,
                known.view.capacity.processors * share,
            ),
            min(
                needed.memory_mb * count,
                int(known.view.capacity.memory_mb * share),
            ),
        )

    def use_of(self, task: views.TaskView) -> float:
        """Returns the processors that a task is expected to use."""
        if not self.learns_sizes:
            return task.size.processors
        return self.learnt.use(task.template, task.size)

    def run_seconds(self, task: views.TaskView) -> float:
        """Returns the expected run time of a batch task, in seconds."""
        if not self.learns_sizes:
            return task.run_seconds
        return self.learnt.run_seconds(task.template, task.run_seconds)

    def hold(
        self, task: views.TaskView, worker: str, attempt: int, now: float
    ) -> occupancy.Held:
        """Counts a task against a worker from now on."""
        known = self._known(worker)
        size = self.size_on(task, known)
        use = self.use_of(task)
        held = occupancy.Held(task, worker, attempt, size, use, now)
        known.hold(held)
        self.worker_of[task.task_id] = worker
        self.health.record_placement(worker, task.task_id)
        if task.service:
            self.first_held_at.setdefault(task.template, now)
            self._count_service(task, known, 1)
            self.note_wanted(task)
            self.note_moving(task, now)
        self.rankings.mark(worker)
        return held

    def record_start(self, held: occupancy.Held, at: float) -> None:
        """Notes that a start was carried out."""
        if held.started_at is None:
            held.started_at = at
            self.workers[held.worker].record(at)
            self.note_settled(held.task)

    def note_wanted(self, task: views.TaskView) -> None:
        """Notes that a service task waits or runs."""
        group = (task.customer, task.template)
        self.wanted.setdefault(group, {})[task.task_id] = None

    def note_unwanted(self, task: views.TaskView) -> None:
        """Notes that a service task neither waits nor runs any more."""
        group = (task.customer, task.template)
        self.wanted.get(group, {}).pop(task.task_id, None)
        self.note_settled(task)

    def note_moving(self, task: views.TaskView, now: float) -> None:
        """Notes that a service task is between two places."""
        group = (task.customer, task.template)
        self.moving.setdefault(group, {})[task.task_id] = now

    def note_settled(self, task: views.TaskView) -> None:
        """Notes that a service task runs, or is not wanted any more."""
        group = (task.customer, task.template)
        self.moving.get(group, {}).pop(task.task_id, None)

    def may_move(self, task: views.TaskView, now: float) -> bool:
        """Tells whether no other task of the same service is moving."""
        group = (task.customer, task.template)
        steps = self.moving.get(group, {}).values()
        return all(at + MOVE_SECONDS < now for at in steps)

    def release(
        self, task_id: str, worker: str, at: float
    ) -> occupancy.Held | None:
        """Counts a task no longer; None if that worker does not hold it."""
        known = self.workers.get(worker)
        held = None if known is None else known.release(task_id, at)
        if known is None or held is None:
            return None
        del self.worker_of[task_id]
        if held.task.service:
            self._count_service(held.task, known, -1)
        self.rankings.mark(worker)
        if not known.present and not known.held:
            self._forget(worker)
        return held

    def held(self, task_id: str, worker: str) -> occupancy.Held | None:
        """Returns what a worker holds for a task."""
        known = self.workers.get(worker)
        return None if known is None else known.held.get(task_id)

    def put_usage(self, report: views.UsageReport, now: float) -> None:
        """Takes in a measurement, which may be late or out of order."""
        known = self.workers.get(report.worker)
        if known is None or now - report.measured_at > MAX_REPORT_AGE_SECONDS:
            return
        held = known.held.get(report.task_id)
        if held is not None and held.attempt == report.attempt:
            if report.measured_at == held.measured_at:
                return
            if held.measure(report):
                self._measured(known, held, report)
        if report.slowdown > 0:
            self._attribute(known, report)

    def _measured(
        self,
        known: occupancy.Occupancy,
        held: occupancy.Held,
        report: views.UsageReport,
    ) -> None:
        if held.throttle >= 1.0 and report.usage.processors > 0:
            self.learnt.of(held.task.template).measure(report.usage)
        if self.learns_sizes:
            self._resize(known, held, report.usage)
        if known.free.processors < 0 or known.free.memory_mb < 0:
            self.troubled[report.worker] = None
        if held.over_share > 1.0 or held.task.service:
            self.troubled[report.worker] = None

    def _resize(
        self,
        known: occupancy.Occupancy,
        held: occupancy.Held,
        usage: resources.Resources,
    ) -> None:
        size = self.size_on(held.task, known)
        size = size.higher(usage.lower(known.view.capacity))
        use = self.use_of(held.task) * held.throttle
        changed = abs(size.processors - held.size.processors) > 0.05
        changed = changed or size.memory_mb != held.size.memory_mb
        if changed or abs(use - held.use) > 0.1 * held.use + 0.05:
            known.resize(held, size, use)
            self.rankings.mark(known.view.name)

    def _attribute(
        self, known: occupancy.Occupancy, report: views.UsageReport
    ) -> None:
        """Learns from who ran beside the task when it was measured."""
        running = known.past.at(report.measured_at)
        victim = None
        pressing: dict[str, float] = {}
        for presence in running:
            template = presence.template
            pressing[template] = pressing.get(template, 0.0) + presence.use
            if presence.task_id == report.task_id:
                if presence.attempt == report.attempt:
                    victim = presence
        if victim is None:
            return
        self.measured.add(victim.template)
        capacity = known.view.capacity.processors
        seen = situation(victim.template, victim.use, pressing, capacity)
        self.estimator.learn(seen, report.slowdown - 1.0, report.measured_at)

    def is_measured(self, service: str, now: float) -> bool:
        """Tells whether the slowdown of a service is measured.

        One that has not run for long is taken to be.

        Args:
            service: Name of its template.
            now: The caller's monotonic clock, in seconds.
        """
        if service in self.measured:
            return True
        since = self.first_held_at.get(service, now)
        return now - since < UNMEASURED_AFTER_SECONDS

    def excess_on(
        self, known: occupancy.Occupancy, now: float
    ) -> dict[str, float]:
        """Returns the expected excess slowdown by template on a worker.

        For each template the rarely exceeded value is kept under the name
        followed by `+`.
        """
        name = known.view.name
        kept = self.excess.get(name)
        if kept is not None and kept[0] == known.version:
            if now - kept[1] < EXCESS_KEPT_SECONDS:
                return kept[2]
        capacity = known.view.capacity.processors
        found: dict[str, float] = {}
        for template, use in known.pressing.items():
            own = min(use, self._own_use(known, template))
            asked = situation(template, own, known.pressing, capacity)
            estimate = self.estimator.estimate(asked)
            found[template] = estimate.excess
            found[template + "+"] = estimate.upper(1.0)
        self.excess[name] = (known.version, now, found)
        return found

    def _own_use(self, known: occupancy.Occupancy, template: str) -> float:
        for held in known.held.values():
            if held.task.template == template:
                return held.use
        return 0.0

    def _count_service(
        self, task: views.TaskView, known: occupancy.Occupancy, sign: int
    ) -> None:
        group = (task.customer, task.template)
        racks = self.spread.setdefault(group, {})
        rack = known.view.rack
        racks[rack] = racks.get(rack, 0) + sign

    def _known(self, worker: str) -> occupancy.Occupancy:
        if worker not in self.workers:
            unknown = views.WorkerView(worker, "", "", resources.NOTHING)
            self.workers[worker] = occupancy.Occupancy(unknown)
            self.workers[worker].present = False
        return self.workers[worker]

    def _forget(self, name: str) -> None:
        del self.workers[name]
        self.excess.pop(name, None)
        self.troubled.pop(name, None)


def situation(
    victim: str, own_use: float, pressing: dict[str, float], capacity: float
) -> interference.Situation:
    """Describes a task among its neighbours.

    Args:
        victim: Template of the task.
        own_use: Processors of the task itself, part of `pressing`.
        pressing: Processors in use by template, the task included.
        capacity: Processors of the worker.

    Examples:
        >>> situation("a", 2.0, {"a": 2.0, "b": 4.0}, 8.0)
        Situation(victim='a', load=0.75, neighbours=(('b', 0.5),))
    """
    capacity = max(capacity, 0.01)
    neighbours = []
    load = 0.0
    for template, use in pressing.items():
        load += use
        if template == victim:
            use -= own_use
        if use > 1e-9:
            neighbours.append((template, use / capacity))
    return interference.Situation(victim, load / capacity, tuple(neighbours))
