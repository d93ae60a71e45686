"""System sizes at which the limits of the capacity model are reached."""

from typing import NamedTuple

from turmerichall.benchmarks import capacity_model
from turmerichall.state import job_store

__all__ = ["BreakingPoint", "breaking_points"]


class BreakingPoint(NamedTuple):
    """The system size at which a limit of the capacity model is reached.

    Attributes:
        what: The limit.
        unit: What `size` and `target` count, such as starts a second.
        size: The size at which the limit is reached.
        target: The size that the system is designed for.
    """

    what: str
    unit: str
    size: float
    target: float


def breaking_points(model: capacity_model.Model) -> list[BreakingPoint]:
    """Return a breaking point for each limit.

    They are in increasing order of the ratio of `size` to `target`.
    """
    costs = model.costs
    entry = model.entry_instance().total()
    log_demand = model.entry_instance().demands[1]
    authority = model.placement_authority().total()
    spare_core_share = capacity_model.CORE_SHARE_LIMIT - costs["idle_daemon"]
    spare_memory = capacity_model.MEMORY_LIMIT_BYTES - costs["daemon_memory"]
    points = [
        BreakingPoint(
            "traffic of an entry instance that follows the log",
            "starts a second",
            capacity_model.STARTS_PER_SECOND
            * capacity_model.TRAFFIC_LIMIT_BYTES_PER_SECOND
            / entry.traffic,
            capacity_model.STARTS_PER_SECOND,
        ),
        BreakingPoint(
            "traffic of the leading replica",
            "starts a second",
            capacity_model.STARTS_PER_SECOND
            * capacity_model.TRAFFIC_LIMIT_BYTES_PER_SECOND
            / model.replica().total().traffic,
            capacity_model.STARTS_PER_SECOND,
        ),
        BreakingPoint(
            "processor of an entry instance that applies the log",
            "starts a second",
            max(
                0.0,
                capacity_model.STARTS_PER_SECOND
                * spare_core_share
                / log_demand.processor,
            ),
            capacity_model.STARTS_PER_SECOND,
        ),
        BreakingPoint(
            "memory for ended jobs whose totals are kept",
            "jobs",
            spare_memory / costs["ended_job_memory"],
            job_store.MAX_ENDED_JOBS,
        ),
        BreakingPoint(
            "processor of a placing authority",
            "workers in its zone",
            max(
                0.0,
                capacity_model.WORKERS
                / capacity_model.ZONES
                * spare_core_share
                / authority.processor,
            ),
            capacity_model.WORKERS / capacity_model.ZONES,
        ),
        BreakingPoint(
            "traffic of a placing authority",
            "workers in its zone",
            capacity_model.WORKERS
            / capacity_model.ZONES
            * capacity_model.TRAFFIC_LIMIT_BYTES_PER_SECOND
            / authority.traffic,
            capacity_model.WORKERS / capacity_model.ZONES,
        ),
        BreakingPoint(
            "traffic of a worker",
            "tasks on it",
            (capacity_model.BATCH_TASKS + capacity_model.SERVICE_TASKS)
            / capacity_model.WORKERS
            * capacity_model.TRAFFIC_LIMIT_BYTES_PER_SECOND
            / model.worker().total().traffic,
            (capacity_model.BATCH_TASKS + capacity_model.SERVICE_TASKS)
            / capacity_model.WORKERS,
        ),
        BreakingPoint(
            "instances",
            "zones with two entry instances each",
            capacity_model.INSTANCE_LIMIT / capacity_model.INSTANCES_PER_ZONE,
            capacity_model.ZONES,
        ),
    ]
    return sorted(points, key=lambda point: point.size / point.target)
