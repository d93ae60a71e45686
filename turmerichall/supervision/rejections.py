"""Messages of other programs that were rejected, in metrics and logs."""

from turmerichall.peers import link
from turmerichall.telemetry import lightweight_metrics
from turmerichall.telemetry import logs

__all__ = ["Rejections"]

# Bound on the log lines a second; the next one says how many were left out.
LINES_PER_SECOND = 5
MAX_FIELD_CHARS = 200


class Rejections:
    """Counts all rejected messages, and logs some of them.

    Attributes:
        metrics_registry: Counts `messages_rejected`.
    """

    def __init__(
        self,
        log: link.Log,
        metrics_registry: lightweight_metrics.MetricsRegistry,
    ):
        self.metrics_registry = metrics_registry
        self._log = logs.RateLimitedLog(log, LINES_PER_SECOND)

    def record(self, source: str, reason: str, **fields: str) -> None:
        """Record a rejected message.

        Args:
            source: Kind of message, such as `heartbeat`.
            reason: Why it was rejected; one of few texts.
            **fields: Further fields of the log line, which are cut to
                `MAX_FIELD_CHARS`.
        """
        self.metrics_registry.count(
            "messages_rejected", source=source, reason=reason
        )
        cut = {name: text[:MAX_FIELD_CHARS] for name, text in fields.items()}
        self._log.info(f"{source} rejected", reason=reason, **cut)
