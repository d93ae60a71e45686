"""The backend servers that an entry instance sends requests to."""

from collections.abc import Callable, Collection, Iterable, Sequence

import trio

from turmerichall import outcomes
from turmerichall.backend_servers import announcement as announcements
from turmerichall.backend_servers import directory as directories
from turmerichall.gateway import health as healths
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import loans as lending
from turmerichall.gateway import pool as pools
from turmerichall.gateway import request as requests
from turmerichall.gateway import selection
from turmerichall.gateway import shares as sharing
from turmerichall.instances import share_lease as share_leases

__all__ = ["Fleet"]

NO_SERVER_RETRY_SECONDS = 1.0
# For this long after an instance starts, requests wait instead of being refused
# if it knows no server of their service, since it may not know all servers yet.
DISCOVERY_SECONDS = 3.0
# Additional time, compared with an idempotent request, before one that is not
# idempotent may probe an ejected server, since it can't be retried if the
# server still fails.
NON_IDEMPOTENT_PROBE_DELAY_SECONDS = 5.0


class Fleet:
    """Backend servers as one entry instance uses them.

    Attributes:
        directory: Announcements of the backend servers.
        shares: This instance's shares of the servers' limits.
        selector: Chooses among servers with a free slot.
        pools: Pool of each backend server by name.
        discovery_ends_at: Trio time until which a request waits if no known
            server runs its service.
        old_loans_expired: Returns whether all loans that this instance granted
            before a restart have expired.
        on_ejection: Called with the name of an ejected server and for how many
            seconds it is ejected.
        share_lease: Lease needed to use more than the reserved part of a share.
        evacuated_zones: Returns the names of the zones that operators have
            evacuated.
    """

    def __init__(
        self,
        directory: directories.Directory,
        shares: sharing.Shares,
        selector: selection.Selector,
        limits: limits_module.Limits,
        old_loans_expired: Callable[[], bool],
        on_ejection: Callable[[str, float], None],
        lease: share_leases.ShareLease = share_leases.PermanentShareLease(),
        evacuated_zones: Callable[[], Collection[str]] = frozenset,
    ):
        self.directory = directory
        self.shares = shares
        self.selector = selector
        self.limits = limits
        self.old_loans_expired = old_loans_expired
        self.on_ejection = on_ejection
        self.share_lease = lease
        self.evacuated_zones = evacuated_zones
        self.pools: dict[str, pools.Pool] = {}
        self.discovery_ends_at = trio.current_time() + DISCOVERY_SECONDS

    def acquire_slot(
        self, request: requests.Request, tried: frozenset[str]
    ) -> pools.Slot | outcomes.Refusal | None:
        """Choose a backend server and acquire a slot on it.

        Args:
            request: The request.
            tried: Servers to avoid if others run the service.

        Returns:
            The slot; None if all suitable slots are in use or the servers may
            not be known yet; or a refusal if no server runs the service.
        """
        now = trio.current_time()
        serving = self.pools_serving(request.customer, request.service, now)
        if not serving and now < self.discovery_ends_at:
            return None
        if not serving:
            return outcomes.Refusal(
                outcomes.RefusalReason.NO_BACKEND_SERVER,
                f"no backend server runs {request.service} of"
                f" {request.customer}",
                NO_SERVER_RETRY_SECONDS,
            )
        self._eject_worst(serving, now)
        available = _with_free_slot(tried, serving, request.deadline, now)
        probe_target = _pool_to_probe(available, request, now)
        if probe_target is not None:
            slot = probe_target.acquire_slot(request.deadline, now)
            if slot is None:
                return None
            probe_target.health.probing = True
            return slot._replace(probe=True)
        usable = [pool for pool in available if not pool.health.ejected]
        if not usable:
            return None
        chosen = self.selector.choose(usable, now)
        return chosen.acquire_slot(request.deadline, now)

    def _eject_worst(self, serving: list[pools.Pool], now: float) -> None:
        ejected = healths.eject_worst([pool.health for pool in serving], now)
        for pool in serving if ejected else ():
            if pool.health in ejected:
                seconds = pool.health.ejected_until - now
                self.on_ejection(pool.announcement.name, seconds)

    def pools_serving(
        self, customer: str, service: str, now: float
    ) -> list[pools.Pool]:
        """Return the pools of the servers that may run a service's requests."""
        found = self._find_servers(customer, service, now)
        return [self.get_pool(each) for each in found]

    def _find_servers(
        self, customer: str, service: str, now: float
    ) -> list[announcements.Announcement]:
        """Return the servers that accept new work of a service.

        Servers of evacuated zones are left out while another zone has one, so
        that a service is not interrupted where it runs only in such a zone.
        """
        found = self.directory.find_servers(customer, service, now)
        evacuated = self.evacuated_zones()
        if not evacuated:
            return found
        return [each for each in found if each.zone not in evacuated] or found

    def eligible_servers(self, request: requests.Request) -> frozenset[str]:
        """Return the names of the servers that may run a request."""
        serving = self._find_servers(
            request.customer, request.service, trio.current_time()
        )
        return frozenset(announcement.name for announcement in serving)

    def in_flight_on(self, names: Iterable[str]) -> int:
        """Return how many requests this instance has in flight on servers.

        Args:
            names: Names of the servers.
        """
        opened = [self.pools[name] for name in names if name in self.pools]
        return sum(pool.in_flight + pool.borrowed_in_flight for pool in opened)

    def get_pool(self, announcement: announcements.Announcement) -> pools.Pool:
        """Return the pool of a backend server, with its current shares."""
        pool = self.pools.get(announcement.name)
        if pool is None or not _same_server(pool.announcement, announcement):
            pool = self._replace_pool(pool, announcement)
        self._refresh_shares(pool)
        return pool

    def find_pool(self, name: str, incarnation: int) -> pools.Pool | None:
        """Return the pool of an incarnation of a backend server.

        Args:
            name: Name of the server.
            incarnation: Its incarnation; 0 for any.

        Returns:
            The pool; None if the server or that incarnation is not known.
        """
        pool = self.pools.get(name)
        if pool is None and name in self.directory.entries:
            pool = self.get_pool(self.directory.entries[name].announcement)
        if pool is None or incarnation not in (
            0,
            pool.announcement.incarnation,
        ):
            return None
        self._refresh_shares(pool)
        return pool

    def _replace_pool(
        self,
        replaced: pools.Pool | None,
        announcement: announcements.Announcement,
    ) -> pools.Pool:
        pool = pools.Pool(announcement, self.limits, self.share_lease)
        if replaced is not None:
            replaced.close_idle_connections(float("inf"))
            pool.lent_until = replaced.lent_until
        self.pools[announcement.name] = pool
        return pool

    def _share_revision(self) -> int:
        return self.shares.revision * 2 + int(self.old_loans_expired())

    def _refresh_shares(self, pool: pools.Pool) -> None:
        """Update the shares of a pool if they may have changed."""
        if pool.share_revision != self._share_revision():
            self._update_shares(pool)

    def _update_shares(self, pool: pools.Pool) -> None:
        announcement = pool.announcement
        slot_share = self.shares.share(
            announcement.name, announcement.zone, announcement.slots
        )
        if not self.old_loans_expired() and len(self.shares.members) > 1:
            slot_share = slot_share._replace(
                held=slot_share.held - lending.lendable(slot_share.held)
            )
        pool.slot_share = slot_share
        pool.connection_share = self.shares.share(
            announcement.name, announcement.zone, announcement.connections
        )
        pool.share_revision = self._share_revision()
        pool.close_excess_connections()

    def close_unneeded_connections(self, now: float) -> None:
        """Close connections that exceed the share or have been idle too long.

        Idle connections to servers that take no new work are closed at once.
        """
        for name, pool in list(self.pools.items()):
            self._refresh_shares(pool)
            pool.close_excess_connections()
            if self.directory.takes_new_work(name, now):
                pool.close_idle_connections(now - self.limits.idle_seconds)
            else:
                pool.close_idle_connections(float("inf"))
            if name not in self.directory.entries and not pool.open_connections:
                del self.pools[name]


def _same_server(
    one: announcements.Announcement, other: announcements.Announcement
) -> bool:
    return (one.incarnation, one.address, one.slots, one.connections) == (
        other.incarnation,
        other.address,
        other.slots,
        other.connections,
    )


def _with_free_slot(
    tried: frozenset[str],
    serving: Sequence[pools.Pool],
    deadline: float,
    now: float,
) -> list[pools.Pool]:
    """Return the pools with a free slot that may be used until the deadline.

    Servers that have just refused a request count as having none.  Servers
    already tried are left out unless all were tried.
    """
    untried = [pool for pool in serving if pool.announcement.name not in tried]
    return [
        pool
        for pool in untried or serving
        if pool.health.full_until <= now and pool.has_free_slot(deadline, now)
    ]


def _pool_to_probe(
    available: Iterable[pools.Pool], request: requests.Request, now: float
) -> pools.Pool | None:
    delay = 0.0 if request.idempotent else NON_IDEMPOTENT_PROBE_DELAY_SECONDS
    for pool in available:
        if pool.health.may_probe(now - delay):
            return pool
    return None
