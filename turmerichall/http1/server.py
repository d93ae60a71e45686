"""A server of HTTP/1.1: one task for each connection, straight down."""

import collections
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import httptools
import trio

from turmerichall.http1 import message

__all__ = ["Handler", "Limits", "Server"]

READ_BYTES = 64 * 1024
# From the request to stop until connections without a request are closed, so
# that a request that is on its way is still read.
IDLE_GRACE_SECONDS = 0.5

Handler = Callable[[message.Request], Awaitable[message.Response]]


class Limits(NamedTuple):
    """Bounds on what is read from one connection.

    Attributes:
        header_bytes: Size of a request's line and header fields.
        body_bytes: Size of a body.
        request_seconds: From the first byte of a request to its last.
        idle_seconds: Between two requests.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 256 * 1024
    request_seconds: float = 3.0
    idle_seconds: float = 15.0


class _TooLarge(Exception):
    """A request exceeds a limit; carries the status to answer with."""

    def __init__(self, status: int):
        super().__init__(status)
        self.status = status


class _Reading:
    """Collects requests from the parser's callbacks.

    Attributes:
        limits: Bounds on what is read.
        complete: Requests that were read whole, with whether the connection
            may go on after each.
        begun: Whether a request was begun and is not whole.
    """

    def __init__(self, limits: Limits):
        self.limits = limits
        self.complete: collections.deque[tuple[message.Request, bool]] = (
            collections.deque()
        )
        self.begun = False
        self.parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: message.Headers = {}
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0

    # pylint: disable=missing-function-docstring
    def on_message_begin(self) -> None:
        self.begun = True
        self._target = b""
        self._headers = {}
        self._body = []
        self._header_bytes = 0
        self._body_bytes = 0

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
            raise _TooLarge(413)
        self._body.append(body)

    def on_message_complete(self) -> None:
        request = message.Request(
            self.parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            b"".join(self._body),
        )
        self.begun = False
        self.complete.append((request, self.parser.should_keep_alive()))

    # pylint: enable=missing-function-docstring

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self.limits.header_bytes:
            raise _TooLarge(431)

    def feed(self, data: bytes) -> int:
        """Reads bytes; returns 0, or the status to refuse them with."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            return cause.status if isinstance(cause, _TooLarge) else 400
        except httptools.HttpParserUpgrade:
            return 501
        except httptools.HttpParserError:
            return 400
        return 0


class Server:
    """Serves one address until it is told to stop.

    Attributes:
        handler: Answers a request; must not raise.
        limits: Gives the bounds in force.
        stopping: Whether connections end after their next answer.
        stopped: Set once the last connection has ended.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits] = Limits,
    ):
        self.handler = handler
        self.limits = limits
        self.stopping = False
        self.stopped = trio.Event()
        self._idle: set[trio.CancelScope] = set()
        self._accepting = trio.CancelScope()

    async def run(
        self, address: str, *, task_status: Any = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until `stop`, then until the last connection has ended.

        Args:
            address: Where to listen, host:port.
            task_status: Started with the address that is listened on.
        """
        host, _, port = address.rpartition(":")
        listeners = await trio.open_tcp_listeners(
            int(port), host=host, backlog=1024
        )
        name = listeners[0].socket.getsockname()
        async with trio.open_nursery() as nursery:
            with self._accepting:
                task_status.started(f"{name[0]}:{name[1]}")
                await trio.serve_listeners(
                    self._serve, listeners, handler_nursery=nursery
                )
        self.stopped.set()

    async def stop(self) -> None:
        """Ends connections as soon as nothing of a request is under way."""
        self.stopping = True
        await trio.sleep(IDLE_GRACE_SECONDS)
        for scope in list(self._idle):
            scope.cancel()
        self._accepting.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            async with stream:
                await self._converse(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The other end is gone; there is nobody left to answer.
            return

    async def _converse(self, stream: trio.SocketStream) -> None:
        reading = _Reading(self.limits())
        while True:
            status = await self._read(stream, reading)
            if status:
                await stream.send_all(
                    message.encode_response(
                        message.Response(status), close=True
                    )
                )
            if not reading.complete:
                return
            request, keep_alive = reading.complete.popleft()
            response = await self.handler(request)
            close = not keep_alive or self.stopping
            await stream.send_all(message.encode_response(response, close))
            if close:
                return

    async def _read(self, stream: trio.SocketStream, reading: _Reading) -> int:
        """Reads until a request is whole.

        Returns:
            0, also at the end of the connection, or a status to refuse with.
        """
        limits = reading.limits = self.limits()
        begun_at = trio.current_time()
        while not reading.complete:
            if reading.begun:
                deadline = begun_at + limits.request_seconds
            else:
                deadline = trio.current_time() + limits.idle_seconds
            with trio.CancelScope(deadline=deadline) as scope:
                if not reading.begun:
                    self._idle.add(scope)
                try:
                    data = await stream.receive_some(READ_BYTES)
                finally:
                    self._idle.discard(scope)
            if scope.cancelled_caught:
                return 408 if reading.begun else 0
            if not data:
                return 0
            if not reading.begun:
                begun_at = trio.current_time()
            status = reading.feed(data)
            if status:
                return status
        return 0
