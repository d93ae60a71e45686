"""Choice of the source of committed entries, with back-off after failures."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import trio
import xxhash

from turmerichall.agreement import fan_out
from turmerichall.agreement import member
from turmerichall.agreement import replica_state

__all__ = ["Sources"]

INITIAL_BACKOFF_SECONDS = 5.0
MAX_BACKOFF_SECONDS = 80.0


class _Backoff(NamedTuple):
    """Back-off from a source that failed.

    Attributes:
        until: When the source may be tried again, trio time.
        seconds: Length of the back-off, in seconds.
    """

    until: float
    seconds: float


class _Topology(NamedTuple):
    """The inputs that determine the order of the sources."""

    zones: dict[str, str]
    members: member.Members
    leader: str
    addresses: frozenset[str]


class Sources:
    """Instances from which a diskless instance may receive entries.

    They are ordered by preference: the parent in the fan-out tree, then the
    replicas with the leader last, then all other instances.

    Attributes:
        state: State of the replica.
        zones: Returns the zone of each registered instance, by name.
        backoffs: Back-offs from sources that failed, by name.
    """

    def __init__(
        self,
        state: replica_state.ReplicaState,
        zones: Callable[[], Mapping[str, str]],
    ):
        self.state = state
        self.zones = zones
        self.backoffs: dict[str, _Backoff] = {}
        self._topology: _Topology | None = None
        self._ordered: list[str] = []

    def choose(self) -> str:
        """Return the preferred source that is not in back-off.

        Returns:
            Its name; if all are in back-off, the one whose back-off ends
            first; empty if there is no source.
        """
        ordered = self.ordered()
        now = trio.current_time()
        for name in ordered:
            if self._available_at(name) <= now:
                return name
        return min(ordered, key=self._available_at, default="")

    def _available_at(self, name: str) -> float:
        backoff = self.backoffs.get(name)
        return backoff.until if backoff else -float("inf")

    def record_failure(self, name: str) -> None:
        """Back off from a source.

        Each back-off from it lasts twice as long as the one before, up to
        `MAX_BACKOFF_SECONDS`.
        """
        before = self.backoffs.get(name)
        seconds = INITIAL_BACKOFF_SECONDS
        if before:
            seconds = min(2 * before.seconds, MAX_BACKOFF_SECONDS)
        until = trio.current_time() + seconds
        self.backoffs[name] = _Backoff(until, seconds)

    def record_success(self, name: str) -> None:
        """Reset the back-off of a source that works reliably again.

        It counts as reliable once its last back-off ended longer ago than that
        back-off lasted.
        """
        backoff = self.backoffs.get(name)
        now = trio.current_time()
        if backoff and now > backoff.until + backoff.seconds:
            del self.backoffs[name]

    def ordered(self) -> list[str]:
        """Return the names of all sources in order of preference."""
        state = self.state
        topology = _Topology(
            dict(self.zones()),
            state.members,
            state.leader,
            frozenset(state.network.addresses),
        )
        if topology != self._topology:
            self._topology = topology
            self._ordered = self._order(topology)
        return self._ordered

    def _order(self, topology: _Topology) -> list[str]:
        replicas = {each.name for each in topology.members}
        followers = replicas - {topology.leader}
        tree: dict[str, str] = {}
        if replicas:
            observers = sorted(set(topology.zones) - replicas)
            tree = fan_out.parents(
                sorted(followers or replicas), observers, topology.zones
            )
        parent = tree.get(self.state.name, "")
        ordered = [parent, *self._shuffled(followers), topology.leader]
        ordered += self._shuffled(topology.addresses)
        unique = dict.fromkeys(ordered)
        return [name for name in unique if name not in ("", self.state.name)]

    def _shuffled(self, names: Iterable[str]) -> list[str]:
        """Return names in an order that differs between instances."""
        own = self.state.name
        return sorted(names, key=lambda name: _hash(f"{own} {name}"))


def _hash(text: str) -> int:
    return int(xxhash.xxh32_intdigest(text.encode()))
