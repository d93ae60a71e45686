"""HTTP/1.1 server; each connection is served by one task."""

import collections
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import httptools
import trio

from turmerichall import errors
from turmerichall.http1 import handler_errors
from turmerichall.http1 import message

__all__ = ["Handler", "Limits", "Server"]

READ_BYTES = 64 * 1024
# Delay between the call of `Server.stop` and the closing of idle connections,
# so that requests already in transit are still read.
IDLE_GRACE_SECONDS = 0.5
HEADER_END = b"\r\n\r\n"
CONTINUE = "100-continue"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

Handler = Callable[[message.Request], Awaitable[message.Response]]


class Limits(NamedTuple):
    """Limits on what is read from and sent to one connection.

    Attributes:
        header_bytes: Maximum size of the target and the header fields of a
            request.
        body_bytes: Maximum size of a body.
        request_seconds: Maximum time from the first byte of a request to its
            last.
        idle_seconds: Maximum wait for the first byte of the next request.
        send_seconds: Maximum time to send one response.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 256 * 1024
    request_seconds: float = 3.0
    idle_seconds: float = 15.0
    send_seconds: float = 5.0


class _Refused(Exception):
    """Error for a request that is refused while it is read.

    Attributes:
        status: HTTP status of the response.
    """

    def __init__(self, status: int):
        super().__init__(status)
        self.status = status


class _RequestReader:
    """Builder of requests from the callbacks of the HTTP parser.

    An offer to switch to another protocol is ignored (RFC 9110, 7.8).  The
    parser ends at the header of such a request, and takes what follows for the
    other protocol; another parser then reads the request again without the
    offer, and goes on.

    Attributes:
        limits: Limits on the size and time of the current request.
        requests: Complete requests that wait for the handler, each with whether
            the connection may be kept alive after its response.
        in_request: Whether a request has begun to arrive and is not complete.
        awaits_continue: Whether the client waits for `CONTINUE_RESPONSE` before
            it sends the body of the current request.
    """

    def __init__(self, limits: Limits):
        self.limits = limits
        self.requests: collections.deque[tuple[message.Request, bool]] = (
            collections.deque()
        )
        self.in_request = False
        self.awaits_continue = False
        self.parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: message.Headers = {}
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._parsed_bytes = 0
        self._unparsed_bytes = 0
        self._tail = b""

    # pylint: disable=missing-function-docstring
    def on_message_begin(self) -> None:
        self.in_request = True
        self._target = b""
        self._headers = {}
        self._body = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._parsed_bytes = 0
        self._unparsed_bytes = 0

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_header(len(name) + len(value))
        key = name.decode("latin-1").lower()
        self._headers[key] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > self.limits.body_bytes:
            raise _Refused(413)
        self._body.append(body)

    def on_message_complete(self) -> None:
        request = message.Request(
            self.parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            b"".join(self._body),
        )
        self.in_request = False
        self.requests.append((request, self.parser.should_keep_alive()))

    # pylint: enable=missing-function-docstring

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self.limits.header_bytes:
            raise _Refused(431)

    def feed(self, data: bytes) -> int:
        """Parse received bytes.

        Returns:
            0 if they are valid so far, otherwise the HTTP status of the error.
        """
        try:
            self._parse(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            return cause.status if isinstance(cause, _Refused) else 400
        except _Refused as refused:
            return refused.status
        except httptools.HttpParserError:
            return 400
        return self._check_incomplete(data) if self.in_request else 0

    def _parse(self, data: bytes) -> None:
        while True:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                data = data[offer.args[0] :]
            # The parser has taken the header for the whole request.
            request, keeps_alive = self.requests.pop()
            self.in_request = True
            if request.method == "CONNECT":
                raise _Refused(501)
            head = _head_without_offer(
                request, self.parser.get_http_version(), keeps_alive
            )
            self.parser = httptools.HttpRequestParser(self)
            self.parser.feed_data(head)
            if not data:
                return

    def _check_incomplete(self, data: bytes) -> int:
        """Check a request that is not complete after the bytes just parsed.

        Returns:
            413 if its announced body is too large, 431 if a single field is,
            which the parser keeps until it is complete; otherwise 0.
        """
        self._tail = (self._tail + data)[-len(HEADER_END) :]
        if self._tail == HEADER_END and not self._body_bytes:
            headers = self._headers
            if int(headers.get("content-length", 0)) > self.limits.body_bytes:
                return 413
            expected = headers.get("expect", "").lower()
            version = self.parser.get_http_version()
            self.awaits_continue = expected == CONTINUE and version != "1.0"
        parsed_bytes = self._header_bytes + self._body_bytes
        if parsed_bytes != self._parsed_bytes:
            self._parsed_bytes = parsed_bytes
            self._unparsed_bytes = 0
            return 0
        self._unparsed_bytes += len(data)
        return 431 if self._unparsed_bytes > self.limits.header_bytes else 0


def _head_without_offer(
    request: message.Request, version: str, keeps_alive: bool
) -> bytes:
    """Encode the header of a request without its offer of another protocol."""
    lines = [f"{request.method} {request.target} HTTP/{version}"]
    lines += [
        f"{name}: {value}"
        for name, value in request.headers.items()
        if name not in ("upgrade", "connection")
    ]
    lines.append(f"connection: {'keep-alive' if keeps_alive else 'close'}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


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
        reader = _RequestReader(self.limits())
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
        self, stream: trio.SocketStream, reader: _RequestReader
    ) -> int:
        """Read until a request of the connection is complete.

        Returns:
            0 if a request is complete, or if none will come because the
            connection ended, was idle for too long, or was idle when the server
            was stopped.  Otherwise the HTTP status of the error.
        """
        limits = reader.limits = self.limits()
        began_at = trio.current_time()
        while not reader.requests:
            if reader.in_request:
                deadline = began_at + limits.request_seconds
            else:
                deadline = trio.current_time() + limits.idle_seconds
            with trio.CancelScope(deadline=deadline) as scope:
                if not reader.in_request:
                    self._idle_scopes.add(scope)
                try:
                    data = await stream.receive_some(READ_BYTES)
                finally:
                    self._idle_scopes.discard(scope)
            if scope.cancelled_caught:
                return 408 if reader.in_request else 0
            if not data:
                return 0
            if not reader.in_request:
                began_at = trio.current_time()
                # They may have changed while the connection was idle.
                limits = reader.limits = self.limits()
            status = reader.feed(data)
            if status:
                return status
            if reader.awaits_continue and not reader.requests:
                reader.awaits_continue = False
                await self._send(stream, limits, CONTINUE_RESPONSE)
        return 0
