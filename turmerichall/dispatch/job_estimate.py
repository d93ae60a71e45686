"""Estimates for a submitted job, on which admission is decided."""

from collections.abc import Iterable

from turmerichall.dispatch import admission
from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import durations as run_durations
from turmerichall.dispatch import worker_state
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands

__all__ = ["estimate_job", "unschedulable_reason"]


def estimate_job(
    job_id: str,
    queue: configurations.Queue,
    demand: demands.JobDemand,
    all_workers: Iterable[worker_state.Worker],
    backlog: backlogs.Backlog,
    durations: run_durations.DurationEstimator,
) -> admission.JobEstimate:
    """Return the estimates for a job that was submitted.

    Args:
        job_id: Id of the job.
        queue: Its queue.
        demand: The job as its caller described it.
        all_workers: The workers of all services.
        backlog: Waiting tasks.
        durations: Learned run times.
    """
    workers = [
        worker
        for worker in all_workers
        if worker.record.service == queue.service
    ]
    best_effort = all(step.fills for step in demand.steps)
    rate = 0.0
    for worker in workers:
        if worker.in_touch and not (worker.draining or worker.evacuated):
            rate += worker.obtainable_cpu(best_effort) / 1000
    critical_path = demand.critical_path_ms() / 1000
    return admission.JobEstimate(
        job_id,
        demand.lasting or demand.schedule is not None,
        unschedulable_reason(demand, workers),
        queue.objective_seconds(critical_path),
        critical_path,
        _work_ahead(queue, best_effort, backlog, durations),
        rate,
    )


def unschedulable_reason(
    demand: demands.JobDemand, workers: list[worker_state.Worker]
) -> str:
    """Describe the first step whose tasks no worker could ever run.

    The text is empty if there is no such step, or no worker at all.
    """
    for number, step in enumerate(demand.steps):
        if not workers or any(
            worker.could_ever_run(step) for worker in workers
        ):
            continue
        label = f", label {step.required_label}" if step.required_label else ""
        return (
            f"step {number}: no worker could hold a task of {step.cpu} "
            f"thousandths of a core, {step.memory_mb} MB, {step.gpu} "
            f"accelerators{label}"
        )
    return ""


def _work_ahead(
    queue: configurations.Queue,
    best_effort: bool,
    backlog: backlogs.Backlog,
    durations: run_durations.DurationEstimator,
) -> float:
    """Return the waiting work served before a new job, in core-seconds."""
    work = 0.0
    for group in backlog.groups.values():
        step = group.step
        if not group.waiting or step.lasting or step.fills != best_effort:
            continue
        if group.queue.priority > queue.priority:
            continue
        kind = (group.job.queue, step.image)
        seconds = durations.estimate(kind, step.estimate_ms / 1000)
        work += len(group.waiting) * step.cpu / 1000 * seconds
    return work
