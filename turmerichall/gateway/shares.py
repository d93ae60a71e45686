"""Division of a worker's slots and connections among the entry instances.

The division depends only on the worker and the list of entry instances.
Instances with the same list compute the same shares, so the shares add up to
the worker's limit without any coordination, also while the instances can't
reach each other.

When an instance is considered absent, the others take over its share except for
a reserved rest.  The absent instance may still be running; it uses more than
the reserved rest only while its share lease is valid, and the others wait until
that has expired.
"""

from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from turmerichall.backend_servers import announcement as announcements
from turmerichall.instances import presence as presences
from turmerichall.instances import share_lease as share_leases

__all__ = ["Share", "Shares", "divide", "divide_absent", "reserved"]

# One in this many of a worker's units (slots or connections) goes to entry
# instances of other zones.
OTHER_ZONES_DIVISOR = 4
# Delay between a change of the list of entry instances and the resulting growth
# of shares, so that the instances whose shares shrink have received the list
# and the loans of their slots have expired.
INCREASE_DELAY_SECONDS = 20.0
# One in this many units of a share stays reserved for its instance even if the
# others may consider it absent, so that it can serve while it is isolated.
RESERVED_DIVISOR = 4

Presences = Mapping[str, presences.Presence]


class Share(NamedTuple):
    """Units (slots or connections) of a worker that an instance may use.

    Attributes:
        kept: Reserved units, which no other instance ever takes over.
        held: All units of the instance's own share, `kept` included.
        taken_over: Units taken over from absent instances.
    """

    kept: int
    held: int
    taken_over: int = 0

    @classmethod
    def fully_reserved(cls, units: int) -> "Share":
        """Return a share whose units no other instance ever takes over."""
        return cls(units, units)

    def usable(
        self, zone: str, share_lease: share_leases.ShareLease, until: float
    ) -> int:
        """Return how many units may be used until a time.

        Args:
            zone: Availability zone of the worker.
            share_lease: Lease needed to use more than the reserved part of a
                share.
            until: End of the use, trio time.
        """
        if until > share_lease.assigned_until(zone):
            return self.kept
        if until > share_lease.taken_over_until():
            return self.held
        return self.held + self.taken_over


def divide(
    worker: str, zone: str, limit: int, members: Mapping[str, str]
) -> dict[str, int]:
    """Divide a limit of a worker among the entry instances.

    Three quarters go to the instances of the worker's zone, the rest to those
    of other zones.  A remainder goes to instances in the order of a hash of
    worker and instance, which differs from worker to worker.

    Args:
        worker: Name of the worker.
        zone: Its availability zone.
        limit: Number of units to divide.
        members: Zone of each entry instance by name.

    Returns:
        The units of each instance; their sum is the limit, or 0 without
        instances.

    Examples:
        >>> members = {"a": "z1", "b": "z1", "c": "z2"}
        >>> shares = divide("w1", "z1", 8, members)
        >>> shares["a"], shares["b"], shares["c"]
        (3, 3, 2)
    """
    near = [name for name in members if members[name] == zone]
    far = [name for name in members if members[name] != zone]
    if not near or not far:
        return _divide_evenly(worker, limit, near or far)
    far_units = limit // OTHER_ZONES_DIVISOR
    shares = _divide_evenly(worker, limit - far_units, near)
    shares.update(_divide_evenly(worker, far_units, far))
    return shares


def _divide_evenly(worker: str, limit: int, names: list[str]) -> dict[str, int]:
    if not names:
        return {}
    order = sorted(names, key=lambda name: (_hash(worker, name), name))
    units, remainder = divmod(limit, len(order))
    return {
        name: units + (1 if place < remainder else 0)
        for place, name in enumerate(order)
    }


def _hash(worker: str, instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{worker}\0{instance}".encode())


def reserved(share: int) -> int:
    """Return how much of a share is reserved for its instance.

    Examples:
        >>> reserved(3), reserved(24), reserved(0)
        (1, 6, 0)
    """
    return -(-share // RESERVED_DIVISOR)


def divide_absent(
    worker: str,
    zone: str,
    limit: int,
    members: Mapping[str, str],
    absent_or_returning: Presences,
) -> dict[str, int]:
    """Divide the unreserved units of absent instances among the others.

    They go to instances that are present: those of absent instances of the
    worker's zone to instances of that zone, those of other zones to instances
    of other zones.

    Args:
        worker: Name of the worker.
        zone: Its availability zone.
        limit: Number of units of the worker.
        members: Zone of each entry instance by name.
        absent_or_returning: Presence of the instances that are not present.

    Returns:
        The units that each present instance takes over.

    Examples:
        >>> members = {"a": "z1", "b": "z1", "c": "z2"}
        >>> absent = {"a": presences.Presence.ABSENT}
        >>> divide_absent("w1", "z1", 8, members, absent)
        {'b': 2, 'c': 0}
    """
    shares = divide(worker, zone, limit, members)
    taken_over: dict[str, int] = {}
    for near in (True, False):
        group = [name for name in members if (members[name] == zone) == near]
        freed = sum(
            shares.get(name, 0) - reserved(shares.get(name, 0))
            for name in group
            if absent_or_returning.get(name) == presences.Presence.ABSENT
        )
        present = [name for name in group if name not in absent_or_returning]
        taken_over |= _divide_evenly(worker, freed, present)
    return taken_over


class _MembershipView(NamedTuple):
    """A list of entry instances, with the presence of those not present."""

    members: Mapping[str, str]
    absent_or_returning: Presences


class Shares:
    """The shares of one entry instance.

    Attributes:
        name: Name of the instance.
        members: Zone of each entry instance by name, from the current list.
        previous_members: The list before the last change while increases by the
            change are delayed; otherwise `members`.
        increases_at: When delayed increases take effect, trio time.
        absent_or_returning: Presence of the instances that are not present, by
            name.
        superseded: Earlier members and presences, each with the trio time until
            which other instances may still use units that they took over
            according to them.
        revision: Increases whenever a share may have changed.
    """

    def __init__(self, name: str, members: Mapping[str, str]):
        self.name = name
        self.members = dict(members)
        self.previous_members = dict(members)
        self.increases_at = 0.0
        self.absent_or_returning: Presences = {}
        self.superseded: list[tuple[float, _MembershipView]] = []
        self.revision = 0

    def update(
        self,
        members: Mapping[str, str],
        now: float,
        absent_or_returning: Presences | None = None,
    ) -> None:
        """Apply the current list of entry instances; called periodically.

        Args:
            members: Zone of each entry instance by name.
            now: Current time, trio clock.
            absent_or_returning: Presence of the instances that are not present;
                None if all are present.
        """
        self._update_views(
            _MembershipView(members, absent_or_returning or {}), now
        )
        self._update_members(members, now)

    def _update_views(self, view: _MembershipView, now: float) -> None:
        unexpired = [each for each in self.superseded if each[0] > now]
        old_view = _MembershipView(self.members, self.absent_or_returning)
        if view != old_view:
            until = now + share_leases.TAKEOVER_DELAY_SECONDS
            unexpired.append((until, old_view))
        if unexpired != self.superseded:
            self.superseded = unexpired
            self.revision += 1
        self.absent_or_returning = dict(view.absent_or_returning)

    def _update_members(self, members: Mapping[str, str], now: float) -> None:
        if members != self.members:
            if not self.members and self.name in members:
                self._adopt_first_list(members)
                return
            if now >= self.increases_at:
                self.previous_members = self.members
            self.members = dict(members)
            self.increases_at = now + INCREASE_DELAY_SECONDS
            self.revision += 1
        elif (
            self.previous_members is not self.members
            and now >= self.increases_at
        ):
            self.previous_members = self.members
            self.revision += 1

    def _adopt_first_list(self, members: Mapping[str, str]) -> None:
        """Apply the first list after a start if it contains this instance.

        Its share was its own before the restart and nobody has used it since,
        so there is no delay.
        """
        self.members = dict(members)
        self.previous_members = self.members
        self.revision += 1

    def share(self, worker: str, zone: str, limit: int) -> Share:
        """Return this instance's current share of a worker's limit."""
        held = self._held_units(worker, zone, limit)
        reserved_units = reserved(held)
        if self.name in self.absent_or_returning:
            return Share(reserved_units, reserved_units)
        return Share(
            reserved_units,
            held,
            self._taken_over_units(worker, zone, limit),
        )

    def _held_units(self, worker: str, zone: str, limit: int) -> int:
        """Return the units of this instance's own share.

        While increases are delayed, it is the smaller of the shares by the
        previous and the current list.
        """
        current = divide(worker, zone, limit, self.members).get(self.name, 0)
        if self.previous_members is self.members:
            return current
        previous = divide(worker, zone, limit, self.previous_members).get(
            self.name, 0
        )
        return min(previous, current)

    def _taken_over_units(self, worker: str, zone: str, limit: int) -> int:
        views = [_MembershipView(self.members, self.absent_or_returning)]
        views += [view for _, view in self.superseded]
        return min(
            divide_absent(worker, zone, limit, *view).get(self.name, 0)
            for view in views
        )

    def other_holders(
        self, announcement: announcements.Announcement
    ) -> list[str]:
        """Return the other instances that have a share of a worker's slots.

        Args:
            announcement: Announcement of the worker.

        Returns:
            Names, the largest share first.
        """
        shares = divide(
            announcement.name,
            announcement.zone,
            announcement.slots,
            self.members,
        )
        names = [name for name in shares if name != self.name and shares[name]]
        return sorted(names, key=lambda name: -shares[name])
