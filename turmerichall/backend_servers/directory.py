"""The directory of backend servers that one instance knows.

It is soft state: filled by announcements that the instance received itself
and by those that other instances passed on.  Routing reads it; nothing of it
is written to the log.
"""

from typing import NamedTuple, Protocol

from turmerichall import outcomes
from turmerichall.backend_servers import announcement as announcements
from turmerichall.state import change as changes

__all__ = ["Directory", "Entry", "Intentions", "SILENT_AFTER_SECONDS"]

SILENT_AFTER_SECONDS = 6.0
EVICT_AFTER_SECONDS = 120.0
# Stands for the origin of entries that no instance vouches for any more.
NO_ORIGIN = "(nobody)"


class Intentions(Protocol):
    """What operators want of backend servers; the configuration is one."""

    def intention(self, backend_server: str) -> changes.Intention:
        """Returns what operators want of a backend server."""


class Entry(NamedTuple):
    """A backend server as it is known.

    Attributes:
        announcement: Its last announcement.
        received_at: When that was received here or passed on, trio time.
        via: Instance that received the announcement; empty for this one.
    """

    announcement: announcements.Announcement
    received_at: float
    via: str = ""


class Directory:
    """Backend servers by name.

    Attributes:
        entries: What is known of each backend server.
        revision: Grows whenever something that routing reads may have changed.
        intentions: What operators want of each.
        origins_seen_at: When each other instance last vouched for the
            backend servers that it hears from, trio time.
    """

    def __init__(self, intentions: Intentions):
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self.intentions = intentions
        self.origins_seen_at: dict[str, float] = {}
        self._by_service: dict[tuple[str, str], list[str]] = {}
        self._indexed_revision = -1

    def accept(
        self,
        announcement: announcements.Announcement,
        now: float,
        via: str = "",
    ) -> outcomes.Refusal | None:
        """Takes an announcement in.

        Args:
            announcement: The announcement, received or passed on.
            now: Current time, trio clock.
            via: Instance that passed it on; empty if received here.

        Returns:
            None, or why it was passed over: it is older than what is known, or
            another live server at another address claims the name.
        """
        known = self.entries.get(announcement.name)
        if known is not None:
            refusal = self._order_refusal(known, announcement, now)
            if refusal is not None:
                return refusal
        self.entries[announcement.name] = Entry(announcement, now, via)
        if known is None or routing_view(known.announcement) != routing_view(
            announcement
        ):
            self.revision += 1
        return None

    def last_seen_at(self, known: Entry) -> float:
        """Returns when a backend server was last known to be alive."""
        vouched_at = self.origins_seen_at.get(known.via, known.received_at)
        return max(vouched_at, known.received_at)

    def is_silent(self, known: Entry, now: float) -> bool:
        """Tells whether nothing was heard of a backend server for long."""
        return now - self.last_seen_at(known) > SILENT_AFTER_SECONDS

    def takes_new_work(self, name: str, now: float) -> bool:
        """Tells whether a backend server may be given new work."""
        known = self.entries.get(name)
        if known is None or known.announcement.leaving:
            return False
        if self.is_silent(known, now):
            return False
        wanted = self.intentions.intention(name)
        return wanted == changes.Intention.SERVING

    def find_servers(
        self, customer: str, service: str, now: float
    ) -> list[announcements.Announcement]:
        """Returns the backend servers that run a service of a customer.

        Args:
            customer: Name of the customer.
            service: Name of the service template.
            now: Current time, trio clock.

        Returns:
            Announcements of those that take new work, in order of name.
        """
        if self._indexed_revision != self.revision:
            self._index()
        names = self._by_service.get((customer, service), [])
        return [
            self.entries[name].announcement
            for name in names
            if self.takes_new_work(name, now)
        ]

    def remove(self, name: str) -> None:
        """Drops a backend server."""
        if self.entries.pop(name, None) is not None:
            self.revision += 1

    def detach(self, name: str) -> None:
        """Keeps a backend server until it is silent, vouched for by nobody."""
        known = self.entries[name]
        last_seen_at = self.last_seen_at(known)
        self.entries[name] = known._replace(
            received_at=last_seen_at, via=NO_ORIGIN
        )

    def evict_silent(self, now: float) -> None:
        """Drops entries that nothing was heard of for very long."""
        for name, known in list(self.entries.items()):
            if now - self.last_seen_at(known) > EVICT_AFTER_SECONDS:
                self.remove(name)

    def _index(self) -> None:
        self._by_service = {}
        for name in sorted(self.entries):
            for key in running_services(self.entries[name].announcement):
                self._by_service.setdefault(key, []).append(name)
        self._indexed_revision = self.revision

    def _order_refusal(
        self, known: Entry, announcement: announcements.Announcement, now: float
    ) -> outcomes.Refusal | None:
        before = known.announcement
        if (announcement.incarnation, announcement.sequence) <= (
            before.incarnation,
            before.sequence,
        ):
            return outcomes.Refusal(
                outcomes.RefusalReason.STALE_ANCHOR,
                f"announcement {announcement.sequence} of {announcement.name} "
                "is not newer than the last one accepted",
            )
        moved = announcement.address != before.address
        if moved and not self.is_silent(known, now) and not before.leaving:
            return outcomes.Refusal(
                outcomes.RefusalReason.WRONG_STATE,
                f"{announcement.name} is claimed by {before.address}, "
                "which is live",
            )
        return None


def running_services(
    announcement: announcements.Announcement,
) -> set[tuple[str, str]]:
    """Returns `(customer, service)` of each service task that runs there."""
    found = set()
    for report in announcement.tasks:
        if report.state != announcements.ReportedState.RUNNING:
            continue
        if report.task_id.startswith("svc:"):
            customer, service, _ = report.task_id[4:].split("/", 2)
            found.add((customer, service))
    return found


def routing_view(
    announcement: announcements.Announcement,
) -> tuple[object, ...]:
    """Returns what routing reads of an announcement."""
    return (
        announcement.incarnation,
        announcement.address,
        announcement.zone,
        announcement.slots,
        announcement.connections,
        announcement.leaving,
        frozenset(running_services(announcement)),
    )
