"""Fan-out tree by which diskless instances receive committed entries."""

from collections.abc import Mapping, Sequence

__all__ = ["parents"]

# Maximum numbers of instances to which one instance sends committed entries:
# in other zones, and in its own zone.
MAX_CROSS_ZONE_STREAMS = 2
MAX_SAME_ZONE_STREAMS = 2
# The root of a zone serves one instance of its zone instead of two, since it
# may also serve the roots of other zones.
MAX_STREAMS = MAX_CROSS_ZONE_STREAMS + 1


def parents(
    replicas: Sequence[str], observers: Sequence[str], zones: Mapping[str, str]
) -> dict[str, str]:
    """Return the instance from which each diskless instance gets entries.

    One stream enters each zone without a replica and is relayed within it; a
    zone with replicas gets the entries from them.  This limits the
    traffic between zones.  No instance serves more than three streams.  The
    tree depends on the arguments alone, so that all instances with the same
    list compute the same tree.

    Args:
        replicas: Names of the replicas, at least one; they are the top of
            the tree.
        observers: Names of the diskless instances.
        zones: Zone of each instance, by name; an instance that is missing
            here is treated as a zone of its own.

    Examples:
        >>> zones = {"a": "z1", "b": "z1", "c": "z2", "d": "z2", "e": "z2"}
        >>> sorted(parents(["a"], ["b", "c", "d", "e"], zones).items())
        [('b', 'a'), ('c', 'a'), ('d', 'c'), ('e', 'd')]
    """
    zone_names: dict[str, list[str]] = {}
    for name in sorted(replicas):
        zone_names.setdefault(zones.get(name, name), []).append(name)
    replica_counts = {zone: len(names) for zone, names in zone_names.items()}
    for name in sorted(observers):
        zone_names.setdefault(zones.get(name, name), []).append(name)
    roots = [
        zone_names[zone][0]
        for zone in sorted(zone_names)
        if zone not in replica_counts
    ]
    upstreams = [*sorted(replicas), *roots]
    tree: dict[str, str] = {}
    for zone in sorted(zone_names):
        names = zone_names[zone]
        first = replica_counts.get(zone, 1)
        for number, name in enumerate(names[first:]):
            tree[name] = names[(number + 1) // MAX_SAME_ZONE_STREAMS]
    for number, root in enumerate(roots):
        tree[root] = upstreams[number // MAX_CROSS_ZONE_STREAMS]
    return tree
