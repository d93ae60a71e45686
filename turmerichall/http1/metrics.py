"""HTTP endpoint for the metrics of a process."""

from turmerichall.http1 import handler_errors
from turmerichall.http1 import message
from turmerichall.http1 import server
from turmerichall.telemetry import lightweight_metrics

__all__ = ["make_server"]


def make_server(
    metrics_registry: lightweight_metrics.MetricsRegistry,
) -> server.Server:
    """Return a server that answers every request with the metrics as text."""

    async def answer(_: message.Request) -> message.Response:
        return message.Response(
            200, metrics_registry.exposition(), {"content-type": "text/plain"}
        )

    return server.Server(
        answer,
        on_error=handler_errors.count_and_log(metrics_registry, "metrics"),
    )
