"""At which size each limit is reached."""

from typing import NamedTuple

from turmerichall.benchmarks import capacity_model as models
from turmerichall.state import job_store

__all__ = ["Breaking", "breaking_points"]


class Breaking(NamedTuple):
    """A limit and the size at which it is reached.

    Attributes:
        what: The limit.
        unit: What the size counts.
        size: The size at which it is reached.
        wanted: The size that the design aims at.
    """

    what: str
    unit: str
    size: float
    wanted: float


def breaking_points(model: models.Model) -> list[Breaking]:
    """Returns the size at which each limit is reached, least first."""
    costs = model.costs
    entry = model.entry_instance().total()
    log = model.entry_instance().lines[1]
    authority_total = model.placing_authority().total()
    spare = models.CORE_LIMIT - costs["idle_daemon"]
    room = models.MEMORY_LIMIT - costs["daemon_memory"]
    found = [
        Breaking(
            "traffic of an entry instance that follows the log",
            "starts a second",
            models.STARTS_A_SECOND * models.TRAFFIC_LIMIT / entry.traffic,
            models.STARTS_A_SECOND,
        ),
        Breaking(
            "traffic of the leading replica",
            "starts a second",
            models.STARTS_A_SECOND
            * models.TRAFFIC_LIMIT
            / model.replica().total().traffic,
            models.STARTS_A_SECOND,
        ),
        Breaking(
            "processor of an entry instance that applies the log",
            "starts a second",
            max(0.0, models.STARTS_A_SECOND * spare / log.processor),
            models.STARTS_A_SECOND,
        ),
        Breaking(
            "memory for ended jobs whose totals are kept",
            "jobs",
            room / costs["ended_job_memory"],
            job_store.MAX_ENDED_JOBS,
        ),
        Breaking(
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
        Breaking(
            "traffic of a placing authority",
            "workers in its zone",
            models.WORKERS
            / models.ZONES
            * models.TRAFFIC_LIMIT
            / authority_total.traffic,
            models.WORKERS / models.ZONES,
        ),
        Breaking(
            "traffic of a worker",
            "tasks on it",
            (models.BATCH_TASKS + models.SERVICE_TASKS)
            / models.WORKERS
            * models.TRAFFIC_LIMIT
            / model.worker().total().traffic,
            (models.BATCH_TASKS + models.SERVICE_TASKS) / models.WORKERS,
        ),
        Breaking(
            "instances",
            "zones with two entry instances each",
            models.INSTANCE_LIMIT / models.INSTANCES_A_ZONE,
            models.ZONES,
        ),
    ]
    return sorted(found, key=lambda point: point.size / point.wanted)
