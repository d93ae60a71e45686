"""Small backend servers and gateways for the tests of the request path."""

import functools
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

import httpcore
import pytest
import trio

from turmerichall import resources
from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import directory as directories
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

LIMIT_SECONDS = 20.0
DRAIN_LIMIT_SECONDS = 10.0

Script = Callable[["Exchange"], Awaitable[None]]


class Exchange(NamedTuple):
    """One request as a backend server of the tests sees it.

    Attributes:
        stream: The connection.
        request_id: The id that came with the request.
        number: How many requests the server had before.
        body: Body of the request.
    """

    stream: trio.SocketStream
    request_id: bytes
    number: int
    body: bytes

    async def answer(
        self,
        body: bytes = b"done",
        status: bytes = b"200 OK",
        headers: bytes = b"",
        request_id: bytes | None = None,
    ) -> None:
        """Sends a whole answer."""
        await self.stream.send_all(
            b"HTTP/1.1 %b\r\ncontent-length: %d\r\n"
            b"turmerichall-request-id: %b\r\n%b\r\n%b"
            % (
                status,
                len(body),
                self.request_id if request_id is None else request_id,
                headers,
                body,
            )
        )


async def ran(exchange: Exchange) -> None:
    """Answers with the body of the request."""
    await exchange.answer(exchange.body)


async def not_run(exchange: Exchange) -> None:
    """Says that the request was not run."""
    await exchange.answer(
        b"", b"503 Full", b"turmerichall-not-run: true\r\nretry-after: 1\r\n"
    )


class Backend:
    """A backend server that follows a script for each request.

    Attributes:
        script: What to do with a request.
        name: Name of the worker.
        address: Where it listens, host:port.
        request_ids: Ids of all requests that arrived.
        running: Ids of requests that it says are running when asked.
        accepts: Whether new connections get anything.
        connections: Connections open now.
        most_connections: Most connections that were open at once.
    """

    def __init__(self, name: str, script: Script = ran):
        self.name = name
        self.script = script
        self.address = ""
        self.request_ids: list[bytes] = []
        self.running: set[bytes] = set()
        self.accepts = True
        self.connections = 0
        self.most_connections = 0

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        if not self.accepts:
            await trio.sleep_forever()
        self.connections += 1
        self.most_connections = max(self.most_connections, self.connections)
        try:
            async with stream:
                while await self._serve_one(stream):
                    pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.connections -= 1

    async def _serve_one(self, stream: trio.SocketStream) -> bool:
        data = b""
        while b"\r\n\r\n" not in data:
            part = await stream.receive_some()
            if not part:
                return False
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        fields = {}
        for line in head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b": ")
            fields[key.lower()] = value
        while len(body) < int(fields.get(b"content-length", b"0")):
            body += await stream.receive_some()
        if head.startswith(b"GET /v1/requests/"):
            asked = head.split(b" ")[1].removeprefix(b"/v1/requests/")
            status = b"200 OK" if asked in self.running else b"404 Unknown"
            await stream.send_all(
                b"HTTP/1.1 %b\r\ncontent-length: 0\r\n\r\n" % status
            )
            return True
        request_id = fields[b"turmerichall-request-id"]
        self.request_ids.append(request_id)
        number = len(self.request_ids) - 1
        await self.script(Exchange(stream, request_id, number, body))
        return True

    def announcement(
        self, incarnation: int = 1, **changed: Any
    ) -> announcement.Announcement:
        """Returns an announcement of this server."""
        task = announcement.TaskReport(
            "svc:c/s/0", 1, announcement.ReportedState.RUNNING
        )
        made = announcement.Announcement(
            self.name,
            incarnation,
            1,
            "z1",
            "r1",
            self.address,
            resources.Resources(8, 1000),
            tasks=(task,),
        )
        return made._replace(**changed)


class Gateway:
    """An entry instance's request path, served over HTTP.

    Attributes:
        application: The application under test.
        url: Where callers reach it.
        stop: Ends serving once it is set.
        directory: What it knows of backend servers.
        counters: What it counted.
        network: Connections to the other instances.
    """

    def __init__(
        self,
        limits: limits_module.Limits,
        name: str = "i1",
        members: tuple[str, ...] = ("i1",),
    ):
        urgency = customers.Urgency.URGENT
        machine = machines.StateMachine()
        size = resources.Resources(1, 1)
        machine.configuration.templates["s"] = configuration.Versioned(
            1, "ann", 0.0, template.Template("s", template.Kind.SERVICE, size)
        )
        body = customers.Customer("c", "t", urgency, ("z1",), {"s": 1})
        machine.configuration.customers["c"] = configuration.Versioned(
            1, "ann", 0.0, body
        )
        self.directory = directories.Directory(machine.configuration)
        self.counters = counters.Counters()
        self.network = network.Network(name, b"key")
        self.application = application.Application(
            name,
            "z1",
            self.directory,
            machine,
            self.network,
            lambda: dict.fromkeys(members, "z1"),
            self.counters,
            logs.Log("gateway"),
            limits,
        )
        self.application.claims.store.complete_since = 0.0
        self.stop = trio.Event()
        self.url = ""

    def hear(self, backend: Backend, **changed: Any) -> None:
        """Takes an announcement of a backend server in."""
        told = backend.announcement(**changed)
        self.directory.accept(told, trio.current_time())

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled."""
        async with trio.open_nursery() as nursery:
            serve = functools.partial(
                server.serve,
                self.application,
                "127.0.0.1:0",
                self.stop,
                DRAIN_LIMIT_SECONDS,
                self.application.limits,
            )
            self.url = "http://" + await nursery.start(serve)
            task_status.started()


class Caller:
    """Sends requests to a gateway."""

    def __init__(self, gateway: Gateway, pool: httpcore.AsyncConnectionPool):
        self.gateway = gateway
        self.pool = pool

    async def send(
        self,
        body: bytes = b"hello",
        path: str = "/v1/requests/c/s",
        **headers: str,
    ) -> httpcore.Response:
        """Sends a request; a header's name has `_` for each `-`."""
        named = [
            (key.replace("_", "-").encode(), value.encode())
            for key, value in headers.items()
        ]
        return await self.pool.request(
            "POST", self.gateway.url + path, headers=named, content=body
        )


def header(response: httpcore.Response, name: bytes) -> bytes:
    """Returns a header of an answer, or nothing."""
    return dict(response.headers).get(name, b"")


class World:
    """Starts backend servers and gateways that live as long as the test."""

    def __init__(
        self, nursery: trio.Nursery, pool: httpcore.AsyncConnectionPool
    ):
        self.nursery = nursery
        self.pool = pool

    async def until(self, holds: Callable[[], bool]) -> None:
        """Waits until a condition holds."""
        with trio.fail_after(LIMIT_SECONDS):
            while not holds():
                await trio.sleep(0.005)

    async def backend(self, name: str, script: Script = ran) -> Backend:
        """Starts a backend server."""
        made = Backend(name, script)
        await self.nursery.start(made.run)
        return made

    async def caller(self, *backends: Backend, **changed: Any) -> Caller:
        """Starts a gateway that knows backend servers; returns a caller."""
        limits = limits_module.Limits()._replace(**changed)
        gateway = Gateway(limits)
        await self.nursery.start(gateway.run)
        for backend in backends:
            gateway.hear(backend)
        return Caller(gateway, self.pool)

    async def callers(self, backend: Backend, *names: str) -> list[Caller]:
        """Starts gateways that know each other; returns a caller of each."""
        limits = limits_module.Limits()
        gateways = [Gateway(limits, name, names) for name in names]
        for gateway in gateways:
            await self.nursery.start(gateway.network.run, "127.0.0.1:0")
        addresses = {
            gateway.network.name: gateway.network.listen_address
            for gateway in gateways
        }
        for gateway in gateways:
            gateway.network.set_addresses(addresses)
            gateway.application.loans.may_lend_from = 0.0
            await self.nursery.start(gateway.run)
            gateway.hear(backend)
        await self.until(lambda: all(map(_is_connected, gateways)))
        await self.until(lambda: all(map(_grants, gateways)))
        return [Caller(gateway, self.pool) for gateway in gateways]


def _grants(gateway: Gateway) -> bool:
    return not gateway.application.claims.store.abstain_reason


def _is_connected(gateway: Gateway) -> bool:
    links = gateway.network.links
    return all(gateway.network.last_heard(name) > 0.0 for name in links)


@pytest.fixture
async def world() -> AsyncIterator[World]:
    """Gives a `World`."""
    async with trio.open_nursery() as nursery:
        async with httpcore.AsyncConnectionPool(max_connections=100) as pool:
            yield World(nursery, pool)
        nursery.cancel_scope.cancel()
