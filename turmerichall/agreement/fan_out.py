"""The tree in which instances without a disk pass committed entries on."""

from collections.abc import Mapping, Sequence

__all__ = ["parents"]

# Streams of one instance into other zones, and within its own.
OTHER_ZONES = 2
OWN_ZONE = 2
# The first of a zone has one stream in it, since it has others to send.
MAX_STREAMS = OTHER_ZONES + 1


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
    lines: dict[str, list[str]] = {}
    for name in sorted(replicas):
        lines.setdefault(zones.get(name, name), []).append(name)
    covered = {zone: len(line) for zone, line in lines.items()}
    for name in sorted(observers):
        lines.setdefault(zones.get(name, name), []).append(name)
    heads = [lines[zone][0] for zone in sorted(lines) if zone not in covered]
    senders = [*sorted(replicas), *heads]
    tree: dict[str, str] = {}
    for zone in sorted(lines):
        line = lines[zone]
        first = covered.get(zone, 1)
        for number, name in enumerate(line[first:]):
            tree[name] = line[(number + 1) // OWN_ZONE]
    for number, head in enumerate(heads):
        tree[head] = senders[number // OTHER_ZONES]
    return tree
