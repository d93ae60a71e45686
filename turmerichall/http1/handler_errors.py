"""Reports of errors that the handlers of a server raise."""

from collections.abc import Callable
import time
import traceback

from turmerichall.http1 import message
from turmerichall.telemetry import lightweight_metrics
from turmerichall.telemetry import logs
from turmerichall.telemetry import repeat_limit

__all__ = ["OnError", "count_and_log", "log_error"]

# Bounds on the fields of a log line that callers can make long.
MAX_TARGET_CHARS = 200
MAX_TRACEBACK_CHARS = 8000

OnError = Callable[[message.Request, Exception], None]


def log_error(request: message.Request, error: Exception) -> None:
    """Log an error with its traceback, and the request that led to it."""
    text = "".join(traceback.format_exception(error))
    logs.Log("http").error(
        "handler failed",
        method=request.method,
        target=request.target[:MAX_TARGET_CHARS],
        traceback=text[-MAX_TRACEBACK_CHARS:],
    )


def count_and_log(
    metrics_registry: lightweight_metrics.MetricsRegistry, server: str
) -> OnError:
    """Return a callback that counts all errors and logs some of them.

    Args:
        metrics_registry: Receives the counter `handler_errors`.
        server: Name of the server, a label of the counter.
    """

    limit = repeat_limit.RepeatLimit()

    def report(request: message.Request, error: Exception) -> None:
        metrics_registry.count("handler_errors", server=server)
        if limit.count(time.monotonic()):
            log_error(request, error)

    return report
