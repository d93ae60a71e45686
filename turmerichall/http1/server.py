"""HTTP/1.1 server; each connection is served by one task."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from turmerichall import errors
from turmerichall.http1 import handler_errors
from turmerichall.http1 import limits as limits_module
from turmerichall.http1 import message
from turmerichall.http1 import request_reader

__all__ = ["Handler", "Limits", "Server"]

READ_BYTES = 64 * 1024
# Delay between the call of `Server.stop` and the closing of idle connections,
# so that requests already in transit are still read.
IDLE_GRACE_SECONDS = 0.5

Limits = limits_module.Limits
Handler = Callable[[message.Request], Awaitable[message.Response]]


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
        stopping: Whether connections are closed after their next response.
        stopped: Set once the last connection is closed.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits] = Limits,
        on_error: handler_errors.OnError = handler_errors.log_error,
    ):
        self.handler = handler
        self.limits = limits
        self.on_error = on_error
        self.stopping = False
        self.stopped = trio.Event()
        self._idle_scopes: set[trio.CancelScope] = set()
        self._accept_scope = trio.CancelScope()

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
        try:
            async with stream:
                await self._serve_requests(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The client has disconnected.
            return

    async def _serve_requests(self, stream: trio.SocketStream) -> None:
        reader = request_reader.RequestReader(self.limits())
        while True:
            status = await self._read(stream, reader)
            if not status and not reader.requests:
                return
            # What was complete before the error is answered before it.
            while reader.requests:
                request, keep_alive = reader.requests.popleft()
                close = not keep_alive or self.stopping
                if await self._respond(stream, reader.limits, request, close):
                    return
            if status:
                refusal = message.encode_response(
                    message.Response(status), close=True
                )
                await self._send(stream, reader.limits, refusal)
                return

    async def _respond(
        self,
        stream: trio.SocketStream,
        limits: Limits,
        request: message.Request,
        close: bool,
    ) -> bool:
        """Answer a request.

        Args:
            stream: The connection.
            limits: Limits on the response.
            request: The request.
            close: Whether this is the last request of the connection.

        Returns:
            Whether the connection has to be closed.
        """
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
        await self._send(stream, limits, data)
        return close

    async def _send(
        self, stream: trio.SocketStream, limits: Limits, data: bytes
    ) -> None:
        """Send an encoded response.

        Raises:
            trio.BrokenResourceError: The client has disconnected, or has not
                read the response within the time limit.
        """
        try:
            with trio.fail_after(limits.send_seconds):
                await stream.send_all(data)
        except trio.TooSlowError as error:
            raise trio.BrokenResourceError("send timed out") from error

    async def _read(
        self, stream: trio.SocketStream, reader: request_reader.RequestReader
    ) -> int:
        """Read until a request of the connection is complete.

        Returns:
            0 if a request is complete, or if none will come because the
            connection ended, was idle for too long, or was idle when the server
            was stopped.  Otherwise the HTTP status of the error.
        """
        reader.limits = self.limits()
        began_at = trio.current_time()
        while not reader.requests:
            if not reader.unparsed:
                status = await self._receive(stream, reader, began_at)
                if not reader.unparsed:
                    return status
            if not reader.in_request:
                began_at = trio.current_time()
                # They may have changed while the connection was idle.
                reader.limits = self.limits()
            status = reader.parse_piece()
            if status:
                return status
            if reader.awaits_continue and not reader.requests:
                reader.awaits_continue = False
                await self._send(
                    stream, reader.limits, request_reader.CONTINUE_RESPONSE
                )
        return 0

    async def _receive(
        self,
        stream: trio.SocketStream,
        reader: request_reader.RequestReader,
        began_at: float,
    ) -> int:
        """Wait for bytes, and add them to those that are not parsed yet.

        Args:
            stream: The connection.
            reader: Its reader.
            began_at: When the current request began to arrive, trio time.

        Returns:
            The HTTP status with which the connection has to end if there are
            none; 0 if it ends without a response.
        """
        if reader.in_request:
            deadline = began_at + reader.limits.request_seconds
        else:
            deadline = trio.current_time() + reader.limits.idle_seconds
        with trio.CancelScope(deadline=deadline) as scope:
            if not reader.in_request:
                self._idle_scopes.add(scope)
            try:
                reader.unparsed += await stream.receive_some(READ_BYTES)
            finally:
                self._idle_scopes.discard(scope)
        if scope.cancelled_caught:
            return 408 if reader.in_request else 0
        return 0
