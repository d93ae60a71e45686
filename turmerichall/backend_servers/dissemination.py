"""Dissemination of announcements to the other instances.

Each instance owns a table of the backend servers that announce themselves to
it, reduced to what request routing reads.  It sends changes of its table to the
other instances immediately, and otherwise only a heartbeat with the version of
the table.  A receiver that missed a change notices the version gap and fetches
the whole table.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import msgspec
import trio

from turmerichall import outcomes
from turmerichall.backend_servers import announcement as announcements
from turmerichall.backend_servers import directory as directories

__all__ = ["Dissemination", "Links"]

HEARTBEAT_SECONDS = 1.0
TABLE_TIMEOUT_SECONDS = 3.0
REBROADCAST_AFTER_SECONDS = 2.5 * announcements.ANNOUNCE_PERIOD_SECONDS

CHANGED = "backend_servers/changed"
HEARTBEAT = "backend_servers/heartbeat"
TABLE = "backend_servers/table"


Handler = Callable[[str, bytes], Awaitable[bytes | None]]


class Links(Protocol):
    """Connections to the other daemons, such as `peers.network.Network`."""

    addresses: dict[str, str]

    def handle(self, kind: str, handler: Handler) -> None:
        """Register the handler for a kind of message."""

    def send(self, instance: str, kind: str, body: bytes) -> bool:
        """Send a one-way message and return whether it was queued.

        The message is dropped if the queue is full.
        """

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Send a message and return the answer, or why there is none."""


class TableUpdate(NamedTuple):
    """Message with the changes of a table, the whole table, or a heartbeat.

    The table is that of the sending instance.  A heartbeat has only `run` and
    `version`.

    Attributes:
        run: Id of the current run of the sending daemon.
        version: Version of the table after this update.
        changed: Announcements of new or changed backend servers, reduced to
            what request routing reads.
        lost: Names of backend servers that are no longer in the table.
        operators_address: `host:port` at which the sender accepts
            announcements; only set together with a whole table.
    """

    run: int
    version: int
    changed: tuple[announcements.Announcement, ...] = ()
    lost: tuple[str, ...] = ()
    operators_address: str = ""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(TableUpdate)


class Dissemination:
    """Synchronization of the directories of all reachable instances.

    Attributes:
        directory: This instance's directory.
        links: Connections to the other instances.
        run_id: Id of this run of the daemon.
        version: Version of this instance's own table.
        local: Names of the backend servers that announce themselves to this
            instance.
        silent_forwarded: Names of the backend servers that announced
            themselves to other instances and are now silent.
        peer_versions: Run id and version of the last applied table of each
            other instance, by name.
        operators_address: `host:port` at which this instance accepts
            announcements.
        operators_addresses: `host:port` at which each other instance accepts
            announcements, by name of the instance.
    """

    def __init__(
        self,
        directory: directories.Directory,
        links: Links,
        run_id: int,
        operators_address: str = "",
    ):
        self.directory = directory
        self.links = links
        self.run_id = run_id
        self.version = 0
        self.local: set[str] = set()
        self.silent_forwarded: set[str] = set()
        self.peer_versions: dict[str, tuple[int, int]] = {}
        self.operators_address = operators_address
        self.operators_addresses: dict[str, str] = {}
        links.handle(CHANGED, self._on_changed)
        links.handle(HEARTBEAT, self._on_heartbeat)
        links.handle(TABLE, self._on_table)

    def accept(
        self, announcement: announcements.Announcement
    ) -> outcomes.Refusal | None:
        """Store a server's own announcement and send it to the other instances.

        See `_is_already_sent` for when it is not sent again.

        Returns:
            None if the announcement was stored, or why it was refused.
        """
        now = trio.current_time()
        previous = self.directory.entries.get(announcement.name)
        refusal = self.directory.accept(announcement, now)
        if refusal is not None:
            return refusal
        already_sent = (
            previous is not None
            and announcement.name in self.local
            and _is_already_sent(previous, announcement, now)
        )
        self.local.add(announcement.name)
        if not already_sent:
            self._broadcast((strip_for_routing(announcement),), ())
        return None

    async def run(self) -> None:
        """Send heartbeats and remove silent backend servers periodically."""
        while True:
            self._remove_silent()
            heartbeat = _ENCODER.encode(TableUpdate(self.run_id, self.version))
            for instance in list(self.links.addresses):
                self.links.send(instance, HEARTBEAT, heartbeat)
            await trio.sleep(HEARTBEAT_SECONDS)

    def _broadcast(
        self,
        changed: tuple[announcements.Announcement, ...],
        lost: tuple[str, ...],
    ) -> None:
        self.version += 1
        update = TableUpdate(self.run_id, self.version, changed, lost)
        body = _ENCODER.encode(update)
        for instance in list(self.links.addresses):
            self.links.send(instance, CHANGED, body)

    def _remove_silent(self) -> None:
        now = trio.current_time()
        lost = []
        for name in sorted(self.local):
            entry = self.directory.entries.get(name)
            if entry is None or entry.via:
                self.local.discard(name)
            elif self.directory.is_silent(entry, now):
                lost.append(name)
                self.local.discard(name)
                self.directory.remove(name)
        self.directory.evict_silent(now)
        silent = self._find_silent_forwarded(now)
        if lost or silent - self.silent_forwarded:
            # The servers may now announce themselves to another instance, whose
            # table is already applied here and would not be fetched again.
            # Forgetting the applied versions causes all tables to be fetched.
            self.peer_versions.clear()
        self.silent_forwarded = silent
        if lost:
            self._broadcast((), tuple(lost))

    def _find_silent_forwarded(self, now: float) -> set[str]:
        return {
            name
            for name, entry in self.directory.entries.items()
            if entry.via
            and not entry.announcement.leaving
            and self.directory.is_silent(entry, now)
        }

    def _remove_lost(self, name: str, sender: str) -> None:
        """Remove a backend server that its origin no longer has in its table.

        Unless it was leaving, it may now announce itself to another instance,
        whose table is already applied here.  Therefore the tables of all
        instances except the origin are fetched again.
        """
        entry = self.directory.entries[name]
        self.directory.remove(name)
        if not entry.announcement.leaving:
            for other in set(self.peer_versions) - {sender}:
                del self.peer_versions[other]

    async def _on_changed(self, sender: str, body: bytes) -> None:
        update = _DECODER.decode(body)
        applied = self.peer_versions.get(sender)
        self._apply(sender, update)
        if applied != (update.run, update.version - 1):
            await self._fetch_table(sender)

    async def _on_heartbeat(self, sender: str, body: bytes) -> None:
        update = _DECODER.decode(body)
        if self.peer_versions.get(sender) != (update.run, update.version):
            await self._fetch_table(sender)
        else:
            self.directory.origins_seen_at[sender] = trio.current_time()

    async def _on_table(self, _: str, __: bytes) -> bytes:
        table = []
        for name in sorted(self.local):
            entry = self.directory.entries.get(name)
            if entry is not None and not entry.via:
                table.append(strip_for_routing(entry.announcement))
        update = TableUpdate(
            self.run_id,
            self.version,
            tuple(table),
            operators_address=self.operators_address,
        )
        return _ENCODER.encode(update)

    async def _fetch_table(self, sender: str) -> None:
        answer = await self.links.call(
            sender, TABLE, b"", TABLE_TIMEOUT_SECONDS
        )
        if isinstance(answer, outcomes.Refusal):
            return
        update = _DECODER.decode(answer)
        self.operators_addresses[sender] = update.operators_address
        previous_run, _ = self.peer_versions.get(sender, (update.run, 0))
        listed = {announcement.name for announcement in update.changed}
        for name, entry in list(self.directory.entries.items()):
            if entry.via != sender or name in listed:
                continue
            if update.run == previous_run:
                self._remove_lost(name, sender)
            else:
                # The sender was restarted and lost its table; its servers will
                # announce themselves again soon.
                self.directory.detach(name)
        self._apply(sender, update)

    def _apply(self, sender: str, update: TableUpdate) -> None:
        now = trio.current_time()
        peer_run, peer_version = self.peer_versions.get(sender, (0, -1))
        if peer_run == update.run and update.version < peer_version:
            return
        self.peer_versions[sender] = (update.run, update.version)
        self.directory.origins_seen_at[sender] = now
        for announcement in update.changed:
            self.directory.accept(announcement, now, sender)
        for name in update.lost:
            entry = self.directory.entries.get(name)
            if entry is not None and entry.via == sender:
                self._remove_lost(name, sender)


def _is_already_sent(
    previous: directories.Entry,
    announcement: announcements.Announcement,
    now: float,
) -> bool:
    """Return whether an announcement need not be sent to other instances.

    It need not if request routing reads the same values from the previous
    announcement of the server, and that one arrived here at most
    `REBROADCAST_AFTER_SECONDS` ago.  After a longer gap the server may have
    announced itself to another instance meanwhile.
    """
    if previous.via or now - previous.received_at > REBROADCAST_AFTER_SECONDS:
        return False
    routing = directories.routing_view
    return routing(previous.announcement) == routing(announcement)


def strip_for_routing(
    announcement: announcements.Announcement,
) -> announcements.Announcement:
    """Return an announcement reduced to what request routing reads.

    It keeps only the reports on service tasks, and of these only the id, the
    attempt and the state.
    """
    tasks = tuple(
        announcements.TaskReport(report.task_id, report.attempt, report.state)
        for report in announcement.tasks
        if report.task_id.startswith("svc:")
    )
    return announcement._replace(tasks=tasks)
