"""Shows that no other instance took this one's parts over.

An instance that is taken for absent may be cut off and alive.  What the others
use of its parts in its place it must therefore give up by itself, without
hearing of it.  It uses them only for `SHARE_LEASE_SECONDS` after a moment at which it
was not taken for absent; the others wait for longer than that.

Either is proof of such a moment: the replicated state as of then, which a
quorum vouches for; or an answer of every other instance of its own zone that
it knows of no absence.  The second keeps a zone that is cut off as a whole at
its full parts, since only instances of that zone are given them.
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
    "RenewableShareLease",
    "TAKEOVER_DELAY_SECONDS",
    "SHARE_LEASE_SECONDS",
    "Network",
    "ShareLease",
    "PermanentShareLease",
]

SHARE_LEASE_SECONDS = 58.0
# A time span of this length has outlasted `SHARE_LEASE_SECONDS` on any clock.
TAKEOVER_DELAY_SECONDS = lease.ended_after_seconds(SHARE_LEASE_SECONDS)
PERIOD_SECONDS = 5.0
# How soon it asks again while there is no proof, such as after a start.
RETRY_SECONDS = 0.5
CALL_SECONDS = 2.0

ASK = "instances.confirm"
Handler = Callable[[str, bytes], Awaitable[bytes | None]]

_NO_ABSENCE = b"no absence"
_NOT_KNOWN = b"not known"


class ShareLease(Protocol):
    """Until when an instance may use its parts; `RenewableShareLease` is one."""

    def assigned_until(self, zone: str) -> float:
        """Returns until when its own parts of a zone's workers are its own.

        Args:
            zone: Availability zone of the workers.

        Returns:
            The end, trio time.
        """

    def taken_over_until(self) -> float:
        """Returns until when it may use parts of absent instances."""


class PermanentShareLease:
    """The proof of an instance that is never taken for absent."""

    def assigned_until(self, zone: str) -> float:
        """Returns that there is no end."""
        del zone
        return float("inf")

    def taken_over_until(self) -> float:
        """Returns that there is no end."""
        return float("inf")


class Network(Protocol):
    """Calls to the other instances; `peers.network.Network` is one."""

    def handle(self, kind: str, handler: Handler) -> None:
        """Registers the handler of a kind of message."""

    async def call(
        self, name: str, kind: str, body: bytes, timeout_seconds: float, /
    ) -> bytes | outcomes.Refusal:
        """Calls a handler on another instance."""


class Replica(Protocol):
    """The replicated log; `agreement.replica.Replica` is one."""

    async def barrier(
        self, timeout_seconds: float = 2.0
    ) -> outcomes.Refusal | None:
        """Waits until the state here holds all that was committed before."""


class RenewableShareLease:
    """Keeps the proof of one instance, and has it taken for present again.

    Attributes:
        name: Name of the instance.
        zone: Its availability zone.
        machine: The replicated state.
        replica: Vouches for the state.
        changes: Submits changes.
        network: Calls to the other instances.
        confirmed_at: When a quorum last vouched for the state, trio time.
        answered_at: When each other instance of the zone last knew of no
            absence, trio time.
        near_until: Until when the answers are proof, trio time.
        returning_since: Since when it is known to be returning, trio time.
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
        self.changes = submitter
        self.network = network
        self.confirmed_at = -float("inf")
        self.answered_at: dict[str, float] = {}
        self.near_until = -float("inf")
        self.returning_since = float("inf")
        self.log = logs.Log("instances")
        network.handle(ASK, self._answer)

    def assigned_until(self, zone: str) -> float:
        """See `ShareLease`."""
        by_quorum = self.confirmed_at + SHARE_LEASE_SECONDS
        if zone != self.zone:
            return by_quorum
        return max(by_quorum, self.near_until)

    def taken_over_until(self) -> float:
        """See `ShareLease`."""
        return self.confirmed_at + SHARE_LEASE_SECONDS

    def _neighbours(self) -> list[str]:
        """Returns the other instances of the zone that are listed."""
        return [
            name
            for name, entry in self.machine.instances.items()
            if entry.zone == self.zone and name != self.name
        ]

    def _note_answers(self) -> None:
        answered = [
            self.answered_at.get(name, -float("inf"))
            for name in self._neighbours()
        ]
        self.near_until = -float("inf")
        if self.name in self.machine.instances:
            # Without neighbours, nobody is given this zone's workers.
            at = min(answered, default=float("inf"))
            self.near_until = at + SHARE_LEASE_SECONDS

    async def run(self) -> None:
        """Keeps the proof for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._ask_quorum)
            while True:
                self._note_answers()
                for name in self._neighbours():
                    nursery.start_soon(self._ask, name)
                await _pause(self.near_until)

    async def _ask_quorum(self) -> None:
        while True:
            asked_at = trio.current_time()
            if await self.replica.barrier(CALL_SECONDS) is None:
                self.confirmed_at = asked_at
                await self._come_back()
            await _pause(self.confirmed_at + SHARE_LEASE_SECONDS)

    async def _come_back(self) -> None:
        """Says that this instance is there, if it is taken for absent."""
        now = trio.current_time()
        presence = self.machine.presence(self.name)
        if presence != presences.Presence.RETURNING:
            self.returning_since = float("inf")
        if presence == presences.Presence.ABSENT:
            self.log.warning("taken for absent, comes back")
            await self._set(presences.Presence.RETURNING)
        elif presence == presences.Presence.RETURNING:
            self.returning_since = min(self.returning_since, now)
            waited = now - self.returning_since
            if waited >= TAKEOVER_DELAY_SECONDS:
                await self._set(presences.Presence.PRESENT)

    async def _set(self, presence: presences.Presence) -> None:
        change = changes.SetPresence(self.name, presence, self.name)
        await self.changes.submit(change)

    async def _ask(self, neighbour: str) -> None:
        asked_at = trio.current_time()
        answer = await self.network.call(neighbour, ASK, b"", CALL_SECONDS)
        if answer == _NO_ABSENCE:
            self.answered_at[neighbour] = asked_at
            self._note_answers()

    async def _answer(self, sender: str, body: bytes) -> bytes:
        del body
        listed = sender in self.machine.instances
        present = presences.Presence.PRESENT
        if listed and self.machine.presence(sender) == present:
            return _NO_ABSENCE
        return _NOT_KNOWN


async def _pause(proven_until: float) -> None:
    """Waits until it is time to ask again."""
    proven = proven_until > trio.current_time()
    await trio.sleep(PERIOD_SECONDS if proven else RETRY_SECONDS)
