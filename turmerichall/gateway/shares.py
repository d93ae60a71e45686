"""Which part of a worker's slots and connections an entry instance may use.

The part is a function of the worker and of the list of entry instances alone.
Every instance that has the same list computes the same parts, so that their
sum is the limit of the worker without any message between them, and stays so
while they can't reach each other.

Of the part of an instance that fell silent the others use what it keeps to
itself only as long as it can show that nobody took it over.
"""

from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from turmerichall.backend_servers import announcement
from turmerichall.instances import presence as presences
from turmerichall.instances import share_lease

__all__ = ["Part", "Shares", "gains", "kept", "parts"]

# This part of a worker's limit is for entry instances of other zones.
OTHER_ZONES_DIVISOR = 4
# An instance that gains by a change of the list waits this long, so that the
# ones that lose have heard of the change and their loans have lapsed.
GAIN_AFTER_SECONDS = 20.0
# An instance keeps one in this many of its units even if it may be taken for
# absent, so that it goes on serving while it reaches nobody.
KEPT_DIVISOR = 4

Away = Mapping[str, presences.Presence]


class Part(NamedTuple):
    """What an instance may use of a limit.

    Attributes:
        kept: What nobody else is ever given.
        held: The whole of its own part, `kept` included.
        gained: What it has of the parts of absent instances.
    """

    kept: int
    held: int
    gained: int = 0

    @classmethod
    def whole(cls, units: int) -> "Part":
        """Returns a part that nobody else is ever given."""
        return cls(units, units)

    def usable(
        self, zone: str, proof: share_lease.ShareLease, until: float
    ) -> int:
        """Returns how much may be used until a time.

        Args:
            zone: Availability zone of the worker.
            proof: Until when the parts are this instance's.
            until: End of the use, trio time.
        """
        if until > proof.assigned_until(zone):
            return self.kept
        if until > proof.taken_over_until():
            return self.held
        return self.held + self.gained


def parts(
    worker: str, zone: str, limit: int, members: Mapping[str, str]
) -> dict[str, int]:
    """Divides a limit of a worker among the entry instances.

    Three quarters go to the instances of the worker's zone, the rest to those
    of other zones.  Units that don't divide evenly go to instances in an order
    given by a hash of worker and instance, which differs from worker to worker.

    Args:
        worker: Name of the worker.
        zone: Its availability zone.
        limit: What there is to divide.
        members: Zone of each entry instance by name.

    Returns:
        The part of each instance; the sum is the limit, or 0 without instances.

    Examples:
        >>> members = {"a": "z1", "b": "z1", "c": "z2"}
        >>> found = parts("w1", "z1", 8, members)
        >>> found["a"], found["b"], found["c"]
        (3, 3, 2)
    """
    near = [name for name in members if members[name] == zone]
    far = [name for name in members if members[name] != zone]
    if not near or not far:
        return _deal(worker, limit, near or far)
    for_far = limit // OTHER_ZONES_DIVISOR
    dealt = _deal(worker, limit - for_far, near)
    dealt.update(_deal(worker, for_far, far))
    return dealt


def _deal(worker: str, limit: int, names: list[str]) -> dict[str, int]:
    if not names:
        return {}
    order = sorted(names, key=lambda name: (_rank(worker, name), name))
    each, left = divmod(limit, len(order))
    return {
        name: each + (1 if place < left else 0)
        for place, name in enumerate(order)
    }


def _rank(worker: str, instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{worker}\0{instance}".encode())


def kept(part: int) -> int:
    """Returns how much of a part its instance keeps whatever happens.

    Examples:
        >>> kept(3), kept(24), kept(0)
        (1, 6, 0)
    """
    return -(-part // KEPT_DIVISOR)


def gains(
    worker: str, zone: str, limit: int, members: Mapping[str, str], away: Away
) -> dict[str, int]:
    """Divides what absent instances leave of a limit of a worker.

    It goes to instances that are present, and stays among those of the
    worker's zone and among those of other zones.

    Args:
        worker: Name of the worker.
        zone: Its availability zone.
        limit: The limit.
        members: Zone of each entry instance by name.
        away: Those that are not present.

    Returns:
        What each present instance gains.

    Examples:
        >>> members = {"a": "z1", "b": "z1", "c": "z2"}
        >>> gains("w1", "z1", 8, members, {"a": presences.Presence.ABSENT})
        {'b': 2, 'c': 0}
    """
    found = parts(worker, zone, limit, members)
    gained: dict[str, int] = {}
    for near in (True, False):
        group = [name for name in members if (members[name] == zone) == near]
        left = sum(
            found.get(name, 0) - kept(found.get(name, 0))
            for name in group
            if away.get(name) == presences.Presence.ABSENT
        )
        present = [name for name in group if name not in away]
        gained |= _deal(worker, left, present)
    return gained


class _View(NamedTuple):
    """The list of instances and those that are away, at one time."""

    members: Mapping[str, str]
    away: Away


class Shares:
    """The parts of one entry instance.

    Attributes:
        name: Name of the instance.
        members: The current list of entry instances.
        before: The list before, while gains by the list wait.
        gains_at: When those come into force, trio time.
        away: Instances that are not present.
        superseded: Earlier views, and until when what they gave to others
            is not used here, trio time.
        revision: Grows whenever a part may have changed.
    """

    def __init__(self, name: str, members: Mapping[str, str]):
        self.name = name
        self.members = dict(members)
        self.before = dict(members)
        self.gains_at = 0.0
        self.away: Away = {}
        self.superseded: list[tuple[float, _View]] = []
        self.revision = 0

    def update(
        self, members: Mapping[str, str], now: float, away: Away | None = None
    ) -> None:
        """Takes the list in; call it often.

        Args:
            members: Zone of each entry instance by name.
            now: Current time, trio clock.
            away: Those of them that are not present; None for none.
        """
        self._supersede(_View(members, away or {}), now)
        self._follow_list(members, now)

    def _supersede(self, view: _View, now: float) -> None:
        held = [each for each in self.superseded if each[0] > now]
        current = _View(self.members, self.away)
        if view != current:
            until = now + share_lease.TAKEOVER_DELAY_SECONDS
            held.append((until, current))
        if held != self.superseded:
            self.superseded = held
            self.revision += 1
        self.away = dict(view.away)

    def _follow_list(self, members: Mapping[str, str], now: float) -> None:
        if members != self.members:
            if not self.members and self.name in members:
                self._adopt(members)
                return
            if now >= self.gains_at:
                self.before = self.members
            self.members = dict(members)
            self.gains_at = now + GAIN_AFTER_SECONDS
            self.revision += 1
        elif self.before is not self.members and now >= self.gains_at:
            self.before = self.members
            self.revision += 1

    def _adopt(self, members: Mapping[str, str]) -> None:
        """Takes the first list after a start, which has this instance.

        Its part was its own before the start, and nobody else's since.
        """
        self.members = dict(members)
        self.before = self.members
        self.revision += 1

    def part(self, worker: str, zone: str, limit: int) -> Part:
        """Returns what this instance may use of a worker's limit now."""
        own = self._by_list(worker, zone, limit)
        keeps = kept(own)
        if self.name in self.away:
            return Part(keeps, keeps)
        return Part(keeps, own, self._gain(worker, zone, limit))

    def _by_list(self, worker: str, zone: str, limit: int) -> int:
        """Returns the smaller of the parts by two lists while gains wait."""
        after = parts(worker, zone, limit, self.members).get(self.name, 0)
        if self.before is self.members:
            return after
        earlier = parts(worker, zone, limit, self.before).get(self.name, 0)
        return min(earlier, after)

    def _gain(self, worker: str, zone: str, limit: int) -> int:
        views = [_View(self.members, self.away)]
        views += [view for _, view in self.superseded]
        return min(
            gains(worker, zone, limit, *view).get(self.name, 0)
            for view in views
        )

    def others(self, told: announcement.Announcement) -> list[str]:
        """Returns the other instances with a part of a worker's slots.

        Args:
            told: Announcement of the worker.

        Returns:
            Names, the largest part first.
        """
        found = parts(told.name, told.zone, told.slots, self.members)
        names = [name for name in found if name != self.name and found[name]]
        return sorted(names, key=lambda name: -found[name])
