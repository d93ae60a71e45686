"""Calls and one-way messages between the daemons of a cluster.

Each instance dials every other one. What it starts goes over the connection
that it dialed, and the answers come back over the same one.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.peers import envelope
from turmerichall.peers import handshake
from turmerichall.peers import link

__all__ = ["Handler", "Network"]

MAX_CONCURRENT_CALLS = 1024

Handler = Callable[[str, bytes], Awaitable[bytes | None]]


class Network:
    """Connections of this instance to the others.

    Attributes:
        name: Name of this instance.
        addresses: Addresses of the other instances, host:port, by name.
        listen_address: Where the others connect to, host:port.
        links: Dialed connections by name of the other instance.
        handlers: Handlers by kind of message.
        counters: Counts connections that failed or were lost.
        timing: Timeouts and keep-alive of the connections.
    """

    def __init__(
        self,
        name: str,
        key: bytes,
        addresses: dict[str, str] | None = None,
        log: link.Log | None = None,
        counters: link.Counters | None = None,
        timing: link.ConnectionTiming = link.ConnectionTiming(),
    ):
        self.timing = timing
        self.name = name
        self.key = key
        self.addresses: dict[str, str] = dict(addresses or {})
        self.log = log
        self.counters = counters or link.NullCounters()
        self.listen_address = ""
        self.links: dict[str, link.Link] = {}
        self.handlers: dict[str, Handler] = {}
        self._heard: dict[str, float] = {}
        self._nursery: trio.Nursery | None = None

    def handle(self, kind: str, handler: Handler) -> None:
        """Registers the handler of a kind of message.

        Args:
            kind: The kind.
            handler: Receives the sender's name and the body. What it returns
                is the answer to a call; a one-way message has none.
        """
        self.handlers[kind] = handler

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Calls a handler on another instance.

        Args:
            instance: Name of the other instance.
            kind: Kind of the message.
            body: What the handler receives.
            timeout_seconds: How long to wait for the answer.

        Returns:
            What the handler returned. A refusal for `unreachable` was never
            sent; after `timeout` the handler may have run.
        """
        # A refusal comes at once; who tries again must not keep others waiting.
        await trio.lowlevel.checkpoint()
        known = self.links.get(instance)
        if known is None:
            detail = f"instance {instance} is not known"
            return outcomes.Refusal(outcomes.RefusalReason.UNREACHABLE, detail)
        return await known.call(kind, body, timeout_seconds)

    def send(self, instance: str, kind: str, body: bytes) -> bool:
        """Sends a one-way message.

        Args:
            instance: Name of the other instance.
            kind: Kind of the message.
            body: What the handler receives.

        Returns:
            Whether the message was queued; a queued one may still be lost.
        """
        known = self.links.get(instance)
        if known is None:
            return False
        frame = envelope.Envelope(envelope.FrameKind.SEND, 0, kind, body)
        return known.enqueue(frame)

    def last_heard(self, instance: str) -> float:
        """Returns the trio time at which anything last arrived, or -inf."""
        return self._heard.get(instance, -float("inf"))

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Replaces the addresses of the other instances.

        Connections to instances that are gone or have moved are closed.
        """
        wanted = {
            name: address
            for name, address in addresses.items()
            if name != self.name
        }
        self.addresses = wanted
        for name, known in list(self.links.items()):
            if wanted.get(name) != known.address:
                known.scope.cancel()
                del self.links[name]
        if self._nursery is not None:
            for name in wanted:
                self._dial(name)

    async def run(
        self,
        listen: str = "",
        advertised: str = "",
        *,
        task_status: Any = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accepts and dials connections until cancelled.

        Args:
            listen: Where to accept connections, host:port; port 0 takes any.
                If empty, this instance only dials, and is not dialed back.
            advertised: What the others are told, if it differs.
            task_status: Started with the address that is listened on.
        """
        listeners: list[trio.SocketListener] = []
        if listen:
            host, _, port = listen.rpartition(":")
            listeners = await trio.open_tcp_listeners(int(port), host=host)
            bound = listeners[0].socket.getsockname()
            self.listen_address = advertised or f"{bound[0]}:{bound[1]}"
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                self.set_addresses(self.addresses)
                task_status.started(self.listen_address)
                if not listeners:
                    await trio.sleep_forever()
                await trio.serve_listeners(self._accept, listeners)
            finally:
                self._nursery = None

    def _dial(self, name: str) -> None:
        if name in self.links or self._nursery is None:
            return
        dialed = link.Link(
            self.name,
            name,
            self.addresses[name],
            self.key,
            lambda: self.listen_address,
            self.record_received,
            self.log,
            self.counters,
            self.timing,
        )
        self.links[name] = dialed
        self._nursery.start_soon(dialed.run)

    def record_received(self, name: str) -> None:
        """Notes that something arrived from an instance."""
        self._heard[name] = trio.current_time()

    def _learn(self, hello: handshake.Hello) -> None:
        if not hello.address:
            return
        if hello.name != self.name and hello.name not in self.addresses:
            self.addresses[hello.name] = hello.address
            self._dial(hello.name)

    async def _accept(self, stream: trio.SocketStream) -> None:
        connection = envelope.Connection(stream)
        name = ""
        try:
            with trio.fail_after(self.timing.connect_seconds):
                hello = await handshake.accept(
                    connection, self.key, self.name, self.listen_address
                )
            name = hello.name
            self._learn(hello)
            await _Session(self, name, connection).run()
        except (errors.PeerError, trio.TooSlowError) as error:
            if self.log is not None:
                message = f"connection from {name or 'unknown'} ended"
                self.log.info(message, peer=name, reason=str(error))
        finally:
            with trio.CancelScope(shield=True, deadline=0):
                await stream.aclose()


class _Session:
    """An accepted connection: runs handlers and writes their answers."""

    def __init__(
        self, network: Network, peer: str, connection: envelope.Connection
    ):
        self.network = network
        self.peer = peer
        self.connection = connection
        self.running = 0
        self.answers: list[bytes] = []
        self.wake = trio.Event()

    async def run(self) -> None:
        """Serves until the connection ends or nothing arrives on it."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write)
                await self._read(nursery)
        except* errors.PeerError as group:
            raise group.exceptions[0] from None

    async def _read(self, nursery: trio.Nursery) -> None:
        while True:
            try:
                limit = self.network.timing.receive_timeout_seconds
                with trio.fail_after(limit):
                    frame = await self.connection.receive()
            except trio.TooSlowError as silent:
                raise errors.PeerError("nothing arrives on it") from silent
            self.network.record_received(self.peer)
            if frame.frame == envelope.FrameKind.PING:
                self._answer(envelope.Envelope(envelope.FrameKind.PONG))
            elif self.running >= MAX_CONCURRENT_CALLS:
                self._refuse(frame, outcomes.RefusalReason.OVERLOADED)
            else:
                self.running += 1
                nursery.start_soon(self._handle, frame)

    async def _handle(self, frame: envelope.Envelope) -> None:
        try:
            handler = self.network.handlers.get(frame.kind)
            if handler is None:
                self._refuse(frame, outcomes.RefusalReason.UNKNOWN_NAME)
                return
            body = await handler(self.peer, frame.body)
            if frame.frame == envelope.FrameKind.CALL:
                self._answer(
                    envelope.Envelope(
                        envelope.FrameKind.ANSWER,
                        frame.number,
                        body=body or b"",
                    )
                )
        except (msgspec.DecodeError, errors.InputError) as error:
            self._refuse(frame, outcomes.RefusalReason.MALFORMED, str(error))
        except errors.StorageError as error:
            self._refuse(frame, outcomes.RefusalReason.STOPPED, str(error))
        finally:
            self.running -= 1

    def _refuse(
        self,
        frame: envelope.Envelope,
        reason: outcomes.RefusalReason,
        detail: str = "",
    ) -> None:
        if frame.frame != envelope.FrameKind.CALL:
            return
        self._answer(
            envelope.Envelope(
                envelope.FrameKind.REFUSAL,
                frame.number,
                reason.value,
                detail.encode(),
            )
        )

    def _answer(self, frame: envelope.Envelope) -> None:
        self.answers.append(envelope.encode(frame))
        self.wake.set()

    async def _write(self) -> None:
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            batch = b"".join(self.answers)
            self.answers.clear()
            await self.connection.send(batch)
