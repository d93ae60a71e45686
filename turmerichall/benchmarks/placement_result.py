"""What the placement benchmark measures in one run."""

from turmerichall.benchmarks import placement_ground_truth as ground_truths
from turmerichall.benchmarks import placement_workers as fakes
from turmerichall.customers import customer as customers
from turmerichall.placement import decisions
from turmerichall.placement import views

__all__ = ["COLUMNS", "Measured", "percentile"]

COLUMNS = (
    "slow p50",
    "slow p99",
    "svc down s",
    "finished %",
    "cpu h/h",
    "evicted",
    "lost h",
    "killed",
    "gave up",
    "over cpu %",
    "violations",
    "doubled",
    "forecast err %",
    "plan p99 ms",
    "starts/s",
    "urgent p99 s",
)


class Measured:
    """Counts and samples of one run.

    Attributes:
        slowdowns: True slowdown of each service task in each step.
        evictions: Decided evictions.
        lost_work_seconds: Work done that no checkpoint held when it ended.
        violations: Starts that exceeded a worker's capacity or slots.
        doubled: Starts of a task that still ran elsewhere.
        urgent_waits: Seconds from submission to the first start of each
            urgent batch task; until the end for one that did not start.
        killed: Tasks killed because a worker's memory was exhausted.
    """

    def __init__(self) -> None:
        self.slowdowns: list[float] = []
        self.evictions = 0
        self.throttles = 0
        self.lost_work_seconds = 0.0
        self.violations = 0
        self.doubled = 0
        self.killed = 0
        self.given_up = 0
        self.bad_tasks = 0
        self.service_down_seconds = 0.0
        self.down_since: dict[str, float] = {}
        self.urgent_since: dict[str, float] = {}
        self.urgent_waits: list[float] = []
        self.batch = 0
        self.done = 0
        self.work_processor_seconds = 0.0
        self.worker_seconds = 0.0
        self.over_seconds = 0.0
        self.plan_seconds: list[float] = []
        self.starts = 0
        self.seconds = 0.0
        self.forecasts: dict[str, tuple[float, float]] = {}
        self.job_ends: dict[str, float] = {}

    def submit(self, task: views.TaskView, now: float, at: float) -> None:
        """Counts a task submitted at `at`, in the step of `now`."""
        if task.service:
            self.down_since[task.task_id] = now
            return
        self.batch += 1
        if task.urgency == customers.Urgency.URGENT:
            self.urgent_since[task.task_id] = at

    def cancel(self, task_id: str) -> None:
        """Counts a cancelled task no more."""
        self.batch -= 1
        self.forecasts.pop(views.job_id_of(task_id), None)

    def started(self, task: views.TaskView, now: float, at: float) -> None:
        """Notes that a task runs since `at`, in the step of `now`."""
        urgent_since = self.urgent_since.pop(task.task_id, None)
        if urgent_since is not None:
            self.urgent_waits.append(at - urgent_since)
        since = self.down_since.pop(task.task_id, None)
        if since is not None:
            self.service_down_seconds += now - since

    def waits_again(self, task: views.TaskView, now: float) -> None:
        """Notes that a task runs no more."""
        if task.service:
            self.down_since[task.task_id] = now

    def finished(
        self,
        task: views.TaskView,
        truth: ground_truths.TemplateBehavior,
        now: float,
    ) -> None:
        """Counts a finished batch task."""
        self.done += 1
        work = truth.used.processors * truth.run_seconds
        self.work_processor_seconds += work
        self.job_ends[views.job_id_of(task.task_id)] = now

    def gave_up(self, task: views.TaskView, bad: bool) -> None:
        """Counts a task that failed too often."""
        if bad:
            self.bad_tasks += 1
            self.batch -= 1
        else:
            self.given_up += 1
        self.forecasts.pop(views.job_id_of(task.task_id), None)

    def forecast(self, job_id: str, at: float, now: float) -> None:
        """Keeps an estimated finish time."""
        self.forecasts[job_id] = (now, at)

    def planned(self, seconds: float, plan: decisions.Plan) -> None:
        """Counts one step of the planner."""
        self.plan_seconds.append(seconds)
        self.starts += len(plan.starts)
        self.throttles += len(plan.throttles)

    def step(self, worker: fakes.FakeWorker, seconds: float) -> None:
        """Samples a worker."""
        self.worker_seconds += seconds
        if worker.demand() > worker.view.capacity.processors:
            self.over_seconds += seconds
        slowdowns = worker.find_slowdowns()
        for running in worker.tasks.values():
            if running.task.service:
                self.slowdowns.append(slowdowns[running.truth.name])

    def finish(self, left: list[views.TaskView], now: float) -> None:
        """Closes the counts at the end of a run."""
        self.seconds = now
        for since in self.urgent_since.values():
            self.urgent_waits.append(now - since)
        for since in self.down_since.values():
            self.service_down_seconds += now - since
        for task in left:
            self.forecasts.pop(views.job_id_of(task.task_id), None)

    def forecast_error(self) -> float:
        """Returns the median error of forecasts, as a share of the wait."""
        errors = []
        for job_id, (made, at) in self.forecasts.items():
            ended = self.job_ends.get(job_id)
            if ended is not None and ended > made:
                errors.append(abs(at - ended) / (ended - made))
        return percentile(errors, 0.5)

    def row(self) -> list[float]:
        """Returns the values of `COLUMNS`."""
        hours = self.seconds / 3600.0
        planning = max(sum(self.plan_seconds), 1e-9)
        return [
            percentile(self.slowdowns, 0.5),
            percentile(self.slowdowns, 0.99),
            self.service_down_seconds,
            100.0 * self.done / max(1, self.batch),
            self.work_processor_seconds / 3600.0 / hours,
            self.evictions,
            self.lost_work_seconds / 3600.0,
            self.killed,
            self.given_up,
            100.0 * self.over_seconds / max(1.0, self.worker_seconds),
            self.violations,
            self.doubled,
            100.0 * self.forecast_error(),
            1000.0 * percentile(self.plan_seconds, 0.99),
            self.starts / planning,
            percentile(self.urgent_waits, 0.99),
        ]


def percentile(values: list[float], share: float) -> float:
    """Returns the value that `share` of all values do not exceed.

    Examples:
        >>> percentile([3.0, 1.0, 2.0], 0.5)
        2.0
        >>> percentile([], 0.99)
        0.0
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
