"""Whom an instance without a disk follows, and whom it avoids for a while."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import trio
import xxhash

from turmerichall.agreement import fan_out
from turmerichall.agreement import member
from turmerichall.agreement import replica_state

__all__ = ["Sources"]

FIRST_AVOID_SECONDS = 5.0
MAX_AVOID_SECONDS = 80.0


class _Avoided(NamedTuple):
    """A source that failed.

    Attributes:
        until: When it may be tried again, trio time.
        seconds: For how long it was avoided.
    """

    until: float
    seconds: float


class _Known(NamedTuple):
    """What the order of the sources follows from."""

    zones: dict[str, str]
    members: member.Members
    leader: str
    addresses: frozenset[str]


class Sources:
    """Orders the instances that may be followed.

    First comes the parent in the tree, then the replicas, the leader last of
    them, then all others.

    Attributes:
        state: State of the replica.
        zones: Gives the zone of each listed instance.
        avoided: Sources that failed, by name.
    """

    def __init__(
        self,
        state: replica_state.ReplicaState,
        zones: Callable[[], Mapping[str, str]],
    ):
        self.state = state
        self.zones = zones
        self.avoided: dict[str, _Avoided] = {}
        self._known: _Known | None = None
        self._ordered: list[str] = []

    def choose(self) -> str:
        """Returns whom to follow now, or an empty string."""
        ordered = self.ordered()
        now = trio.current_time()
        for name in ordered:
            if self._until(name) <= now:
                return name
        return min(ordered, key=self._until, default="")

    def _until(self, name: str) -> float:
        avoided = self.avoided.get(name)
        return avoided.until if avoided else -float("inf")

    def failed(self, name: str) -> None:
        """Avoids a source, each time for longer."""
        before = self.avoided.get(name)
        seconds = FIRST_AVOID_SECONDS
        if before:
            seconds = min(2 * before.seconds, MAX_AVOID_SECONDS)
        until = trio.current_time() + seconds
        self.avoided[name] = _Avoided(until, seconds)

    def worked(self, name: str) -> None:
        """Forgets that a source failed, once it is good for long enough."""
        avoided = self.avoided.get(name)
        now = trio.current_time()
        if avoided and now > avoided.until + avoided.seconds:
            del self.avoided[name]

    def ordered(self) -> list[str]:
        """Returns all sources, the best first."""
        state = self.state
        known = _Known(
            dict(self.zones()),
            state.members,
            state.leader,
            frozenset(state.network.addresses),
        )
        if known != self._known:
            self._known = known
            self._ordered = self._order(known)
        return self._ordered

    def _order(self, known: _Known) -> list[str]:
        replicas = {each.name for each in known.members}
        followers = replicas - {known.leader}
        tree: dict[str, str] = {}
        if replicas:
            observers = sorted(set(known.zones) - replicas)
            tree = fan_out.parents(
                sorted(followers or replicas), observers, known.zones
            )
        parent = tree.get(self.state.name, "")
        ordered = [parent, *self._spread(followers), known.leader]
        ordered += self._spread(known.addresses)
        wanted = dict.fromkeys(ordered)
        return [name for name in wanted if name not in ("", self.state.name)]

    def _spread(self, names: Iterable[str]) -> list[str]:
        """Orders names, for each instance in another way."""
        own = self.state.name
        return sorted(names, key=lambda name: _weight(f"{own} {name}"))


def _weight(text: str) -> int:
    return int(xxhash.xxh32_intdigest(text.encode()))
