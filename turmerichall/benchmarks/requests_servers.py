"""Server processes of the benchmark of the request path.

Run as `python -m turmerichall.benchmarks.requests_servers KIND ...`.  Each
prints the `host:port` it listens on.
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

HEARTBEAT_SECONDS = 1.0
DRAIN_SECONDS = 5.0
REQUEST_ID = b"turmerichall-request-id"
PREFIX = "/v1/requests/"


class Backend:
    """Echoes the body of a request after a pause.

    Attributes:
        seconds: How long a request takes.
        slots: Requests that run at once; others are refused.
    """

    def __init__(self, seconds: float, slots: int):
        self.seconds = seconds
        self.slots = slots
        self.running = 0

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
            return
        body = await _read(receive)
        headers: dict[bytes, bytes] = dict(scope["headers"])
        echoed = (REQUEST_ID, headers.get(REQUEST_ID, b""))
        if self.running >= self.slots:
            refused = (b"turmerichall-not-run", b"true")
            await _answer(send, 503, b"", [echoed, refused])
            return
        self.running += 1
        try:
            if self.seconds:
                await trio.sleep(self.seconds)
            await _answer(send, 200, body, [echoed])
        finally:
            self.running -= 1


class PassThrough:
    """The bare hop: hypercorn takes a request, httpcore passes it on.

    Attributes:
        address: Where the requests go, host:port.
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
        body = await _read(receive)
        answer = await self.pool.request(
            "POST",
            f"http://{self.address}{scope['path']}",
            headers=scope["headers"],
            content=body,
        )
        await _answer(send, answer.status, answer.content, answer.headers)


async def _lifespan(receive: Receive, send: Send) -> None:
    for phase in ("startup", "shutdown"):
        await receive()
        await send({"type": f"lifespan.{phase}.complete"})


async def _read(receive: Receive) -> bytes:
    body = bytearray()
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return bytes(body)


async def _answer(
    send: Send,
    status: int,
    body: bytes,
    headers: list[tuple[bytes, bytes]],
) -> None:
    kept = [item for item in headers if item[0].lower() != b"content-length"]
    kept.append((b"content-length", b"%d" % len(body)))
    start = {"type": "http.response.start", "status": status, "headers": kept}
    await send(start)
    await send({"type": "http.response.body", "body": body})


def _machine() -> machines.StateMachine:
    """Returns a configuration with one service for each urgency."""
    made = machines.StateMachine()
    size = resources.Resources(1, 1)
    made.configuration.templates["s"] = configuration.Versioned(
        1, "b", 0.0, template.Template("s", template.Kind.SERVICE, size)
    )
    for urgency in customers.Urgency:
        name = str(urgency)
        body = customers.Customer(name, "t", urgency, ("z1",), {"s": 1}, 10_000)
        versioned = configuration.Versioned(1, "b", 0.0, body)
        made.configuration.customers[name] = versioned
    return made


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

    async def hear() -> None:
        for sequence in itertools.count(1):
            for number, address in enumerate(backends):
                told = _announcement(number, address, slots)
                told = told._replace(sequence=sequence)
                directory.accept(told, trio.current_time())
            await trio.sleep(HEARTBEAT_SECONDS)

    await _serve(server.serve, app, hear)


class Servers:
    """Commands of this module."""

    def backend(self, seconds: float = 0.0, slots: int = 64) -> None:
        """Runs a backend server."""
        trio.run(_serve, hypercorn_server.serve, Backend(seconds, slots))

    def passthrough(self, address: str) -> None:
        """Runs the bare hop."""
        trio.run(_serve, hypercorn_server.serve, PassThrough(address))

    def gateway(
        self, backends: str, slots: int = 64, routing: str = "least_loaded"
    ) -> None:
        """Runs an entry instance's request path; `backends` by `+`."""
        trio.run(_gateway, backends.split("+"), slots, routing)


def main() -> None:
    """Runs one server."""
    fire.Fire(Servers)


if __name__ == "__main__":
    main()
