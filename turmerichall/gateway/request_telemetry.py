"""Metrics and logs of the request path."""

from collections.abc import Callable, Mapping
from typing import Protocol

import trio

from turmerichall import outcomes
from turmerichall.gateway import claims as claims_module
from turmerichall.gateway import error_responses
from turmerichall.gateway import exchange as exchanges
from turmerichall.telemetry import logs

__all__ = ["Counters", "Log", "RequestTelemetry"]

COMPONENT = "gateway"
MAX_LOGGED_PER_SECOND = 100

Reading = float | Mapping[str, float]


class Counters(Protocol):
    """Metrics of the gateway; `telemetry.counters.Counters` implements it."""

    def refused(self, part: str, reason: outcomes.RefusalReason) -> None:
        """Count a refused request."""

    def retried(self, part: str, reason: outcomes.RetryReason) -> None:
        """Count a retry."""

    def unknown(self, part: str, reason: outcomes.UnknownReason) -> None:
        """Count a request that may or may not have run."""

    def event(self, name: str, times: int = 1) -> None:
        """Count an event."""

    def gauge(
        self, name: str, description: str, read: Callable[[], Reading]
    ) -> None:
        """Add a gauge."""

    def observe_seconds(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""


class Log(Protocol):
    """Log of the gateway; `telemetry.logs.Log` implements it."""

    def info(self, message: str, **fields: object) -> None:
        """Log a message about normal operation."""

    def warning(self, message: str, **fields: object) -> None:
        """Log a message that may require an operator's action."""


class RequestTelemetry:
    """Metrics and logs of the request path of one entry instance.

    Attributes:
        counters: The metrics.
        log: The log.
        rate_limited_log: Log of requests that got an error response from this
            instance.  Requests can be refused faster than a log can be written,
            so its number of lines per second is limited.
    """

    def __init__(self, counters: Counters, log: Log):
        self.counters = counters
        self.log = log
        self.rate_limited_log = logs.RateLimitedLog(log, MAX_LOGGED_PER_SECOND)

    def record_response(self, exchange: exchanges.Exchange) -> None:
        """Record a request whose response was forwarded whole or truncated."""
        seconds = trio.current_time() - exchange.started_at
        if exchange.complete:
            self.counters.event("requests_answered")
            self.counters.observe_seconds("request", seconds)
        else:
            self.counters.unknown(COMPONENT, outcomes.UnknownReason.TRUNCATED)
        request = exchange.request
        self.log.info(
            "request answered" if exchange.complete else "answer cut off",
            request_id=request.request_id.decode("latin-1"),
            customer=request.customer,
            service=request.service,
            backend_server=exchange.pool.announcement.name,
            status=exchange.status,
            seconds=round(seconds, 4),
        )

    def record_error(
        self,
        result: outcomes.Refusal | outcomes.Unknown | claims_module.Duplicate,
        document: error_responses.Document,
    ) -> None:
        """Record a request that gets an error response from this instance."""
        if isinstance(result, claims_module.Duplicate):
            reason = outcomes.RefusalReason.DUPLICATE_REQUEST
            self.counters.refused(COMPONENT, reason)
        elif isinstance(result, outcomes.Unknown):
            self.counters.unknown(COMPONENT, result.reason)
        else:
            self.counters.refused(COMPONENT, result.reason)
        self.rate_limited_log.info(
            "request not answered",
            request_id=document.request_id,
            outcome=document.outcome.value,
            reason=document.reason,
            detail=document.detail,
        )

    def record_retry(self, reason: outcomes.RetryReason) -> None:
        """Record a retry."""
        self.counters.retried(COMPONENT, reason)

    def record_silent_connection(
        self, request_id: bytes, backend_server: str
    ) -> None:
        """Record a connection on which nothing arrives."""
        self.counters.event("connections_silent")
        self.log.warning(
            "connection to a backend server fell silent",
            request_id=request_id.decode(),
            backend_server=backend_server,
        )

    def record_ejection(self, backend_server: str, seconds: float) -> None:
        """Record the ejection of a backend server."""
        self.counters.event("backend_servers_ejected")
        self.log.warning(
            "backend server ejected, error rate too high",
            backend_server=backend_server,
            seconds=seconds,
        )

    def record_borrowed_slots(self, slots: int) -> None:
        """Record slots that other instances lent."""
        self.counters.event("slots_borrowed", slots)
