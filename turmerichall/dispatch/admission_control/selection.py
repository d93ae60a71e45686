"""Choice of the admission control by the settings."""

from collections.abc import Callable

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import durations as run_durations
from turmerichall.dispatch.admission_control import controller
from turmerichall.dispatch.admission_control import fair_controller
from turmerichall.dispatch.admission_control import report
from turmerichall.dispatch.forecasts import forecast
from turmerichall.peers import link
from turmerichall.settings import queue_settings
from turmerichall.telemetry import lightweight_metrics

__all__ = ["make_controller"]


def make_controller(
    scheduling: queue_settings.Scheduling,
    backlog: backlogs.Backlog,
    durations: run_durations.DurationEstimator,
    forecaster: forecast.Forecaster,
    log: link.Log,
    metrics_registry: lightweight_metrics.MetricsRegistry,
    wall_ms: Callable[[], int],
) -> controller.AdmissionController:
    """Return the admission control that the settings ask for.

    Args:
        scheduling: The settings.
        backlog: Waiting tasks.
        durations: Learned run times.
        forecaster: Forecasts of run times.
        log: Log of the leader.
        metrics_registry: Metrics of the process.
        wall_ms: Returns the wall-clock time in ms since 1970.
    """
    if scheduling.admission != "fair":
        return controller.BacklogController(backlog, durations)
    return fair_controller.FairController(
        backlog,
        forecaster,
        scheduling.order == "remaining_work",
        report.AdmissionReport(log, metrics_registry),
        wall_ms,
    )
