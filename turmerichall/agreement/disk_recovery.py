"""Data folders that may lack applied changes, and disks that work again."""

import trio

from turmerichall import errors
from turmerichall.agreement import replica_state
from turmerichall.agreement import snapshots
from turmerichall.storage import data_folder
from turmerichall.supervision import failure as failures
from turmerichall.telemetry import repeat_limit

__all__ = ["DiskRecovery", "decisive_failure", "run_journal"]

# Time between two tries of a disk that failed.  An instance has to take part
# again within some seconds after the end of a fault.
RETRY_SECONDS = 0.5


class DiskRecovery:
    """Recovery from one failure of a replica's disk.

    Attributes:
        state: State of the replica, which is out of consensus.
        folder: Its data folder.
        snapshots: Its snapshots.
        failed_at: When the disk failed, trio time.
    """

    def __init__(
        self,
        state: replica_state.ReplicaState,
        folder: data_folder.DataFolder,
        own_snapshots: snapshots.Snapshots,
    ):
        self.state = state
        self.folder = folder
        self.snapshots = own_snapshots
        self.failed_at = trio.current_time()
        self._limit = repeat_limit.RepeatLimit()

    async def wait_for_disk(self) -> None:
        """Try the disk until it works."""
        while True:
            await trio.sleep(RETRY_SECONDS)
            try:
                await self.folder.probe()
                return
            except errors.DiskError as error:
                self._report(error)

    async def restore(self) -> bool:
        """Restore the data folder and become a follower.

        Meanwhile the replica must apply nothing.

        Returns:
            Whether that succeeded; if not, the disk fails again.
        """
        state = self.state
        try:
            await self.snapshots.restore_folder()
        except errors.DiskError as error:
            self._report(error)
            return False
        state.stopped = ""
        state.role = replica_state.Role.FOLLOWER
        state.role_changed.notify_all()
        state.log.info(
            "disk works again; replica rejoins",
            seconds=self._seconds(),
            term=state.term,
            applied=state.applied,
            last_index=state.raft_log.last_index,
        )
        return True

    def _report(self, error: errors.DiskError) -> None:
        attempts = self._limit.count(trio.current_time())
        if attempts:
            self.state.log.warning(
                "disk still fails; replica is out of consensus",
                reason=str(error),
                seconds=self._seconds(),
                attempts=attempts,
            )

    def _seconds(self) -> float:
        """Return the time since the disk failed."""
        return round(trio.current_time() - self.failed_at, 2)


async def run_journal(state: replica_state.ReplicaState) -> None:
    """Write the records of the journal, until cancelled.

    If the data folder may lack changes that were applied before a restart, it
    is marked first.  The vote state may be the only sign of that, and the
    records that are written here replace it.

    Raises:
        StorageError: The mark, or a write or a sync of the journal, failed.
    """
    assert state.folder is not None
    if state.recovery_index == replica_state.NOT_RECOVERED:
        await state.folder.mark_incomplete()
    await state.folder.journal.run()


def decisive_failure(
    group: BaseExceptionGroup[errors.StorageError],
) -> errors.StorageError:
    """Return the failure that decides whether a replica may rejoin.

    A removed replica must not rejoin when its disk fails as well.

    Args:
        group: The failures that ended its part in consensus.
    """
    found = [
        each
        for each in failures.leaves(group)
        if isinstance(each, errors.StorageError)
    ]
    lasting = [each for each in found if not isinstance(each, errors.DiskError)]
    return (lasting or found)[0]
