"""Pressure on a replica's disk, and what is done before the disk is full."""

import enum
from typing import NamedTuple

import trio

from turmerichall import outcomes
from turmerichall.agreement import message
from turmerichall.agreement import replica_state
from turmerichall.telemetry import repeat_limit

__all__ = ["Level", "Usage", "level", "refuse_large", "run_watch", "usage"]

# Shares of the disk from which the levels begin.
HIGH_SHARE = 0.7
CRITICAL_SHARE = 0.85
# Size from which a change may be refused.  The leader's own changes are
# smaller, and it can't do its work without them.
LARGE_CHANGE_BYTES = 64 * 1024
CHECK_SECONDS = 1.0
REPORT_SECONDS = 30.0


class Level(enum.IntEnum):
    """How near the disk is to being full."""

    NORMAL = 0
    # Snapshots are taken early and no entries before them are kept.
    HIGH = 1
    # New jobs and large changes are refused.
    CRITICAL = 2


class Usage(NamedTuple):
    """Use of a replica's disk, in bytes.

    Attributes:
        log_bytes: Size of the log.
        snapshot_bytes: Size of the snapshot.
        disk_bytes: Size of the disk; 0 if unknown.
    """

    log_bytes: int
    snapshot_bytes: int
    disk_bytes: int

    @property
    def peak_bytes(self) -> int:
        """Most bytes in use while the next snapshot, or the log, is replaced.

        The new snapshot is no larger than the old one and the log.

        Examples:
            >>> Usage(log_bytes=100, snapshot_bytes=10, disk_bytes=0).peak_bytes
            220
        """
        return 2 * (self.log_bytes + self.snapshot_bytes)

    def level(self, change_bytes: int = 0) -> Level:
        """Return the level after a change of a size.

        Examples:
            >>> Usage(30, 10, 100).level().name
            'HIGH'
            >>> Usage(30, 10, 100).level(5).name
            'CRITICAL'
        """
        needed = self.peak_bytes + 2 * change_bytes
        if not self.disk_bytes or needed < HIGH_SHARE * self.disk_bytes:
            return Level.NORMAL
        if needed < CRITICAL_SHARE * self.disk_bytes:
            return Level.HIGH
        return Level.CRITICAL


def usage(state: replica_state.ReplicaState) -> Usage:
    """Return the use of a replica's disk; all 0 without one."""
    folder = state.folder
    if folder is None:
        return Usage(0, 0, 0)
    return Usage(
        folder.journal.file_bytes,
        folder.snapshot_bytes,
        state.timing.disk_bytes,
    )


def level(state: replica_state.ReplicaState) -> Level:
    """Return the pressure on a replica's disk."""
    return usage(state).level()


def refuse_large(
    state: replica_state.ReplicaState, change_bytes: int
) -> message.Outcome | None:
    """Refuse a large change for which the leader lacks room.

    The log can't be compacted beyond what is applied, so the size of the
    entries that are not applied is limited as well.

    Args:
        state: State of the leader.
        change_bytes: Size of the change.

    Returns:
        The refusal; None if the change may be appended.
    """
    if change_bytes < LARGE_CHANGE_BYTES:
        return None
    raft_log = state.raft_log
    unapplied = raft_log.bytes_between(state.applied, raft_log.last_index)
    if unapplied and unapplied + change_bytes > state.timing.snapshot_bytes:
        return state.refuse(
            outcomes.RefusalReason.NO_ROOM,
            f"{unapplied} bytes of changes are already pending",
        )
    if usage(state).level(change_bytes) == Level.CRITICAL:
        return state.refuse(
            outcomes.RefusalReason.NO_ROOM, "the disk is almost full"
        )
    return None


async def run_watch(state: replica_state.ReplicaState) -> None:
    """Log the pressure on the disk while there is any, until cancelled."""
    limit = repeat_limit.RepeatLimit(REPORT_SECONDS)
    last = Level.NORMAL
    while True:
        now = level(state)
        repeated = now and limit.count(trio.current_time())
        if now != last or repeated:
            _report(state, now)
        last = now
        await trio.sleep(CHECK_SECONDS)


def _report(state: replica_state.ReplicaState, now: Level) -> None:
    used = usage(state)
    fields = {
        "log_bytes": used.log_bytes,
        "snapshot_bytes": used.snapshot_bytes,
        "peak_bytes": used.peak_bytes,
        "disk_bytes": used.disk_bytes,
    }
    if now == Level.NORMAL:
        state.log.info("disk has room again", **fields)
    elif now == Level.HIGH:
        state.log.warning("disk is filling up", **fields)
    else:
        state.log.error(
            "disk is almost full; new jobs and large changes are refused",
            **fields,
        )
