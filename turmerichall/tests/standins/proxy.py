"""A TCP proxy that injects faults into the connections through it.

It is used inside a process (`Proxy`), or as a process of its own:
`python -m turmerichall.tests.standins.proxy --control 127.0.0.1:0
--links '{"a": ["127.0.0.1:0", "127.0.0.1:7101"]}'`.  This accepts one JSON
object per line on the control port, such as
`{"link": "a", "set": {"stall_to_client": true}}`, and answers each with the
number of open connections and its maximum.
"""

import functools
import socket
import struct
from collections.abc import Callable
from typing import Any, NamedTuple

import fire
import msgspec
import trio

__all__ = ["LinkFaults", "Proxy", "main"]

CHUNK_BYTES = 1 << 16
CONNECT_TIMEOUT_SECONDS = 5.0
# Value of SO_LINGER with which closing a socket sends a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkFaults(NamedTuple):
    """Faults of a link, that is, of all connections through one proxy.

    Attributes:
        refuse: Whether new connections are refused; setting it also resets open
            ones.
        stall_to_target: Whether nothing is delivered to the target.
        stall_to_client: Whether nothing is delivered to the client.
        delay_seconds: Delay of each chunk, in both directions.
        reset_after_bytes: Number of bytes sent to the client after which a
            connection is reset; 0 for never.
    """

    refuse: bool = False
    stall_to_target: bool = False
    stall_to_client: bool = False
    delay_seconds: float = 0.0
    reset_after_bytes: int = 0


STALLED = LinkFaults(stall_to_target=True, stall_to_client=True)


class Connection:
    """One connection through the proxy.

    Attributes:
        client: Stream to the client.
        client_name: Name of the process at the client end, or empty.
        target: Stream to the target; None until it is connected.
        silenced: Whether the connection delivers nothing any more while it
            stays open.
        bytes_to_client: Number of bytes sent to the client.
        scope: Cancel scope that ends the connection.
    """

    def __init__(self, client: trio.SocketStream, client_name: str = ""):
        self.client = client
        self.client_name = client_name
        self.target: trio.SocketStream | None = None
        self.silenced = False
        self.bytes_to_client = 0
        self.scope = trio.CancelScope()

    def reset(self) -> None:
        """End the connection with a TCP reset at both ends."""
        for stream in (self.client, self.target):
            if stream is not None:
                stream.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
        self.scope.cancel()


class Proxy:
    """Forwards connections from one port to a target and injects faults.

    Attributes:
        target: `host:port` to forward to.
        address: `host:port` that it listens on; empty until it runs.
        client_name_of: Function that returns the name of the process at the
            client end, given the ports of the client and of the proxy.
        faults: The faults that are active.
        client_faults: Faults of the connections of some clients, by client
            name; their stalls apply in place of those in `faults`.
        connections: Open connections.
        max_open_connections: Maximum number of connections that were open
            concurrently.
    """

    def __init__(
        self,
        target: str,
        client_name_of: Callable[[int, int], str] = lambda _, __: "",
    ):
        self.target = target
        self.client_name_of = client_name_of
        self.address = ""
        self.faults = LinkFaults()
        self.client_faults: dict[str, LinkFaults] = {}
        self.connections: set[Connection] = set()
        self.max_open_connections = 0
        self._changed = trio.Event()

    def set_faults(self, faults: LinkFaults) -> None:
        """Replace the active faults."""
        self.faults = faults
        if faults.refuse:
            self.reset_connections()
        self._notify_changed()

    def set_client_faults(self, faults: dict[str, LinkFaults]) -> None:
        """Replace the faults of connections by client name."""
        self.client_faults = faults
        self._notify_changed()

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def heal(self) -> None:
        """Remove all faults, except that silenced connections stay silent."""
        self.client_faults = {}
        self.set_faults(LinkFaults())

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            connection.reset()

    def silence_connections(self) -> None:
        """Silence all open connections permanently; new ones work."""
        for connection in self.connections:
            connection.silenced = True

    async def run(
        self, listen: str = "127.0.0.1:0", *, task_status: Any
    ) -> None:
        """Forward connections until cancelled; report the listening address."""
        host, _, port_text = listen.rpartition(":")
        port = int(port_text)
        async with trio.open_nursery() as nursery:
            while True:
                listeners = await trio.open_tcp_listeners(port, host=host)
                port = listeners[0].socket.getsockname()[1]
                if not self.address:
                    self.address = f"{host}:{port}"
                    task_status.started(self.address)
                with trio.CancelScope() as scope:
                    serve = functools.partial(
                        trio.serve_listeners,
                        self._handle_connection,
                        listeners,
                        handler_nursery=nursery,
                    )
                    nursery.start_soon(self._cancel_when_refusing, scope)
                    await serve()
                while self.faults.refuse:
                    await self._changed.wait()

    async def _cancel_when_refusing(self, scope: trio.CancelScope) -> None:
        while not self.faults.refuse:
            await self._changed.wait()
        scope.cancel()

    async def _handle_connection(self, client: trio.SocketStream) -> None:
        client_port = client.socket.getpeername()[1]
        proxy_port = client.socket.getsockname()[1]
        connection = Connection(
            client, self.client_name_of(client_port, proxy_port)
        )
        self.connections.add(connection)
        self.max_open_connections = max(
            self.max_open_connections, len(self.connections)
        )
        try:
            with connection.scope:
                await self._forward(connection)
        finally:
            self.connections.discard(connection)
            for stream in (connection.client, connection.target):
                if stream is not None:
                    with trio.CancelScope(shield=True):
                        await trio.aclose_forcefully(stream)

    async def _forward(self, connection: Connection) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
                connection.target = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError):
            connection.reset()
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, connection, False)
            nursery.start_soon(self._copy, connection, True)

    async def _copy(self, connection: Connection, to_client: bool) -> None:
        assert connection.target is not None
        streams = (connection.client, connection.target)
        source, sink = reversed(streams) if to_client else streams
        try:
            while True:
                data = await source.receive_some(CHUNK_BYTES)
                await self._wait_until_deliverable(connection, to_client)
                if not data:
                    await sink.send_eof()
                    return
                if to_client:
                    data = self._truncate_for_reset(connection, data)
                await sink.send_all(data)
                limit = self.faults.reset_after_bytes
                if to_client and 0 < limit <= connection.bytes_to_client:
                    connection.reset()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            connection.reset()

    async def _wait_until_deliverable(
        self, connection: Connection, to_client: bool
    ) -> None:
        if self.faults.delay_seconds:
            await trio.sleep(self.faults.delay_seconds)
        while connection.silenced or self._is_stalled(connection, to_client):
            await self._changed.wait()

    def _is_stalled(self, connection: Connection, to_client: bool) -> bool:
        faults = self.client_faults.get(connection.client_name, self.faults)
        if to_client:
            return faults.stall_to_client
        return faults.stall_to_target

    def _truncate_for_reset(self, connection: Connection, data: bytes) -> bytes:
        limit = self.faults.reset_after_bytes
        if limit:
            data = data[: max(0, limit - connection.bytes_to_client)]
        connection.bytes_to_client += len(data)
        return data


async def _handle_control(
    proxies: dict[str, Proxy], stream: trio.SocketStream
) -> None:
    """Execute the commands that are received on a control connection."""
    incomplete = b""
    async for chunk in stream:
        *lines, incomplete = (incomplete + chunk).split(b"\n")
        for line in lines:
            command = msgspec.json.decode(line)
            proxy = proxies[command["link"]]
            if "set" in command:
                proxy.set_faults(LinkFaults(**command["set"]))
            if command.get("reset_open"):
                proxy.reset_connections()
            if command.get("silence_open"):
                proxy.silence_connections()
            answer = {
                "open": len(proxy.connections),
                "most": proxy.max_open_connections,
            }
            await stream.send_all(msgspec.json.encode(answer) + b"\n")


async def _run_proxies(control: str, links: dict[str, tuple[str, str]]) -> None:
    async with trio.open_nursery() as nursery:
        proxies = {}
        for name, (listen, target) in links.items():
            proxies[name] = Proxy(target)
            await nursery.start(proxies[name].run, listen)
        host, _, port = control.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        port = listeners[0].socket.getsockname()[1]
        line = {
            "control": f"{host}:{port}",
            "links": {name: proxy.address for name, proxy in proxies.items()},
        }
        print(msgspec.json.encode(line).decode(), flush=True)
        await trio.serve_listeners(
            functools.partial(_handle_control, proxies), listeners
        )


def main(
    links: dict[str, tuple[str, str]], control: str = "127.0.0.1:0"
) -> None:
    """Run proxies; `links` maps names to listening address and target."""
    trio.run(_run_proxies, control, links)


if __name__ == "__main__":
    fire.Fire(main)
