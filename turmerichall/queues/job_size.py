"""Estimate of the memory that a job takes in the replicated state.

It follows from the state alone, so it falls when state leaves; the memory of
the process may stay at its peak.
"""

from turmerichall.queues import job as job_records

__all__ = ["estimate_bytes"]

# Measured with `benchmarks.log_size slopes`: what a completed job takes.
JOB_BYTES = 350
# Objects of a task with the slot in its list, and of a step with its demand.
TASK_BYTES = 140
STEP_BYTES = 700


def estimate_bytes(job: job_records.Job) -> int:
    """Return an estimate of the memory that a job takes, in bytes.

    Each task counts as if it had started.

    Examples:
        >>> from turmerichall.queues import demand as demands
        >>> demand = demands.JobDemand("spec", (demands.StepDemand(10, 1000),))
        >>> estimate_bytes(job_records.Job("5c0e", "batch", demand, 0))
        2454
    """
    demand = job.demand
    tasks = sum(step.count for step in demand.steps)
    return (
        JOB_BYTES
        + len(demand.spec)
        + STEP_BYTES * len(demand.steps)
        + TASK_BYTES * tasks
    )
