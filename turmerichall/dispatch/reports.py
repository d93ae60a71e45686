"""Log lines that allow a leader's decisions to be explained afterwards."""

from collections.abc import Collection, Iterable, Mapping, Sequence

from turmerichall import outcomes
from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import preemption
from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.evacuation import zone_states
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands
from turmerichall.queues import job as job_records
from turmerichall.telemetry import lightweight_metrics

__all__ = [
    "describe",
    "log_accepted",
    "log_crash",
    "log_job_ended",
    "log_preempted",
    "log_refused",
    "log_registered",
    "log_held_groups",
    "log_removed",
    "log_resized",
    "log_starts",
    "log_state",
    "log_step_done",
    "log_uncommitted",
    "log_unnamed",
    "record_ends",
]

# Number of runs that one log line lists: readers cut lines at 8 KB.
MAX_RUNS_PER_LINE = 100

_EXPECTED = (changes.Ending.DONE, changes.Ending.STOPPED)


def describe(
    backlog: backlogs.Backlog,
    workers: Collection[worker_state.Worker],
    now: float,
) -> dict[str, int]:
    """Return the totals of the backlog and the workers for the log.

    Placement and admission depend on them.

    Args:
        backlog: Waiting tasks.
        workers: All workers.
        now: Current time on the steady clock.
    """
    return {
        "waiting": sum(len(group.waiting) for group in backlog.ready()),
        "workers": len(workers),
        "in_touch": sum(worker.in_touch for worker in workers),
        "avoided": sum(not w.breaker.allows(now) for w in workers),
        "runs": sum(len(worker.runs) for worker in workers),
        "cpu": sum(worker.capacity.cpu for worker in workers),
        "cpu_asked": sum(worker.cpu_reserved for worker in workers),
        "cpu_filled": sum(worker.cpu_best_effort for worker in workers),
        "free_cpu": round(sum(worker.free_cpu() for worker in workers)),
        "paced": sum(
            run.pace_percent < 100
            for worker in workers
            for run in worker.runs.values()
        ),
    }


def log_state(
    log: link.Log,
    backlog: backlogs.Backlog,
    workers: Collection[worker_state.Worker],
    interference: Mapping[str, Mapping[str, float]],
    now: float,
) -> None:
    """Log the state on which placement and admission depend.

    Args:
        log: Log to write to.
        backlog: Waiting tasks.
        workers: All workers.
        interference: Learned slowdowns, by long-running and best-effort image.
        now: Current time on the steady clock.
    """
    log.info("state of the term", **describe(backlog, workers, now))
    for image, added in interference.items():
        log.info("learnt interference", lasting=image, added=added)


def log_held_groups(
    log: link.Log, held: Sequence[zone_states.HeldGroup]
) -> None:
    """Log the tasks that wait for evacuated zones, which alone can run them."""
    for first in range(0, len(held), MAX_RUNS_PER_LINE):
        part = held[first : first + MAX_RUNS_PER_LINE]
        log.info(
            "tasks wait for evacuated zones",
            jobs=sorted({each.group.job.id for each in part}),
            tasks=sum(len(each.group.waiting) for each in part),
            zones=sorted({zone for each in part for zone in each.zones}),
        )


def log_starts(log: link.Log, rows: Sequence[changes.StartedRun]) -> None:
    """Log the starts of runs that were committed."""
    for first in range(0, len(rows), MAX_RUNS_PER_LINE):
        log.info(
            "tasks placed",
            starts=[
                f"{row.task}/{row.run}@{row.worker}"
                for row in rows[first : first + MAX_RUNS_PER_LINE]
            ],
        )


def log_preempted(log: link.Log, stops: Sequence[preemption.Stop]) -> None:
    """Log the long-running runs that are stopped, and for which jobs."""
    for first in range(0, len(stops), MAX_RUNS_PER_LINE):
        part = stops[first : first + MAX_RUNS_PER_LINE]
        log.info(
            "long-running runs are stopped for urgent tasks",
            urgent_jobs=sorted({stop.urgent_job for stop in part}),
            stops=[
                f"{stop.run.task}/{stop.run.number}@{stop.worker.record.id}"
                for stop in part
            ],
        )


def record_ends(
    log: link.Log,
    metrics_registry: lightweight_metrics.MetricsRegistry,
    worker: worker_state.Worker,
    rows: Iterable[changes.EndedRun],
) -> None:
    """Count ends of runs; log those that are neither done nor stopped."""
    for row in rows:
        ending = row.ending.name.lower()
        metrics_registry.count("runs_ended", ending=ending)
        if row.ending not in _EXPECTED:
            log.info(
                "run ended",
                job=row.task.job,
                step=row.task.step,
                index=row.task.number,
                run=row.run,
                worker=worker.record.id,
                ending=ending,
            )


def log_registered(log: link.Log, record: changes.WorkerRecord) -> None:
    """Log that a worker was registered."""
    log.info(
        "worker registered",
        worker=record.id,
        address=record.address,
        zone=record.zone,
        cpu=record.cpu,
        memory_mb=record.memory_mb,
        labels=record.labels,
    )


def log_unnamed(
    log: link.Log, record: changes.WorkerRecord, known: worker_state.Worker
) -> None:
    """Log that a heartbeat does not tell which life of a worker sent it."""
    log.info(
        "heartbeat refused: it lacks the time of the worker's start",
        worker=record.id,
        known=known.record.id,
    )


def log_resized(
    log: link.Log, worker: worker_state.Worker, capacity: changes.Capacity
) -> None:
    """Log that a worker reports another capacity than before."""
    log.info(
        "worker reports another capacity",
        worker=worker.record.id,
        before=worker.capacity,
        now=capacity,
        cpu_reserved=worker.cpu_reserved,
        memory_reserved=worker.memory_reserved,
    )


def log_removed(
    log: link.Log, worker: worker_state.Worker, reason: str, now: float
) -> None:
    """Log that a worker was removed, with the runs that were lost with it.

    Args:
        log: Log to write to.
        worker: The worker.
        reason: Why it was removed.
        now: Current time on the steady clock.
    """
    runs = [
        f"{run.task}/{run.number} {_age(run, worker.lost_at or now)}"
        for run in worker.runs.values()
    ]
    silent_seconds = round(now - worker.lost_at, 3) if worker.lost_at else 0.0
    log.info(
        "worker removed",
        worker=worker.record.id,
        machine=worker.record.machine,
        reason=reason,
        silent_seconds=silent_seconds,
        runs=len(runs),
    )
    for first in range(0, len(runs), MAX_RUNS_PER_LINE):
        log.info(
            "runs lost with their worker",
            worker=worker.record.id,
            runs=runs[first : first + MAX_RUNS_PER_LINE],
        )


def _age(run: run_state.Run, at: float) -> str:
    """Return for how long a run had been at work, or its phase before that."""
    if not run.confirmed_at:
        return run.phase.value
    return f"{run.seconds_at_work(at):.3f}s"


def log_crash(log: link.Log, change: changes.LoseWorker) -> None:
    """Log the tasks that are charged with the crash of a worker."""
    if change.charged:
        log.info(
            "tasks charged with a crash",
            worker=change.worker,
            tasks=[str(task) for task in change.charged[:MAX_RUNS_PER_LINE]],
            count=len(change.charged),
        )
    for job_id in change.given_up:
        tasks = [str(task) for task in change.charged if task.job == job_id]
        log.warning(
            "job given up: a task crashes its workers",
            job=job_id,
            worker=change.worker,
            tasks=tasks[:MAX_RUNS_PER_LINE],
        )


def log_step_done(log: link.Log, task: changes.TaskName, age_ms: int) -> None:
    """Log that a step is done.

    Args:
        log: Log to write to.
        task: The last task of the step that was done.
        age_ms: Age of the job in ms.
    """
    log.info(
        "step done",
        job=task.job,
        occurrence=task.occurrence,
        step=task.step,
        age_ms=age_ms,
    )


def log_job_ended(log: link.Log, job: job_records.Job, age_ms: int) -> None:
    """Log that a job was completed, or failed.

    Args:
        log: Log to write to.
        job: The job.
        age_ms: Its age in ms.
    """
    log.info("job ended", job=job.id, state=job.state.value, age_ms=age_ms)


def log_refused(
    log: link.Log,
    job_id: str,
    queue: configurations.Queue,
    refusal: outcomes.Refusal,
) -> None:
    """Log that admission control refused a job."""
    log.info(
        "job refused",
        job=job_id,
        queue=queue.name,
        reason=refusal.reason.value,
        detail=refusal.detail,
        retry_after=refusal.retry_after_seconds,
    )


def log_uncommitted(
    log: link.Log,
    job_id: str,
    term: int,
    failure: outcomes.Refusal | outcomes.Unknown,
) -> None:
    """Log that a submitted job was not committed, or may not have been."""
    log.info(
        "job not known to be committed",
        job=job_id,
        term=term,
        reason=failure.reason.value,
        detail=failure.detail,
    )


def log_accepted(
    log: link.Log,
    job_id: str,
    queue: configurations.Queue,
    demand: demands.JobDemand,
) -> None:
    """Log that a job was accepted and is durable."""
    log.info(
        "job accepted",
        job=job_id,
        queue=queue.name,
        steps=len(demand.steps),
        tasks=sum(step.count for step in demand.steps),
    )
