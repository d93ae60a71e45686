"""HTTP/1.1 server; each connection is served by one task."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from turmerichall import errors
from turmerichall.http1 import handler_errors
from turmerichall.http1 import limits as limits_module
from turmerichall.http1 import message
from turmerichall.http1 import request_reader
from turmerichall.intake import budget as budgets
from turmerichall.intake import turns

__all__ = ["Handler", "Limits", "Server"]

READ_BYTES = 64 * 1024
# Delay between the call of `Server.stop` and the closing of idle connections,
# so that requests already in transit are still read.
IDLE_GRACE_SECONDS = 0.5
RETRY_AFTER_SECONDS = 1
# Response to a request that was not handled, because others take the memory.
OVERLOADED = message.Response(
    503, b"", {"retry-after": str(RETRY_AFTER_SECONDS)}
)

Limits = limits_module.Limits
Handler = Callable[[message.Request], Awaitable[message.Response]]


class _Connection:
    """One connection.

    Attributes:
        stream: The stream.
        reader: Reads its requests.
        has_given_up: Whether it gave way to others, and has to end.
        scope: What it waits for; None while it waits for nothing, or for a
            handler.
        holding: What it holds of the server's budget.
    """

    def __init__(self, stream: trio.SocketStream, limits: Limits):
        self.stream = stream
        self.reader = request_reader.RequestReader(limits)
        self.has_given_up = False
        self.scope: trio.CancelScope | None = None
        self.holding: budgets.Holding | None = None

    def give_up(self) -> None:
        """Release what was received, and let the connection end."""
        self.has_given_up = True
        self.reader.discard()
        if self.scope is not None:
            self.scope.cancel()

    def status_at_the_end(self) -> int:
        """Return the status with which it ends after it gave way."""
        return OVERLOADED.status if self.reader.in_request else 0


class Server:
    """Server on one address.

    Attributes:
        handler: Returns the response to a request.  If it raises an error, the
            client gets a 500 and its connection ends; a `StorageError` ends the
            server.
        limits: Returns the current limits on requests; called for each request,
            when its first byte has arrived.  The limit on the wait for that
            byte is the one in force when the wait began.
        on_error: Called with the request and the error that its handler raised.
        budget: Limits what all connections take together.
        stopping: Whether connections are closed after their next response.
        stopped: Set once the last connection is closed.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits] = Limits,
        on_error: handler_errors.OnError = handler_errors.log_error,
        budget: budgets.Budget | None = None,
    ):
        self.handler = handler
        self.limits = limits
        self.on_error = on_error
        self.budget = budgets.Budget() if budget is None else budget
        self.stopping = False
        self.stopped = trio.Event()
        self._idle_scopes: set[trio.CancelScope] = set()
        self._accept_scope = trio.CancelScope()
        self._turns = turns.Turns()

    async def run(
        self, address: str, *, task_status: Any = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until `stop` is called and the last connection is closed.

        Args:
            address: Address to listen on, host:port.
            task_status: Receives the address that the server listens on, with
                the actual port.
        """
        host, _, port = address.rpartition(":")
        listeners = await trio.open_tcp_listeners(
            int(port), host=host, backlog=1024
        )
        name = listeners[0].socket.getsockname()
        async with trio.open_nursery() as nursery:
            with self._accept_scope:
                task_status.started(f"{name[0]}:{name[1]}")
                await trio.serve_listeners(
                    self._serve, listeners, handler_nursery=nursery
                )
        self.stopped.set()

    async def stop(self) -> None:
        """Close idle connections and stop accepting new ones, after a delay.

        Requests in progress are still answered; then their connections are
        closed too.
        """
        self.stopping = True
        await trio.sleep(IDLE_GRACE_SECONDS)
        for scope in list(self._idle_scopes):
            scope.cancel()
        self._accept_scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = _Connection(stream, self.limits())
        holding = self.budget.open(connection.give_up, trio.current_time())
        try:
            async with stream:
                if holding is not None:
                    connection.holding = holding
                    await self._serve_requests(connection)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The client has disconnected.
            return
        finally:
            # The reader and its parser refer to each other, so that they may
            # stay in memory for long.
            connection.reader.discard()
            if holding is not None:
                self.budget.close(holding)

    async def _serve_requests(self, connection: _Connection) -> None:
        reader = connection.reader
        while True:
            status = await self._read(connection)
            if not status and not reader.requests:
                return
            # What was complete before the error is answered before it.
            while reader.requests:
                request, keep_alive = reader.take()
                close = not keep_alive or self.stopping
                if await self._respond(connection, request, close):
                    return
            if status:
                refusal = message.Response(status)
                if status == OVERLOADED.status:
                    refusal = OVERLOADED
                data = message.encode_response(refusal, close=True)
                await self._send(connection, data)
                return

    async def _respond(
        self, connection: _Connection, request: message.Request, close: bool
    ) -> bool:
        """Answer a request.

        Args:
            connection: The connection.
            request: The request.
            close: Whether this is the last request of the connection.

        Returns:
            Whether the connection has to be closed.
        """
        size = request_reader.request_size(request) + connection.reader.size
        now = trio.current_time()
        if connection.holding is None or connection.has_given_up:
            return True
        if not self.budget.admit(connection.holding, size, now):
            data = message.encode_response(OVERLOADED, close)
            await self._send(connection, data)
            return close
        try:
            response = await self.handler(request)
            data = message.encode_response(response, close)
        except errors.StorageError:
            raise
        except Exception as error:  # pylint: disable=broad-exception-caught
            if isinstance(error, ExceptionGroup):
                storage, _ = error.split(errors.StorageError)
                if storage is not None:
                    raise storage from error
            self.on_error(request, error)
            close = True
            data = message.encode_response(message.Response(500), close)
        await self._send(connection, data)
        return close

    async def _send(self, connection: _Connection, data: bytes) -> None:
        """Send an encoded response.

        Raises:
            trio.BrokenResourceError: The client has disconnected, or has not
                read the response within the time limit.
        """
        now = trio.current_time()
        self._record(connection, budgets.Activity.SENDING, len(data), now)
        deadline = now + connection.reader.limits.send_seconds
        with trio.CancelScope(deadline=deadline) as scope:
            connection.scope = scope
            await connection.stream.send_all(data)
        connection.scope = None
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("the response was not read")

    def _record(
        self,
        connection: _Connection,
        activity: budgets.Activity,
        size: int,
        now: float,
    ) -> None:
        """Record what a connection does and holds in the budget."""
        if connection.holding is not None:
            size += connection.reader.size
            self.budget.update(connection.holding, activity, size, now)

    async def _read(self, connection: _Connection) -> int:
        """Read until a request of the connection is complete.

        Returns:
            0 if a request is complete, or if none will come because the
            connection ended, was idle for too long or gave way to others, or
            was idle when the server was stopped.  Otherwise the HTTP status of
            the error.
        """
        reader = connection.reader
        reader.limits = self.limits()
        began_at = trio.current_time()
        turn_at = turns.PARTS_PER_TURN
        while not reader.requests:
            if not reader.unparsed:
                status = await self._receive(connection, began_at)
                if connection.has_given_up or not reader.unparsed:
                    return status
            if not reader.in_request:
                began_at = trio.current_time()
                # They may have changed while the connection was idle.
                reader.limits = self.limits()
                turn_at = turns.PARTS_PER_TURN
            status = reader.parse_piece()
            if status:
                return status
            if reader.requests:
                break
            now = trio.current_time()
            self._record(connection, budgets.Activity.RECEIVING, 0, now)
            if reader.parts >= turn_at and not connection.has_given_up:
                turn_at = reader.parts + turns.PARTS_PER_TURN
                await self._turns.wait()
                deadline = began_at + reader.limits.request_seconds
                if trio.current_time() > deadline:
                    return 408
            if connection.has_given_up:
                return connection.status_at_the_end()
            if reader.awaits_continue:
                reader.awaits_continue = False
                await self._send(connection, request_reader.CONTINUE_RESPONSE)
        return 0

    async def _receive(self, connection: _Connection, began_at: float) -> int:
        """Wait for bytes, and add them to those that are not parsed yet.

        Args:
            connection: The connection.
            began_at: When the current request began to arrive, trio time.

        Returns:
            The HTTP status with which the connection has to end if there are
            none; 0 if it ends without a response.
        """
        reader = connection.reader
        now = trio.current_time()
        if reader.in_request:
            deadline = began_at + reader.limits.request_seconds
        else:
            deadline = now + reader.limits.idle_seconds
            self._record(connection, budgets.Activity.IDLE, 0, now)
        with trio.CancelScope(deadline=deadline) as scope:
            connection.scope = scope
            if not reader.in_request:
                self._idle_scopes.add(scope)
            try:
                data = await connection.stream.receive_some(READ_BYTES)
            finally:
                self._idle_scopes.discard(scope)
                connection.scope = None
        if connection.has_given_up:
            return connection.status_at_the_end()
        if scope.cancelled_caught:
            return 408 if reader.in_request else 0
        reader.unparsed += data
        return 0
