"""Directory of the backend servers that one instance knows.

The directory is soft state, built from the announcements that the instance
receives itself and those that other instances forward to it.  Request routing
reads it.  Nothing in it is written to the replicated log.
"""

from typing import NamedTuple, Protocol

from turmerichall import outcomes
from turmerichall.backend_servers import announcement as announcements
from turmerichall.state import change as changes

__all__ = ["Directory", "Entry", "Intentions", "SILENT_AFTER_SECONDS"]

SILENT_AFTER_SECONDS = 6.0
EVICT_AFTER_SECONDS = 120.0
# `Entry.via` after `Directory.detach`: no instance's heartbeats keep the entry
# alive.
NO_ORIGIN = "(nobody)"


class Intentions(Protocol):
    """Source of the states that operators request for backend servers.

    An example is `state.configuration.Configuration`.
    """

    def intention(self, backend_server: str) -> changes.Intention:
        """Return the state that operators want a backend server to be in."""


class Entry(NamedTuple):
    """Directory entry of a backend server.

    Attributes:
        announcement: Its last accepted announcement.
        received_at: When this instance received the announcement, directly or
            forwarded, trio time.
        via: Origin of the entry: name of the instance that forwarded the
            announcement; empty if this instance received it directly.
    """

    announcement: announcements.Announcement
    received_at: float
    via: str = ""


class Directory:
    """Directory of backend servers.

    Attributes:
        entries: Entry of each backend server, by name.
        revision: Increases whenever anything that request routing reads from
            the entries may have changed.
        intentions: Source of the states that operators request for backend
            servers.
        origins_seen_at: When each other instance last confirmed that the
            backend servers that announce themselves to it are alive, trio time,
            by name of the instance.
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
        """Store an announcement unless it is out of date or conflicting.

        Args:
            announcement: The announcement.
            now: Current time, trio clock.
            via: Instance that forwarded it; empty if received directly.

        Returns:
            None if the announcement was accepted.  Otherwise the refusal: the
            announcement is not newer than the stored one, or a live server at
            another address has the same name.
        """
        entry = self.entries.get(announcement.name)
        if entry is not None:
            refusal = self._check_successor(entry, announcement, now)
            if refusal is not None:
                return refusal
        self.entries[announcement.name] = Entry(announcement, now, via)
        if entry is None or routing_view(entry.announcement) != routing_view(
            announcement
        ):
            self.revision += 1
        return None

    def last_seen_at(self, entry: Entry) -> float:
        """Return when a backend server was last known to be alive, trio time.

        An entry that another instance forwarded counts as alive for as long as
        that instance confirms the servers that announce themselves to it.
        """
        confirmed_at = self.origins_seen_at.get(entry.via, entry.received_at)
        return max(confirmed_at, entry.received_at)

    def is_silent(self, entry: Entry, now: float) -> bool:
        """Return whether a backend server has not been seen for too long.

        The limit is `SILENT_AFTER_SECONDS`.
        """
        return now - self.last_seen_at(entry) > SILENT_AFTER_SECONDS

    def takes_new_work(self, name: str, now: float) -> bool:
        """Return whether new work may be given to a backend server.

        It must be in the directory, not leaving and not silent, and operators
        must want it to serve.
        """
        entry = self.entries.get(name)
        if entry is None or entry.announcement.leaving:
            return False
        if self.is_silent(entry, now):
            return False
        intention = self.intentions.intention(name)
        return intention == changes.Intention.SERVING

    def find_servers(
        self, customer: str, service: str, now: float
    ) -> list[announcements.Announcement]:
        """Return the backend servers that run a service of a customer.

        Args:
            customer: Name of the customer.
            service: Name of the service template.
            now: Current time, trio clock.

        Returns:
            Announcements of the servers that take new work, ordered by name.
        """
        if self._indexed_revision != self.revision:
            self._rebuild_index()
        names = self._by_service.get((customer, service), [])
        return [
            self.entries[name].announcement
            for name in names
            if self.takes_new_work(name, now)
        ]

    def remove(self, name: str) -> None:
        """Remove a backend server if it is in the directory."""
        if self.entries.pop(name, None) is not None:
            self.revision += 1

    def detach(self, name: str) -> None:
        """Stop counting the heartbeats of an entry's origin for the entry.

        The origin is the instance that forwarded the announcement.  The server
        counts as alive until `SILENT_AFTER_SECONDS` after it was last seen,
        unless it announces itself again.
        """
        entry = self.entries[name]
        last_seen_at = self.last_seen_at(entry)
        self.entries[name] = entry._replace(
            received_at=last_seen_at, via=NO_ORIGIN
        )

    def evict_silent(self, now: float) -> None:
        """Remove entries last seen more than `EVICT_AFTER_SECONDS` ago."""
        for name, entry in list(self.entries.items()):
            if now - self.last_seen_at(entry) > EVICT_AFTER_SECONDS:
                self.remove(name)

    def _rebuild_index(self) -> None:
        self._by_service = {}
        for name in sorted(self.entries):
            for key in running_services(self.entries[name].announcement):
                self._by_service.setdefault(key, []).append(name)
        self._indexed_revision = self.revision

    def _check_successor(
        self, entry: Entry, announcement: announcements.Announcement, now: float
    ) -> outcomes.Refusal | None:
        previous = entry.announcement
        if (announcement.incarnation, announcement.sequence) <= (
            previous.incarnation,
            previous.sequence,
        ):
            return outcomes.Refusal(
                outcomes.RefusalReason.STALE_ANCHOR,
                f"announcement {announcement.sequence} of {announcement.name} "
                "is not newer than the last one accepted",
            )
        address_changed = announcement.address != previous.address
        if (
            address_changed
            and not self.is_silent(entry, now)
            and not previous.leaving
        ):
            return outcomes.Refusal(
                outcomes.RefusalReason.WRONG_STATE,
                f"{announcement.name} is already in use by the server at "
                f"{previous.address}, which is alive",
            )
        return None


def running_services(
    announcement: announcements.Announcement,
) -> set[tuple[str, str]]:
    """Return the services that an announcement reports as running.

    Each is a pair of the customer and the service template.
    """
    services = set()
    for report in announcement.tasks:
        if report.state != announcements.ReportedState.RUNNING:
            continue
        if report.task_id.startswith("svc:"):
            customer, service, _ = report.task_id[4:].split("/", 2)
            services.add((customer, service))
    return services


def routing_view(
    announcement: announcements.Announcement,
) -> tuple[object, ...]:
    """Return the values of an announcement that request routing depends on."""
    return (
        announcement.incarnation,
        announcement.address,
        announcement.zone,
        announcement.slots,
        announcement.connections,
        announcement.leaving,
        frozenset(running_services(announcement)),
    )
