"""Fake backend servers and gateways for the tests of the request path."""

import functools
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

import httpcore
import pytest
import trio

from turmerichall import resources
from turmerichall.backend_servers import announcement as announcements
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

WAIT_TIMEOUT_SECONDS = 20.0
DRAIN_LIMIT_SECONDS = 10.0

Handler = Callable[["ReceivedRequest"], Awaitable[None]]


class ReceivedRequest(NamedTuple):
    """One request as a fake backend server receives it.

    Attributes:
        stream: The connection.
        request_id: The id in the request's header.
        number: Number of requests that the server received before.
        body: Body of the request.
    """

    stream: trio.SocketStream
    request_id: bytes
    number: int
    body: bytes

    async def respond(
        self,
        body: bytes = b"done",
        status: bytes = b"200 OK",
        headers: bytes = b"",
        request_id: bytes | None = None,
    ) -> None:
        """Send a complete response."""
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


async def echo(request: ReceivedRequest) -> None:
    """Respond with the body of the request."""
    await request.respond(request.body)


async def refuse(request: ReceivedRequest) -> None:
    """Respond that the request was not run."""
    await request.respond(
        b"", b"503 Full", b"turmerichall-not-run: true\r\nretry-after: 1\r\n"
    )


class FakeBackend:
    """A backend server that handles each request with a function.

    Attributes:
        handler: Handles a request.
        name: Name of the worker.
        address: `host:port` that it listens on.
        request_ids: Ids of all requests received.
        running_ids: Ids of requests that it reports as running.
        accepts_connections: Whether new connections are served.
        connections: Number of open connections.
        peak_connections: Maximum number of connections open at once.
    """

    def __init__(self, name: str, handler: Handler = echo):
        self.name = name
        self.handler = handler
        self.address = ""
        self.request_ids: list[bytes] = []
        self.running_ids: set[bytes] = set()
        self.accepts_connections = True
        self.connections = 0
        self.peak_connections = 0

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        if not self.accepts_connections:
            await trio.sleep_forever()
        self.connections += 1
        self.peak_connections = max(self.peak_connections, self.connections)
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
            queried_id = head.split(b" ")[1].removeprefix(b"/v1/requests/")
            status = (
                b"200 OK" if queried_id in self.running_ids else b"404 Unknown"
            )
            await stream.send_all(
                b"HTTP/1.1 %b\r\ncontent-length: 0\r\n\r\n" % status
            )
            return True
        request_id = fields[b"turmerichall-request-id"]
        self.request_ids.append(request_id)
        number = len(self.request_ids) - 1
        await self.handler(ReceivedRequest(stream, request_id, number, body))
        return True

    def announcement(
        self, incarnation: int = 1, **overrides: Any
    ) -> announcements.Announcement:
        """Return an announcement of this server."""
        task = announcements.TaskReport(
            "svc:c/s/0", 1, announcements.ReportedState.RUNNING
        )
        announcement = announcements.Announcement(
            self.name,
            incarnation,
            1,
            "z1",
            "r1",
            self.address,
            resources.Resources(8, 1000),
            tasks=(task,),
        )
        return announcement._replace(**overrides)


class Gateway:
    """An entry instance's request path, served over HTTP.

    Attributes:
        application: The application under test.
        url: URL for callers.
        stop: Ends serving once it is set.
        directory: Announcements of the backend servers.
        counters: The metrics.
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

    def receive_announcement(
        self, backend: FakeBackend, **overrides: Any
    ) -> None:
        """Apply an announcement of a backend server."""
        announcement = backend.announcement(**overrides)
        self.directory.accept(announcement, trio.current_time())

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
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
    """A client that sends requests to a gateway."""

    def __init__(self, gateway: Gateway, pool: httpcore.AsyncConnectionPool):
        self.gateway = gateway
        self.pool = pool

    async def send(
        self,
        body: bytes = b"hello",
        path: str = "/v1/requests/c/s",
        **headers: str,
    ) -> httpcore.Response:
        """Send a request; a header's name has `_` for each `-`."""
        encoded = [
            (key.replace("_", "-").encode(), value.encode())
            for key, value in headers.items()
        ]
        return await self.pool.request(
            "POST", self.gateway.url + path, headers=encoded, content=body
        )


def header(response: httpcore.Response, name: bytes) -> bytes:
    """Return a header of a response, or empty bytes."""
    return dict(response.headers).get(name, b"")


class Testbed:
    """Backend servers and gateways that live as long as the test."""

    def __init__(
        self, nursery: trio.Nursery, pool: httpcore.AsyncConnectionPool
    ):
        self.nursery = nursery
        self.pool = pool

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        with trio.fail_after(WAIT_TIMEOUT_SECONDS):
            while not condition():
                await trio.sleep(0.005)

    async def backend(self, name: str, handler: Handler = echo) -> FakeBackend:
        """Start a backend server."""
        backend = FakeBackend(name, handler)
        await self.nursery.start(backend.run)
        return backend

    async def caller(self, *backends: FakeBackend, **overrides: Any) -> Caller:
        """Start a gateway that knows backend servers, and return its caller."""
        limits = limits_module.Limits()._replace(**overrides)
        gateway = Gateway(limits)
        await self.nursery.start(gateway.run)
        for backend in backends:
            gateway.receive_announcement(backend)
        return Caller(gateway, self.pool)

    async def callers(self, backend: FakeBackend, *names: str) -> list[Caller]:
        """Start gateways that know each other, and return a caller of each."""
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
            gateway.receive_announcement(backend)
        await self.wait_until(lambda: all(map(_is_connected, gateways)))
        await self.wait_until(lambda: all(map(_grants_claims, gateways)))
        return [Caller(gateway, self.pool) for gateway in gateways]


def _grants_claims(gateway: Gateway) -> bool:
    return not gateway.application.claims.store.abstain_reason


def _is_connected(gateway: Gateway) -> bool:
    links = gateway.network.links
    return all(gateway.network.last_heard(name) > 0.0 for name in links)


@pytest.fixture
async def testbed() -> AsyncIterator[Testbed]:
    """Provide a `Testbed`."""
    async with trio.open_nursery() as nursery:
        async with httpcore.AsyncConnectionPool(max_connections=100) as pool:
            yield Testbed(nursery, pool)
        nursery.cancel_scope.cancel()
