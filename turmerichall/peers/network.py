"""Calls and one-way messages between the daemons of a cluster.

Each instance dials every other one. It sends its calls and messages over the
connections that it dialed, and receives the answers over the same ones.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.intake import messages
from turmerichall.peers import envelope
from turmerichall.peers import handler_failures
from turmerichall.peers import handshake
from turmerichall.peers import link
from turmerichall.peers import message_parts
from turmerichall.peers import send_queue
from turmerichall.peers import strangers

__all__ = ["Handler", "Network"]

MAX_CONCURRENT_CALLS = 1024
MAX_DETAIL_BYTES = 4096

Handler = Callable[[str, bytes], Awaitable[bytes | None]]


class Network:
    """Connections of this instance to the others.

    Attributes:
        name: Name of this instance.
        key: Shared key of the cluster.
        addresses: Addresses of the other instances, host:port, by name.
        listen_address: Address that the other instances dial, host:port; empty
            if this instance accepts no connections.
        links: Dialed connections by name of the other instance.
        handlers: Message handlers by kind of message.
        critical_kinds: Kinds of messages whose handlers must not fail.
        counters: Counts failed attempts to connect and lost connections.
        timing: Timeouts of the connections and of their keep-alive pings.
        least_level: Returns the level of changes that other replicas have to
            read.
        strangers: Accepted connections whose handshake is not complete.
        messages: Limits the messages being handled whose kind isn't critical.
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
        self.least_level: Callable[[], int] = lambda: 0
        self.handlers: dict[str, Handler] = {}
        self.critical_kinds: set[str] = set()
        self.strangers = strangers.Strangers()
        self.messages = messages.Messages()
        self._last_heard: dict[str, float] = {}
        self._nursery: trio.Nursery | None = None

    def handle(
        self, kind: str, handler: Handler, is_critical: bool = False
    ) -> None:
        """Register the handler of a kind of message.

        Args:
            kind: Kind of message.
            handler: Receives the sender's name and the body, and returns the
                answer to a call; for a one-way message the result is ignored.
            is_critical: Whether an unexpected exception of the handler ends the
                process, because the handler changes the log or votes.  Those of
                other handlers are logged; see `handler_failures`.
        """
        self.handlers[kind] = handler
        self.critical_kinds.discard(kind)
        if is_critical:
            self.critical_kinds.add(kind)

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Call a handler on another instance.

        Args:
            instance: Name of the other instance.
            kind: Kind of message.
            body: Input of the handler.
            timeout_seconds: How long to wait for the answer.  The time starts
                again with each part that is sent of a long call or received of
                a long answer.

        Returns:
            The result of the handler, or a refusal. After a refusal with the
            reason `unreachable` or `too_large` the call was never sent; after
            `timeout` the handler may have run.
        """
        # Some refusals are returned without waiting.  This checkpoint keeps a
        # caller that retries in a loop from starving other trio tasks.
        await trio.lowlevel.checkpoint()
        peer_link = self.links.get(instance)
        if peer_link is None:
            detail = f"instance {instance} has no known address"
            return outcomes.Refusal(outcomes.RefusalReason.UNREACHABLE, detail)
        return await peer_link.call(kind, body, timeout_seconds)

    def send(self, instance: str, kind: str, body: bytes) -> bool:
        """Send a one-way message.

        Args:
            instance: Name of the other instance.
            kind: Kind of message.
            body: Input of the handler.

        Returns:
            Whether the message was queued; a queued message can still be lost.
        """
        peer_link = self.links.get(instance)
        if peer_link is None:
            return False
        frame = envelope.Envelope(envelope.FrameKind.ONE_WAY, 0, kind, body)
        return peer_link.enqueue(frame) is None

    def last_heard(self, instance: str) -> float:
        """Return the trio time at which a frame from an instance last arrived.

        Returns -inf if none has arrived yet.
        """
        return self._last_heard.get(instance, -float("inf"))

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Replace the addresses of the other instances.

        Connections to instances that were removed or have a new address are
        closed.
        """
        wanted = {
            name: address
            for name, address in addresses.items()
            if name != self.name
        }
        self.addresses = wanted
        for name, peer_link in list(self.links.items()):
            if wanted.get(name) != peer_link.address:
                peer_link.scope.cancel()
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
        """Accept and dial connections until cancelled.

        Args:
            listen: Address to listen on, host:port; port 0 picks a free port.
                If empty, this instance only dials and is not dialed back.
            advertised: Address that is given to the other instances, if it
                differs from `listen`, such as behind port forwarding.
            task_status: Receives the address that the other instances dial.
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
            self.least_level,
        )
        self.links[name] = dialed
        self._nursery.start_soon(dialed.run)

    def record_received(self, name: str) -> None:
        """Record that a frame arrived from an instance."""
        self._last_heard[name] = trio.current_time()

    def _learn_address(self, hello: handshake.Hello) -> None:
        if not hello.address:
            return
        if hello.name != self.name and hello.name not in self.addresses:
            self.addresses[hello.name] = hello.address
            self._dial(hello.name)

    async def _accept(self, stream: trio.SocketStream) -> None:
        connection = envelope.Connection(stream)
        name = ""
        try:
            hello = await self.strangers.shake_hands(
                connection,
                self.key,
                self.name,
                self.listen_address,
                self.timing.connect_seconds,
            )
            name = hello.name
            handshake.check_level(connection, hello.address, self.least_level())
            self._learn_address(hello)
            await _Session(self, name, connection).run()
        except (errors.PeerError, trio.TooSlowError) as error:
            if not name:
                self.strangers.report(self.log, str(error))
            elif self.log is not None:
                message = f"connection from {name} ended"
                self.log.info(message, peer=name, reason=str(error))
        finally:
            with trio.CancelScope(shield=True, deadline=0):
                await stream.aclose()


class _Session:
    """Accepted connection, on which calls and messages are handled.

    It runs their handlers and sends back the answers.
    """

    def __init__(
        self, network: Network, peer: str, connection: envelope.Connection
    ):
        self.network = network
        self.peer = peer
        self.connection = connection
        self.handlers_running = 0
        self.queue = send_queue.SendQueue(
            send_queue.NO_LIMIT, send_queue.NO_LIMIT
        )
        self.queue.max_message_bytes = connection.peer_max_message_bytes

    async def run(self) -> None:
        """Serve until the connection ends or nothing arrives for too long.

        Raises:
            PeerError: The reason why the connection ended.
        """
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write)
                await self._read(nursery)
        except BaseExceptionGroup as group:
            raise envelope.connection_error(group) from None

    async def _read(self, nursery: trio.Nursery) -> None:
        timeout_seconds = self.network.timing.receive_timeout_seconds
        assembler = message_parts.Assembler(timeout_seconds)
        while True:
            try:
                with trio.fail_after(timeout_seconds):
                    received = await self.connection.receive()
            except trio.TooSlowError as error:
                raise errors.PeerError("nothing arrives on it") from error
            self.network.record_received(self.peer)
            frame = assembler.add(received)
            if frame is None:
                continue
            if frame.frame_kind == envelope.FrameKind.PING:
                self.queue.add(envelope.Envelope(envelope.FrameKind.PONG))
            elif (
                self.handlers_running >= MAX_CONCURRENT_CALLS
                or not self._begin(frame)
            ):
                self._queue_refusal(frame, outcomes.RefusalReason.OVERLOADED)
            else:
                nursery.start_soon(self._handle, frame)

    def _begin(self, frame: envelope.Envelope) -> bool:
        """Count a message, and return whether it may be handled."""
        network = self.network
        if frame.kind not in network.critical_kinds:
            if not network.messages.begin(len(frame.body)):
                return False
        self.handlers_running += 1
        return True

    async def _handle(self, frame: envelope.Envelope) -> None:
        try:
            handler = self.network.handlers.get(frame.kind)
            if handler is None:
                self._queue_refusal(frame, outcomes.RefusalReason.UNKNOWN_NAME)
                return
            body = await handler(self.peer, frame.body)
            self._queue_answer(frame, body or b"")
        except (msgspec.DecodeError, errors.InputError) as error:
            self._queue_refusal(
                frame, outcomes.RefusalReason.MALFORMED, str(error)
            )
        except errors.StorageError as error:
            self._queue_refusal(
                frame, outcomes.RefusalReason.STOPPED, str(error)
            )
        except Exception as error:  # pylint: disable=broad-exception-caught
            network = self.network
            is_critical = frame.kind in network.critical_kinds
            if is_critical or handler_failures.is_fatal(error):
                raise
            refusal = handler_failures.report(
                error, frame.kind, self.peer, network.log, network.counters
            )
            self._queue_refusal(frame, refusal.reason, refusal.detail)
        finally:
            self.handlers_running -= 1
            if frame.kind not in self.network.critical_kinds:
                self.network.messages.end(len(frame.body))

    def _queue_refusal(
        self,
        frame: envelope.Envelope,
        reason: outcomes.RefusalReason,
        detail: str = "",
    ) -> None:
        if frame.frame_kind != envelope.FrameKind.CALL:
            return
        detail_bytes = detail.encode("utf-8", "replace")[:MAX_DETAIL_BYTES]
        self.queue.add(
            envelope.Envelope(
                envelope.FrameKind.REFUSAL,
                frame.call_number,
                reason.value,
                detail_bytes,
            )
        )

    def _queue_answer(self, call: envelope.Envelope, body: bytes) -> None:
        if call.frame_kind != envelope.FrameKind.CALL:
            return
        refusal = self.queue.add(
            envelope.Envelope(
                envelope.FrameKind.ANSWER, call.call_number, body=body
            )
        )
        if refusal is None:
            return
        self.network.counters.refused("peers", refusal.reason)
        if self.network.log is not None:
            self.network.log.warning(
                "answer not sent",
                kind=call.kind,
                size=len(body),
                peer=self.peer,
                reason=refusal.detail,
            )
        # The handler has run, so the caller must not take it for a refusal
        # without effect.
        self._queue_refusal(
            call,
            outcomes.RefusalReason.TIMEOUT,
            f"the answer can't be sent: {refusal.detail}",
        )

    async def _write(self) -> None:
        while True:
            batch = await self.queue.take()
            await self.connection.send(batch.data)
