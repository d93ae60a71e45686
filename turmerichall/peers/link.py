"""The connection that this instance dials to one other instance.

One task maintains it: it connects, performs the handshake, then sends queued
frames and receives answers until the connection breaks or nothing arrives on
it, and reconnects after a back-off.
"""

import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

import trio

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.peers import envelope
from turmerichall.peers import handshake
from turmerichall.peers import message_parts
from turmerichall.peers import send_queue

__all__ = [
    "ConnectionTiming",
    "Counters",
    "Link",
    "Log",
    "NullCounters",
    "PING_AFTER_SECONDS",
    "RECEIVE_TIMEOUT_SECONDS",
]

CONNECT_SECONDS = 3.0
PING_AFTER_SECONDS = 2.0
RECEIVE_TIMEOUT_SECONDS = 5.0
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0


class ConnectionTiming(NamedTuple):
    """Timeouts of a connection and of its keep-alive pings.

    Attributes:
        ping_after_seconds: Time without any received data after which a ping is
            sent.
        receive_timeout_seconds: Time without any received data after which the
            connection is closed and dialed again.
        connect_seconds: Timeout of connecting, and separately of the handshake.
        max_backoff_seconds: Longest delay between two attempts to connect.
    """

    ping_after_seconds: float = PING_AFTER_SECONDS
    receive_timeout_seconds: float = RECEIVE_TIMEOUT_SECONDS
    connect_seconds: float = CONNECT_SECONDS
    max_backoff_seconds: float = MAX_BACKOFF_SECONDS


class Log(Protocol):
    """Log of one part of a daemon; see `telemetry.logs.Log`."""

    def info(self, message: str, **fields: object) -> None:
        """Log an expected event."""

    def warning(self, message: str, **fields: object) -> None:
        """Log an event that an operator may have to look at."""

    def error(self, message: str, **fields: object) -> None:
        """Log a failure that needs an operator."""


class Counters(Protocol):
    """Counters of refusals, retries and unknown outcomes.

    They count by part of the daemon and by reason.
    """

    def refused(self, part: str, reason: outcomes.RefusalReason) -> None:
        """Count a refusal."""

    def retried(self, part: str, reason: outcomes.RetryReason) -> None:
        """Count a retry."""

    def unknown(self, part: str, reason: outcomes.UnknownReason) -> None:
        """Count a request that may or may not have taken effect."""


class NullCounters:
    """Counters that discard everything."""

    def refused(self, part: str, reason: outcomes.RefusalReason) -> None:
        """Discard a refusal."""

    def retried(self, part: str, reason: outcomes.RetryReason) -> None:
        """Discard a retry."""

    def unknown(self, part: str, reason: outcomes.UnknownReason) -> None:
        """Discard an unknown outcome."""


class _PendingCall:
    """A call that waits for its answer.

    Until the answer arrives, its result is a refusal with the reason `timeout`.
    """

    def __init__(self, timeout_seconds: float) -> None:
        self.timeout_seconds = timeout_seconds
        self.scope = trio.CancelScope()
        self.done = trio.Event()
        self.result: bytes | outcomes.Refusal = outcomes.Refusal(
            outcomes.RefusalReason.TIMEOUT, "no answer within the timeout"
        )

    async def wait(self) -> None:
        self.restart_timeout()
        with self.scope:
            await self.done.wait()

    def restart_timeout(self) -> None:
        self.scope.deadline = trio.current_time() + self.timeout_seconds

    def resolve(self, result: bytes | outcomes.Refusal) -> None:
        self.result = result
        self.done.set()


class Link:
    """A dialed connection with its send queue and its pending calls.

    Attributes:
        own_name: Name of this instance.
        timing: Timeouts of the connection and of its keep-alive pings.
        peer: Name of the other instance.
        address: Address at which the other instance accepts connections,
            host:port.
        key: Shared key of the cluster.
        own_address: Returns the address at which this instance accepts
            connections.
        on_received: Called with the name of the peer whenever a frame arrives.
        connected: Whether the handshake has completed and the connection is
            open.
        pending_calls: Calls that wait for an answer, by number.
        scope: Cancel scope of the task that maintains the connection.
        last_received_at: When the last frame arrived on it, trio time.
        least_level: Returns the level of changes that the peer has to read.
    """

    def __init__(
        self,
        own_name: str,
        peer: str,
        address: str,
        key: bytes,
        own_address: Callable[[], str],
        on_received: Callable[[str], None],
        log: Log | None,
        counters: Counters,
        timing: ConnectionTiming = ConnectionTiming(),
        least_level: Callable[[], int] = lambda: 0,
    ):
        self.own_name = own_name
        self.least_level = least_level
        self.timing = timing
        self.peer = peer
        self.address = address
        self.key = key
        self.own_address = own_address
        self.on_received = on_received
        self.log = log
        self.counters = counters
        self.connected = False
        self.pending_calls: dict[int, _PendingCall] = {}
        self.scope = trio.CancelScope()
        self.last_received_at = -float("inf")
        self._last_sent_at = -float("inf")
        self._next_call_number = 1
        self._queue = send_queue.SendQueue()
        self._changes_level = 0

    @property
    def changes_level(self) -> int:
        """Level of the changes that the peer can apply.

        0 if the peer is of an earlier release, or the link is not connected.
        """
        return self._changes_level if self.connected else 0

    @property
    def max_message_bytes(self) -> int:
        """Size of the longest message that the peer takes in parts, in bytes.

        0 if the peer is of an earlier release, or the link is not connected.
        """
        return self._queue.max_message_bytes if self.connected else 0

    def enqueue(self, message: envelope.Envelope) -> outcomes.Refusal | None:
        """Add a message to the send queue.

        Args:
            message: The message.

        Returns:
            None if the message was queued; otherwise a refusal as of
            `SendQueue.add`, also `unreachable` if the link is not connected.
        """
        refusal: outcomes.Refusal | None = outcomes.Refusal(
            outcomes.RefusalReason.UNREACHABLE, "not connected"
        )
        if self.connected:
            refusal = self._queue.add(message)
        if refusal is None:
            return None
        if refusal.reason != outcomes.RefusalReason.UNREACHABLE:
            self.counters.refused("peers", refusal.reason)
            if self.log is not None:
                self.log.warning(
                    "message not sent",
                    kind=message.kind,
                    size=len(message.body),
                    peer=self.peer,
                    reason=refusal.detail,
                )
        return refusal

    async def call(
        self, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Send a call and wait for its answer; see `Network.call`."""
        call_number = self._next_call_number
        self._next_call_number += 1
        frame = envelope.Envelope(
            envelope.FrameKind.CALL, call_number, kind, body
        )
        refusal = self.enqueue(frame)
        if refusal is not None:
            if refusal.reason != outcomes.RefusalReason.UNREACHABLE:
                return refusal
            return outcomes.Refusal(
                outcomes.RefusalReason.UNREACHABLE,
                f"send queue full, or no connection to {self.peer}",
                MAX_BACKOFF_SECONDS,
            )
        pending = _PendingCall(timeout_seconds)
        self.pending_calls[call_number] = pending
        try:
            await pending.wait()
        finally:
            del self.pending_calls[call_number]
        return pending.result

    async def run(self) -> None:
        """Maintain the connection until `scope` is cancelled."""
        backoff = MIN_BACKOFF_SECONDS
        with self.scope:
            while True:
                opened = await self._run_connection()
                if opened:
                    backoff = MIN_BACKOFF_SECONDS
                await trio.sleep(backoff * random.uniform(0.5, 1.0))
                backoff = min(2 * backoff, self.timing.max_backoff_seconds)

    async def _run_connection(self) -> bool:
        """Connect once, and exchange frames until the connection ends.

        Returns:
            Whether the handshake completed.
        """
        host, _, port = self.address.rpartition(":")
        opened = False
        try:
            with trio.fail_after(self.timing.connect_seconds):
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, ValueError, OverflowError, trio.TooSlowError):
            # The address may be one that a peer has named, and malformed.
            self.counters.retried("peers", outcomes.RetryReason.CONNECT_FAILED)
            return False
        async with stream:
            connection = envelope.Connection(stream)
            try:
                with trio.fail_after(self.timing.connect_seconds):
                    await handshake.dial(
                        connection,
                        self.key,
                        self.own_name,
                        self.own_address(),
                        self.peer,
                    )
                connection.end_handshake()
                handshake.check_level(
                    connection, self.address, self.least_level()
                )
                opened = True
                await self._exchange_frames(connection)
            except (errors.PeerError, trio.TooSlowError) as error:
                self._record_failure(
                    opened, str(error) or "handshake timed out"
                )
        return opened

    def _record_failure(self, opened: bool, reason: str) -> None:
        self.counters.retried("peers", outcomes.RetryReason.CONNECTION_LOST)
        if self.log is None:
            return
        what = "was lost" if opened else "was not opened"
        message = f"connection to {self.peer} {what}: {reason}"
        self.log.warning(message, peer=self.peer)

    async def _exchange_frames(self, connection: envelope.Connection) -> None:
        self._queue.max_message_bytes = connection.peer_max_message_bytes
        self._changes_level = connection.peer_changes_level
        self.connected = True
        self.last_received_at = self._last_sent_at = trio.current_time()
        self.on_received(self.peer)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write, connection)
                nursery.start_soon(self._read, connection)
                nursery.start_soon(self._keep_alive)
        except BaseExceptionGroup as group:
            raise envelope.connection_error(group) from None
        finally:
            self.connected = False
            self._discard_pending()

    def _discard_pending(self) -> None:
        self._queue.clear()
        refusal = outcomes.Refusal(
            outcomes.RefusalReason.TIMEOUT, "connection lost before the answer"
        )
        for pending in self.pending_calls.values():
            pending.resolve(refusal)

    async def _write(self, connection: envelope.Connection) -> None:
        while True:
            batch = await self._queue.take()
            await connection.send(batch.data)
            self._last_sent_at = trio.current_time()
            self._restart_timeout(batch.call_number)

    async def _read(self, connection: envelope.Connection) -> None:
        assembler = message_parts.Assembler(self.timing.receive_timeout_seconds)
        while True:
            frame = await connection.receive()
            self.last_received_at = trio.current_time()
            self.on_received(self.peer)
            message = assembler.add(frame)
            if message is None:
                self._restart_timeout(frame.call_number)
            else:
                self._resolve_call(message)

    def _restart_timeout(self, call_number: int) -> None:
        pending = self.pending_calls.get(call_number)
        if pending is not None:
            pending.restart_timeout()

    def _resolve_call(self, message: envelope.Envelope) -> None:
        pending = self.pending_calls.get(message.call_number)
        if pending is None:
            return
        if message.frame_kind == envelope.FrameKind.ANSWER:
            pending.resolve(message.body)
        elif message.frame_kind == envelope.FrameKind.REFUSAL:
            detail = message.body.decode("utf-8", "replace")
            try:
                reason = outcomes.RefusalReason(message.kind)
            except ValueError:
                # A later release may have reasons that this one does not know.
                reason = outcomes.RefusalReason.TIMEOUT
                detail = f"refused for the reason {message.kind!r}: {detail}"
            pending.resolve(outcomes.Refusal(reason, detail))

    async def _keep_alive(self) -> None:
        """Ping the peer while nothing arrives from it, or is sent to it.

        While a long answer arrives, the peer may have nothing else from which
        to tell that this end is alive.

        Raises:
            PeerError: Nothing has arrived for `receive_timeout_seconds`; this
                ends the connection.
        """
        timing = self.timing
        while True:
            now = trio.current_time()
            if now >= self.last_received_at + timing.receive_timeout_seconds:
                raise errors.PeerError("nothing arrives on it")
            idle_since = min(self.last_received_at, self._last_sent_at)
            ping_at = idle_since + timing.ping_after_seconds
            if now >= ping_at:
                self.enqueue(envelope.Envelope(envelope.FrameKind.PING))
                await trio.sleep(timing.ping_after_seconds / 2)
            else:
                await trio.sleep_until(ping_at)
