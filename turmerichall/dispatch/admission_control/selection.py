"""Choice of the admission control by the settings."""

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import durations as run_durations
from turmerichall.dispatch.admission_control import controller
from turmerichall.dispatch.forecasts import forecast
from turmerichall.settings import queue_settings

__all__ = ["make_controller"]


def make_controller(
    scheduling: queue_settings.Scheduling,
    backlog: backlogs.Backlog,
    durations: run_durations.DurationEstimator,
    forecaster: forecast.Forecaster,
) -> controller.AdmissionController:
    """Return the admission control that the settings ask for."""
    del scheduling, forecaster
    return controller.BacklogController(backlog, durations)
