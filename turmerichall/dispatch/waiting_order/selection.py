"""Choice of the order of waiting groups by the settings."""

from collections.abc import Mapping

from turmerichall.dispatch import worker_state
from turmerichall.dispatch.forecasts import forecast
from turmerichall.dispatch.waiting_order import order
from turmerichall.dispatch.waiting_order import remaining_work
from turmerichall.dispatch.waiting_order import slack_order
from turmerichall.peers import link
from turmerichall.queues import state as states
from turmerichall.settings import queue_settings

__all__ = ["make_order"]


def make_order(
    scheduling: queue_settings.Scheduling,
    queue_state: states.QueueState,
    forecaster: forecast.Forecaster,
    workers: Mapping[str, worker_state.Worker],
    log: link.Log,
) -> order.WaitingOrder:
    """Return the order of waiting groups that the settings ask for."""
    if scheduling.order == "remaining_work":
        return remaining_work.RemainingWorkOrder(
            queue_state, forecaster, workers, log
        )
    return slack_order.SlackOrder(queue_state)
