"""Slots and connections that this instance may use at one backend server."""

import math
from collections import deque
from typing import NamedTuple

import httpcore
import trio

from turmerichall import outcomes
from turmerichall.backend_servers import announcement as announcements
from turmerichall.gateway import backend_stream
from turmerichall.gateway import health as healths
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import shares
from turmerichall.instances import share_lease as share_leases

__all__ = ["Connection", "Loan", "Pool", "Slot"]

# How long a silent connection counts as open after it was closed here, since
# the backend server may not have noticed the close.
ORPHANED_CONNECTION_SECONDS = 10.0


class Loan(NamedTuple):
    """One slot and one connection borrowed from another instance's share.

    Attributes:
        lender: Name of the other instance.
        number: Number that the lender gave the loan.
        expires_at: When the loan expires, trio time.
    """

    lender: str
    number: int
    expires_at: float


class Slot(NamedTuple):
    """Permission to run one request at a backend server.

    Attributes:
        pool: The backend server's pool.
        loan: The loan that the slot belongs to; None for this instance's own
            share.
        probe: Whether the request is the probe of an ejected server.
    """

    pool: "Pool"
    loan: Loan | None = None
    probe: bool = False


class Connection:
    """One connection to a backend server, used by one exchange at a time.

    Attributes:
        stream: The byte stream.
        http: The HTTP/1.1 protocol on the stream.
        idle_since: When the last exchange ended, trio time.
    """

    def __init__(
        self, stream: backend_stream.BackendStream, origin: httpcore.Origin
    ):
        self.stream = stream
        self.http = httpcore.AsyncHTTP11Connection(origin, stream)
        self.idle_since = 0.0

    def is_fully_read(self) -> bool:
        """Return whether the last response was read and no bytes follow it.

        Extra bytes, such as a response that was sent twice, would be read as
        the response to the next request.
        """
        # pylint: disable-next=protected-access
        unread, _ = self.http._h11_state.trailing_data
        return self.http.is_idle() and not unread

    def is_reusable(self, idle_cutoff: float) -> bool:
        """Return whether a new exchange may use the connection.

        Args:
            idle_cutoff: A connection that has been idle since before this trio
                time is not used again.
        """
        return (
            self.http.is_idle()
            and self.idle_since >= idle_cutoff
            and not self.stream.get_extra_info("is_readable")
        )


class Pool:
    """Slots and connections of one incarnation of a backend server.

    Attributes:
        announcement: The announcement that the pool was made from.
        share_lease: Lease needed to use more than the reserved part of a share.
        health: Error rate and latency of the server.
        host: Host in the server's address.
        port: Port in the server's address.
        slot_share: This instance's share of the slots.
        connection_share: This instance's share of the connections.
        share_revision: Revision of the shares when they were last updated here,
            as counted by `fleet.Fleet`; -1 before.
        in_flight: Number of slots of the own share in use.
        borrowed_in_flight: Number of borrowed slots in use.
        free_loans: Borrowed slots that are not in use.
        loan_last_used_at: When a borrowed slot was last released, trio time.
        lent_until: When each slot that is lent to another instance is back at
            the latest, trio time, by number of the loan.
        open_connections: Number of connections that are open or being opened.
        idle_connections: Idle connections, the most recently used last.
        orphaned_slots: Trio times until which slots of aborted exchanges count
            as in use, because the backend server may still run the requests.
        orphaned_connections: Trio times until which silent connections that
            were closed here count as open.
    """

    def __init__(
        self,
        announcement: announcements.Announcement,
        limits: limits_module.Limits,
        lease: share_leases.ShareLease = share_leases.PermanentShareLease(),
    ):
        self.announcement = announcement
        self.share_lease = lease
        self.limits = limits
        self.health = healths.Health(trio.current_time())
        self.host, _, port = announcement.address.rpartition(":")
        self.port = int(port)
        self.authority = announcement.address.encode()
        self.origin = httpcore.Origin(b"http", self.host.encode(), self.port)
        self.slot_share = shares.Share.fully_reserved(0)
        self.connection_share = shares.Share.fully_reserved(0)
        self.share_revision = -1
        self.in_flight = 0
        self.borrowed_in_flight = 0
        self.free_loans: list[Loan] = []
        self.loan_last_used_at = trio.current_time()
        self.lent_until: dict[int, float] = {}
        self.open_connections = 0
        self.idle_connections: deque[Connection] = deque()
        self.orphaned_slots: list[float] = []
        self.orphaned_connections: list[float] = []

    def score(self, now: float) -> float:
        """Return this instance's load on the server, weighted by its health.

        It is the number of requests in flight, plus one, divided by
        `health.Health.weight`.
        """
        requests = self.in_flight + self.borrowed_in_flight + 1
        return requests / self.health.weight(now)

    def free_own_slots(self, now: float, until: float | None = None) -> int:
        """Return how many slots of this instance's own share are free.

        Args:
            now: Current time, trio clock.
            until: Until when the slots are to be used, trio time; `now` if not
                given.

        Returns:
            The number; negative if more slots are in use than the share has.
        """
        if self.lent_until:
            self.lent_until = {
                number: expires_at
                for number, expires_at in self.lent_until.items()
                if expires_at > now
            }
        self.orphaned_slots = _unexpired(self.orphaned_slots, now)
        unavailable = (
            self.in_flight + len(self.lent_until) + len(self.orphaned_slots)
        )
        end = now if until is None else until
        return (
            self.slot_share.usable(
                self.announcement.zone, self.share_lease, end
            )
            - unavailable
        )

    def has_free_slot(self, deadline: float, now: float) -> bool:
        """Return whether a slot is free that may be used until the deadline.

        A share lease or a loan may expire before that.
        """
        if self.free_own_slots(now, deadline) > 0:
            return True
        return any(loan.expires_at >= deadline for loan in self.free_loans)

    def acquire_slot(self, deadline: float, now: float) -> Slot | None:
        """Acquire a slot usable until the deadline; None if none is free."""
        if self.free_own_slots(now, deadline) > 0:
            self.in_flight += 1
            return Slot(self)
        for loan in self.free_loans:
            if loan.expires_at >= deadline:
                self.free_loans.remove(loan)
                self.borrowed_in_flight += 1
                return Slot(self, loan)
        return None

    def release_slot(
        self, slot: Slot, running_until: float = -math.inf
    ) -> None:
        """Release a slot.

        Args:
            slot: The slot.
            running_until: Until when the backend server may still run the
                request, trio time; the slot counts as in use until then.
        """
        if slot.loan is not None:
            self.borrowed_in_flight -= 1
            if running_until == -math.inf:
                self.free_loans.append(slot.loan)
                self.loan_last_used_at = trio.current_time()
            return
        self.in_flight -= 1
        if running_until != -math.inf:
            self.orphaned_slots.append(running_until)

    def release_unused_slot(self, slot: Slot) -> None:
        """Release a slot whose request was not sent to the backend server."""
        if slot.probe:
            self.health.probing = False
        self.release_slot(slot)

    def max_connections(self) -> int:
        """Return how many connections this instance may have open now."""
        now = trio.current_time()
        own = self.connection_share.usable(
            self.announcement.zone, self.share_lease, now
        )
        borrowed = len(self.free_loans) + self.borrowed_in_flight
        return own + borrowed - len(self.lent_until)

    async def acquire_connection(self) -> Connection | outcomes.Refusal:
        """Take an idle connection or open a new one.

        Returns:
            The connection; or why there is none, in which case nothing was
            sent.
        """
        connection = self._pop_idle_connection()
        if connection is not None:
            return connection
        return await self.open_connection()

    def _pop_idle_connection(self) -> Connection | None:
        idle_cutoff = trio.current_time() - self.limits.idle_seconds
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if connection.is_reusable(idle_cutoff):
                return connection
            self.close_connection(connection)
        return None

    async def open_connection(self) -> Connection | outcomes.Refusal:
        """Open a connection; see `acquire_connection`."""
        now = trio.current_time()
        self.orphaned_connections = _unexpired(self.orphaned_connections, now)
        if (
            self.open_connections + len(self.orphaned_connections)
            >= self.max_connections()
        ):
            return outcomes.Refusal(
                outcomes.RefusalReason.OVERLOADED,
                f"all connections of this instance to {self.announcement.name}"
                " are in use",
                1.0,
            )
        self.open_connections += 1
        try:
            with trio.fail_after(self.limits.connect_seconds):
                stream = await trio.open_tcp_stream(self.host, self.port)
        except (OSError, trio.TooSlowError) as error:
            self.open_connections -= 1
            return outcomes.Refusal(
                outcomes.RefusalReason.CONNECT_FAILED,
                f"no connection to {self.announcement.name}: {error!r}",
                1.0,
            )
        except BaseException:
            self.open_connections -= 1
            raise
        return Connection(backend_stream.BackendStream(stream), self.origin)

    def return_connection(self, connection: Connection) -> None:
        """Keep the connection of a finished exchange for reuse, if possible."""
        if (
            connection.is_fully_read()
            and self.open_connections <= self.max_connections()
        ):
            connection.idle_since = trio.current_time()
            self.idle_connections.append(connection)
        else:
            self.close_connection(connection)

    def close_connection(
        self, connection: Connection, silent: bool = False
    ) -> None:
        """Close a connection.

        Args:
            connection: The connection.
            silent: Whether nothing arrives on the connection, so that the
                backend server may not notice the close.
        """
        self.open_connections -= 1
        connection.stream.close()
        if silent:
            until = trio.current_time() + ORPHANED_CONNECTION_SECONDS
            self.orphaned_connections.append(until)

    def close_idle_connections(self, idle_before: float) -> None:
        """Close connections idle since before `idle_before`, in trio time."""
        while (
            self.idle_connections
            and self.idle_connections[0].idle_since < idle_before
        ):
            self.close_connection(self.idle_connections.popleft())

    def close_excess_connections(self) -> None:
        """Close idle connections above the number that may be open now."""
        while (
            self.idle_connections
            and self.open_connections > self.max_connections()
        ):
            self.close_connection(self.idle_connections.popleft())


def _unexpired(expiries: list[float], now: float) -> list[float]:
    if not expiries:
        return expiries
    return [each for each in expiries if each > now]
