"""A caller's connection: hypercorn's, with fewer tasks and writes a request.

Hypercorn starts a task for each request to watch for an idle connection, and
writes head and body of an answer apart.  Here the task that reads also watches,
the head of an answer waits for the first part of its body, and a caller that
takes nothing of its answer for long is cut off.
"""

import math
from collections.abc import Callable
from typing import Any

import hypercorn.events
import hypercorn.protocol
import hypercorn.trio.task_group
import hypercorn.trio.tcp_server
import trio

__all__ = ["CONNECTION", "CallerConnection"]

# Key of the connection in the `state` of a request's scope.
CONNECTION = "turmerichall.connection"

RECEIVE_BYTES = 65_536
CONTINUE = b"HTTP/1.1 100 "
# How long an application that was told of the end may take to hear it.
CLOSE_SECONDS = 1.0


class _NoTask:
    """Stands in for hypercorn's task that watches an idle connection."""

    async def restart(self, *_: object) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""


class CallerConnection(hypercorn.trio.tcp_server.TCPServer):
    """One connection of a caller.

    Attributes:
        stall_seconds: How long a caller may take nothing of an answer.
        on_left: Called when the connection ends while a request runs.
        reading: Scope of the reads; its deadline ends an idle connection.
    """

    def __init__(
        self,
        app: Any,
        config: Any,
        context: Any,
        stall_seconds: float,
        stream: trio.SocketStream,
    ):
        super().__init__(app, config, context, {}, stream)  # type: ignore[arg-type]
        self.idle_task = _NoTask()  # type: ignore[assignment]
        self.stall_seconds = stall_seconds
        self.on_left: Callable[[], None] | None = None
        self.reading = trio.CancelScope()
        self._is_idle = True
        self._awaits_head = False
        self._head = b""

    async def run(self) -> None:
        """Serves the connection until it ends."""
        try:
            async with hypercorn.trio.task_group.TaskGroup() as group:
                self.protocol = self._make_protocol(group)
                stopping = trio.CancelScope()
                group.spawn(self._end_idle_when_stopping, stopping)
                self._note_idle(True)
                await self._read_data()
                stopping.cancel()
        except OSError:
            pass
        finally:
            await self._close()

    def _make_protocol(
        self, group: hypercorn.trio.task_group.TaskGroup
    ) -> hypercorn.protocol.ProtocolWrapper:
        socket = self.stream.socket
        state: Any = {CONNECTION: self}
        return hypercorn.protocol.ProtocolWrapper(
            self.app,
            self.config,
            self.context,
            group,
            state,
            False,
            socket.getpeername()[:2],
            socket.getsockname()[:2],
            self.protocol_send,
            "http/1.1",
        )

    async def _end_idle_when_stopping(self, scope: trio.CancelScope) -> None:
        with scope:
            await self.context.terminated.wait()
            if self._is_idle:
                self.reading.cancel()

    async def _read_data(self) -> None:
        with self.reading:
            while True:
                try:
                    data = await self.stream.receive_some(RECEIVE_BYTES)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    break
                if not data:
                    break
                event = hypercorn.events.RawData(bytes(data))
                await self.protocol.handle(event)
        await self._end()

    async def _end(self) -> None:
        """Tells the application that the caller left."""
        if self.on_left is not None:
            self.on_left()
        with trio.move_on_after(CLOSE_SECONDS):
            await self.protocol.handle(hypercorn.events.Closed())

    async def protocol_send(self, event: hypercorn.events.Event) -> None:
        """Carries out what hypercorn's protocol asks for."""
        if isinstance(event, hypercorn.events.RawData):
            await self._send(event.data)
        elif isinstance(event, hypercorn.events.Updated):
            await self._flush_head()
            self._note_idle(event.idle)
        elif isinstance(event, hypercorn.events.Closed):
            await self._flush_head()
            await self._close()
            await self.protocol.handle(hypercorn.events.Closed())

    def _note_idle(self, idle: bool) -> None:
        self._is_idle = idle
        self._awaits_head = not idle
        if not idle:
            self.reading.deadline = math.inf
        elif self.context.terminated.is_set():
            self.reading.cancel()
        else:
            seconds = self.config.keep_alive_timeout
            self.reading.deadline = trio.current_time() + seconds

    async def _send(self, data: bytes) -> None:
        if self._awaits_head and not data.startswith(CONTINUE):
            self._awaits_head = False
            self._head = data
            return
        data = self._head + data
        self._head = b""
        if data:
            await self._write(data)

    async def _flush_head(self) -> None:
        if self._head:
            await self._send(b"")

    async def _write(self, data: bytes) -> None:
        try:
            self.send_lock.acquire_nowait()
        except trio.WouldBlock:
            await self.send_lock.acquire()
        until = trio.current_time() + self.stall_seconds
        try:
            with trio.CancelScope(deadline=until, shield=True) as scope:
                await self.stream.send_all(data)
            stalled = scope.cancelled_caught
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            stalled = True
        finally:
            self.send_lock.release()
        if stalled:
            await trio.aclose_forcefully(self.stream)
            await self._end()
