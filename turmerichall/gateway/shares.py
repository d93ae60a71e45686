"""Which part of a worker's slots and connections an entry instance may use.

The part is a function of the worker and of the list of entry instances alone.
Every instance that has the same list computes the same parts, so that their
sum is the limit of the worker without any message between them, and stays so
while they can't reach each other.
"""

from collections.abc import Mapping

import xxhash

from turmerichall.backend_servers import announcement

__all__ = ["Shares", "parts"]

# This part of a worker's limit is for entry instances of other zones.
OTHER_ZONES_DIVISOR = 4
# An instance that gains by a change of the list waits this long, so that the
# ones that lose have heard of the change and their loans have lapsed.
GAIN_AFTER_SECONDS = 20.0


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


class Shares:
    """The parts of one entry instance.

    Attributes:
        name: Name of the instance.
        members: The current list of entry instances.
        before: The list before, while gains wait.
        gains_at: When gains come into force, trio time.
        revision: Grows whenever a part may have changed.
    """

    def __init__(self, name: str, members: Mapping[str, str]):
        self.name = name
        self.members = dict(members)
        self.before = dict(members)
        self.gains_at = 0.0
        self.revision = 0

    def update(self, members: Mapping[str, str], now: float) -> None:
        """Takes the list in; call it often.

        Args:
            members: Zone of each entry instance by name.
            now: Current time, trio clock.
        """
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

    def part(self, worker: str, zone: str, limit: int) -> int:
        """Returns what this instance may use of a worker's limit now.

        While gains wait it is the smaller of the parts by the two lists.
        """
        after = parts(worker, zone, limit, self.members).get(self.name, 0)
        if self.before is self.members:
            return after
        earlier = parts(worker, zone, limit, self.before).get(self.name, 0)
        return min(earlier, after)

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
