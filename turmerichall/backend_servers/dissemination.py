"""Passes announcements on to the other instances.

An instance sends what routing reads of the backend servers that it hears from
itself: at once when it changed, and otherwise only a heartbeat with the
version of its table.  A receiver that missed a change sees it by the version
and asks for the whole table.
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
AWAY_SECONDS = 2.5 * announcements.ANNOUNCE_PERIOD_SECONDS

CHANGED = "backend_servers/changed"
HEARTBEAT = "backend_servers/heartbeat"
TABLE = "backend_servers/table"


Handler = Callable[[str, bytes], Awaitable[bytes | None]]


class Links(Protocol):
    """The connections to other daemons; `peers.network.Network` is one."""

    addresses: dict[str, str]

    def handle(self, kind: str, handler: Handler) -> None:
        """Registers the handler of a kind of message."""

    def send(self, instance: str, kind: str, body: bytes) -> bool:
        """Sends a one-way message, or drops it if the queue is full."""

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Sends a message and awaits its answer."""


class TableUpdate(NamedTuple):
    """A part of an instance's table.

    Attributes:
        run: Names one run of the sending daemon.
        version: Version of the table after this part.
        heard: Announcements to take in, cut down to what routing reads.
        lost: Names of backend servers that the sender hears no longer.
        operators_address: Where the sender takes announcements; with a whole
            table only.
    """

    run: int
    version: int
    heard: tuple[announcements.Announcement, ...] = ()
    lost: tuple[str, ...] = ()
    operators_address: str = ""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(TableUpdate)


class Dissemination:
    """Keeps the directories of all instances in reach alike.

    Attributes:
        directory: This instance's directory.
        links: Connections to the other instances.
        run_id: Names this run of the daemon.
        version: Version of this instance's own table.
        own: Names of the backend servers that this instance hears from.
        silent: Names of those that others heard from, and that fell silent.
        versions: Run and version of each other instance's table, as known.
        operators_address: Where this instance takes announcements.
        operators_addresses: Where the other instances take them, by name.
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
        self.own: set[str] = set()
        self.silent: set[str] = set()
        self.versions: dict[str, tuple[int, int]] = {}
        self.operators_address = operators_address
        self.operators_addresses: dict[str, str] = {}
        links.handle(CHANGED, self._on_changed)
        links.handle(HEARTBEAT, self._on_heartbeat)
        links.handle(TABLE, self._on_table)

    def accept(
        self, announcement: announcements.Announcement
    ) -> outcomes.Refusal | None:
        """Takes in an announcement received here, and passes a change on."""
        now = trio.current_time()
        before = self.directory.entries.get(announcement.name)
        refusal = self.directory.accept(announcement, now)
        if refusal is not None:
            return refusal
        same = (
            before is not None
            and announcement.name in self.own
            and _continues(before, announcement, now)
        )
        self.own.add(announcement.name)
        if not same:
            self._pass_on((strip_for_routing(announcement),), ())
        return None

    async def run(self) -> None:
        """Sends heartbeats and drops silent backend servers, for ever."""
        while True:
            self._drop_silent()
            beat = _ENCODER.encode(TableUpdate(self.run_id, self.version))
            for instance in list(self.links.addresses):
                self.links.send(instance, HEARTBEAT, beat)
            await trio.sleep(HEARTBEAT_SECONDS)

    def _pass_on(
        self,
        heard: tuple[announcements.Announcement, ...],
        lost: tuple[str, ...],
    ) -> None:
        self.version += 1
        batch = TableUpdate(self.run_id, self.version, heard, lost)
        body = _ENCODER.encode(batch)
        for instance in list(self.links.addresses):
            self.links.send(instance, CHANGED, body)

    def _drop_silent(self) -> None:
        now = trio.current_time()
        lost = []
        for name in sorted(self.own):
            known = self.directory.entries.get(name)
            if known is None or known.via:
                self.own.discard(name)
            elif self.directory.is_silent(known, now):
                lost.append(name)
                self.own.discard(name)
                self.directory.remove(name)
        self.directory.evict_silent(now)
        silent = self._silent_elsewhere(now)
        if lost or silent - self.silent:
            # Another instance may hear from them, in a table known as it is.
            self.versions.clear()
        self.silent = silent
        if lost:
            self._pass_on((), tuple(lost))

    def _silent_elsewhere(self, now: float) -> set[str]:
        return {
            name
            for name, known in self.directory.entries.items()
            if known.via
            and not known.announcement.leaving
            and self.directory.is_silent(known, now)
        }

    def _lose(self, name: str, sender: str) -> None:
        """Forgets a backend server that its origin lost.

        Unless it was leaving, another instance may hear from it, in a table
        known as it is, so that the tables of all but the origin are asked for.
        """
        known = self.directory.entries[name]
        self.directory.remove(name)
        if not known.announcement.leaving:
            for other in set(self.versions) - {sender}:
                del self.versions[other]

    async def _on_changed(self, sender: str, body: bytes) -> None:
        batch = _DECODER.decode(body)
        known = self.versions.get(sender)
        self._take(sender, batch)
        if known != (batch.run, batch.version - 1):
            await self._pull(sender)

    async def _on_heartbeat(self, sender: str, body: bytes) -> None:
        batch = _DECODER.decode(body)
        if self.versions.get(sender) != (batch.run, batch.version):
            await self._pull(sender)
        else:
            self.directory.origins_seen_at[sender] = trio.current_time()

    async def _on_table(self, _: str, __: bytes) -> bytes:
        heard = []
        for name in sorted(self.own):
            known = self.directory.entries.get(name)
            if known is not None and not known.via:
                heard.append(strip_for_routing(known.announcement))
        batch = TableUpdate(
            self.run_id,
            self.version,
            tuple(heard),
            operators_address=self.operators_address,
        )
        return _ENCODER.encode(batch)

    async def _pull(self, sender: str) -> None:
        answer = await self.links.call(
            sender, TABLE, b"", TABLE_TIMEOUT_SECONDS
        )
        if isinstance(answer, outcomes.Refusal):
            return
        batch = _DECODER.decode(answer)
        self.operators_addresses[sender] = batch.operators_address
        run_before, _ = self.versions.get(sender, (batch.run, 0))
        named = {announcement.name for announcement in batch.heard}
        for name, known in list(self.directory.entries.items()):
            if known.via != sender or name in named:
                continue
            if batch.run == run_before:
                self._lose(name, sender)
            else:
                # The sender was restarted: its servers announce anew soon.
                self.directory.detach(name)
        self._take(sender, batch)

    def _take(self, sender: str, batch: TableUpdate) -> None:
        now = trio.current_time()
        known_run, known_version = self.versions.get(sender, (0, -1))
        if known_run == batch.run and batch.version < known_version:
            return
        self.versions[sender] = (batch.run, batch.version)
        self.directory.origins_seen_at[sender] = now
        for announcement in batch.heard:
            self.directory.accept(announcement, now, sender)
        for name in batch.lost:
            known = self.directory.entries.get(name)
            if known is not None and known.via == sender:
                self._lose(name, sender)


def _continues(
    before: directories.Entry,
    announcement: announcements.Announcement,
    now: float,
) -> bool:
    """Tells whether an announcement adds nothing to what was passed on.

    A server that was away for a while may have been heard by another instance
    meanwhile, so that it is passed on again.
    """
    if before.via or now - before.received_at > AWAY_SECONDS:
        return False
    routing = directories.routing_view
    return routing(before.announcement) == routing(announcement)


def strip_for_routing(
    announcement: announcements.Announcement,
) -> announcements.Announcement:
    """Returns what routing reads of an announcement, and no more."""
    tasks = tuple(
        announcements.TaskReport(report.task_id, report.attempt, report.state)
        for report in announcement.tasks
        if report.task_id.startswith("svc:")
    )
    return announcement._replace(tasks=tasks)
