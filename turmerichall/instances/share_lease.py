"""Share leases: how long an instance may use its shares of workers' limits.

An instance that is marked as absent may be alive and merely partitioned from
the others, which then take over most of its shares.  It must stop using these
on its own, without being notified.  Therefore it uses them only for
`SHARE_LEASE_SECONDS` after a time at which it was provably not marked as
absent; the others wait for longer than that before they take over.

Two things prove that it was not marked as absent at some time: the replicated
state of that time, confirmed by a quorum; or answers from all other instances
of its own zone that they don't know it as absent.  The second lets a zone that
is partitioned as a whole keep its full shares of its own workers, since only
instances of that zone can take these over.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from turmerichall import outcomes
from turmerichall.instances import presence as presences
from turmerichall.leases import lease
from turmerichall.state import change as changes
from turmerichall.state import proposer
from turmerichall.telemetry import logs

__all__ = [
    "Network",
    "PermanentShareLease",
    "RenewableShareLease",
    "SHARE_LEASE_SECONDS",
    "ShareLease",
    "TAKEOVER_DELAY_SECONDS",
]

SHARE_LEASE_SECONDS = 58.0
# After this time on one instance's clock, `SHARE_LEASE_SECONDS` have passed on
# the clock of any other, in spite of drift.
TAKEOVER_DELAY_SECONDS = lease.ended_after_seconds(SHARE_LEASE_SECONDS)
RENEWAL_PERIOD_SECONDS = 5.0
# Period between two attempts to renew a lease that has expired or was never
# valid, such as after a start.
RETRY_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 2.0

CONFIRM = "instances.confirm"
Handler = Callable[[str, bytes], Awaitable[bytes | None]]

_NO_ABSENCE = b"no absence"
_UNKNOWN = b"not known"


class ShareLease(Protocol):
    """Time limit on an instance's use of its shares of the workers' limits.

    It is implemented by `PermanentShareLease` and `RenewableShareLease`.
    """

    def assigned_until(self, zone: str) -> float:
        """Return until when the instance may use the shares assigned to it.

        Args:
            zone: Availability zone of the workers.

        Returns:
            The end, trio time.
        """

    def taken_over_until(self) -> float:
        """Return until when the instance may use shares of absent instances.

        These are the shares that it has taken over from them.

        Returns:
            The end, trio time.
        """


class PermanentShareLease:
    """Share lease of an instance that is never marked as absent."""

    def assigned_until(self, zone: str) -> float:
        """Return infinity: the lease never expires."""
        del zone
        return float("inf")

    def taken_over_until(self) -> float:
        """Return infinity: the lease never expires."""
        return float("inf")


class Network(Protocol):
    """Calls to the other instances, such as `peers.network.Network`."""

    def handle(self, kind: str, handler: Handler) -> None:
        """Register the handler for a kind of message."""

    async def call(
        self, name: str, kind: str, body: bytes, timeout_seconds: float, /
    ) -> bytes | outcomes.Refusal:
        """Call a handler of another instance and return its answer."""


class Replica(Protocol):
    """Access to the replicated log, such as `agreement.replica.Replica`."""

    async def barrier(
        self, timeout_seconds: float = 2.0
    ) -> outcomes.Refusal | None:
        """Wait until every change committed before the call is applied here.

        Returns:
            None, or why the wait failed.
        """


class RenewableShareLease:
    """Share lease of an instance, renewed by a quorum and by its zone.

    After the instance was marked as absent, this also submits the changes that
    make it present again.

    Attributes:
        name: Name of the instance.
        zone: Its availability zone.
        machine: The replicated state.
        replica: Confirms, with a quorum, that the state here is current.
        submitter: Submits changes to the replicated log.
        network: Calls to the other instances.
        quorum_confirmed_at: When a quorum last confirmed that the state here
            was current, trio time.
        peer_confirmed_at: When each other instance of the zone last confirmed
            that it does not know this one as absent, by name, trio time.
        zone_confirmed_until: Until when the confirmations by the zone's other
            instances make the lease valid, trio time.
        returning_since: When this instance first saw that it is marked as
            returning, trio time; infinity if it is not.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        machine: presences.Instances,
        replica: Replica,
        submitter: proposer.Submitter,
        network: Network,
    ):
        self.name = name
        self.zone = zone
        self.machine = machine
        self.replica = replica
        self.submitter = submitter
        self.network = network
        self.quorum_confirmed_at = -float("inf")
        self.peer_confirmed_at: dict[str, float] = {}
        self.zone_confirmed_until = -float("inf")
        self.returning_since = float("inf")
        self.log = logs.Log("instances")
        network.handle(CONFIRM, self._answer)

    def assigned_until(self, zone: str) -> float:
        """See `ShareLease`."""
        by_quorum = self.quorum_confirmed_at + SHARE_LEASE_SECONDS
        if zone != self.zone:
            return by_quorum
        return max(by_quorum, self.zone_confirmed_until)

    def taken_over_until(self) -> float:
        """See `ShareLease`."""
        return self.quorum_confirmed_at + SHARE_LEASE_SECONDS

    def _zone_peers(self) -> list[str]:
        """Return the names of the zone's other registered instances."""
        return [
            name
            for name, entry in self.machine.instances.items()
            if entry.zone == self.zone and name != self.name
        ]

    def _update_zone_confirmation(self) -> None:
        confirmed_at = [
            self.peer_confirmed_at.get(name, -float("inf"))
            for name in self._zone_peers()
        ]
        self.zone_confirmed_until = -float("inf")
        if self.name in self.machine.instances:
            # Without other instances in the zone nobody can take the shares
            # over, and the lease does not end.
            oldest_confirmation = min(confirmed_at, default=float("inf"))
            self.zone_confirmed_until = (
                oldest_confirmation + SHARE_LEASE_SECONDS
            )

    async def run(self) -> None:
        """Renew the lease periodically, by the quorum and by the zone."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._ask_quorum)
            while True:
                self._update_zone_confirmation()
                for name in self._zone_peers():
                    nursery.start_soon(self._ask_peer, name)
                await _wait_for_renewal(self.zone_confirmed_until)

    async def _ask_quorum(self) -> None:
        while True:
            asked_at = trio.current_time()
            if await self.replica.barrier(CALL_TIMEOUT_SECONDS) is None:
                self.quorum_confirmed_at = asked_at
                await self._return_to_present()
            await _wait_for_renewal(
                self.quorum_confirmed_at + SHARE_LEASE_SECONDS
            )

    async def _return_to_present(self) -> None:
        """Submit the next change toward being present again, if one is due.

        An absent instance becomes returning, and present after it has been
        returning for `TAKEOVER_DELAY_SECONDS`, when the others have stopped
        using its shares.
        """
        now = trio.current_time()
        presence = self.machine.presence(self.name)
        if presence != presences.Presence.RETURNING:
            self.returning_since = float("inf")
        if presence == presences.Presence.ABSENT:
            self.log.warning("taken for absent, comes back")
            await self._set_presence(presences.Presence.RETURNING)
        elif presence == presences.Presence.RETURNING:
            self.returning_since = min(self.returning_since, now)
            waited = now - self.returning_since
            if waited >= TAKEOVER_DELAY_SECONDS:
                await self._set_presence(presences.Presence.PRESENT)

    async def _set_presence(self, presence: presences.Presence) -> None:
        change = changes.SetPresence(self.name, presence, self.name)
        await self.submitter.submit(change)

    async def _ask_peer(self, peer: str) -> None:
        asked_at = trio.current_time()
        answer = await self.network.call(
            peer, CONFIRM, b"", CALL_TIMEOUT_SECONDS
        )
        if answer == _NO_ABSENCE:
            self.peer_confirmed_at[peer] = asked_at
            self._update_zone_confirmation()

    async def _answer(self, sender: str, body: bytes) -> bytes:
        del body
        listed = sender in self.machine.instances
        present = presences.Presence.PRESENT
        if listed and self.machine.presence(sender) == present:
            return _NO_ABSENCE
        return _UNKNOWN


async def _wait_for_renewal(confirmed_until: float) -> None:
    """Wait until the next attempt to renew the lease is due.

    Args:
        confirmed_until: When the lease ends unless it is renewed, trio time.
    """
    confirmed = confirmed_until > trio.current_time()
    await trio.sleep(RENEWAL_PERIOD_SECONDS if confirmed else RETRY_SECONDS)
