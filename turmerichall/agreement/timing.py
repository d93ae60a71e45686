"""Periods and limits of a replica."""

from typing import NamedTuple

__all__ = ["Timing"]

MEBIBYTE = 1024 * 1024
# Shares of the disk and the memory that the entries since the last snapshot
# may use. A snapshot and a rewritten log need room beside what they replace.
DISK_SHARE = 1 / 8
MEMORY_SHARE = 1 / 16


class Timing(NamedTuple):
    """Periods and limits of a replica.

    Attributes:
        heartbeat_seconds: Longest time between two messages of a leader.
        election_seconds: Minimum election timeout; also the time after which
            a leader without a quorum steps down.
        election_jitter_seconds: Maximum random addition to that timeout.
        call_seconds: Timeout of a call to another replica.
        batch_bytes: Maximum size of the entries in one message.
        part_bytes: Maximum size of a snapshot part in one message.
        snapshot_entries: Number of applied entries after which a snapshot is
            taken.
        snapshot_bytes: Size of applied entries after which a snapshot is taken;
            also of those that a leader accepts before they are applied.
        retained_entries: Maximum number of entries before a snapshot that stay
            in the log, for members that lag.
        retained_bytes: Maximum size of these entries.
        disk_bytes: Size of the disk; 0 if unknown.
        commit_delay_seconds: How long the leader delays announcing a new
            commit index, so that the next entries can carry it.
        append_interval_seconds: Minimum time between two messages with entries
            from the leader to a member, so that one message carries the entries
            of that time.
        commit_save_seconds: Delay before a new commit index is recorded in
            the journal.
        max_proposals: Maximum number of pending changes at the leader.
    """

    heartbeat_seconds: float = 1.0
    election_seconds: float = 3.0
    election_jitter_seconds: float = 2.0
    call_seconds: float = 2.0
    batch_bytes: int = 512 * 1024
    part_bytes: int = 256 * 1024
    snapshot_entries: int = 20_000
    snapshot_bytes: int = 16 * MEBIBYTE
    retained_entries: int = 5_000
    retained_bytes: int = 8 * MEBIBYTE
    disk_bytes: int = 0
    commit_delay_seconds: float = 0.05
    append_interval_seconds: float = 0.0
    commit_save_seconds: float = 0.5
    max_proposals: int = 4096

    def fitted_to(self, disk_bytes: int, memory_bytes: int) -> "Timing":
        """Return these limits, lowered to what a machine has.

        Args:
            disk_bytes: Size of the disk; 0 if unknown.
            memory_bytes: Memory that the process may use; 0 if unknown.

        Examples:
            >>> small = Timing().fitted_to(32_000_000, 0)
            >>> small.snapshot_bytes, small.retained_bytes, small.disk_bytes
            (4000000, 2000000, 32000000)
        """
        snapshot_bytes = self.snapshot_bytes
        if disk_bytes:
            share = int(disk_bytes * DISK_SHARE)
            snapshot_bytes = min(snapshot_bytes, share)
        if memory_bytes:
            share = int(memory_bytes * MEMORY_SHARE)
            snapshot_bytes = min(snapshot_bytes, share)
        return self._replace(
            snapshot_bytes=snapshot_bytes,
            retained_bytes=min(self.retained_bytes, snapshot_bytes // 2),
            disk_bytes=disk_bytes,
        )
