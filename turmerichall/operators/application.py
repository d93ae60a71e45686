"""ASGI application for operators, workers and the platform's probes."""

from collections.abc import Callable
import hmac
from typing import Any

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.backend_servers import directory as directories
from turmerichall.operators import exchange
from turmerichall.operators import gauges
from turmerichall.operators import replies
from turmerichall.operators import routes
from turmerichall.operators import services as services_module
from turmerichall.operators import task_event_log
from turmerichall.settings import settings
from turmerichall.state import machine as machines
from turmerichall.state import proposer
from turmerichall.telemetry import counters as metrics
from turmerichall.telemetry import logs
from turmerichall.templates import template
from turmerichall.zones import cross_zone_feasibility

__all__ = ["Application"]

PART = services_module.PART
MAX_REQUESTS_IN_FLIGHT = 512
MAX_REFUSED_LOGGED_PER_SECOND = 20
OVERLOAD_RETRY_SECONDS = 1.0


class Application:
    """ASGI application that dispatches requests to their handlers.

    Attributes:
        services: Parts of the daemon that the HTTP handlers use.
        in_flight: Number of HTTP requests in progress.
        task_event_log: Logs and counts starts, evictions and ends of tasks.
    """

    def __init__(
        self,
        machine: machines.StateMachine,
        submitter: proposer.Submitter,
        announcements: services_module.Announcements,
        directory: directories.Directory,
        placement_queries: services_module.PlacementQueries,
        feasibility: cross_zone_feasibility.FeasibilityChecker,
        replica: services_module.Replica,
        readiness: Callable[[], outcomes.Refusal | None],
        keys: settings.Keys,
        counters: metrics.Counters,
        log: logs.Log,
        bounds: exchange.Bounds = exchange.Bounds(),
    ):
        self.services = services_module.Services(
            machine,
            submitter,
            announcements,
            directory,
            placement_queries,
            feasibility,
            replica,
            readiness,
            keys,
            counters,
            log,
            bounds,
        )
        self.in_flight = 0
        self._rate_limited_log = logs.RateLimitedLog(
            log, MAX_REFUSED_LOGGED_PER_SECOND
        )
        gauges.register(self.services)
        self.task_event_log = task_event_log.TaskEventLog(
            machine, lambda: replica.status().name, counters
        )

    async def __call__(
        self, scope: Any, receive: exchange.Receive, send: exchange.Send
    ) -> None:
        """Handle one ASGI connection scope."""
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
            return
        if scope["type"] != "http":
            # The server answers a websocket that is closed before it was
            # accepted with status 403.
            await send({"type": "websocket.close"})
            return
        self.in_flight += 1
        try:
            response = await self._answer(scope, receive)
            await exchange.send_response(send, response)
        except exchange.ClientDisconnected:
            self._rate_limited_log.info(
                "client disconnected before its request was complete"
            )
        finally:
            self.in_flight -= 1

    async def _answer(
        self, scope: exchange.Scope, receive: exchange.Receive
    ) -> exchange.Response:
        try:
            outcome = await self._route(scope, receive)
        except errors.InputError as error:
            return self._refuse(
                outcomes.Refusal(
                    outcomes.RefusalReason.MALFORMED,
                    "invalid input, see the findings; nothing was changed",
                ),
                error.findings,
            )
        if isinstance(outcome, outcomes.Refusal):
            return self._refuse(outcome)
        return outcome

    def _refuse(
        self,
        refused: outcomes.Refusal,
        findings: list[errors.Finding] | None = None,
    ) -> exchange.Response:
        self.services.counters.refused(PART, refused.reason)
        self._rate_limited_log.info(
            "request refused",
            reason=refused.reason.value,
            detail=refused.detail,
        )
        return replies.refusal(refused, findings)

    async def _route(
        self, scope: exchange.Scope, receive: exchange.Receive
    ) -> exchange.Response | outcomes.Refusal:
        request = exchange.parse_head(scope, self.services.bounds)
        if isinstance(request, outcomes.Refusal):
            return request
        match = routes.find(request.method, request.path)
        if match.route is None:
            return _no_route(request, match)
        refused = self._authorize(request, match.route.access)
        if refused is not None:
            return refused
        if match.route.access == routes.Access.ANYONE:
            return await match.route.handler(self.services, request)
        if self.in_flight > MAX_REQUESTS_IN_FLIGHT:
            return outcomes.Refusal(
                outcomes.RefusalReason.OVERLOADED,
                f"{MAX_REQUESTS_IN_FLIGHT} requests are already in progress",
                OVERLOAD_RETRY_SECONDS,
            )
        findings = template.name_findings("path", match.name or "none")
        if findings:
            raise errors.InputError(findings)
        body = await exchange.read_body(scope, receive, self.services.bounds)
        if isinstance(body, outcomes.Refusal):
            return body
        complete_request = request.with_body(body, match.name)
        return await match.route.handler(self.services, complete_request)

    def _authorize(
        self, request: exchange.Request, access: routes.Access
    ) -> outcomes.Refusal | None:
        if access == routes.Access.ANYONE:
            return None
        key = self.services.keys.operators
        if access == routes.Access.WORKERS:
            key = self.services.keys.workers
        given_key = request.headers.get("authorization", "")
        expected_key = f"Bearer {key}"
        if hmac.compare_digest(given_key.encode(), expected_key.encode()):
            return None
        return outcomes.Refusal(
            outcomes.RefusalReason.UNAUTHORIZED,
            f"expected the key of {access.value} as a bearer token",
        )


def _no_route(
    request: exchange.Request, match: routes.Match
) -> outcomes.Refusal:
    if match.methods:
        allowed = ", ".join(match.methods)
        return outcomes.Refusal(
            outcomes.RefusalReason.MALFORMED,
            f"{request.method[:20]!r} is not allowed on this path; "
            f"allowed: {allowed}",
        )
    return outcomes.Refusal(
        outcomes.RefusalReason.UNKNOWN_NAME,
        f"path {request.path[:80]!r} does not exist",
    )


async def _lifespan(receive: exchange.Receive, send: exchange.Send) -> None:
    while True:
        event = await receive()
        if event["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        else:
            await send({"type": "lifespan.shutdown.complete"})
            return
