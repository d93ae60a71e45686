"""Claims that let a request id run at most once over all entry instances.

Before a request that is not idempotent leaves for a backend server, a majority
of its keepers must have granted the claim of its id.  The keepers are three
entry instances that a hash of the id chooses, of different zones if possible;
two majorities share a keeper, and a keeper grants one claim of an id.
"""

import itertools
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import msgspec
import trio

from turmerichall import outcomes
from turmerichall.gateway import claim_store as keepers
from turmerichall.gateway import claim_replicas as keeper_groups
from turmerichall.gateway import peer_calls
from turmerichall.gateway import request_id

__all__ = ["Claim", "Claims", "Duplicate"]

CALL_SECONDS = 0.5
# After a change of the list of entry instances, claims need a majority by the
# list before as well, for this long.
HANDOVER_SECONDS = 20.0
RETRY_AFTER_SECONDS = keepers.SKEW_SECONDS

CLAIM = "gateway.claim"
SETTLE = "gateway.settle"

_SETTLED_BY_ANOTHER = frozenset(
    {keepers.State.IN_PROGRESS, keepers.State.RAN, keepers.State.UNKNOWN}
)


class Claim(NamedTuple):
    """A claim of a request id.

    Attributes:
        text: The request id.
        token: Names this claim among all of the id.
        lists: Digests of the lists of entry instances that it goes by.
    """

    text: str
    token: str
    lists: tuple[int, ...]


class Duplicate(NamedTuple):
    """A request whose id was claimed before.

    Attributes:
        state: What is known of the earlier request.
    """

    state: keepers.State


class Settlement(NamedTuple):
    """What came of a claimed request.

    Attributes:
        text: The request id.
        token: The claim.
        state: The outcome; None if it was provably not run.
    """

    text: str
    token: str
    state: keepers.State | None


class Claims:
    """Makes claims of one entry instance, and keeps those of others.

    Attributes:
        name: Name of the instance.
        keeper: Its memory.
        members: Zone of each entry instance by name.
        before: The list before, while it is handed over; otherwise empty.
        before_until: When the handover ends, trio time.
        keepers_of: Keepers of each claim that is not settled, by its token.
        unsettled: Settlements to send, by keeper.
    """

    def __init__(
        self,
        name: str,
        network: peer_calls.Network,
        members: Mapping[str, str],
        wall_clock: Callable[[], float],
    ):
        self.name = name
        self.network = network
        self.wall_clock = wall_clock
        self.keeper = keepers.Keeper(wall_clock())
        self.members = dict(members)
        self.before: dict[str, str] = {}
        self.before_until = 0.0
        self.tokens = itertools.count()
        self.start = f"{name}.{wall_clock():.6f}"
        self.keepers_of: dict[str, set[str]] = {}
        self.unsettled: dict[str, list[Settlement]] = {}
        network.handle(CLAIM, self._handle_claim)
        network.handle(SETTLE, self._handle_settle)

    def update(self, members: Mapping[str, str], now: float) -> None:
        """Takes the list of entry instances in; call it often."""
        if members and not self.members:
            self.members = dict(members)
        elif members != self.members:
            self.before = self.members
            self.before_until = now + HANDOVER_SECONDS
            self.members = dict(members)
            self.keeper.vouches_from = self.wall_clock() + keepers.SKEW_SECONDS
        elif self.before and now >= self.before_until:
            self.before = {}

    async def make(self, text: str) -> Claim | Duplicate | outcomes.Refusal:
        """Claims a request id.

        Args:
            text: The request id.

        Returns:
            The claim, which must be settled; or why the request must not run.
        """
        groups = self._groups(text)
        if isinstance(groups, outcomes.Refusal):
            return groups
        token = f"{self.start}.{next(self.tokens)}"
        names = {name for group in groups for name in group}
        self.keepers_of[token] = names
        claim = Claim(text, token, self.digests())
        grants: dict[str, keepers.Grant] = {}
        granted = False
        try:
            await self._ask(self._nearest_majorities(groups), claim, grants)
            if not _granted(groups, grants):
                await self._ask(names - set(grants), claim, grants)
            granted = _granted(groups, grants)
        finally:
            if not granted:
                self.settle(claim, None)
        return claim if granted else _refusal(grants)

    def settle(self, claim: Claim, state: keepers.State | None) -> None:
        """Tells the keepers what came of a claimed request.

        Args:
            claim: The claim.
            state: The outcome; None if the request was provably not run, which
                lets the caller send it again.
        """
        settlement = Settlement(claim.text, claim.token, state)
        for name in self.keepers_of.pop(claim.token):
            if name == self.name:
                self._settle_here(settlement)
            else:
                self.unsettled.setdefault(name, []).append(settlement)
        if state is None:
            self.flush()

    def flush(self) -> None:
        """Sends the settlements that were gathered."""
        for name, settlements in self.unsettled.items():
            body = msgspec.msgpack.encode(settlements)
            self.network.send(name, SETTLE, body)
        self.unsettled.clear()

    def _groups(self, text: str) -> list[list[str]] | outcomes.Refusal:
        read = request_id.parse(text)
        if read is None:
            return outcomes.Refusal(
                outcomes.RefusalReason.MALFORMED,
                "the id of a request that is not idempotent must be a UUID of"
                " version 7",
            )
        if not self.members:
            return outcomes.Refusal(
                outcomes.RefusalReason.NOT_PROVABLY_SAFE,
                f"{self.name} does not know the entry instances yet",
                RETRY_AFTER_SECONDS,
            )
        lists = [self.members, self.before] if self.before else [self.members]
        groups = [
            keeper_groups.choose_keepers(text, read.zone, each)
            for each in lists
        ]
        if not all(groups):
            return outcomes.Refusal(
                outcomes.RefusalReason.MALFORMED,
                f"no entry instance is in zone {read.zone}",
            )
        return groups

    def _nearest_majorities(self, groups: list[list[str]]) -> set[str]:
        zone = self.members.get(self.name, "")
        chosen: set[str] = set()
        for group in groups:
            nearest = sorted(
                group,
                key=lambda name: (
                    name != self.name,
                    self.members.get(name) != zone,
                ),
            )
            chosen.update(nearest[: len(group) // 2 + 1])
        return chosen

    async def _ask(
        self,
        names: Iterable[str],
        claim: Claim,
        grants: dict[str, keepers.Grant],
    ) -> None:
        remote = [name for name in names if name != self.name]
        if self.name in names:
            grants[self.name] = self._grant(claim)
        if len(remote) == 1:
            await self._ask_one(remote[0], claim, grants)
        elif remote:
            async with trio.open_nursery() as nursery:
                for name in remote:
                    nursery.start_soon(self._ask_one, name, claim, grants)

    async def _ask_one(
        self, name: str, claim: Claim, grants: dict[str, keepers.Grant]
    ) -> None:
        answer = await self.network.call(
            name, CLAIM, msgspec.msgpack.encode(claim), CALL_SECONDS
        )
        if isinstance(answer, outcomes.Refusal):
            detail = f"{name}: {answer.reason}"
            grants[name] = keepers.Grant(keepers.State.ABSTAINED, detail)
        else:
            grants[name] = msgspec.msgpack.decode(answer, type=keepers.Grant)

    def _grant(self, claim: Claim) -> keepers.Grant:
        if not set(claim.lists) & set(self.digests()):
            return keepers.Grant(
                keepers.State.ABSTAINED,
                f"{self.name} has another list of entry instances",
            )
        return self.keeper.claim(claim.text, claim.token, self.wall_clock())

    def digests(self) -> tuple[int, ...]:
        """Returns digests of the lists of entry instances in force."""
        lists = (self.members, self.before) if self.before else (self.members,)
        return tuple(keeper_groups.digest(each) for each in lists)

    async def _handle_claim(self, sender: str, body: bytes) -> bytes:
        del sender
        claim = msgspec.msgpack.decode(body, type=Claim)
        return msgspec.msgpack.encode(self._grant(claim))

    async def _handle_settle(self, sender: str, body: bytes) -> None:
        del sender
        for settlement in msgspec.msgpack.decode(body, type=list[Settlement]):
            self._settle_here(settlement)

    def _settle_here(self, settled: Settlement) -> None:
        if settled.state is None:
            self.keeper.release(settled.text, settled.token)
        else:
            self.keeper.settle(settled.text, settled.token, settled.state)


def _granted(
    groups: list[list[str]], grants: Mapping[str, keepers.Grant]
) -> bool:
    for group in groups:
        granted = sum(
            name in grants and grants[name].state == keepers.State.GRANTED
            for name in group
        )
        if granted * 2 <= len(group):
            return False
    return True


def _refusal(
    grants: Mapping[str, keepers.Grant],
) -> Duplicate | outcomes.Refusal:
    known = [
        grant.state
        for grant in grants.values()
        if grant.state in _SETTLED_BY_ANOTHER
    ]
    if known:
        settled = [
            state for state in known if state != keepers.State.IN_PROGRESS
        ]
        return Duplicate(settled[0] if settled else known[0])
    details = sorted(
        {grant.detail for grant in grants.values() if grant.detail}
    )
    return outcomes.Refusal(
        outcomes.RefusalReason.NOT_PROVABLY_SAFE,
        "no majority of the id's keepers can vouch that it was not run: "
        + "; ".join(details),
        RETRY_AFTER_SECONDS,
    )
