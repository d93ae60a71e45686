"""The TCP stream of a connection to a backend server."""

import ssl
from typing import Any

import httpcore
import trio

__all__ = ["BackendStream"]

BUFFER_BYTES = 65_536


class BackendStream(httpcore.AsyncNetworkStream):
    """A byte stream that buffers writes and tracks reads.

    The parts of a request are buffered and sent at the next read, so that a
    small request is sent in one segment.

    Attributes:
        stream: The transport.
        may_have_sent: Whether any byte of the current request may have been
            sent.
        reading_since: When the read in progress started, trio time; None if
            there is none.
    """

    def __init__(self, stream: trio.abc.Stream):
        self.stream = stream
        self.may_have_sent = False
        self.reading_since: float | None = None
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Buffer bytes, and send the buffer once it is full."""
        self._buffer.append(buffer)
        self._buffered_bytes += len(buffer)
        if self._buffered_bytes >= BUFFER_BYTES:
            await self.flush()

    async def flush(self) -> None:
        """Send the buffered bytes."""
        data = b"".join(self._buffer)
        self._buffer.clear()
        self._buffered_bytes = 0
        self.may_have_sent = True
        await self.stream.send_all(data)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send the buffered bytes, then read what arrives."""
        if self._buffer:
            await self.flush()
        self.reading_since = trio.current_time()
        try:
            return bytes(await self.stream.receive_some(max_bytes))
        finally:
            self.reading_since = None

    def close(self) -> None:
        """Close the socket immediately."""
        if isinstance(self.stream, trio.SocketStream):
            self.stream.socket.close()

    async def aclose(self) -> None:
        """Close the transport without waiting for the peer."""
        await trio.aclose_forcefully(self.stream)

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raise an error: connections to backend servers are plain TCP."""
        raise NotImplementedError("backend servers are reached by plain TCP")

    def get_extra_info(self, info: str) -> Any:
        """Return whether unread bytes or an end of stream have arrived.

        Args:
            info: "is_readable"; for anything else None is returned.
        """
        if info == "is_readable" and isinstance(self.stream, trio.SocketStream):
            return self.stream.socket.is_readable()
        return None
