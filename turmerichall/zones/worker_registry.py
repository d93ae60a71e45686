"""What a placing authority knows of the workers of its zone."""

from typing import NamedTuple

from turmerichall.backend_servers import announcement
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

    told: announcement.Announcement
    received_at: float
    confirmed: bool


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
        self.replaced: dict[str, float] = {}

    def take(self, told: announcement.Announcement, now: float) -> None:
        """Takes an announcement in.

        Args:
            told: The announcement; newer than the one before.
            now: Current time, trio clock.
        """
        before = self.records.get(told.name)
        if before is not None and _moved(before.told, told):
            term = lease.task_ended_after_seconds()
            self.replaced[told.name] = before.received_at + term
        confirmed = told.epoch >= self.epoch
        self.records[told.name] = WorkerRecord(told, now, confirmed)

    def leases_end_at(self, worker: str, earlier_end_at: float) -> float:
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
            return max(self.acquired_at, earlier_end_at) + term
        if record.confirmed:
            return record.received_at + term
        return max(record.received_at, earlier_end_at) + term

    def restarted_leases_end_at(self, worker: str) -> float:
        """Returns when leases of an earlier incarnation have ended."""
        return self.replaced.get(worker, 0.0)


def _moved(
    before: announcement.Announcement, told: announcement.Announcement
) -> bool:
    host_before = before.address.rsplit(":", 1)[0]
    host = told.address.rsplit(":", 1)[0]
    return told.incarnation != before.incarnation and host != host_before
