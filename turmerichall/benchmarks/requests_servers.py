"""Server processes of the request path's benchmark.

Run as `python -m turmerichall.benchmarks.requests_servers KIND ...`.  Each
server prints a JSON object with the `host:port` that it listens on.
"""

import functools
import itertools
import os
from collections.abc import Awaitable, Callable
from typing import Any

import fire
import httpcore
import msgspec
import trio

from turmerichall import resources
from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import directory as directories
from turmerichall.benchmarks import hypercorn_server
from turmerichall.customers import customer as customers
from turmerichall.gateway import application
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import server
from turmerichall.peers import network
from turmerichall.state import configuration
from turmerichall.state import machine as machines
from turmerichall.telemetry import counters
from turmerichall.telemetry import logs
from turmerichall.templates import template

__all__ = ["Servers", "main"]

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

ANNOUNCE_PERIOD_SECONDS = 1.0
DRAIN_SECONDS = 5.0
REQUEST_ID = b"turmerichall-request-id"
PREFIX = "/v1/requests/"


class Backend:
    """A backend server that echoes the body of a request after a delay.

    Attributes:
        seconds: Time that a request takes.
        slots: Maximum number of concurrent requests; further ones are refused.
        running: Number of requests that run now.
    """

    def __init__(self, seconds: float, slots: int):
        self.seconds = seconds
        self.slots = slots
        self.running = 0

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
            return
        body = await _read_body(receive)
        headers: dict[bytes, bytes] = dict(scope["headers"])
        request_id_header = (REQUEST_ID, headers.get(REQUEST_ID, b""))
        if self.running >= self.slots:
            not_run_header = (b"turmerichall-not-run", b"true")
            await _respond(send, 503, b"", [request_id_header, not_run_header])
            return
        self.running += 1
        try:
            if self.seconds:
                await trio.sleep(self.seconds)
            await _respond(send, 200, body, [request_id_header])
        finally:
            self.running -= 1


class PassThroughProxy:
    """A minimal proxy with which the gateway is compared.

    It is built of hypercorn and httpcore.

    Attributes:
        address: Address of the upstream server, host:port.
    """

    def __init__(self, address: str):
        self.address = address
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=64, max_keepalive_connections=64
        )

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
            return
        body = await _read_body(receive)
        response = await self.pool.request(
            "POST",
            f"http://{self.address}{scope['path']}",
            headers=scope["headers"],
            content=body,
        )
        await _respond(
            send, response.status, response.content, response.headers
        )


async def _lifespan(receive: Receive, send: Send) -> None:
    for phase in ("startup", "shutdown"):
        await receive()
        await send({"type": f"lifespan.{phase}.complete"})


async def _read_body(receive: Receive) -> bytes:
    body = bytearray()
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return bytes(body)


async def _respond(
    send: Send,
    status: int,
    body: bytes,
    headers: list[tuple[bytes, bytes]],
) -> None:
    response_headers = [
        item for item in headers if item[0].lower() != b"content-length"
    ]
    response_headers.append((b"content-length", b"%d" % len(body)))
    start = {
        "type": "http.response.start",
        "status": status,
        "headers": response_headers,
    }
    await send(start)
    await send({"type": "http.response.body", "body": body})


def _machine() -> machines.StateMachine:
    """Return replicated state with a customer and service for each urgency."""
    machine = machines.StateMachine()
    size = resources.Resources(1, 1)
    machine.configuration.templates["s"] = configuration.Versioned(
        1, "b", 0.0, template.Template("s", template.Kind.SERVICE, size)
    )
    for urgency in customers.Urgency:
        name = str(urgency)
        body = customers.Customer(name, "t", urgency, ("z1",), {"s": 1}, 10_000)
        versioned = configuration.Versioned(1, "b", 0.0, body)
        machine.configuration.customers[name] = versioned
    return machine


def _announcement(
    number: int, address: str, slots: int
) -> announcement.Announcement:
    reports = tuple(
        announcement.TaskReport(
            f"svc:{urgency}/s/0", 1, announcement.ReportedState.RUNNING
        )
        for urgency in customers.Urgency
    )
    return announcement.Announcement(
        f"w{number}",
        1,
        1,
        "z1",
        "r1",
        address,
        resources.Resources(8, 1000),
        slots=slots,
        tasks=reports,
    )


async def _serve(
    serve: Any, app: Any, *tasks: Callable[[], Awaitable[None]]
) -> None:
    async with trio.open_nursery() as nursery:
        for task in tasks:
            nursery.start_soon(task)
        address = await nursery.start(
            functools.partial(
                serve,
                app,
                "127.0.0.1:0",
                trio.Event(),
                DRAIN_SECONDS,
            )
        )
        print(msgspec.json.encode({"address": address}).decode(), flush=True)


async def _gateway(backends: list[str], slots: int, routing: str) -> None:
    logs.configure(path=os.devnull)
    machine = _machine()
    directory = directories.Directory(machine.configuration)
    app = application.Application(
        "i1",
        "z1",
        directory,
        machine,
        network.Network("i1", b"benchmark"),
        lambda: {"i1": "z1"},
        counters.Counters(),
        logs.Log("gateway"),
        limits_module.Limits(routing=routing, concurrency=10_000),
    )

    async def announce() -> None:
        for sequence in itertools.count(1):
            for number, address in enumerate(backends):
                announced = _announcement(number, address, slots)
                announced = announced._replace(sequence=sequence)
                directory.accept(announced, trio.current_time())
            await trio.sleep(ANNOUNCE_PERIOD_SECONDS)

    await _serve(server.serve, app, announce)


class Servers:
    """Servers that can be started from the command line."""

    def backend(self, seconds: float = 0.0, slots: int = 64) -> None:
        """Run a backend server."""
        trio.run(_serve, hypercorn_server.serve, Backend(seconds, slots))

    def passthrough(self, address: str) -> None:
        """Run the minimal proxy."""
        trio.run(_serve, hypercorn_server.serve, PassThroughProxy(address))

    def gateway(
        self, backends: str, slots: int = 64, routing: str = "least_loaded"
    ) -> None:
        """Run an entry instance's request path.

        Args:
            backends: Addresses of backend servers, separated by `+`.
            slots: Slots that each backend server announces.
            routing: Name of the routing method.
        """
        trio.run(_gateway, backends.split("+"), slots, routing)


def main() -> None:
    """Run one server, chosen on the command line."""
    fire.Fire(Servers)


if __name__ == "__main__":
    main()
