"""The connection that this instance dials to one other instance.

One task keeps it: connect, open, then send what is queued and take answers,
until the connection breaks or nothing arrives on it; then again.
"""

import collections
import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

import trio

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.peers import envelope
from turmerichall.peers import handshake

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
MAX_QUEUED_BYTES = 16 * 1024 * 1024
MAX_QUEUED_FRAMES = 8192
MAX_WRITE_BYTES = 256 * 1024


class ConnectionTiming(NamedTuple):
    """Timeouts of a connection and of its keep-alive pings.

    Attributes:
        ping_after_seconds: Idle time after which a ping is sent.
        receive_timeout_seconds: Time without any received data after which the
            connection is closed and dialed again.
        connect_seconds: Timeout of connecting, and also of the handshake.
        max_backoff_seconds: Longest delay between two attempts to connect.
    """

    ping_after_seconds: float = PING_AFTER_SECONDS
    receive_timeout_seconds: float = RECEIVE_TIMEOUT_SECONDS
    connect_seconds: float = CONNECT_SECONDS
    max_backoff_seconds: float = MAX_BACKOFF_SECONDS


class Log(Protocol):
    """Where a part writes its short sentences."""

    def info(self, message: str, **fields: object) -> None:
        """Writes what is expected."""

    def warning(self, message: str, **fields: object) -> None:
        """Writes what deserves a look."""

    def error(self, message: str, **fields: object) -> None:
        """Writes what needs an operator."""


class Counters(Protocol):
    """Counts what was refused, tried again, or had an unknown effect."""

    def refused(self, part: str, reason: outcomes.RefusalReason) -> None:
        """Counts a refusal."""

    def retried(self, part: str, reason: outcomes.RetryReason) -> None:
        """Counts a new try."""

    def unknown(self, part: str, reason: outcomes.UnknownReason) -> None:
        """Counts an unknown effect."""


class NullCounters:
    """Counts nothing."""

    def refused(self, part: str, reason: outcomes.RefusalReason) -> None:
        """Counts nothing."""

    def retried(self, part: str, reason: outcomes.RetryReason) -> None:
        """Counts nothing."""

    def unknown(self, part: str, reason: outcomes.UnknownReason) -> None:
        """Counts nothing."""


class _Pending:
    """A call that waits for its answer."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.result: bytes | outcomes.Refusal = outcomes.Refusal(
            outcomes.RefusalReason.TIMEOUT, "no answer in time"
        )

    def finish(self, result: bytes | outcomes.Refusal) -> None:
        self.result = result
        self.done.set()


class Link:
    """A dialed connection with its queue and its calls.

    Attributes:
        own_name: Name of this instance.
        peer: Name of the other instance.
        address: Where the other instance accepts connections, host:port.
        connected: Whether the connection is open.
        calls: Calls that wait for an answer, by number.
    """

    def __init__(
        self,
        own_name: str,
        peer: str,
        address: str,
        key: bytes,
        own_address: Callable[[], str],
        heard: Callable[[str], None],
        log: Log | None,
        counters: Counters,
        timing: ConnectionTiming = ConnectionTiming(),
    ):
        self.own_name = own_name
        self.timing = timing
        self.peer = peer
        self.address = address
        self.key = key
        self.own_address = own_address
        self.heard = heard
        self.log = log
        self.counters = counters
        self.connected = False
        self.calls: dict[int, _Pending] = {}
        self.scope = trio.CancelScope()
        self.last_received = -float("inf")
        self._next_number = 1
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._wake = trio.Event()

    def enqueue(self, frame: envelope.Envelope) -> bool:
        """Queues a frame.

        Args:
            frame: The frame.

        Returns:
            Whether it was queued; not when unconnected or when the queue is
            full.
        """
        if not self.connected:
            return False
        data = envelope.encode(frame)
        if len(self._queue) >= MAX_QUEUED_FRAMES:
            return False
        if self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            return False
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._wake.set()
        return True

    async def call(
        self, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Sends a call and waits for its answer; see `Network.call`."""
        number = self._next_number
        self._next_number += 1
        frame = envelope.Envelope(envelope.FrameKind.CALL, number, kind, body)
        if not self.enqueue(frame):
            return outcomes.Refusal(
                outcomes.RefusalReason.UNREACHABLE,
                f"no connection to {self.peer}",
                MAX_BACKOFF_SECONDS,
            )
        pending = _Pending()
        self.calls[number] = pending
        try:
            with trio.move_on_after(timeout_seconds):
                await pending.done.wait()
        finally:
            del self.calls[number]
        return pending.result

    async def run(self) -> None:
        """Keeps the connection until cancelled through `scope`."""
        backoff = MIN_BACKOFF_SECONDS
        with self.scope:
            while True:
                opened = await self._connect_once()
                if opened:
                    backoff = MIN_BACKOFF_SECONDS
                await trio.sleep(backoff * random.uniform(0.5, 1.0))
                backoff = min(2 * backoff, self.timing.max_backoff_seconds)

    async def _connect_once(self) -> bool:
        host, _, port = self.address.rpartition(":")
        opened = False
        try:
            with trio.fail_after(self.timing.connect_seconds):
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError):
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
                opened = True
                await self._serve(connection)
            except (errors.PeerError, trio.TooSlowError) as error:
                self._note_lost(opened, str(error) or "opening timed out")
        return opened

    def _note_lost(self, opened: bool, reason: str) -> None:
        self.counters.retried("peers", outcomes.RetryReason.CONNECTION_LOST)
        if self.log is None:
            return
        what = "was lost" if opened else "was not opened"
        message = f"connection to {self.peer} {what}: {reason}"
        self.log.warning(message, peer=self.peer)

    async def _serve(self, connection: envelope.Connection) -> None:
        self.connected = True
        self.last_received = trio.current_time()
        self.heard(self.peer)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write, connection)
                nursery.start_soon(self._read, connection)
                nursery.start_soon(self._watch)
        except* errors.PeerError as group:
            raise group.exceptions[0] from None
        finally:
            self.connected = False
            self._drop_queue()

    def _drop_queue(self) -> None:
        self._queue.clear()
        self._queued_bytes = 0
        lost = outcomes.Refusal(
            outcomes.RefusalReason.TIMEOUT, "connection lost before the answer"
        )
        for pending in self.calls.values():
            pending.finish(lost)

    async def _write(self, connection: envelope.Connection) -> None:
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._queue:
                await connection.send(self._take_batch())

    def _take_batch(self) -> bytes:
        batch = bytearray()
        while self._queue and len(batch) < MAX_WRITE_BYTES:
            batch += self._queue.popleft()
        self._queued_bytes -= len(batch)
        return bytes(batch)

    async def _read(self, connection: envelope.Connection) -> None:
        while True:
            frame = await connection.receive()
            self.last_received = trio.current_time()
            self.heard(self.peer)
            pending = self.calls.get(frame.number)
            if pending is None:
                continue
            if frame.frame == envelope.FrameKind.ANSWER:
                pending.finish(frame.body)
            elif frame.frame == envelope.FrameKind.REFUSAL:
                reason = outcomes.RefusalReason(frame.kind)
                detail = frame.body.decode("utf-8", "replace")
                pending.finish(outcomes.Refusal(reason, detail))

    async def _watch(self) -> None:
        """Probes an idle connection and gives up a silent one."""
        while True:
            idle = trio.current_time() - self.last_received
            ping_after = self.timing.ping_after_seconds
            if idle >= self.timing.receive_timeout_seconds:
                raise errors.PeerError("nothing arrives on it")
            if idle >= ping_after:
                self.enqueue(envelope.Envelope(envelope.FrameKind.PING))
                await trio.sleep(ping_after / 2)
            else:
                await trio.sleep(ping_after - idle)
