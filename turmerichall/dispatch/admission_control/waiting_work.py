"""Waiting work of the jobs that were accepted, for predictions."""

from collections.abc import Iterable

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch.admission_control import prediction
from turmerichall.dispatch.forecasts import forecast
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands
from turmerichall.queues import job as job_records

__all__ = ["expected_seconds", "waiting_jobs"]


def expected_seconds(
    forecaster: forecast.Forecaster, queue: str
) -> prediction.ExpectedSeconds:
    """Return the expected run times of tasks of a queue.

    Args:
        forecaster: Forecasts of run times.
        queue: Key of the queue.
    """

    def expected(step: demands.StepDemand) -> float:
        kind = (queue, step.image)
        declared_seconds = step.estimate_ms / 1000
        return forecaster.expected(kind, declared_seconds).typical_seconds

    return expected


def waiting_jobs(
    groups: Iterable[backlogs.TaskGroup],
    forecaster: forecast.Forecaster,
    now_ms: int,
) -> list[prediction.WaitingJob]:
    """Return what each open job that is not long-running still needs.

    Args:
        groups: Groups of tasks of the steps whose dependencies are done.
        forecaster: Forecasts of run times.
        now_ms: Current time in ms since 1970.
    """
    found: dict[tuple[str, int], dict[int, backlogs.TaskGroup]] = {}
    for group in groups:
        if not group.step.lasting:
            name = group.name
            found.setdefault((name.job, name.occurrence), {})[name.step] = group
    jobs = []
    for (_, occurrence), by_step in found.items():
        group = next(iter(by_step.values()))
        progress = group.job.steps(occurrence)
        age_seconds = (now_ms - group.began_at_ms) / 1000
        jobs.append(
            _waiting_job(
                group.job,
                group.queue,
                progress,
                {i: len(each.waiting) for i, each in by_step.items()},
                age_seconds,
                expected_seconds(forecaster, group.job.queue),
            )
        )
    return jobs


def _waiting_job(
    job: job_records.Job,
    queue: configurations.Queue,
    progress: list[job_records.StepProgress],
    waiting: dict[int, int],
    age_seconds: float,
    expected: prediction.ExpectedSeconds,
) -> prediction.WaitingJob:
    """Return what a job still needs.

    Args:
        job: The job.
        queue: Its queue.
        progress: State of its steps.
        waiting: Number of waiting tasks, by step whose dependencies are done.
        age_seconds: Age of the job.
        expected: Returns the expected run time of a step's task.
    """
    whole = left = unstarted = ready_cores = 0.0
    ends: list[float] = []
    for number, step in enumerate(job.demand.steps):
        seconds = expected(step)
        cores = step.cpu / 1000
        remaining = step.count - progress[number].done
        begins = max((ends[i] for i in step.after), default=0.0)
        ends.append(begins + (seconds if remaining else 0.0))
        whole += step.count * cores * seconds
        left += remaining * cores * seconds
        unstarted += waiting.get(number, remaining) * cores * seconds
        ready_cores += waiting.get(number, 0) * cores
    objective = queue.objective_seconds(job.demand.critical_path_ms() / 1000)
    return prediction.WaitingJob(
        queue.service,
        all(step.fills for step in job.demand.steps),
        queue.priority,
        left / whole if whole else 0.0,
        objective - age_seconds - max(ends, default=0.0),
        unstarted,
        ready_cores,
    )
