"""Gauges of the replicated state and the backend servers known here."""

import math

import trio

from turmerichall.operators import services as services_module

__all__ = ["register"]


def register(services: services_module.Services) -> None:
    """Register the gauges with the metrics of the daemon.

    Args:
        services: Parts of the daemon that the gauges read.
    """
    gauge = services.counters.gauge
    machine = services.machine
    gauge(
        "ready",
        "1 if the balancer may send requests here.",
        lambda: float(services.readiness() is None),
    )
    gauge(
        "applied_index",
        "Position of the last change that is applied here.",
        lambda: machine.applied_index,
    )
    gauge(
        "configuration_revision",
        "Revision of the configuration in force here.",
        lambda: machine.configuration.revision,
    )
    gauge(
        "quorum_seconds",
        "How long ago a quorum was in contact, in seconds; -1 if never.",
        lambda: _finite_or_negative(
            services.replica.status().seconds_since_quorum
        ),
    )
    gauge(
        "waiting_tasks",
        "Batch tasks that wait to be placed.",
        lambda: len(machine.job_store.waiting),
    )
    gauge(
        "live_tasks",
        "Tasks that hold a lease.",
        lambda: sum(map(len, machine.job_store.live_by_worker.values())),
    )
    gauge(
        "away_instances",
        "Entry instances that are absent or returning.",
        lambda: len(machine.absent_or_returning),
    )
    gauge(
        "grant_epoch",
        "Epoch of the placing authority, by zone.",
        lambda: {zone: held.epoch for zone, held in machine.grants.items()},
    )
    gauge(
        "evacuated_zones",
        "Availability zones in which operators let no task start.",
        lambda: len(machine.configuration.evacuated_zones()),
    )
    gauge(
        "backend_servers",
        "Backend servers known here, by whether they take new work.",
        lambda: _backend_servers(services),
    )


def _finite_or_negative(seconds: float) -> float:
    return seconds if math.isfinite(seconds) else -1.0


def _backend_servers(services: services_module.Services) -> dict[str, float]:
    now = trio.current_time()
    directory = services.directory
    taking = sum(
        directory.takes_new_work(name, now) for name in directory.entries
    )
    return {"taking": taking, "not_taking": len(directory.entries) - taking}
