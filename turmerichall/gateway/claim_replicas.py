"""Choice of the entry instances that store the claims of a request id."""

from collections.abc import Mapping

import xxhash

__all__ = ["REPLICA_COUNT", "choose_replicas", "members_digest"]

REPLICA_COUNT = 3


def choose_replicas(
    request_id: str, zone: str, members: Mapping[str, str]
) -> list[str]:
    """Choose the entry instances that store the claims of a request id.

    The instances are ranked by a hash of id and name (rendezvous hashing), so
    that every instance with the same list chooses the same replicas.

    Args:
        request_id: The request id.
        zone: Zone that the replicas must be in; empty to spread them over
            zones.
        members: Zone of each entry instance by name.

    Returns:
        At most `REPLICA_COUNT` names, the best ranked of each zone first; empty
        if the zone has no entry instance.

    Examples:
        >>> members = {"a": "z1", "b": "z2", "c": "z3", "d": "z3"}
        >>> sorted(members[name] for name in choose_replicas("r", "", members))
        ['z1', 'z2', 'z3']
        >>> sorted(choose_replicas("r", "z3", members))
        ['c', 'd']
    """
    names = [name for name in members if zone in ("", members[name])]
    names.sort(key=lambda name: (_hash(request_id, name), name))
    chosen: list[str] = []
    for name in names:
        if members[name] not in [members[other] for other in chosen]:
            chosen.append(name)
    chosen += [name for name in names if name not in chosen]
    return chosen[:REPLICA_COUNT]


def _hash(request_id: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{request_id}\0{name}".encode())


def members_digest(members: Mapping[str, str]) -> int:
    """Return a hash that identifies a list of entry instances."""
    listed = ",".join(f"{name}={members[name]}" for name in sorted(members))
    return xxhash.xxh3_64_intdigest(listed.encode())
