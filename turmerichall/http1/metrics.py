"""HTTP endpoint for the metrics of a process."""

import trio

from turmerichall.http1 import handler_errors
from turmerichall.http1 import message
from turmerichall.http1 import server
from turmerichall.intake import budget as budgets
from turmerichall.telemetry import lightweight_metrics

__all__ = ["PROBE_LIMITS", "make_server"]

# Age up to which an exposition is sent again.  Making one takes milliseconds,
# and any number of senders may ask for it.
MAX_AGE_SECONDS = 0.2
# Limits on probes, which need no body.
PROBE_LIMITS = server.Limits(body_bytes=4 * 1024)


def make_server(
    metrics_registry: lightweight_metrics.MetricsRegistry,
    budget: budgets.Budget | None = None,
) -> server.Server:
    """Return a server that answers every request with the metrics as text.

    Args:
        metrics_registry: The metrics.
        budget: Limits what all connections take together.
    """

    exposition = b""
    made_at = -float("inf")

    async def answer(_: message.Request) -> message.Response:
        nonlocal exposition, made_at
        now = trio.current_time()
        if now - made_at > MAX_AGE_SECONDS:
            exposition, made_at = metrics_registry.exposition(), now
        return message.Response(200, exposition, {"content-type": "text/plain"})

    return server.Server(
        answer,
        lambda: PROBE_LIMITS,
        handler_errors.count_and_log(metrics_registry, "metrics"),
        budget,
    )
