"""When a replica takes a snapshot, and which entries stay in its log."""

from turmerichall.agreement import timing as timings

__all__ = ["first_retained", "is_snapshot_due"]


def is_snapshot_due(
    timing: timings.Timing,
    entries: int,
    entry_bytes: int,
    snapshot_bytes: int,
    *,
    short_of_room: bool = False,
) -> bool:
    """Return whether to take a snapshot.

    A snapshot is not taken before as many bytes of entries are applied as the
    last one has, so that snapshots cost no more than the entries; unless the
    disk is short of room, when they are taken twice as early.

    Args:
        timing: Limits of the replica.
        entries: Number of entries that were applied since the last snapshot.
        entry_bytes: Their size in bytes.
        snapshot_bytes: Size of the last snapshot in bytes.
        short_of_room: Whether the disk is filling up.

    Examples:
        >>> limits = timings.Timing(snapshot_entries=100, snapshot_bytes=1000)
        >>> is_snapshot_due(limits, 10, 1000, 500)
        True
        >>> is_snapshot_due(limits, 10, 1000, 5000)
        False
        >>> is_snapshot_due(limits, 10, 500, 5000, short_of_room=True)
        True
    """
    if entries >= timing.snapshot_entries:
        return True
    if short_of_room:
        return entry_bytes >= timing.snapshot_bytes // 2
    return entry_bytes >= max(timing.snapshot_bytes, snapshot_bytes)


def first_retained(
    timing: timings.Timing, position: int, first_within_bytes: int
) -> int:
    """Return the index up to which to remove entries after a snapshot.

    Args:
        timing: Limits of the replica.
        position: Index of the last entry that the snapshot covers.
        first_within_bytes: Index after which the entries up to `position` are
            no larger than `Timing.retained_bytes`.
    """
    return max(position - timing.retained_entries, first_within_bytes)
