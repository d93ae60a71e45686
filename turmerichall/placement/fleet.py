"""State of all workers, and estimates learnt from their usage reports."""

from turmerichall import resources
from turmerichall.placement import health
from turmerichall.placement import interference
from turmerichall.placement import ranking
from turmerichall.placement import reservations
from turmerichall.placement import sizes
from turmerichall.placement import views
from turmerichall.placement import worker_state

__all__ = ["Fleet", "colocation"]

MAX_REPORT_AGE_SECONDS = 150.0
EXCESS_CACHE_SECONDS = 10.0
# A service is protected from slowdown by batch tasks if its slowdown has ever
# been measured; otherwise only for this time after it was first placed.
UNMEASURED_AFTER_SECONDS = 300.0
# A service task that is being moved for longer than this no longer prevents
# other tasks of its service from being moved.
MOVE_TIMEOUT_SECONDS = 60.0
# Maximum share of a worker's processors and memory that is reserved for tasks
# with accelerators.
MAX_ACCELERATOR_RESERVE_SHARE = 0.5


class Fleet:
    """Allocations of all workers, and estimates learnt from usage reports.

    Attributes:
        workers: State by worker name.
        worker_of: Name of the worker by id of each allocated task.
        learnt: Learnt sizes and run times by template.
        estimator: Estimator of the interference between templates.
        health: Failure records of workers and jobs.
        rankings: Workers ranked by cost, by `waiting.Shape`; each change of a
            worker requires a call of `rankings.invalidate`.
        pending_checks: Workers on which tasks may have to be throttled or
            evicted, oldest first.
        service_racks: Number of service tasks by customer and template, then by
            rack.
        learns_sizes: Whether learnt sizes and run times are used.
        reservations: Capacity reserved for tasks that others are evicted for.
        spare: Name of the worker that is kept free of batch tasks that are not
            urgent, or empty.
        margin_share: Share, up to 1.0, of the permitted excess slowdown of
            services that is not to be exceeded when a batch task is placed
            beside them.
        reserve_per_accelerator: Largest number of processors and amount of
            memory per accelerator that any task has declared.
        service_tasks: Waiting and running service tasks by customer and
            template.
        moving: Service tasks that are being moved or started, with the time of
            the last step of this, by customer and template.
        excess_cache: Cached result of `excess_on`, with the version of the
            worker and the time that it was computed for, by worker name.
        measured: Names of service templates whose slowdown was ever measured.
        first_placed_at: Time at which a task of a service was first placed, by
            template.
    """

    def __init__(
        self, estimator: interference.Estimator, learns_sizes: bool
    ) -> None:
        self.workers: dict[str, worker_state.WorkerState] = {}
        self.worker_of: dict[str, str] = {}
        self.learnt = sizes.LearntSizes()
        self.estimator = estimator
        self.health = health.Health()
        self.rankings = ranking.Rankings()
        self.pending_checks: dict[str, None] = {}
        self.service_racks: dict[tuple[str, str], dict[str, int]] = {}
        self.learns_sizes = learns_sizes
        self.reservations = reservations.Reservations()
        self.spare = ""
        self.margin_share = 1.0
        self.reserve_per_accelerator = resources.ZERO
        self.service_tasks: dict[tuple[str, str], dict[str, None]] = {}
        self.moving: dict[tuple[str, str], dict[str, float]] = {}
        self.excess_cache: dict[str, tuple[int, float, dict[str, float]]] = {}
        self.measured: set[str] = set()
        self.first_placed_at: dict[str, float] = {}

    def put_worker(self, view: views.WorkerView, now: float) -> None:
        """Add a worker or apply its new announcement."""
        state = self.workers.get(view.name)
        if state is None:
            self.workers[view.name] = worker_state.WorkerState(view)
        else:
            if not state.present:
                self.health.record_return(view.name, now)
            elif state.view == view:
                return
            state.update(view)
        if not view.capacity.fits_in(self.learnt.largest):
            self.learnt.largest = self.learnt.largest.maximum(view.capacity)
        self.rankings.invalidate(view.name)
        if view.leaving:
            self.pending_checks[view.name] = None

    def drop_worker(self, name: str) -> None:
        """Place no more tasks on a worker.

        Its allocations remain until they are released.
        """
        state = self.workers.get(name)
        if state is None:
            return
        state.present = False
        self.rankings.invalidate(name)
        if not state.allocations:
            self._remove(name)

    def size_of(self, task: views.TaskView) -> resources.Resources:
        """Return the size to allocate to a task, independent of the worker."""
        if not self.learns_sizes:
            return task.size
        return self.learnt.size(task.template, task.size)

    def size_on(
        self, task: views.TaskView, state: worker_state.WorkerState
    ) -> resources.Resources:
        """Return the resources to allocate to a task on a given worker.

        A learnt size larger than the worker is limited to its capacity, so that
        the task can still run there alone.
        """
        learnt = self.size_of(task).minimum(state.view.capacity)
        return task.size.maximum(learnt)

    def record_accelerator_task(self, task: views.TaskView) -> None:
        """Raise the reserve per accelerator if a task declares more."""
        count = task.size.accelerators
        if count:
            processors = task.size.processors / count
            memory_mb = task.size.memory_mb // count
            needed = resources.Resources(processors, memory_mb)
            self.reserve_per_accelerator = self.reserve_per_accelerator.maximum(
                needed
            )

    def accelerator_reserve(
        self, state: worker_state.WorkerState
    ) -> resources.Resources:
        """Return the resources reserved on a worker for its free accelerators.

        Tasks without accelerators must leave them free; otherwise the free
        accelerators would be unusable for lack of processors or memory.
        """
        count = max(0, state.free.accelerators)
        if not count:
            return resources.ZERO
        share = MAX_ACCELERATOR_RESERVE_SHARE
        needed = self.reserve_per_accelerator
        return resources.Resources(
            min(
                needed.processors * count,
                state.view.capacity.processors * share,
            ),
            min(
                needed.memory_mb * count,
                int(state.view.capacity.memory_mb * share),
            ),
        )

    def expected_use(self, task: views.TaskView) -> float:
        """Return the number of processors that a task is expected to use."""
        if not self.learns_sizes:
            return task.size.processors
        return self.learnt.expected_use(task.template, task.size)

    def run_seconds(self, task: views.TaskView) -> float:
        """Return the expected run time of a batch task, in seconds."""
        if not self.learns_sizes:
            return task.run_seconds
        return self.learnt.run_seconds(task.template, task.run_seconds)

    def allocate(
        self, task: views.TaskView, worker: str, attempt: int, now: float
    ) -> worker_state.Allocation:
        """Allocate capacity of a worker to a task, even if it does not fit."""
        state = self._get_or_add(worker)
        size = self.size_on(task, state)
        use = self.expected_use(task)
        allocation = worker_state.Allocation(
            task, worker, attempt, size, use, now
        )
        state.allocate(allocation)
        self.worker_of[task.task_id] = worker
        self.health.record_placement(worker, task.task_id)
        if task.service:
            self.first_placed_at.setdefault(task.template, now)
            self._count_service(task, state, 1)
            self.add_service_task(task)
            self.mark_moving(task, now)
        self.rankings.invalidate(worker)
        return allocation

    def record_start(
        self, allocation: worker_state.Allocation, at: float
    ) -> None:
        """Record that the worker has started the task of an allocation."""
        if allocation.started_at is None:
            allocation.started_at = at
            self.workers[allocation.worker].record_running(at)
            self.mark_settled(allocation.task)

    def add_service_task(self, task: views.TaskView) -> None:
        """Record that a service task waits or runs."""
        group = (task.customer, task.template)
        self.service_tasks.setdefault(group, {})[task.task_id] = None

    def remove_service_task(self, task: views.TaskView) -> None:
        """Record that a service task neither waits nor runs any more."""
        group = (task.customer, task.template)
        self.service_tasks.get(group, {}).pop(task.task_id, None)
        self.mark_settled(task)

    def mark_moving(self, task: views.TaskView, now: float) -> None:
        """Record that a service task is being moved or started."""
        group = (task.customer, task.template)
        self.moving.setdefault(group, {})[task.task_id] = now

    def mark_settled(self, task: views.TaskView) -> None:
        """Record that a service task is no longer being moved or started."""
        group = (task.customer, task.template)
        self.moving.get(group, {}).pop(task.task_id, None)

    def may_move(self, task: views.TaskView, now: float) -> bool:
        """Return whether a service task may be moved.

        It may not while a task of the same service and customer is being moved
        or started, unless that takes longer than `MOVE_TIMEOUT_SECONDS`.
        """
        group = (task.customer, task.template)
        steps = self.moving.get(group, {}).values()
        return all(at + MOVE_TIMEOUT_SECONDS < now for at in steps)

    def release(
        self, task_id: str, worker: str, at: float
    ) -> worker_state.Allocation | None:
        """Remove and return the allocation of a task; None if it has none."""
        state = self.workers.get(worker)
        allocation = None if state is None else state.release(task_id, at)
        if state is None or allocation is None:
            return None
        del self.worker_of[task_id]
        if allocation.task.service:
            self._count_service(allocation.task, state, -1)
        self.rankings.invalidate(worker)
        if not state.present and not state.allocations:
            self._remove(worker)
        return allocation

    def allocation(
        self, task_id: str, worker: str
    ) -> worker_state.Allocation | None:
        """Return the allocation of a task on a worker, or None."""
        state = self.workers.get(worker)
        return None if state is None else state.allocations.get(task_id)

    def put_usage(self, report: views.UsageReport, now: float) -> None:
        """Apply a usage report, which may be late or out of order."""
        state = self.workers.get(report.worker)
        if state is None or now - report.measured_at > MAX_REPORT_AGE_SECONDS:
            return
        allocation = state.allocations.get(report.task_id)
        if allocation is not None and allocation.attempt == report.attempt:
            if report.measured_at == allocation.measured_at:
                return
            if allocation.measure(report):
                self._apply_measurement(state, allocation, report)
        if report.slowdown > 0:
            self._learn_interference(state, report)

    def _apply_measurement(
        self,
        state: worker_state.WorkerState,
        allocation: worker_state.Allocation,
        report: views.UsageReport,
    ) -> None:
        if allocation.throttle >= 1.0 and report.usage.processors > 0:
            self.learnt.stats_of(allocation.task.template).add_measurement(
                report.usage
            )
        if self.learns_sizes:
            self._resize(state, allocation, report.usage)
        if state.free.processors < 0 or state.free.memory_mb < 0:
            self.pending_checks[report.worker] = None
        if allocation.over_share > 1.0 or allocation.task.service:
            self.pending_checks[report.worker] = None

    def _resize(
        self,
        state: worker_state.WorkerState,
        allocation: worker_state.Allocation,
        usage: resources.Resources,
    ) -> None:
        size = self.size_on(allocation.task, state)
        size = size.maximum(usage.minimum(state.view.capacity))
        use = self.expected_use(allocation.task) * allocation.throttle
        changed = abs(size.processors - allocation.size.processors) > 0.05
        changed = changed or size.memory_mb != allocation.size.memory_mb
        if changed or abs(use - allocation.use) > 0.1 * allocation.use + 0.05:
            state.resize(allocation, size, use)
            self.rankings.invalidate(state.view.name)

    def _learn_interference(
        self, state: worker_state.WorkerState, report: views.UsageReport
    ) -> None:
        """Update the interference estimates with a measured slowdown.

        It is attributed to the tasks that ran on the worker at the time of the
        measurement.
        """
        running = state.history.running_at(report.measured_at)
        victim = None
        use_by_template: dict[str, float] = {}
        for task in running:
            template = task.template
            use_by_template[template] = (
                use_by_template.get(template, 0.0) + task.use
            )
            if task.task_id == report.task_id:
                if task.attempt == report.attempt:
                    victim = task
        if victim is None:
            return
        self.measured.add(victim.template)
        capacity = state.view.capacity.processors
        colocated = colocation(
            victim.template, victim.use, use_by_template, capacity
        )
        self.estimator.learn(
            colocated, report.slowdown - 1.0, report.measured_at
        )

    def is_measured(self, service: str, now: float) -> bool:
        """Return whether the slowdown of a service was ever measured.

        A service that was first placed less than `UNMEASURED_AFTER_SECONDS` ago
        counts as measured.

        Args:
            service: Name of the template.
            now: The caller's monotonic clock, in seconds.
        """
        if service in self.measured:
            return True
        since = self.first_placed_at.get(service, now)
        return now - since < UNMEASURED_AFTER_SECONDS

    def excess_on(
        self, state: worker_state.WorkerState, now: float
    ) -> dict[str, float]:
        """Return the expected excess slowdown of the tasks on a worker.

        The excess slowdown is the slowdown minus 1.  The keys are the names of
        the tasks' templates.  For each there is a second key, the name followed
        by `+`, whose value is an upper bound: one standard deviation above the
        expected value.
        """
        name = state.view.name
        cached = self.excess_cache.get(name)
        if cached is not None and cached[0] == state.version:
            if now - cached[1] < EXCESS_CACHE_SECONDS:
                return cached[2]
        capacity = state.view.capacity.processors
        found: dict[str, float] = {}
        for template, use in state.use_by_template.items():
            own = min(use, self._own_use(state, template))
            colocated = colocation(
                template, own, state.use_by_template, capacity
            )
            estimate = self.estimator.estimate(colocated)
            found[template] = estimate.excess
            found[template + "+"] = estimate.upper_bound(1.0)
        self.excess_cache[name] = (state.version, now, found)
        return found

    def _own_use(self, state: worker_state.WorkerState, template: str) -> float:
        for allocation in state.allocations.values():
            if allocation.task.template == template:
                return allocation.use
        return 0.0

    def _count_service(
        self, task: views.TaskView, state: worker_state.WorkerState, sign: int
    ) -> None:
        group = (task.customer, task.template)
        racks = self.service_racks.setdefault(group, {})
        rack = state.view.rack
        racks[rack] = racks.get(rack, 0) + sign

    def _get_or_add(self, worker: str) -> worker_state.WorkerState:
        if worker not in self.workers:
            unknown = views.WorkerView(worker, "", "", resources.ZERO)
            self.workers[worker] = worker_state.WorkerState(unknown)
            self.workers[worker].present = False
        return self.workers[worker]

    def _remove(self, name: str) -> None:
        del self.workers[name]
        self.excess_cache.pop(name, None)
        self.pending_checks.pop(name, None)


def colocation(
    victim: str,
    own_use: float,
    use_by_template: dict[str, float],
    capacity: float,
) -> interference.Colocation:
    """Describe a task and its neighbours on a worker.

    Args:
        victim: Template of the task.
        own_use: Processors used by the task itself, part of `use_by_template`.
        use_by_template: Processors in use by template, including the task.
        capacity: Number of processors of the worker.

    Examples:
        >>> colocation("a", 2.0, {"a": 2.0, "b": 4.0}, 8.0)
        Colocation(victim='a', load=0.75, neighbours=(('b', 0.5),))
    """
    capacity = max(capacity, 0.01)
    neighbours = []
    load = 0.0
    for template, use in use_by_template.items():
        load += use
        if template == victim:
            use -= own_use
        if use > 1e-9:
            neighbours.append((template, use / capacity))
    return interference.Colocation(victim, load / capacity, tuple(neighbours))
