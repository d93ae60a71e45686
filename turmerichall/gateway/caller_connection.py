"""A caller's connection: hypercorn's, with fewer tasks and writes per request.

Hypercorn starts a task for each request that watches for an idle connection,
and writes head and body of a response separately.  Here the reading task
enforces the idle timeout, the head is written together with the first part of
the body, and a caller that doesn't read its response is disconnected.  What a
connection holds counts toward a budget of its listener.
"""

import math
from collections.abc import Callable
from typing import Any

import hypercorn.events
import hypercorn.protocol
import hypercorn.trio.task_group
import hypercorn.trio.tcp_server
import trio

from turmerichall.intake import block_buffer
from turmerichall.intake import budget as budgets

__all__ = ["CONNECTION_KEY", "CallerConnection"]

# Key of the connection in the `state` of a request's ASGI scope.
CONNECTION_KEY = "turmerichall.connection"

RECEIVE_BYTES = 16_384
CONTINUE_RESPONSE = b"HTTP/1.1 100 "
# Timeout for the application to process the end of the connection.
CLOSE_TIMEOUT_SECONDS = 1.0


class _NoIdleTask:
    """No-op replacement of the task that watches for an idle connection."""

    async def restart(self, *_: object) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""


class CallerConnection(hypercorn.trio.tcp_server.TCPServer):
    """One connection of a caller.

    Attributes:
        stall_seconds: Timeout for sending a part of a response; a caller that
            doesn't read it by then is disconnected.
        on_disconnect: Called when the connection ends while a request runs.
        read_scope: Cancel scope of the reads; its deadline closes an idle
            connection.
        received_body: Body of the current request while it is received.
        budget: Limits what all connections of the listener take together.
        holding: What this one holds of it; None before `open`.
    """

    def __init__(
        self,
        app: Any,
        config: Any,
        context: Any,
        stall_seconds: float,
        stream: trio.SocketStream,
        budget: budgets.Budget,
    ):
        super().__init__(app, config, context, {}, stream)  # type: ignore[arg-type]
        self.idle_task = _NoIdleTask()  # type: ignore[assignment]
        self.stall_seconds = stall_seconds
        self.on_disconnect: Callable[[], None] | None = None
        self.read_scope = trio.CancelScope()
        self.received_body = block_buffer.BlockBuffer()
        self.budget = budget
        self.holding: budgets.Holding | None = None
        self._write_scope: trio.CancelScope | None = None
        self._handled_bytes = 0
        self._is_idle = True
        self._expects_head = False
        self._head = b""

    def open(self) -> bool:
        """Take a place among the connections; return whether there is one."""
        now = trio.current_time()
        self.holding = self.budget.open(self._give_up, now)
        return self.holding is not None

    def record_received(self) -> bool:
        """Count the received body; return whether the request may go on."""
        return self._record(budgets.Activity.RECEIVING, len(self.received_body))

    def admit(self, size: int) -> bool:
        """Return whether a complete request may be handled.

        Args:
            size: Size of its body, in bytes.
        """
        if self.holding is None:
            return False
        admitted = self.budget.admit(self.holding, size, trio.current_time())
        self._handled_bytes = self.holding.size if admitted else 0
        return admitted

    def _record(self, activity: budgets.Activity, size: int) -> bool:
        """Record what the connection does; return whether it may go on."""
        return self.holding is not None and self.budget.update(
            self.holding, activity, size, trio.current_time()
        )

    def _give_up(self) -> None:
        """Release what is held, and let the connection end."""
        self.received_body.clear()
        self.read_scope.cancel()
        if self._write_scope is not None:
            self._write_scope.cancel()

    async def run(self) -> None:
        """Serve the connection until it ends."""
        try:
            async with hypercorn.trio.task_group.TaskGroup() as group:
                self.protocol = self._make_protocol(group)
                stopping = trio.CancelScope()
                group.spawn(self._close_idle_when_stopping, stopping)
                self._set_idle(True)
                await self._read_data()
                stopping.cancel()
        except OSError:
            pass
        finally:
            # The connection and its protocol refer to each other, so that they
            # may stay in memory for long.
            self.received_body.clear()
            if self.holding is not None:
                self.budget.close(self.holding)
            await self._close()

    def _make_protocol(
        self, group: hypercorn.trio.task_group.TaskGroup
    ) -> hypercorn.protocol.ProtocolWrapper:
        socket = self.stream.socket
        state: Any = {CONNECTION_KEY: self}
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

    async def _close_idle_when_stopping(self, scope: trio.CancelScope) -> None:
        with scope:
            await self.context.terminated.wait()
            if self._is_idle:
                self.read_scope.cancel()

    async def _read_data(self) -> None:
        with self.read_scope:
            while True:
                try:
                    data = await self.stream.receive_some(RECEIVE_BYTES)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    break
                if not data:
                    break
                event = hypercorn.events.RawData(bytes(data))
                await self.protocol.handle(event)
        await self._report_disconnect()

    async def _report_disconnect(self) -> None:
        """Tell the application that the caller has disconnected."""
        if self.on_disconnect is not None:
            self.on_disconnect()
        with trio.move_on_after(CLOSE_TIMEOUT_SECONDS):
            await self.protocol.handle(hypercorn.events.Closed())

    async def protocol_send(self, event: hypercorn.events.Event) -> None:
        """Handle an event from hypercorn's protocol."""
        if isinstance(event, hypercorn.events.RawData):
            await self._send(event.data)
        elif isinstance(event, hypercorn.events.Updated):
            await self._flush_head()
            self._set_idle(event.idle)
        elif isinstance(event, hypercorn.events.Closed):
            await self._flush_head()
            await self._close()
            await self.protocol.handle(hypercorn.events.Closed())

    def _set_idle(self, idle: bool) -> None:
        self._is_idle = idle
        self._expects_head = not idle
        self._handled_bytes = 0
        activity = budgets.Activity.IDLE if idle else budgets.Activity.RECEIVING
        self._record(activity, 0)
        if not idle:
            self.read_scope.deadline = math.inf
        elif self.context.terminated.is_set():
            self.read_scope.cancel()
        else:
            seconds = self.config.keep_alive_timeout
            self.read_scope.deadline = trio.current_time() + seconds

    async def _send(self, data: bytes) -> None:
        if self._expects_head and not data.startswith(CONTINUE_RESPONSE):
            self._expects_head = False
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
        self._record(budgets.Activity.SENDING, self._handled_bytes + len(data))
        write_deadline = trio.current_time() + self.stall_seconds
        try:
            with trio.CancelScope(
                deadline=write_deadline, shield=True
            ) as scope:
                self._write_scope = scope
                await self.stream.send_all(data)
            stalled = scope.cancelled_caught
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            stalled = True
        finally:
            self._write_scope = None
            self.send_lock.release()
        if self._handled_bytes:
            self._record(budgets.Activity.HANDLING, self._handled_bytes)
        if stalled:
            await trio.aclose_forcefully(self.stream)
            await self._report_disconnect()
