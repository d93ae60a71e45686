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


class Intentions(Protocol):
    """What operators want of backend servers; the configuration is one."""

    def intention(self, backend_server: str) -> changes.Intention:
        """Returns what operators want of a backend server."""


class Entry(NamedTuple):
    """A backend server as it is known.

    Attributes:
        told: Its last announcement.
        heard_at: When that was received here or passed on, trio time.
    """

    told: announcement.Announcement
    heard_at: float


class Directory:
    """Backend servers by name.

    Attributes:
        entries: What is known of each backend server.
        revision: Grows whenever something that routing reads may have changed.
        intentions: What operators want of each.
    """

    def __init__(self, intentions: Intentions):
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self.intentions = intentions
        self._by_service: dict[tuple[str, str], list[str]] = {}
        self._indexed_revision = -1

    def hear(
        self, told: announcement.Announcement, now: float
    ) -> outcomes.Refusal | None:
        """Takes an announcement in.

        Args:
            told: The announcement, received or passed on.
            now: Current time, trio clock.

        Returns:
            None, or why it was passed over: it is older than what is known, or
            another live server at another address claims the name.
        """
        known = self.entries.get(told.name)
        if known is not None:
            refusal = _order_refusal(known, told, now)
            if refusal is not None:
                return refusal
        self.entries[told.name] = Entry(told, now)
        if known is None or _routing_part(known.told) != _routing_part(told):
            self.revision += 1
        return None

    def touch(self, name: str, now: float) -> None:
        """Notes that another instance still hears from a backend server."""
        known = self.entries.get(name)
        if known is not None and now > known.heard_at:
            self.entries[name] = known._replace(heard_at=now)

    def takes_new_work(self, name: str, now: float) -> bool:
        """Tells whether a backend server may be given new work."""
        known = self.entries.get(name)
        if known is None or known.told.leaving:
            return False
        if now - known.heard_at > SILENT_AFTER_SECONDS:
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

    def _index(self) -> None:
        self._by_service = {}
        for name in sorted(self.entries):
            for key in services_of(self.entries[name].told):
                self._by_service.setdefault(key, []).append(name)
        self._indexed_revision = self.revision


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


def _routing_part(told: announcement.Announcement) -> tuple[object, ...]:
    return (
        told.incarnation,
        told.address,
        told.zone,
        told.slots,
        told.connections,
        told.leaving,
        frozenset(services_of(told)),
    )


def _order_refusal(
    known: Entry, told: announcement.Announcement, now: float
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
    silent = now - known.heard_at > SILENT_AFTER_SECONDS
    if moved and not silent and not before.leaving:
        return outcomes.Refusal(
            outcomes.RefusalReason.WRONG_STATE,
            f"{told.name} is claimed by {before.address}, which is live",
        )
    return None
