"""The workers of a zone, as they announced themselves to its authority."""

from typing import NamedTuple

from turmerichall.backend_servers import announcement as announcements
from turmerichall.leases import lease

__all__ = ["WorkerRecord", "WorkerRegistry"]


class WorkerRecord(NamedTuple):
    """The last announcement of a worker.

    Attributes:
        announcement: The announcement.
        received_at: When it arrived, trio time.
        knows_epoch: Whether the worker has seen the authority's epoch, and so
            rejects renewals of earlier epochs.
    """

    announcement: announcements.Announcement
    received_at: float
    knows_epoch: bool


class WorkerRegistry:
    """The workers of one zone, and when leases on them have provably ended.

    Attributes:
        epoch: Epoch of the authority.
        acquired_at: When the authority acquired that epoch, trio time.
        records: Last announcement of each worker, by its name.
        moved_leases_end_at: For a worker that moved to another host, when its
            leases on the previous host have provably ended, trio time, by
            name of the worker.
    """

    def __init__(self, epoch: int, acquired_at: float):
        self.epoch = epoch
        self.acquired_at = acquired_at
        self.records: dict[str, WorkerRecord] = {}
        self.moved_leases_end_at: dict[str, float] = {}

    def update(
        self, announcement: announcements.Announcement, now: float
    ) -> None:
        """Record an announcement.

        Args:
            announcement: The announcement, newer than any before it.
            now: Current time, trio clock.
        """
        previous = self.records.get(announcement.name)
        if previous is not None and _moved_to_other_host(
            previous.announcement, announcement
        ):
            lease_seconds = lease.task_ended_after_seconds()
            self.moved_leases_end_at[announcement.name] = (
                previous.received_at + lease_seconds
            )
        knows_epoch = announcement.epoch >= self.epoch
        self.records[announcement.name] = WorkerRecord(
            announcement, now, knows_epoch
        )

    def leases_end_at(
        self, worker: str, earlier_holders_stop_at: float
    ) -> float:
        """Return when the leases of a worker end if it stays silent.

        Args:
            worker: Name of the worker.
            earlier_holders_stop_at: When earlier holders of the grant have
                provably stopped renewing leases, trio time; infinity if that
                is not known.

        Returns:
            The time at which the leases have provably ended, trio clock;
            infinity if that is not known.
        """
        lease_seconds = lease.task_ended_after_seconds()
        record = self.records.get(worker)
        if record is None:
            return (
                max(self.acquired_at, earlier_holders_stop_at) + lease_seconds
            )
        if record.knows_epoch:
            return record.received_at + lease_seconds
        return max(record.received_at, earlier_holders_stop_at) + lease_seconds

    def previous_incarnation_ends_at(self, worker: str) -> float:
        """Return when the leases of a worker's earlier incarnations end.

        A new incarnation on the same host replaces the earlier one, whose
        tasks ended with it; the time is then 0, which has passed.  On another
        host, tasks of the earlier incarnation may run until their leases end.
        """
        return self.moved_leases_end_at.get(worker, 0.0)


def _moved_to_other_host(
    previous: announcements.Announcement,
    announcement: announcements.Announcement,
) -> bool:
    previous_host = previous.address.rsplit(":", 1)[0]
    host = announcement.address.rsplit(":", 1)[0]
    return (
        announcement.incarnation != previous.incarnation
        and host != previous_host
    )
