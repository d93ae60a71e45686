"""The ASGI application that callers talk to."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol

import trio

from turmerichall import outcomes
from turmerichall.backend_servers import directory as directories
from turmerichall.gateway import answers
from turmerichall.gateway import dispatcher as dispatchers
from turmerichall.gateway import exchange
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import request as requests
from turmerichall.state import configuration as configurations

__all__ = ["Application", "Members"]

PART = "gateway"
DRAIN_RETRY_SECONDS = 1.0

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
# Zone of each entry instance by name.
Members = Callable[[], Mapping[str, str]]


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


class Log(Protocol):
    """Where the gateway logs; `telemetry.logs.Log` is one."""

    def info(self, message: str, **fields: object) -> None:
        """Writes a message about ordinary work."""

    def warning(self, message: str, **fields: object) -> None:
        """Writes a message that an operator may have to act on."""


class Machine(Protocol):
    """Holder of the configuration; a restore of a snapshot replaces it."""

    configuration: configurations.Configuration


class Network(Protocol):
    """Calls to other entry instances; `peers.network.Network` is one."""

    name: str

    def handle(
        self,
        kind: str,
        handler: Callable[[str, bytes], Awaitable[bytes | None]],
    ) -> None:
        """Registers the handler of a kind of message."""

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Calls a handler on another instance."""


class Application:
    """Serves callers' requests on one entry instance.

    Attributes:
        in_flight: Requests taken whose answer is not complete.
        draining: Whether new requests are refused.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        directory: directories.Directory,
        machine: Machine,
        network: Network,
        members: Members,
        counters: Counters,
        log: Log,
        limits: limits_module.Limits = limits_module.Limits(),
    ):
        self.name = name
        self.zone = zone
        self.machine = machine
        self.network = network
        self.members = members
        self.counters = counters
        self.log = log
        self.limits = limits
        self.dispatcher = dispatchers.Dispatcher(zone, directory, limits)
        self.in_flight = 0
        self.draining = False

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve(scope, receive, send)

    def drain(self) -> None:
        """Refuses new requests from now on; those in flight go on."""
        self.draining = True

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        self.in_flight += 1
        try:
            taken = await self._take(scope, receive)
            if isinstance(taken, requests.Request):
                await self._answer_in_time(taken, receive, send)
            elif taken is not None:
                await self._tell(taken, _sent_id(scope), send)
        finally:
            self.in_flight -= 1

    async def _take(
        self, scope: Scope, receive: Receive
    ) -> requests.Request | outcomes.Refusal | None:
        if self.draining:
            return outcomes.Refusal(
                outcomes.RefusalReason.DRAINING,
                f"instance {self.name} is stopping",
                DRAIN_RETRY_SECONDS,
            )
        if scope["http_version"] != "1.1" or scope["method"] != "POST":
            return outcomes.Refusal(
                outcomes.RefusalReason.MALFORMED, "POST over HTTP/1.1 is needed"
            )
        request = requests.read(
            scope["path"],
            scope["headers"],
            self.machine.configuration,
            self.limits,
            trio.current_time(),
        )
        if isinstance(request, outcomes.Refusal):
            return request
        return await _with_body(request, receive, self.limits.body_bytes)

    async def _answer_in_time(
        self, request: requests.Request, receive: Receive, send: Send
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_when_left, receive, nursery.cancel_scope)
            await self._answer(request, send)
            nursery.cancel_scope.cancel()

    async def _answer(self, request: requests.Request, send: Send) -> None:
        ended = await self.dispatcher.run(request)
        if isinstance(ended, exchange.Answer):
            try:
                await _pass_on(ended, request, send)
            finally:
                await self.dispatcher.close(ended)
        else:
            await self._tell(ended, request.request_id, send)

    async def _tell(
        self,
        ended: outcomes.Refusal | outcomes.Unknown,
        request_id: bytes,
        send: Send,
    ) -> None:
        if isinstance(ended, outcomes.Unknown):
            self.counters.unknown(PART, ended.reason)
        else:
            self.counters.refused(PART, ended.reason)
        said = answers.document(ended, request_id)
        body = answers.encode(said)
        headers = answers.headers(said, body)
        if self.draining:
            headers.append((b"connection", b"close"))
        await send(
            {
                "type": "http.response.start",
                "status": answers.status(ended),
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": body})


async def _lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


def _sent_id(scope: Scope) -> bytes:
    sent: bytes = dict(scope["headers"]).get(requests.REQUEST_ID, b"")
    return sent


async def _with_body(
    request: requests.Request, receive: Receive, most_bytes: int
) -> requests.Request | outcomes.Refusal | None:
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > most_bytes:
            return outcomes.Refusal(
                outcomes.RefusalReason.TOO_LARGE,
                f"the body is larger than {most_bytes} bytes",
            )
        if not message.get("more_body", False):
            return request._replace(body=b"".join(parts))


async def _cancel_when_left(
    receive: Receive, cancel_scope: trio.CancelScope
) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    cancel_scope.cancel()


async def _pass_on(
    answer: exchange.Answer, request: requests.Request, send: Send
) -> None:
    """Streams an answer; leaves it without an end if it was truncated."""
    headers = [
        *answer.headers,
        (answers.OUTCOME, answers.Outcome.RAN.encode()),
        (requests.REQUEST_ID, request.request_id),
    ]
    await send(
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": headers,
        }
    )
    try:
        async for part in answer.body():
            await send(
                {"type": "http.response.body", "body": part, "more_body": True}
            )
    except exchange.BROKEN:
        return
    await send({"type": "http.response.body", "body": b""})
