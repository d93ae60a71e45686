"""The tree in which instances without a disk pass committed entries on."""

from collections.abc import Mapping, Sequence

__all__ = ["parents"]

# Streams of one instance into other zones, and within its own.
MAX_CROSS_ZONE_STREAMS = 2
MAX_SAME_ZONE_STREAMS = 2
# The first of a zone has one stream in it, since it has others to send.
MAX_STREAMS = MAX_CROSS_ZONE_STREAMS + 1


def parents(
    replicas: Sequence[str], observers: Sequence[str], zones: Mapping[str, str]
) -> dict[str, str]:
    """Returns whom each instance without a disk follows.

    One stream enters each zone, and is passed on within it; no instance has
    more than three streams.  Who knows the same list makes the same tree.

    Args:
        replicas: Replicas to follow, at least one.
        observers: Instances without a disk.
        zones: The zone of each instance, as far as it is known.

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
