"""Connections and slots that this instance uses at one backend server."""

from collections import deque

import httpcore
import trio

from turmerichall import outcomes
from turmerichall.backend_servers import announcement
from turmerichall.gateway import backend_stream
from turmerichall.gateway import limits as limits_module

__all__ = ["Connection", "Pool"]


class Connection:
    """One connection to a backend server, used by one exchange at a time.

    Attributes:
        stream: The byte stream under it.
        http: The HTTP/1.1 protocol on it.
        idle_since: When its last exchange ended, trio time.
    """

    def __init__(
        self, stream: backend_stream.BackendStream, origin: httpcore.Origin
    ):
        self.stream = stream
        self.http = httpcore.AsyncHTTP11Connection(origin, stream)
        self.idle_since = 0.0

    def is_reusable(self, oldest_idle: float) -> bool:
        """Tells whether a new exchange may use the connection.

        Args:
            oldest_idle: A connection idle since before is not used again.
        """
        return (
            self.http.is_idle()
            and self.idle_since >= oldest_idle
            and not self.stream.get_extra_info("is_readable")
        )


class Pool:
    """What this instance uses of one incarnation of a backend server.

    Attributes:
        told: The announcement that the pool was made from.
        host: Host of its address.
        port: Port of its address.
        slots: Slots that this instance may fill now.
        connections: Connections that this instance may hold now.
        in_flight: Slots filled.
        held: Connections open or being opened.
        idle: Idle connections, the last used at the right.
    """

    def __init__(
        self, told: announcement.Announcement, limits: limits_module.Limits
    ):
        self.told = told
        self.limits = limits
        self.host, _, port = told.address.rpartition(":")
        self.port = int(port)
        self.authority = told.address.encode()
        self.origin = httpcore.Origin(b"http", self.host.encode(), self.port)
        self.slots = told.slots
        self.connections = told.connections
        self.in_flight = 0
        self.held = 0
        self.idle: deque[Connection] = deque()

    def has_room(self) -> bool:
        """Tells whether one more exchange may start."""
        if self.in_flight >= self.slots:
            return False
        return bool(self.idle) or self.held < self.connections

    async def take(self) -> Connection | outcomes.Refusal:
        """Takes an idle connection, or opens one.

        Returns:
            The connection, or why there is none; nothing was sent then.
        """
        found = self._take_idle()
        if found is not None:
            return found
        if self.held >= self.connections:
            return outcomes.Refusal(
                outcomes.RefusalReason.OVERLOADED,
                f"all {self.connections} connections to {self.told.name}"
                " are in use",
            )
        return await self._open()

    def _take_idle(self) -> Connection | None:
        oldest = trio.current_time() - self.limits.idle_seconds
        while self.idle:
            found = self.idle.pop()
            if found.is_reusable(oldest):
                return found
            self.discard(found)
        return None

    async def _open(self) -> Connection | outcomes.Refusal:
        self.held += 1
        try:
            with trio.fail_after(self.limits.connect_seconds):
                stream = await trio.open_tcp_stream(self.host, self.port)
        except (OSError, trio.TooSlowError) as error:
            self.held -= 1
            return outcomes.Refusal(
                outcomes.RefusalReason.CONNECT_FAILED,
                f"no connection to {self.told.name}: {error!r}",
            )
        except BaseException:
            self.held -= 1
            raise
        return Connection(backend_stream.BackendStream(stream), self.origin)

    def put_back(self, connection: Connection) -> None:
        """Keeps a connection whose exchange is over, if it is clean."""
        if connection.http.is_idle() and self.held <= self.connections:
            connection.idle_since = trio.current_time()
            self.idle.append(connection)
        else:
            self.discard(connection)

    def discard(self, connection: Connection) -> None:
        """Closes a connection."""
        self.held -= 1
        connection.stream.close()

    def discard_idle(self, oldest_idle: float) -> None:
        """Closes connections that were idle since before a time."""
        while self.idle and self.idle[0].idle_since < oldest_idle:
            self.discard(self.idle.popleft())
