"""At which size each limit is reached."""

from typing import NamedTuple

from turmerichall.benchmarks import capacity_model as models
from turmerichall.state import job_store

__all__ = ["BreakingPoint", "breaking_points"]


class BreakingPoint(NamedTuple):
    """A limit and the size at which it is reached.

    Attributes:
        what: The limit.
        unit: What the size counts.
        size: The size at which it is reached.
        target: The size that the design aims at.
    """

    what: str
    unit: str
    size: float
    target: float


def breaking_points(model: models.Model) -> list[BreakingPoint]:
    """Returns the size at which each limit is reached, least first."""
    costs = model.costs
    entry = model.entry_instance().total()
    log = model.entry_instance().demands[1]
    authority_total = model.placement_authority().total()
    spare = models.CORE_SHARE_LIMIT - costs["idle_daemon"]
    room = models.MEMORY_LIMIT_BYTES - costs["daemon_memory"]
    found = [
        BreakingPoint(
            "traffic of an entry instance that follows the log",
            "starts a second",
            models.STARTS_PER_SECOND
            * models.TRAFFIC_LIMIT_BYTES_PER_SECOND
            / entry.traffic,
            models.STARTS_PER_SECOND,
        ),
        BreakingPoint(
            "traffic of the leading replica",
            "starts a second",
            models.STARTS_PER_SECOND
            * models.TRAFFIC_LIMIT_BYTES_PER_SECOND
            / model.replica().total().traffic,
            models.STARTS_PER_SECOND,
        ),
        BreakingPoint(
            "processor of an entry instance that applies the log",
            "starts a second",
            max(0.0, models.STARTS_PER_SECOND * spare / log.processor),
            models.STARTS_PER_SECOND,
        ),
        BreakingPoint(
            "memory for ended jobs whose totals are kept",
            "jobs",
            room / costs["ended_job_memory"],
            job_store.MAX_ENDED_JOBS,
        ),
        BreakingPoint(
            "processor of a placing authority",
            "workers in its zone",
            max(
                0.0,
                models.WORKERS
                / models.ZONES
                * spare
                / authority_total.processor,
            ),
            models.WORKERS / models.ZONES,
        ),
        BreakingPoint(
            "traffic of a placing authority",
            "workers in its zone",
            models.WORKERS
            / models.ZONES
            * models.TRAFFIC_LIMIT_BYTES_PER_SECOND
            / authority_total.traffic,
            models.WORKERS / models.ZONES,
        ),
        BreakingPoint(
            "traffic of a worker",
            "tasks on it",
            (models.BATCH_TASKS + models.SERVICE_TASKS)
            / models.WORKERS
            * models.TRAFFIC_LIMIT_BYTES_PER_SECOND
            / model.worker().total().traffic,
            (models.BATCH_TASKS + models.SERVICE_TASKS) / models.WORKERS,
        ),
        BreakingPoint(
            "instances",
            "zones with two entry instances each",
            models.INSTANCE_LIMIT / models.INSTANCES_PER_ZONE,
            models.ZONES,
        ),
    ]
    return sorted(found, key=lambda point: point.size / point.target)
