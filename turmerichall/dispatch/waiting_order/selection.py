"""Choice of the order of waiting groups by the settings."""

from turmerichall.dispatch.forecasts import forecast
from turmerichall.dispatch.waiting_order import order
from turmerichall.dispatch.waiting_order import slack_order
from turmerichall.queues import state as states
from turmerichall.settings import queue_settings

__all__ = ["make_order"]


def make_order(
    scheduling: queue_settings.Scheduling,
    queue_state: states.QueueState,
    forecaster: forecast.Forecaster,
) -> order.WaitingOrder:
    """Return the order of waiting groups that the settings ask for."""
    del scheduling, forecaster
    return slack_order.SlackOrder(queue_state)
