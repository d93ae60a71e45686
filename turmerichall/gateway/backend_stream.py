"""The TCP stream under a connection to a backend server."""

import ssl
from typing import Any

import httpcore
import trio

__all__ = ["BackendStream"]

GATHERED_BYTES = 65_536


class BackendStream(httpcore.AsyncNetworkStream):
    """A byte stream that knows what left on it and how long it is quiet.

    The parts of a request are gathered and written at the next read, so that
    a small request leaves in one segment.

    Attributes:
        stream: The transport.
        used: Whether any byte of the current request may have left.
        reading_since: When the read under way began, trio time; None without.
    """

    def __init__(self, stream: trio.abc.Stream):
        self.stream = stream
        self.used = False
        self.reading_since: float | None = None
        self._gathered: list[bytes] = []
        self._gathered_bytes = 0

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Gathers bytes, and writes them once there are many."""
        self._gathered.append(buffer)
        self._gathered_bytes += len(buffer)
        if self._gathered_bytes >= GATHERED_BYTES:
            await self.flush()

    async def flush(self) -> None:
        """Writes what was gathered."""
        data = b"".join(self._gathered)
        self._gathered.clear()
        self._gathered_bytes = 0
        self.used = True
        await self.stream.send_all(data)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads what has arrived, after writing what was gathered."""
        if self._gathered:
            await self.flush()
        self.reading_since = trio.current_time()
        try:
            return bytes(await self.stream.receive_some(max_bytes))
        finally:
            self.reading_since = None

    def close(self) -> None:
        """Closes the transport at once."""
        if isinstance(self.stream, trio.SocketStream):
            self.stream.socket.close()

    async def aclose(self) -> None:
        """Closes the transport without waiting for the other end."""
        await trio.aclose_forcefully(self.stream)

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Refuses: connections to backend servers are plain TCP."""
        raise NotImplementedError("backend servers are reached by plain TCP")

    def get_extra_info(self, info: str) -> Any:
        """Tells whether bytes, or the end, have arrived unasked."""
        if info == "is_readable" and isinstance(self.stream, trio.SocketStream):
            return self.stream.socket.is_readable()
        return None
