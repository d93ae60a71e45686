"""What a placing authority knows of the workers of its zone."""

from typing import NamedTuple

from turmerichall.backend_servers import announcement as announcements
from turmerichall.leases import lease

__all__ = ["WorkerRecord", "WorkerRegistry"]


class WorkerRecord(NamedTuple):
    """One worker as its announcements describe it.

    Attributes:
        told: Its last announcement.
        received_at: When that arrived, trio time.
        confirmed: Whether the worker has seen the authority's epoch, and so
            takes renewals from no earlier one.
    """

    announcement: announcements.Announcement
    received_at: float
    knows_epoch: bool


class WorkerRegistry:
    """The workers of one zone, and when leases on them have provably ended.

    Attributes:
        epoch: Epoch of the authority that keeps the book.
        took_at: When the authority took that epoch, trio time.
        records: Workers by name.
        replaced: Leases of a name that another address had, by name: when the
            last of them has provably ended.
    """

    def __init__(self, epoch: int, acquired_at: float):
        self.epoch = epoch
        self.acquired_at = acquired_at
        self.records: dict[str, WorkerRecord] = {}
        self.moved_leases_end_at: dict[str, float] = {}

    def update(
        self, announcement: announcements.Announcement, now: float
    ) -> None:
        """Takes an announcement in.

        Args:
            told: The announcement; newer than the one before.
            now: Current time, trio clock.
        """
        before = self.records.get(announcement.name)
        if before is not None and _moved_to_other_host(
            before.announcement, announcement
        ):
            term = lease.task_ended_after_seconds()
            self.moved_leases_end_at[announcement.name] = (
                before.received_at + term
            )
        knows_epoch = announcement.epoch >= self.epoch
        self.records[announcement.name] = WorkerRecord(
            announcement, now, knows_epoch
        )

    def leases_end_at(
        self, worker: str, earlier_holders_stop_at: float
    ) -> float:
        """Returns when leases of a worker that stays silent have ended.

        Args:
            worker: Name of the worker.
            earlier_end_at: When no earlier authority renews any more.

        Returns:
            A time of the trio clock; infinity if it can't be told.
        """
        term = lease.task_ended_after_seconds()
        record = self.records.get(worker)
        if record is None:
            return max(self.acquired_at, earlier_holders_stop_at) + term
        if record.knows_epoch:
            return record.received_at + term
        return max(record.received_at, earlier_holders_stop_at) + term

    def previous_incarnation_ends_at(self, worker: str) -> float:
        """Returns when leases of an earlier incarnation have ended."""
        return self.moved_leases_end_at.get(worker, 0.0)


def _moved_to_other_host(
    before: announcements.Announcement, announcement: announcements.Announcement
) -> bool:
    host_before = before.address.rsplit(":", 1)[0]
    host = announcement.address.rsplit(":", 1)[0]
    return (
        announcement.incarnation != before.incarnation and host != host_before
    )
