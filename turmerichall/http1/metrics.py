"""Serves the counts of a process over HTTP."""

from turmerichall.http1 import message
from turmerichall.http1 import server
from turmerichall.telemetry import lightweight_metrics

__all__ = ["make_server"]


def make_server(
    metrics_registry: lightweight_metrics.MetricsRegistry,
) -> server.Server:
    """Returns a server that answers every call with the counts."""

    async def answer(_: message.Request) -> message.Response:
        return message.Response(
            200, metrics_registry.exposition(), {"content-type": "text/plain"}
        )

    return server.Server(answer)
