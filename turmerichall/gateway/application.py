"""The ASGI application that serves callers."""

import contextlib
import random
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any, Protocol

import trio

from turmerichall import outcomes
from turmerichall.backend_servers import directory as directories
from turmerichall.gateway import caller_connection
from turmerichall.gateway import claim_handover
from turmerichall.gateway import claims as claims_module
from turmerichall.gateway import dispatcher as dispatchers
from turmerichall.gateway import error_responses
from turmerichall.gateway import exchange as exchanges
from turmerichall.gateway import fleet as fleets
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import loans as lending
from turmerichall.gateway import maintenance
from turmerichall.gateway import peer_calls
from turmerichall.gateway import pool as pools
from turmerichall.gateway import received_body
from turmerichall.gateway import request as requests
from turmerichall.gateway import request_telemetry
from turmerichall.gateway import selection
from turmerichall.gateway import shares as sharing
from turmerichall.instances import presence as presences
from turmerichall.instances import share_lease as share_leases
from turmerichall.state import configuration as configurations

__all__ = ["Application", "Members"]

CLOSE_HEADER = (b"connection", b"close")
MEMBERS_INTERVAL_SECONDS = 0.5

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
# Function that returns the current entry instances: a mapping from names to
# zones, or only the names.
Members = Callable[[], Mapping[str, str] | Iterable[str]]


class Machine(Protocol):
    """The replicated state, as far as the gateway reads it.

    When a snapshot is restored, the attributes refer to new objects.
    """

    configuration: configurations.Configuration
    absent_or_returning: dict[str, presences.Presence]


class Application:
    """ASGI application that serves the callers of one entry instance.

    Attributes:
        in_flight: Number of requests whose response is not complete.
        draining: Whether responses ask callers to close their connections.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        directory: directories.Directory,
        machine: Machine,
        network: peer_calls.Network,
        members: Members,
        counters: request_telemetry.Counters,
        log: request_telemetry.Log,
        limits: limits_module.Limits = limits_module.Limits(),
        lease: share_leases.ShareLease = share_leases.PermanentShareLease(),
    ):
        self.name = name
        self.zone = zone
        self.machine = machine
        self.members = members
        self.telemetry = request_telemetry.RequestTelemetry(counters, log)
        self.limits = limits
        self.in_flight = 0
        self.draining = False
        generator = random.Random()
        self.shares = sharing.Shares(name, zones_of(members()))
        self.claims = claims_module.Claims(
            name, network, zones_of(members()), time.time
        )
        self.claim_handover = claim_handover.ClaimHandover(
            name, network, self.claims
        )
        self.loans = lending.Loans(
            network, self._find_pool, self._queue_is_empty
        )
        self.fleet = fleets.Fleet(
            directory,
            self.shares,
            selection.from_name(limits.routing, zone, generator),
            limits,
            self.loans.old_loans_expired,
            self.telemetry.record_ejection,
            lease,
            self._evacuated_zones,
        )
        self.dispatcher = dispatchers.Dispatcher(
            self.fleet,
            self.claims,
            limits,
            self.telemetry.record_retry,
            generator,
        )
        self.maintenance = maintenance.Maintenance(
            self.dispatcher,
            self.claims,
            self.loans,
            self.shares,
            limits,
            self.telemetry,
        )
        self._add_gauges(counters)

    def _evacuated_zones(self) -> frozenset[str]:
        return self.machine.configuration.evacuated_zones()

    def _add_gauges(self, counters: request_telemetry.Counters) -> None:
        admission = self.dispatcher.admission
        counters.gauge(
            "requests_in_flight",
            "Requests of callers whose answer is not complete.",
            lambda: self.in_flight,
        )
        counters.gauge(
            "requests_waiting",
            "Requests that wait for a slot.",
            lambda: admission.queued_count,
        )
        counters.gauge(
            "concurrency_limit",
            "Requests that may hold a slot at once, by the adaptive limit.",
            lambda: admission.concurrency_limit.limit,
        )

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        if scope["type"] == "lifespan":
            await self._lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_request(scope, receive, send)

    def drain(self) -> None:
        """Ask callers to use other instances by closing their connections.

        Requests are still accepted, since callers may not know of the drain
        yet; that ends when the listener is closed.
        """
        self.draining = True

    async def _lifespan(self, receive: Receive, send: Send) -> None:
        """Run background tasks until shutdown, as the ASGI lifespan."""
        await receive()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.maintenance.run)
            nursery.start_soon(self._follow_members)
            nursery.start_soon(self.claim_handover.restore)
            await send({"type": "lifespan.startup.complete"})
            await receive()
            await self.claim_handover.hand_over()
            nursery.cancel_scope.cancel()
        await send({"type": "lifespan.shutdown.complete"})

    async def _follow_members(self) -> None:
        while True:
            members = zones_of(self.members())
            now = trio.current_time()
            self.shares.update(members, now, self.machine.absent_or_returning)
            self.claims.update_members(members, now)
            await trio.sleep(MEMBERS_INTERVAL_SECONDS)

    def _find_pool(self, name: str, incarnation: int) -> pools.Pool | None:
        return self.fleet.find_pool(name, incarnation)

    def _queue_is_empty(self) -> bool:
        return not self.dispatcher.admission.queued_count

    async def _serve_request(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        self.in_flight += 1
        try:
            received = await self._read_request(scope, receive)
            if isinstance(received, requests.Request):
                await self._respond_unless_disconnected(
                    received, scope, receive, send
                )
            elif received is not None:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_discard_body, receive)
                    await self._send_error(
                        received, _request_id_header(scope), send
                    )
                    nursery.cancel_scope.cancel()
        finally:
            self.in_flight -= 1

    async def _read_request(
        self, scope: Scope, receive: Receive
    ) -> requests.Request | outcomes.Refusal | None:
        if scope["http_version"] != "1.1" or scope["method"] != "POST":
            return outcomes.Refusal(
                outcomes.RefusalReason.MALFORMED,
                "the request must be a POST over HTTP/1.1",
            )
        request = requests.parse(
            scope["path"],
            scope["headers"],
            self.machine.configuration,
            self.limits,
            trio.current_time(),
        )
        if isinstance(request, outcomes.Refusal):
            return request
        with trio.move_on_at(request.deadline):
            body = await received_body.read(
                scope, receive, self.limits.body_bytes
            )
            if isinstance(body, bytes):
                return request._replace(body=body)
            return body
        return outcomes.Refusal(
            outcomes.RefusalReason.TIMEOUT,
            "the body did not arrive before the deadline",
        )

    async def _respond_unless_disconnected(
        self,
        request: requests.Request,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        connection = scope["state"].get(caller_connection.CONNECTION_KEY)
        if connection is not None:
            with trio.CancelScope() as cancel_scope:
                connection.on_disconnect = cancel_scope.cancel
                await self._respond(request, send)
            connection.on_disconnect = None
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_on_disconnect, receive, nursery.cancel_scope
            )
            await self._respond(request, send)
            nursery.cancel_scope.cancel()

    async def _respond(self, request: requests.Request, send: Send) -> None:
        result = await self.dispatcher.run(request)
        if isinstance(result, exchanges.Exchange):
            try:
                await self._forward_response(result, send)
            finally:
                self.dispatcher.close(result)
                self.telemetry.record_response(result)
        else:
            await self._send_error(result, request.request_id, send)

    async def _forward_response(
        self, exchange: exchanges.Exchange, send: Send
    ) -> None:
        """Forward a response; a truncated one is not marked as complete."""
        headers = [
            *exchange.headers,
            (
                error_responses.OUTCOME_HEADER,
                error_responses.Outcome.RAN.encode(),
            ),
            (requests.REQUEST_ID_HEADER, exchange.request.request_id),
        ]
        if self.draining:
            headers.append(CLOSE_HEADER)
        await send(
            {
                "type": "http.response.start",
                "status": exchange.status,
                "headers": headers,
            }
        )
        if exchange.buffered_body is not None:
            await send(_body_message(exchange.buffered_body))
            return
        try:
            with exchange.renew_cancel_scope():
                async with contextlib.aclosing(exchange.body()) as parts:
                    async for part in parts:
                        await send(_body_message(part, more_body=True))
        except exchanges.CONNECTION_ERRORS:
            pass
        if exchange.complete:
            await send(_body_message(b""))

    async def _send_error(
        self,
        result: outcomes.Refusal | outcomes.Unknown | claims_module.Duplicate,
        request_id: bytes,
        send: Send,
    ) -> None:
        document = error_responses.make_document(result, request_id)
        self.telemetry.record_error(result, document)
        body = error_responses.encode(document)
        headers = error_responses.headers(document, body)
        if self.draining:
            headers.append(CLOSE_HEADER)
        await send(
            {
                "type": "http.response.start",
                "status": error_responses.status(result),
                "headers": headers,
            }
        )
        await send(_body_message(body))


def zones_of(members: Mapping[str, str] | Iterable[str]) -> dict[str, str]:
    """Map each entry instance to its zone, empty if only names are given.

    Examples:
        >>> zones_of(["a", "b"])
        {'a': '', 'b': ''}
    """
    if isinstance(members, Mapping):
        return dict(members)
    return dict.fromkeys(members, "")


def _request_id_header(scope: Scope) -> bytes:
    request_id: bytes = dict(scope["headers"]).get(
        requests.REQUEST_ID_HEADER, b""
    )
    return request_id


async def _discard_body(receive: Receive) -> None:
    """Discard what the caller still sends, so that it can read the error."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def _cancel_on_disconnect(
    receive: Receive, cancel_scope: trio.CancelScope
) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    cancel_scope.cancel()


def _body_message(part: bytes, more_body: bool = False) -> dict[str, Any]:
    return {"type": "http.response.body", "body": part, "more_body": more_body}
