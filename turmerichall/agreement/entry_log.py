"""The entries that a replica keeps, in memory and in its journal."""

import enum
from typing import NamedTuple

import msgspec

from turmerichall import errors
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.agreement import relay_buffer
from turmerichall.storage import journal as storage_journal

__all__ = ["EntryLog", "VoteState"]


class RecordKind(enum.IntEnum):
    """What a record of the journal is."""

    ENTRY = 0
    VOTE = 1
    COMMIT = 2


class Record(NamedTuple):
    """A record of the journal.

    Attributes:
        kind: What it is.
        body: The encoded value.
    """

    kind: RecordKind
    body: msgspec.Raw


class VoteState(NamedTuple):
    """What a replica must remember of elections.

    Attributes:
        term: The newest term it has seen.
        voted_for: Identity it voted for in that term, or empty.
    """

    term: int = 0
    voted_for: str = ""


class _Configuration(NamedTuple):
    """Members as of an entry."""

    position: int
    members: member.Members


class EntryLog:
    """Entries after a snapshot, with what the journal must keep beside them.

    Attributes:
        journal: The log file.
        base_index: Index of the entry before the first one kept.
        base_term: Term of that entry.
        entries: The entries kept.
        vote_state: Term and vote.
        commit: Highest index known to be committed.
    """

    def __init__(self, journal: storage_journal.Journal):
        self.journal = journal
        self.base_index = 0
        self.base_term = 0
        self.entries: list[message.Entry] = []
        self.vote_state = VoteState()
        self.commit = 0
        self._configurations: list[_Configuration] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def members(self) -> member.Members:
        """Members as of the last entry."""
        return self._configurations[-1].members if self._configurations else ()

    @property
    def members_index(self) -> int:
        """Index of the entry that set the members."""
        return self._configurations[-1].position if self._configurations else 0

    def members_at(self, index: int) -> member.Members:
        """Returns the members as of an entry."""
        found: member.Members = ()
        for configuration in self._configurations:
            if configuration.position <= index:
                found = configuration.members
        return found

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry; None if it is not kept."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def get(self, index: int) -> message.Entry:
        """Returns an entry that is kept."""
        return self.entries[index - self.base_index - 1]

    def entries_after(
        self, index: int, max_bytes: int
    ) -> tuple[message.Entry, ...]:
        """Returns the entries that follow an index, at least one if any.

        Args:
            index: A kept index, or the one before the first kept.
            max_bytes: Where to stop.
        """
        start = index - self.base_index
        return relay_buffer.slice_entries(self.entries, start, max_bytes)

    def append(self, entry: message.Entry) -> int:
        """Adds the next entry.

        Returns:
            What to pass to `Journal.wait_durable`.

        Raises:
            StorageError: The journal failed before.
        """
        sequence = self.journal.append(_record(RecordKind.ENTRY, entry))
        self._append_in_memory(entry)
        return sequence

    def _append_in_memory(self, entry: message.Entry) -> None:
        if entry.position != self.last_index + 1:
            raise errors.CorruptLogError(
                f"entry {entry.position} follows entry {self.last_index}"
            )
        self.entries.append(entry)
        if entry.kind == message.EntryKind.MEMBERS:
            members = message.decode(entry.data, member.Members)
            self._configurations.append(_Configuration(entry.position, members))

    def truncate_from(self, index: int) -> None:
        """Drops an entry and all that follow.

        The journal keeps them; the next entry with the same index replaces
        them when it is read.
        """
        del self.entries[index - self.base_index - 1 :]
        self._configurations = [
            kept for kept in self._configurations if kept.position < index
        ]

    def save_vote(self, vote_state: VoteState) -> int:
        """Records term and vote; returns its sequence number."""
        self.vote_state = vote_state
        return self.journal.append(_record(RecordKind.VOTE, vote_state))

    def save_commit(self, commit: int) -> None:
        """Records the index known to be committed, with the next sync."""
        self.commit = commit
        self.journal.append(_record(RecordKind.COMMIT, commit))

    def install_snapshot(self, snapshot: message.Snapshot) -> None:
        """Drops everything but what follows a snapshot, if it fits."""
        if self.term_at(snapshot.position) == snapshot.term:
            return
        self.entries.clear()
        self.base_index = snapshot.position
        self.base_term = snapshot.term
        self._configurations = [
            _Configuration(snapshot.position, snapshot.members)
        ]

    def compact(self, index: int) -> None:
        """Drops entries that a snapshot covers."""
        if index <= self.base_index:
            return
        base_term = self.term_at(index) or 0
        members = self.members_at(index)
        kept = [item for item in self._configurations if item.position > index]
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = base_term
        self._configurations = [_Configuration(index, members), *kept]

    def rewrite(self) -> int:
        """Writes a new journal that holds only what is kept.

        Returns:
            What to pass to `Journal.wait_durable`.
        """
        payloads = [
            _record(RecordKind.VOTE, self.vote_state),
            _record(RecordKind.COMMIT, self.commit),
        ]
        for entry in self.entries:
            payloads.append(_record(RecordKind.ENTRY, entry))
        return self.journal.rewrite(payloads)

    def load(self, snapshot: message.Snapshot | None) -> None:
        """Reads the journal; blocks.

        Args:
            snapshot: The snapshot, if there is one.

        Raises:
            CorruptLogError: A record is damaged or does not follow.
            StorageError: The file can't be read.
        """
        records = [_decode_record(data) for data in self.journal.load()]
        entries: list[message.Entry] = []
        for record in records:
            if record.kind == RecordKind.VOTE:
                self.vote_state = message.decode(bytes(record.body), VoteState)
            elif record.kind == RecordKind.COMMIT:
                self.commit = message.decode(bytes(record.body), int)
            else:
                entry = message.decode(bytes(record.body), message.Entry)
                while entries and entries[-1].position >= entry.position:
                    entries.pop()
                entries.append(entry)
        self._rebuild(entries, snapshot)
        self.commit = min(self.commit, self.last_index)

    def _rebuild(
        self, entries: list[message.Entry], snapshot: message.Snapshot | None
    ) -> None:
        if snapshot is not None:
            self.base_index = snapshot.position
            self.base_term = snapshot.term
            self._configurations = [
                _Configuration(snapshot.position, snapshot.members)
            ]
            self.commit = max(self.commit, snapshot.position)
        for entry in entries:
            if entry.position > self.base_index:
                self._append_in_memory(entry)
            elif (
                entry.position == self.base_index
                and entry.term != self.base_term
            ):
                # What follows led up to another entry than the snapshot's.
                return


def _record(kind: RecordKind, value: object) -> bytes:
    body = msgspec.Raw(msgspec.msgpack.encode(value))
    return msgspec.msgpack.encode(Record(kind, body))


def _decode_record(data: bytes) -> Record:
    try:
        return msgspec.msgpack.decode(data, type=Record)
    except msgspec.DecodeError as error:
        raise errors.CorruptLogError(f"log: {error}") from error
