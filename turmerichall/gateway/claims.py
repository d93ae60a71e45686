"""Claims, which make a request run at most once over all entry instances.

Before a request that is not idempotent is sent to a backend server, a majority
of the replicas of its id must have granted a claim.  The replicas are three
entry instances chosen by a hash of the id, in different zones if possible.  Any
two majorities share a replica, and a replica grants only one claim of an id, so
at most one claim succeeds.
"""

import itertools
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import msgspec
import trio

from turmerichall import outcomes
from turmerichall.gateway import claim_replicas
from turmerichall.gateway import claim_store
from turmerichall.gateway import peer_calls
from turmerichall.gateway import request_id as request_ids

__all__ = ["Claim", "Claims", "Duplicate"]

CALL_TIMEOUT_SECONDS = 0.5
# How long after a change of the list of entry instances claims also need a
# majority of the replicas chosen from the previous list.
MEMBERSHIP_CHANGE_SECONDS = 20.0
RETRY_AFTER_SECONDS = claim_store.MAX_CLOCK_SKEW_SECONDS

CLAIM = "gateway.claim"
SETTLE = "gateway.settle"

_CLAIMED_EARLIER = frozenset(
    {
        claim_store.ClaimState.IN_PROGRESS,
        claim_store.ClaimState.RAN,
        claim_store.ClaimState.UNKNOWN,
    }
)


class Claim(NamedTuple):
    """A claim of a request id, as it is sent to the id's replicas.

    Attributes:
        request_id: The request id.
        token: Identifies this claim among all claims of the id.
        member_digests: Digests of the lists of entry instances that the
            replicas were chosen from.
    """

    request_id: str
    token: str
    member_digests: tuple[int, ...]


class Duplicate(NamedTuple):
    """A request whose id was claimed before.

    Attributes:
        state: Whether the earlier request is in progress, ran or has an unknown
            outcome.
    """

    state: claim_store.ClaimState


class Settlement(NamedTuple):
    """The outcome of a claimed request, as it is sent to the id's replicas.

    Attributes:
        request_id: The request id.
        token: Identifies the claim.
        state: The outcome; None if the request provably did not run.
    """

    request_id: str
    token: str
    state: claim_store.ClaimState | None


class Claims:
    """Claims made by one entry instance, and the store of those it granted.

    Attributes:
        name: Name of the instance.
        store: Claims that this instance has granted, made by any instance.
        members: Zone of each entry instance by name.
        previous_members: The list before the last change, as long as claims
            also need a majority of the replicas chosen from it; otherwise
            empty.
        previous_until: When `previous_members` is dropped, trio time.
        replicas_by_token: Names of the replicas of each claim that this
            instance made and has not settled, by token.
        pending_settlements: Settlements that are still to be sent, by name of
            the replica.
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
        self.store = claim_store.ClaimStore(wall_clock())
        self.members = dict(members)
        self.previous_members: dict[str, str] = {}
        self.previous_until = 0.0
        self.token_numbers = itertools.count()
        self.token_prefix = f"{name}.{wall_clock():.6f}"
        self.replicas_by_token: dict[str, set[str]] = {}
        self.pending_settlements: dict[str, list[Settlement]] = {}
        network.handle(CLAIM, self._handle_claim)
        network.handle(SETTLE, self._handle_settle)

    def update_members(self, members: Mapping[str, str], now: float) -> None:
        """Apply the current list of entry instances; called periodically."""
        if members and not self.members:
            self.members = dict(members)
        elif members != self.members:
            self.previous_members = self.members
            self.previous_until = now + MEMBERSHIP_CHANGE_SECONDS
            self.members = dict(members)
            self.store.complete_since = (
                self.wall_clock() + claim_store.MAX_CLOCK_SKEW_SECONDS
            )
        elif self.previous_members and now >= self.previous_until:
            self.previous_members = {}

    async def acquire(
        self, request_id: str
    ) -> Claim | Duplicate | outcomes.Refusal:
        """Claim a request id.

        Args:
            request_id: The request id.

        Returns:
            The claim, which must be settled; or why the request must not run.
        """
        groups = self._replica_groups(request_id)
        if isinstance(groups, outcomes.Refusal):
            return groups
        token = f"{self.token_prefix}.{next(self.token_numbers)}"
        names = {name for group in groups for name in group}
        self.replicas_by_token[token] = names
        claim = Claim(request_id, token, self.member_digests())
        votes: dict[str, claim_store.Vote] = {}
        granted = False
        try:
            await self._request_votes(
                self._nearest_majorities(groups), claim, votes
            )
            if not _has_majorities(groups, votes):
                await self._request_votes(names - set(votes), claim, votes)
            granted = _has_majorities(groups, votes)
        finally:
            if not granted:
                self.settle(claim, None)
        return claim if granted else _not_granted(votes)

    def settle(
        self, claim: Claim, state: claim_store.ClaimState | None
    ) -> None:
        """Report the outcome of a claimed request to the replicas.

        Args:
            claim: The claim.
            state: The outcome; None if the request provably did not run, which
                allows the caller to send it again.
        """
        settlement = Settlement(claim.request_id, claim.token, state)
        for name in self.replicas_by_token.pop(claim.token):
            if name == self.name:
                self._settle_locally(settlement)
            else:
                self.pending_settlements.setdefault(name, []).append(settlement)
        if state is None:
            self.flush()

    def flush(self) -> None:
        """Send all pending settlements."""
        for name, settlements in self.pending_settlements.items():
            body = msgspec.msgpack.encode(settlements)
            self.network.send(name, SETTLE, body)
        self.pending_settlements.clear()

    def _replica_groups(
        self, request_id: str
    ) -> list[list[str]] | outcomes.Refusal:
        parsed = request_ids.parse(request_id)
        if parsed is None:
            return outcomes.Refusal(
                outcomes.RefusalReason.MALFORMED,
                "the id of a request that is not idempotent must be a version 7"
                " UUID",
            )
        if not self.members:
            return outcomes.Refusal(
                outcomes.RefusalReason.NOT_PROVABLY_SAFE,
                f"{self.name} has not received the list of entry instances yet",
                RETRY_AFTER_SECONDS,
            )
        lists = (
            [self.members, self.previous_members]
            if self.previous_members
            else [self.members]
        )
        groups = [
            claim_replicas.choose_replicas(request_id, parsed.zone, each)
            for each in lists
        ]
        if not all(groups):
            return outcomes.Refusal(
                outcomes.RefusalReason.MALFORMED,
                f"no entry instance is in zone {parsed.zone}",
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

    async def _request_votes(
        self,
        names: Iterable[str],
        claim: Claim,
        votes: dict[str, claim_store.Vote],
    ) -> None:
        remote = [name for name in names if name != self.name]
        if self.name in names:
            votes[self.name] = self._vote(claim)
        if len(remote) == 1:
            await self._request_vote(remote[0], claim, votes)
        elif remote:
            async with trio.open_nursery() as nursery:
                for name in remote:
                    nursery.start_soon(self._request_vote, name, claim, votes)

    async def _request_vote(
        self, name: str, claim: Claim, votes: dict[str, claim_store.Vote]
    ) -> None:
        reply = await self.network.call(
            name, CLAIM, msgspec.msgpack.encode(claim), CALL_TIMEOUT_SECONDS
        )
        if isinstance(reply, outcomes.Refusal):
            detail = f"{name}: {reply.reason}"
            votes[name] = claim_store.Vote(
                claim_store.ClaimState.ABSTAINED, detail
            )
        else:
            votes[name] = msgspec.msgpack.decode(reply, type=claim_store.Vote)

    def _vote(self, claim: Claim) -> claim_store.Vote:
        if not set(claim.member_digests) & set(self.member_digests()):
            return claim_store.Vote(
                claim_store.ClaimState.ABSTAINED,
                f"{self.name} has a different list of entry instances",
            )
        return self.store.claim(
            claim.request_id, claim.token, self.wall_clock()
        )

    def member_digests(self) -> tuple[int, ...]:
        """Return the digest of each list of entry instances in force.

        These are the current list and, for some time after a change, the
        previous one.
        """
        lists = (
            (self.members, self.previous_members)
            if self.previous_members
            else (self.members,)
        )
        return tuple(claim_replicas.members_digest(each) for each in lists)

    async def _handle_claim(self, sender: str, body: bytes) -> bytes:
        del sender
        claim = msgspec.msgpack.decode(body, type=Claim)
        return msgspec.msgpack.encode(self._vote(claim))

    async def _handle_settle(self, sender: str, body: bytes) -> None:
        del sender
        for settlement in msgspec.msgpack.decode(body, type=list[Settlement]):
            self._settle_locally(settlement)

    def _settle_locally(self, settlement: Settlement) -> None:
        if settlement.state is None:
            self.store.release(settlement.request_id, settlement.token)
        else:
            self.store.settle(
                settlement.request_id, settlement.token, settlement.state
            )


def _has_majorities(
    groups: list[list[str]], votes: Mapping[str, claim_store.Vote]
) -> bool:
    for group in groups:
        granted = sum(
            name in votes
            and votes[name].state == claim_store.ClaimState.GRANTED
            for name in group
        )
        if granted * 2 <= len(group):
            return False
    return True


def _not_granted(
    votes: Mapping[str, claim_store.Vote],
) -> Duplicate | outcomes.Refusal:
    earlier = [
        vote.state for vote in votes.values() if vote.state in _CLAIMED_EARLIER
    ]
    if earlier:
        final = [
            state
            for state in earlier
            if state != claim_store.ClaimState.IN_PROGRESS
        ]
        return Duplicate(final[0] if final else earlier[0])
    details = sorted({vote.detail for vote in votes.values() if vote.detail})
    return outcomes.Refusal(
        outcomes.RefusalReason.NOT_PROVABLY_SAFE,
        "no majority of the id's replicas can rule out an earlier run: "
        + "; ".join(details),
        RETRY_AFTER_SECONDS,
    )
