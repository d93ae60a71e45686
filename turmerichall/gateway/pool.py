"""Connections and slots that this instance uses at one backend server."""

import math
from collections import deque
from typing import NamedTuple

import httpcore
import trio

from turmerichall import outcomes
from turmerichall.backend_servers import announcement
from turmerichall.gateway import backend_stream
from turmerichall.gateway import health as healths
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import shares
from turmerichall.instances import share_lease

__all__ = ["Connection", "Loan", "Pool", "Slot"]

# How long a connection that fell silent is counted after it was closed here,
# since the backend server may not have heard of it.
SILENT_HOLD_SECONDS = 10.0


class Loan(NamedTuple):
    """One slot and one connection of another instance's part.

    Attributes:
        lender: Name of the other instance.
        number: The lender's number of the loan.
        until: When it lapses, trio time.
    """

    lender: str
    number: int
    until: float


class Slot(NamedTuple):
    """The right to run one request at a backend server.

    Attributes:
        pool: The backend server's pool.
        loan: The loan that it rests on; None for the own part.
    """

    pool: "Pool"
    loan: Loan | None = None


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

    def is_clean(self) -> bool:
        """Tells whether the last answer was read to its end, and no more.

        Bytes after it, such as an answer sent twice, would be taken for the
        answer to the next request.
        """
        # pylint: disable-next=protected-access
        unread, _ = self.http._h11_state.trailing_data
        return self.http.is_idle() and not unread

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
        proof: Until when the parts are this instance's.
        health: What was learnt about the server.
        host: Host of its address.
        port: Port of its address.
        slots: This instance's part of the slots.
        connections: This instance's part of the connections.
        share_revision: Revision of the shares that the parts are from.
        in_flight: Own slots filled.
        borrowed_in_flight: Borrowed slots filled.
        loans: Borrowed slots that are free.
        loan_used_at: When a borrowed slot was last freed, trio time.
        lent: When each lent slot is back at the latest, trio time.
        held: Connections open or being opened.
        idle: Idle connections, the last used at the right.
        held_slots: Until when slots of silent exchanges count, trio time.
        held_connections: The same for their connections.
    """

    def __init__(
        self,
        told: announcement.Announcement,
        limits: limits_module.Limits,
        proof: share_lease.ShareLease = share_lease.PermanentShareLease(),
    ):
        self.told = told
        self.proof = proof
        self.limits = limits
        self.health = healths.Health(trio.current_time())
        self.host, _, port = told.address.rpartition(":")
        self.port = int(port)
        self.authority = told.address.encode()
        self.origin = httpcore.Origin(b"http", self.host.encode(), self.port)
        self.slots = shares.Part.whole(0)
        self.connections = shares.Part.whole(0)
        self.share_revision = -1
        self.in_flight = 0
        self.borrowed_in_flight = 0
        self.loans: list[Loan] = []
        self.loan_used_at = trio.current_time()
        self.lent: dict[int, float] = {}
        self.held = 0
        self.idle: deque[Connection] = deque()
        self.held_slots: list[float] = []
        self.held_connections: list[float] = []

    def score(self, now: float) -> float:
        """Returns the load per weight, with one more request."""
        load = self.in_flight + self.borrowed_in_flight + 1
        return load / self.health.weight(now)

    def own_free(self, now: float, until: float | None = None) -> int:
        """Returns how many slots of the own part may be filled.

        Args:
            now: Current time, trio clock.
            until: When they are free again, trio time; now if not given.

        Returns:
            The number; it may be negative.
        """
        if self.lent:
            self.lent = {
                number: until
                for number, until in self.lent.items()
                if until > now
            }
        self.held_slots = _still_held(self.held_slots, now)
        taken = self.in_flight + len(self.lent) + len(self.held_slots)
        end = now if until is None else until
        return self.slots.usable(self.told.zone, self.proof, end) - taken

    def has_room(self, deadline: float, now: float) -> bool:
        """Tells whether a request with this deadline may start now."""
        if self.own_free(now, deadline) > 0:
            return True
        return any(loan.until >= deadline for loan in self.loans)

    def take_slot(self, deadline: float, now: float) -> Slot | None:
        """Takes a slot that lasts until the deadline, or None."""
        if self.own_free(now, deadline) > 0:
            self.in_flight += 1
            return Slot(self)
        for loan in self.loans:
            if loan.until >= deadline:
                self.loans.remove(loan)
                self.borrowed_in_flight += 1
                return Slot(self, loan)
        return None

    def release(self, slot: Slot, held_until: float = -math.inf) -> None:
        """Frees a slot.

        Args:
            slot: The slot.
            held_until: Until when the backend server may still be running the
                request, trio time; the slot counts as filled until then.
        """
        if slot.loan is not None:
            self.borrowed_in_flight -= 1
            if held_until == -math.inf:
                self.loans.append(slot.loan)
                self.loan_used_at = trio.current_time()
            return
        self.in_flight -= 1
        if held_until != -math.inf:
            self.held_slots.append(held_until)

    def most_connections(self) -> int:
        """Returns how many connections this instance may hold now."""
        now = trio.current_time()
        own = self.connections.usable(self.told.zone, self.proof, now)
        borrowed = len(self.loans) + self.borrowed_in_flight
        return own + borrowed - len(self.lent)

    async def take(self) -> Connection | outcomes.Refusal:
        """Takes an idle connection, or opens one.

        Returns:
            The connection, or why there is none; nothing was sent then.
        """
        found = self._take_idle()
        if found is not None:
            return found
        return await self.open()

    def _take_idle(self) -> Connection | None:
        oldest = trio.current_time() - self.limits.idle_seconds
        while self.idle:
            found = self.idle.pop()
            if found.is_reusable(oldest):
                return found
            self.discard(found)
        return None

    async def open(self) -> Connection | outcomes.Refusal:
        """Opens a connection; see `take`."""
        now = trio.current_time()
        self.held_connections = _still_held(self.held_connections, now)
        if self.held + len(self.held_connections) >= self.most_connections():
            return outcomes.Refusal(
                outcomes.RefusalReason.OVERLOADED,
                f"this instance's connections to {self.told.name} are in use",
                1.0,
            )
        self.held += 1
        try:
            with trio.fail_after(self.limits.connect_seconds):
                stream = await trio.open_tcp_stream(self.host, self.port)
        except (OSError, trio.TooSlowError) as error:
            self.held -= 1
            return outcomes.Refusal(
                outcomes.RefusalReason.CONNECT_FAILED,
                f"no connection to {self.told.name}: {error!r}",
                1.0,
            )
        except BaseException:
            self.held -= 1
            raise
        return Connection(backend_stream.BackendStream(stream), self.origin)

    def put_back(self, connection: Connection) -> None:
        """Keeps a connection whose exchange is over, if it is clean."""
        if connection.is_clean() and self.held <= self.most_connections():
            connection.idle_since = trio.current_time()
            self.idle.append(connection)
        else:
            self.discard(connection)

    def discard(self, connection: Connection, silent: bool = False) -> None:
        """Closes a connection.

        Args:
            connection: The connection.
            silent: Whether nothing arrives on it, so that the backend server
                may not hear of its end.
        """
        self.held -= 1
        connection.stream.close()
        if silent:
            until = trio.current_time() + SILENT_HOLD_SECONDS
            self.held_connections.append(until)

    def discard_idle(self, idle_before: float) -> None:
        """Closes connections that were idle since before a time."""
        while self.idle and self.idle[0].idle_since < idle_before:
            self.discard(self.idle.popleft())

    def trim(self) -> None:
        """Closes idle connections above what may be held now."""
        while self.idle and self.held > self.most_connections():
            self.discard(self.idle.popleft())


def _still_held(held: list[float], now: float) -> list[float]:
    if not held:
        return held
    return [until for until in held if until > now]
