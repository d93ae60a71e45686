"""Lines of the log that explain afterwards what a leader decided."""

from collections.abc import Collection, Iterable, Mapping

from turmerichall import outcomes
from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import worker_state
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands

__all__ = [
    "describe",
    "log_accepted",
    "log_ends",
    "log_refused",
    "log_state",
    "log_step_done",
]

_EXPECTED = (changes.Ending.DONE, changes.Ending.STOPPED)


def describe(
    backlog: backlogs.Backlog,
    workers: Collection[worker_state.Worker],
    now: float,
) -> dict[str, int]:
    """Returns what placement and admission are decided from, in numbers.

    Args:
        backlog: Tasks that wait.
        workers: All workers.
        now: Steady seconds.
    """
    return {
        "waiting": sum(len(group.waiting) for group in backlog.ready()),
        "workers": len(workers),
        "in_touch": sum(worker.in_touch for worker in workers),
        "avoided": sum(not w.breaker.allows(now) for w in workers),
        "runs": sum(len(worker.runs) for worker in workers),
        "cpu": sum(worker.record.cpu for worker in workers),
        "cpu_asked": sum(worker.cpu_asked for worker in workers),
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
    """Logs what decisions are made from.

    Args:
        log: Where to write.
        backlog: Tasks that wait.
        workers: All workers.
        interference: Learnt slowdowns by lasting and filling image.
        now: Steady seconds.
    """
    log.info("state of the term", **describe(backlog, workers, now))
    for lasting, added in interference.items():
        log.info("learnt interference", lasting=lasting, added=added)


def log_ends(
    log: link.Log, worker: worker_state.Worker, rows: Iterable[changes.EndedRun]
) -> None:
    """Logs ends that are neither done nor asked for."""
    for row in rows:
        if row.ending not in _EXPECTED:
            log.info(
                "run ended",
                job=row.task.job,
                step=row.task.step,
                index=row.task.number,
                run=row.run,
                worker=worker.record.id,
                ending=row.ending.name.lower(),
            )


def log_step_done(log: link.Log, task: changes.TaskName, age_ms: int) -> None:
    """Logs that a step is done, by its last task.

    Args:
        log: Where to write.
        task: The task.
        age_ms: Of the job.
    """
    log.info(
        "step done",
        job=task.job,
        occurrence=task.occurrence,
        step=task.step,
        age_ms=age_ms,
    )


def log_refused(
    log: link.Log,
    job_id: str,
    queue: configurations.Queue,
    refusal: outcomes.Refusal,
) -> None:
    """Logs that a job was turned away at the door."""
    log.info(
        "job refused",
        job=job_id,
        queue=queue.name,
        reason=refusal.reason.value,
        detail=refusal.detail,
        retry_after=refusal.retry_after_seconds,
    )


def log_accepted(
    log: link.Log,
    job_id: str,
    queue: configurations.Queue,
    demand: demands.JobDemand,
) -> None:
    """Logs that a job was stored."""
    log.info(
        "job accepted",
        job=job_id,
        queue=queue.name,
        steps=len(demand.steps),
        tasks=sum(step.count for step in demand.steps),
    )
