"""Metrics of one run of the placement benchmark."""

from turmerichall.benchmarks import placement_ground_truth as ground_truths
from turmerichall.benchmarks import placement_workers as fake_workers
from turmerichall.customers import customer as customers
from turmerichall.placement import decisions
from turmerichall.placement import views

__all__ = ["COLUMNS", "RunMetrics", "percentile"]

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


class RunMetrics:
    """Metrics of one simulated run of a scenario.

    Attributes:
        slowdowns: True slowdown of each service task in each step.
        evictions: Evictions that the planner decided.
        lost_work_seconds: Work lost by ended attempts because no checkpoint
            covered it.
        capacity_violations: Starts that exceeded a worker's capacity or slots.
        duplicate_starts: Starts of a task that was still running elsewhere.
        urgent_wait_seconds: Time from submission to the first start of each
            urgent batch task, or to the end of the run if it did not start.
        killed: Tasks killed because a worker's memory was exhausted.
        abandoned: Tasks not started again after too many failures, except those
            of jobs that are meant to fail.
        abandoned_bad_tasks: Tasks not started again after too many failures, of
            jobs that are meant to fail.
        overcommitted_seconds: Time in which the tasks of a worker demanded more
            processors than it has, summed over workers.
        forecasts: By job, when its finish time was last estimated and the
            estimate.
    """

    def __init__(self) -> None:
        self.slowdowns: list[float] = []
        self.evictions = 0
        self.throttles = 0
        self.lost_work_seconds = 0.0
        self.capacity_violations = 0
        self.duplicate_starts = 0
        self.killed = 0
        self.abandoned = 0
        self.abandoned_bad_tasks = 0
        self.service_down_seconds = 0.0
        self.service_down_since: dict[str, float] = {}
        self.urgent_waiting_since: dict[str, float] = {}
        self.urgent_wait_seconds: list[float] = []
        self.batch_tasks = 0
        self.finished_batch_tasks = 0
        self.work_processor_seconds = 0.0
        self.worker_seconds = 0.0
        self.overcommitted_seconds = 0.0
        self.plan_seconds: list[float] = []
        self.starts = 0
        self.seconds = 0.0
        self.forecasts: dict[str, tuple[float, float]] = {}
        self.job_ends: dict[str, float] = {}

    def record_submission(
        self, task: views.TaskView, now: float, event_at: float
    ) -> None:
        """Record that a task was submitted at `event_at`.

        `now` is the time of the simulation step that handles the submission.
        """
        if task.service:
            self.service_down_since[task.task_id] = now
            return
        self.batch_tasks += 1
        if task.urgency == customers.Urgency.URGENT:
            self.urgent_waiting_since[task.task_id] = event_at

    def record_cancellation(self, task_id: str) -> None:
        """Remove a cancelled batch task and its job's forecast."""
        self.batch_tasks -= 1
        self.forecasts.pop(views.job_id_of(task_id), None)

    def record_start(
        self, task: views.TaskView, now: float, event_at: float
    ) -> None:
        """Record that a task started at `event_at`.

        `now` is the time of the simulation step that handles the start.
        """
        waiting_since = self.urgent_waiting_since.pop(task.task_id, None)
        if waiting_since is not None:
            self.urgent_wait_seconds.append(event_at - waiting_since)
        down_since = self.service_down_since.pop(task.task_id, None)
        if down_since is not None:
            self.service_down_seconds += now - down_since

    def record_requeue(self, task: views.TaskView, now: float) -> None:
        """Record that an attempt ended and its task waits again."""
        if task.service:
            self.service_down_since[task.task_id] = now

    def record_finish(
        self,
        task: views.TaskView,
        behavior: ground_truths.TemplateBehavior,
        now: float,
    ) -> None:
        """Record a finished batch task."""
        self.finished_batch_tasks += 1
        work = behavior.used.processors * behavior.run_seconds
        self.work_processor_seconds += work
        self.job_ends[views.job_id_of(task.task_id)] = now

    def record_abandonment(
        self, task: views.TaskView, from_bad_job: bool
    ) -> None:
        """Record a task that failed too often to be started again."""
        if from_bad_job:
            self.abandoned_bad_tasks += 1
            self.batch_tasks -= 1
        else:
            self.abandoned += 1
        self.forecasts.pop(views.job_id_of(task.task_id), None)

    def record_forecast(
        self, job_id: str, finish_at: float, now: float
    ) -> None:
        """Record the estimate made at `now` of a job's finish time."""
        self.forecasts[job_id] = (now, finish_at)

    def record_plan(self, seconds: float, plan: decisions.Plan) -> None:
        """Record the plan of one planning step, which took `seconds`."""
        self.plan_seconds.append(seconds)
        self.starts += len(plan.starts)
        self.throttles += len(plan.throttles)

    def sample(self, worker: fake_workers.FakeWorker, seconds: float) -> None:
        """Record a worker's load and the slowdowns of its services.

        Args:
            worker: The worker.
            seconds: Length of the simulation step.
        """
        self.worker_seconds += seconds
        if worker.demand() > worker.view.capacity.processors:
            self.overcommitted_seconds += seconds
        slowdowns = worker.find_slowdowns()
        for running in worker.tasks.values():
            if running.task.service:
                self.slowdowns.append(slowdowns[running.behavior.name])

    def close(self, unfinished: list[views.TaskView], now: float) -> None:
        """Complete the metrics at the end of a run."""
        self.seconds = now
        for since in self.urgent_waiting_since.values():
            self.urgent_wait_seconds.append(now - since)
        for since in self.service_down_since.values():
            self.service_down_seconds += now - since
        for task in unfinished:
            self.forecasts.pop(views.job_id_of(task.task_id), None)

    def median_forecast_error(self) -> float:
        """Return the median relative error of the forecast finish times.

        Each error is relative to the time from the forecast to the job's end.
        """
        errors = []
        for job_id, (made_at, finish_at) in self.forecasts.items():
            ended_at = self.job_ends.get(job_id)
            if ended_at is not None and ended_at > made_at:
                errors.append(abs(finish_at - ended_at) / (ended_at - made_at))
        return percentile(errors, 0.5)

    def row(self) -> list[float]:
        """Return the values of `COLUMNS` in their order."""
        hours = self.seconds / 3600.0
        planning = max(sum(self.plan_seconds), 1e-9)
        return [
            percentile(self.slowdowns, 0.5),
            percentile(self.slowdowns, 0.99),
            self.service_down_seconds,
            100.0 * self.finished_batch_tasks / max(1, self.batch_tasks),
            self.work_processor_seconds / 3600.0 / hours,
            self.evictions,
            self.lost_work_seconds / 3600.0,
            self.killed,
            self.abandoned,
            100.0 * self.overcommitted_seconds / max(1.0, self.worker_seconds),
            self.capacity_violations,
            self.duplicate_starts,
            100.0 * self.median_forecast_error(),
            1000.0 * percentile(self.plan_seconds, 0.99),
            self.starts / planning,
            percentile(self.urgent_wait_seconds, 0.99),
        ]


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile of the values, or 0 if there are none.

    Args:
        values: The values in any order.
        fraction: The percentile as a fraction, such as 0.99.

    Examples:
        >>> percentile([3.0, 1.0, 2.0], 0.5)
        2.0
        >>> percentile([], 0.99)
        0.0
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
