"""A client of one HTTP/1.1 address, with few connections that are kept."""

import collections
from typing import NamedTuple

import httptools
import trio

from turmerichall.http1 import message

__all__ = ["CallFailure", "Client"]

READ_BYTES = 64 * 1024
CONNECT_SECONDS = 0.8


class CallFailure(NamedTuple):
    """A call got no answer.

    Attributes:
        possibly_sent: Whether the other end may have received it.
        detail: A sentence for people.
    """

    possibly_sent: bool
    detail: str


class _Broken(Exception):
    """The connection ended or carried no HTTP."""


class _Connection:
    """One connection, with at most one call at a time."""

    def __init__(self, stream: trio.SocketStream):
        self.stream = stream
        self.used = False
        self.parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._headers: message.Headers = {}
        self._complete = False
        self.keeps_alive = False

    # pylint: disable=missing-function-docstring
    def on_message_begin(self) -> None:
        self._body = []
        self._headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.decode("latin-1").lower()
        self._headers[key] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._complete = True
        # The parser tells this only before the next bytes.
        self.keeps_alive = self.parser.should_keep_alive()

    # pylint: enable=missing-function-docstring

    async def call(self, data: bytes) -> message.Response:
        """Sends a request and reads its answer.

        Raises:
            _Broken: The connection ended before the answer was whole.
        """
        self._complete = False
        try:
            await self.stream.send_all(data)
            while not self._complete:
                received = await self.stream.receive_some(READ_BYTES)
                if not received:
                    raise _Broken("the connection was closed")
                self.parser.feed_data(received)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise _Broken("the connection broke") from error
        except httptools.HttpParserError as error:
            raise _Broken(f"malformed answer: {error}") from error
        self.used = True
        return message.Response(
            self.parser.get_status_code(),
            b"".join(self._body),
            self._headers,
        )

    def close(self) -> None:
        """Closes the connection at once."""
        self.stream.socket.close()


class Client:
    """Calls one address; every call may be repeated without harm.

    Attributes:
        address: The address, host:port.
        max_connections: Connections open at once.
        opened: Connections that were opened so far.
    """

    def __init__(self, address: str, max_connections: int = 6):
        self.address = address
        self.max_connections = max_connections
        self.opened = 0
        self._idle: collections.deque[_Connection] = collections.deque()
        self._free = trio.CapacityLimiter(max_connections)

    async def call(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: message.Headers,
        timeout_seconds: float,
    ) -> message.Response | CallFailure:
        """Makes a call.

        Args:
            method: The method.
            target: The path.
            body: The body.
            headers: Header fields; `host` is added.
            timeout_seconds: For connecting, sending and the answer.

        Returns:
            The answer, or why there is none.
        """
        request = message.Request(
            method, target, {"host": self.address, **headers}, body
        )
        data = message.encode_request(request)
        result: message.Response | CallFailure = CallFailure(
            False, "no connection was free in time"
        )
        with trio.move_on_after(timeout_seconds):
            async with self._free:
                result = CallFailure(False, "connecting timed out")
                while True:
                    connection = await self._connect()
                    if connection is None:
                        return CallFailure(False, "connecting failed")
                    result = CallFailure(True, "no answer in time")
                    kept = False
                    try:
                        answer = await connection.call(data)
                        kept = connection.keeps_alive
                        return answer
                    except _Broken as error:
                        result = CallFailure(True, str(error))
                        # One that was idle may have been closed meanwhile.
                        if not connection.used:
                            return result
                    finally:
                        if kept:
                            self._idle.append(connection)
                        else:
                            connection.close()
        return result

    async def _connect(self) -> _Connection | None:
        if self._idle:
            return self._idle.pop()
        host, _, port = self.address.rpartition(":")
        try:
            with trio.fail_after(CONNECT_SECONDS):
                stream = await trio.open_tcp_stream(
                    host, int(port), happy_eyeballs_delay=float("inf")
                )
        except (OSError, trio.TooSlowError):
            return None
        self.opened += 1
        return _Connection(stream)

    def close(self) -> None:
        """Closes the connections that are idle."""
        while self._idle:
            self._idle.pop().close()
