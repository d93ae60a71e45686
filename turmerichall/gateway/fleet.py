"""The pools of all backend servers, and the slot for each request."""

from collections.abc import Callable, Iterable, Sequence

import trio

from turmerichall import outcomes
from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import directory as directories
from turmerichall.gateway import health as healths
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import loans as lending
from turmerichall.gateway import pool as pools
from turmerichall.gateway import request as requests
from turmerichall.gateway import selection
from turmerichall.gateway import shares as sharing
from turmerichall.instances import share_lease

__all__ = ["Fleet"]

NO_SERVER_RETRY_SECONDS = 1.0
# An instance that has just started may not have heard of all servers yet.
DISCOVERY_SECONDS = 3.0
# A request that is not idempotent tries an ejected server only this much
# later than one that can be sent again if the server still fails.
PROBE_ONCE_AFTER_SECONDS = 5.0


class Fleet:
    """Backend servers as this instance uses them.

    Attributes:
        directory: What is known of backend servers.
        shares: This instance's parts of their limits.
        selector: Chooses among those with room.
        pools: Pool of each backend server by name.
        discovered_at: Until when requests wait for servers to be heard of.
        has_settled: Tells whether slots lent before a restart are back.
        note_ejection: Called with the name of an ejected server and for how
            many seconds.
        proof: Until when the parts are this instance's.
    """

    def __init__(
        self,
        directory: directories.Directory,
        shares: sharing.Shares,
        selector: selection.Selector,
        limits: limits_module.Limits,
        has_settled: Callable[[], bool],
        note_ejection: Callable[[str, float], None],
        proof: share_lease.ShareLease = share_lease.PermanentShareLease(),
    ):
        self.directory = directory
        self.shares = shares
        self.selector = selector
        self.limits = limits
        self.has_settled = has_settled
        self.note_ejection = note_ejection
        self.proof = proof
        self.pools: dict[str, pools.Pool] = {}
        self.discovered_at = trio.current_time() + DISCOVERY_SECONDS

    def choose(
        self, request: requests.Request, tried: frozenset[str]
    ) -> pools.Slot | outcomes.Refusal | None:
        """Chooses a backend server and takes a slot there.

        Args:
            request: The request.
            tried: Servers to avoid if others run the service.

        Returns:
            The slot; None if all suitable slots are filled, or no server may
            have been heard of yet; or a refusal if none runs the service.
        """
        now = trio.current_time()
        serving = self.serving(request.customer, request.service, now)
        if not serving and now < self.discovered_at:
            return None
        if not serving:
            return outcomes.Refusal(
                outcomes.RefusalReason.NO_BACKEND_SERVER,
                f"no backend server runs {request.service} of"
                f" {request.customer}",
                NO_SERVER_RETRY_SECONDS,
            )
        self._eject_worst(serving, now)
        roomy = _without(tried, serving, request.deadline, now)
        probed = _to_probe(roomy, request, now)
        if probed is not None:
            probed.health.probing = True
            return probed.take_slot(request.deadline, now)
        usable = [pool for pool in roomy if not pool.health.ejected]
        if not usable:
            return None
        chosen = self.selector.choose(usable, now)
        return chosen.take_slot(request.deadline, now)

    def _eject_worst(self, serving: list[pools.Pool], now: float) -> None:
        ejected = healths.eject_worst([pool.health for pool in serving], now)
        for pool in serving if ejected else ():
            if pool.health in ejected:
                seconds = pool.health.ejected_until - now
                self.note_ejection(pool.told.name, seconds)

    def serving(
        self, customer: str, service: str, now: float
    ) -> list[pools.Pool]:
        """Returns the pools of the servers that take new work of a service."""
        told = self.directory.find_servers(customer, service, now)
        return [self.pool(each) for each in told]

    def names_for(self, request: requests.Request) -> frozenset[str]:
        """Returns the names of the servers that may run a request."""
        serving = self.directory.find_servers(
            request.customer, request.service, trio.current_time()
        )
        return frozenset(told.name for told in serving)

    def in_flight_at(self, names: Iterable[str]) -> int:
        """Returns how many slots of this instance are filled at servers."""
        held = [self.pools[name] for name in names if name in self.pools]
        return sum(pool.in_flight + pool.borrowed_in_flight for pool in held)

    def pool(self, told: announcement.Announcement) -> pools.Pool:
        """Returns the pool of a backend server, with its current parts."""
        known = self.pools.get(told.name)
        if known is None or not _same_server(known.told, told):
            known = self._replace(known, told)
        self._refresh(known)
        return known

    def find(self, name: str, incarnation: int) -> pools.Pool | None:
        """Returns a pool by name; incarnation 0 stands for any."""
        known = self.pools.get(name)
        if known is None and name in self.directory.entries:
            known = self.pool(self.directory.entries[name].announcement)
        if known is None or incarnation not in (0, known.told.incarnation):
            return None
        self._refresh(known)
        return known

    def _replace(
        self, before: pools.Pool | None, told: announcement.Announcement
    ) -> pools.Pool:
        made = pools.Pool(told, self.limits, self.proof)
        if before is not None:
            before.discard_idle(float("inf"))
            made.lent = before.lent
        self.pools[told.name] = made
        return made

    def _share_revision(self) -> int:
        return self.shares.revision * 2 + int(self.has_settled())

    def _refresh(self, pool: pools.Pool) -> None:
        """Sets the parts of a pool anew if they may have changed."""
        if pool.share_revision != self._share_revision():
            self._set_parts(pool)

    def _set_parts(self, pool: pools.Pool) -> None:
        told = pool.told
        slots = self.shares.part(told.name, told.zone, told.slots)
        if not self.has_settled() and len(self.shares.members) > 1:
            slots = slots._replace(
                held=slots.held - lending.lendable(slots.held)
            )
        pool.slots = slots
        pool.connections = self.shares.part(
            told.name, told.zone, told.connections
        )
        pool.share_revision = self._share_revision()
        pool.trim()

    def sweep(self, now: float) -> None:
        """Closes connections beyond the part, idle too long or to leavers."""
        for name, pool in list(self.pools.items()):
            self._refresh(pool)
            pool.trim()
            if self.directory.takes_new_work(name, now):
                pool.discard_idle(now - self.limits.idle_seconds)
            else:
                pool.discard_idle(float("inf"))
            if name not in self.directory.entries and not pool.held:
                del self.pools[name]


def _same_server(
    one: announcement.Announcement, other: announcement.Announcement
) -> bool:
    return (one.incarnation, one.address, one.slots, one.connections) == (
        other.incarnation,
        other.address,
        other.slots,
        other.connections,
    )


def _without(
    tried: frozenset[str],
    serving: Sequence[pools.Pool],
    deadline: float,
    now: float,
) -> list[pools.Pool]:
    """Returns pools with room, those tried before only if all were tried."""
    fresh = [pool for pool in serving if pool.told.name not in tried]
    return [
        pool
        for pool in fresh or serving
        if pool.health.full_until <= now and pool.has_room(deadline, now)
    ]


def _to_probe(
    roomy: Iterable[pools.Pool], request: requests.Request, now: float
) -> pools.Pool | None:
    later = 0.0 if request.idempotent else PROBE_ONCE_AFTER_SECONDS
    for pool in roomy:
        if pool.health.may_probe(now - later):
            return pool
    return None
