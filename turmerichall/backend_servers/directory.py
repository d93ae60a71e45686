"""The directory of backend servers that one instance knows.

It is soft state: filled by announcements that the instance received itself
and by those that other instances passed on.  Routing reads it; nothing of it
is written to the log.
"""

from typing import NamedTuple, Protocol

from turmerichall import outcomes
from turmerichall.backend_servers import announcement
from turmerichall.state import change as changes

__all__ = ["Directory", "Entry", "Intentions", "SILENT_AFTER_SECONDS"]

SILENT_AFTER_SECONDS = 6.0
FORGET_AFTER_SECONDS = 120.0
# Stands for the origin of entries that no instance vouches for any more.
NOBODY = "(nobody)"


class Intentions(Protocol):
    """What operators want of backend servers; the configuration is one."""

    def intention(self, backend_server: str) -> changes.Intention:
        """Returns what operators want of a backend server."""


class Entry(NamedTuple):
    """A backend server as it is known.

    Attributes:
        told: Its last announcement.
        heard_at: When that was received here or passed on, trio time.
        via: Instance that received the announcement; empty for this one.
    """

    told: announcement.Announcement
    heard_at: float
    via: str = ""


class Directory:
    """Backend servers by name.

    Attributes:
        entries: What is known of each backend server.
        revision: Grows whenever something that routing reads may have changed.
        intentions: What operators want of each.
        origins_heard_at: When each other instance last vouched for the
            backend servers that it hears from, trio time.
    """

    def __init__(self, intentions: Intentions):
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self.intentions = intentions
        self.origins_heard_at: dict[str, float] = {}
        self._by_service: dict[tuple[str, str], list[str]] = {}
        self._indexed_revision = -1

    def hear(
        self, told: announcement.Announcement, now: float, via: str = ""
    ) -> outcomes.Refusal | None:
        """Takes an announcement in.

        Args:
            told: The announcement, received or passed on.
            now: Current time, trio clock.
            via: Instance that passed it on; empty if received here.

        Returns:
            None, or why it was passed over: it is older than what is known, or
            another live server at another address claims the name.
        """
        known = self.entries.get(told.name)
        if known is not None:
            refusal = self._order_refusal(known, told, now)
            if refusal is not None:
                return refusal
        self.entries[told.name] = Entry(told, now, via)
        if known is None or routing_part(known.told) != routing_part(told):
            self.revision += 1
        return None

    def heard_at(self, known: Entry) -> float:
        """Returns when a backend server was last known to be alive."""
        vouched_at = self.origins_heard_at.get(known.via, known.heard_at)
        return max(vouched_at, known.heard_at)

    def is_silent(self, known: Entry, now: float) -> bool:
        """Tells whether nothing was heard of a backend server for long."""
        return now - self.heard_at(known) > SILENT_AFTER_SECONDS

    def takes_new_work(self, name: str, now: float) -> bool:
        """Tells whether a backend server may be given new work."""
        known = self.entries.get(name)
        if known is None or known.told.leaving:
            return False
        if self.is_silent(known, now):
            return False
        wanted = self.intentions.intention(name)
        return wanted == changes.Intention.SERVING

    def serving(
        self, customer: str, service: str, now: float
    ) -> list[announcement.Announcement]:
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
            self.entries[name].told
            for name in names
            if self.takes_new_work(name, now)
        ]

    def forget(self, name: str) -> None:
        """Drops a backend server."""
        if self.entries.pop(name, None) is not None:
            self.revision += 1

    def disown(self, name: str) -> None:
        """Keeps a backend server until it is silent, vouched for by nobody."""
        known = self.entries[name]
        heard_at = self.heard_at(known)
        self.entries[name] = known._replace(heard_at=heard_at, via=NOBODY)

    def forget_long_silent(self, now: float) -> None:
        """Drops entries that nothing was heard of for very long."""
        for name, known in list(self.entries.items()):
            if now - self.heard_at(known) > FORGET_AFTER_SECONDS:
                self.forget(name)

    def _index(self) -> None:
        self._by_service = {}
        for name in sorted(self.entries):
            for key in services_of(self.entries[name].told):
                self._by_service.setdefault(key, []).append(name)
        self._indexed_revision = self.revision

    def _order_refusal(
        self, known: Entry, told: announcement.Announcement, now: float
    ) -> outcomes.Refusal | None:
        before = known.told
        if (told.incarnation, told.sequence) <= (
            before.incarnation,
            before.sequence,
        ):
            return outcomes.Refusal(
                outcomes.RefusalReason.STALE_ANCHOR,
                f"announcement {told.sequence} of {told.name} is not newer",
            )
        moved = told.address != before.address
        if moved and not self.is_silent(known, now) and not before.leaving:
            return outcomes.Refusal(
                outcomes.RefusalReason.WRONG_STATE,
                f"{told.name} is claimed by {before.address}, which is live",
            )
        return None


def services_of(
    told: announcement.Announcement,
) -> set[tuple[str, str]]:
    """Returns `(customer, service)` of each service task that runs there."""
    found = set()
    for report in told.tasks:
        if report.state != announcement.ReportedState.RUNNING:
            continue
        if report.task_id.startswith("svc:"):
            customer, service, _ = report.task_id[4:].split("/", 2)
            found.add((customer, service))
    return found


def routing_part(told: announcement.Announcement) -> tuple[object, ...]:
    """Returns what routing reads of an announcement."""
    return (
        told.incarnation,
        told.address,
        told.zone,
        told.slots,
        told.connections,
        told.leaving,
        frozenset(services_of(told)),
    )
