"""What the request path counts and logs."""

from collections.abc import Callable, Mapping
from typing import Protocol

import trio

from turmerichall import outcomes
from turmerichall.gateway import error_responses as answers
from turmerichall.gateway import claims as claiming
from turmerichall.gateway import exchange as exchanges
from turmerichall.telemetry import logs

__all__ = ["Counters", "Log", "Observation"]

PART = "gateway"
MAX_LOGGED_PER_SECOND = 100

Reading = float | Mapping[str, float]


class Counters(Protocol):
    """What the gateway counts; `telemetry.counters.Counters` is one."""

    def refused(self, part: str, reason: outcomes.RefusalReason) -> None:
        """Counts a refusal."""

    def retried(self, part: str, reason: outcomes.RetryReason) -> None:
        """Counts a retry."""

    def unknown(self, part: str, reason: outcomes.UnknownReason) -> None:
        """Counts an unknown outcome."""

    def event(self, name: str, times: int = 1) -> None:
        """Counts an event."""

    def gauge(
        self, name: str, description: str, read: Callable[[], Reading]
    ) -> None:
        """Adds a gauge."""

    def observe_seconds(self, name: str, seconds: float) -> None:
        """Adds a duration to a histogram."""


class Log(Protocol):
    """Where the gateway logs; `telemetry.logs.Log` is one."""

    def info(self, message: str, **fields: object) -> None:
        """Writes a message about ordinary work."""

    def warning(self, message: str, **fields: object) -> None:
        """Writes a message that an operator may have to act on."""


class Observation:
    """Counts and logs what happens on the request path.

    Attributes:
        counters: Counts it.
        log: Logs what is rare.
        unanswered_log: Logs requests without an answer.  Refusing is cheap, so
            refusals may come faster than a log takes them.
    """

    def __init__(self, counters: Counters, log: Log):
        self.counters = counters
        self.log = log
        self.unanswered_log = logs.Sparse(log, MAX_LOGGED_PER_SECOND)

    def answered(self, exchange: exchanges.Exchange) -> None:
        """Notes a request whose answer was passed on, or cut off."""
        seconds = trio.current_time() - exchange.began_at
        if exchange.whole:
            self.counters.event("requests_answered")
            self.counters.observe_seconds("request", seconds)
        else:
            self.counters.unknown(PART, outcomes.UnknownReason.TRUNCATED)
        request = exchange.request
        self.log.info(
            "request answered" if exchange.whole else "answer cut off",
            request_id=request.request_id.decode("latin-1"),
            customer=request.customer,
            service=request.service,
            backend_server=exchange.pool.told.name,
            status=exchange.status,
            seconds=round(seconds, 4),
        )

    def unanswered(
        self,
        ended: outcomes.Refusal | outcomes.Unknown | claiming.Duplicate,
        said: answers.Document,
    ) -> None:
        """Notes a request that gets a document in place of an answer."""
        if isinstance(ended, claiming.Duplicate):
            reason = outcomes.RefusalReason.DUPLICATE_REQUEST
            self.counters.refused(PART, reason)
        elif isinstance(ended, outcomes.Unknown):
            self.counters.unknown(PART, ended.reason)
        else:
            self.counters.refused(PART, ended.reason)
        self.unanswered_log.info(
            "request not answered",
            request_id=said.request_id,
            outcome=said.outcome.value,
            reason=said.reason,
            detail=said.detail,
        )

    def retried(self, reason: outcomes.RetryReason) -> None:
        """Notes a retry."""
        self.counters.retried(PART, reason)

    def silent(self, request_id: bytes, backend_server: str) -> None:
        """Notes a connection that fell silent."""
        self.counters.event("connections_silent")
        self.log.warning(
            "connection to a backend server fell silent",
            request_id=request_id.decode(),
            backend_server=backend_server,
        )

    def ejected(self, backend_server: str, seconds: float) -> None:
        """Notes a backend server that was taken out of use."""
        self.counters.event("backend_servers_ejected")
        self.log.warning(
            "backend server fails too much and is taken out of use",
            backend_server=backend_server,
            seconds=seconds,
        )

    def borrowed(self, slots: int) -> None:
        """Notes slots that other instances lent."""
        self.counters.event("slots_borrowed", slots)
