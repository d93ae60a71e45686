"""Which entry instances keep the claims of a request id."""

from collections.abc import Mapping

import xxhash

__all__ = ["KEEPERS", "choose_keepers", "digest"]

KEEPERS = 3


def choose_keepers(
    text: str, zone: str, members: Mapping[str, str]
) -> list[str]:
    """Chooses the keepers of a request id.

    Args:
        text: The request id.
        zone: Zone that the keepers must be of; empty for different zones.
        members: Zone of each entry instance by name.

    Returns:
        At most three names: the first by a hash of id and name, other zones
        first.  Empty if the zone has no entry instance.

    Examples:
        >>> members = {"a": "z1", "b": "z2", "c": "z3", "d": "z3"}
        >>> sorted(members[name] for name in choose_keepers("r", "", members))
        ['z1', 'z2', 'z3']
        >>> sorted(choose_keepers("r", "z3", members))
        ['c', 'd']
    """
    names = [name for name in members if zone in ("", members[name])]
    names.sort(key=lambda name: (_rank(text, name), name))
    chosen: list[str] = []
    for name in names:
        if members[name] not in [members[other] for other in chosen]:
            chosen.append(name)
    chosen += [name for name in names if name not in chosen]
    return chosen[:KEEPERS]


def _rank(text: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{text}\0{name}".encode())


def digest(members: Mapping[str, str]) -> int:
    """Returns a number that tells lists of entry instances apart."""
    listed = ",".join(f"{name}={members[name]}" for name in sorted(members))
    return xxhash.xxh3_64_intdigest(listed.encode())
