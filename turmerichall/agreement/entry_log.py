"""The log of a replica, in memory and in its journal."""

import enum
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from turmerichall import errors
from turmerichall.agreement import entry_sizes
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.agreement import relay_buffer
from turmerichall.storage import journal as storage_journal

__all__ = ["EntryLog", "VoteState"]


class RecordKind(enum.IntEnum):
    """What a record of the journal holds."""

    ENTRY = 0
    VOTE = 1
    COMMIT = 2


class Record(NamedTuple):
    """A record of the journal.

    Attributes:
        kind: Kind of the record.
        body: The encoded entry, vote state or commit index.
    """

    kind: RecordKind
    body: msgspec.Raw


class VoteState(NamedTuple):
    """Election state that a replica must keep across restarts.

    Attributes:
        term: Newest term that the replica has seen.
        voted_for: Identity of the candidate that it voted for in that term;
            empty if it has not voted.
        resigned: Whether a replica that voted for itself neither leads nor
            campaigns any longer in that term.
    """

    term: int = 0
    voted_for: str = ""
    resigned: bool = False

    def may_lead(self, identity: str) -> bool:
        """Return whether the replica with an identity may lead in the term.

        A leader applies entries once a majority of the voters holds them, so
        its own journal may lack some of them.  If the journal holds a later
        vote state, it also holds all entries that were appended before.
        """
        return self.voted_for == identity and not self.resigned


class _Configuration(NamedTuple):
    """Members of the cluster, as set by a log entry.

    Attributes:
        position: Index of the entry that set the members.
        members: Voters and learners.
    """

    position: int
    members: member.Members


class EntryLog:
    """Log entries since the last compaction, with vote and commit index.

    Attributes:
        journal: Journal that makes entries, votes and commit indexes durable.
        base_index: Index of the entry before the first retained one.
        base_term: Term of that entry.
        entries: The retained entries.
        vote_state: Newest term, and the vote in it.
        commit: Highest commit index that the journal or the snapshot records.
    """

    def __init__(self, journal: storage_journal.Journal):
        self.journal = journal
        self.base_index = 0
        self.base_term = 0
        self.entries: list[message.Entry] = []
        self._sizes = entry_sizes.EntrySizes()
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
        """Members as of the last entry, committed or not."""
        return self._configurations[-1].members if self._configurations else ()

    @property
    def members_index(self) -> int:
        """Index of the entry that set the current members."""
        return self._configurations[-1].position if self._configurations else 0

    def members_at(self, index: int) -> member.Members:
        """Return the members of the cluster as of the entry at an index."""
        found: member.Members = ()
        for configuration in self._configurations:
            if configuration.position <= index:
                found = configuration.members
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if it is not retained."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def get(self, index: int) -> message.Entry:
        """Return the entry at an index, which must be a retained one."""
        return self.entries[index - self.base_index - 1]

    def entries_after(
        self, index: int, max_bytes: int
    ) -> tuple[message.Entry, ...]:
        """Return the entries that follow an index, up to a size.

        At least one entry is returned if there is any.

        Args:
            index: Index of a retained entry, or `base_index`.
            max_bytes: Approximate size at which the result ends.
        """
        start = index - self.base_index
        return relay_buffer.slice_entries(self.entries, start, max_bytes)

    def bytes_between(self, after: int, last: int) -> int:
        """Return the approximate size of retained entries, in bytes.

        Args:
            after: Index of the entry before the first one.
            last: Index of the last one.
        """
        start = max(after - self.base_index, 0)
        end = min(last - self.base_index, len(self.entries))
        return self._sizes.between(start, end) if start < end else 0

    def index_within(self, last: int, max_bytes: int) -> int:
        """Return the lowest index after which the entries fit a size.

        Args:
            last: Index of the last of these entries, a retained one.
            max_bytes: Their maximum size in bytes.
        """
        end = last - self.base_index
        return self.base_index + self._sizes.first_within(end, max_bytes)

    def append(self, entry: message.Entry) -> int:
        """Append an entry and queue it for the journal.

        Returns:
            The sequence number to pass to `Journal.wait_durable`.

        Raises:
            StorageError: The journal failed earlier.
        """
        sequence = self.journal.append(_record(RecordKind.ENTRY, entry))
        self._append_in_memory(entry)
        return sequence

    def _append_in_memory(self, entry: message.Entry) -> None:
        if entry.position != self.last_index + 1:
            raise errors.CorruptLogError(
                f"log: entry {self.last_index} is followed by entry"
                f" {entry.position}"
            )
        self.entries.append(entry)
        self._sizes.append(relay_buffer.approximate_bytes(entry))
        if entry.kind == message.EntryKind.MEMBERS:
            members = message.decode(entry.data, member.Members)
            self._configurations.append(_Configuration(entry.position, members))

    def truncate_from(self, index: int) -> None:
        """Remove an entry and all entries after it.

        Their records stay in the journal.  When it is loaded, the next entry
        with the same index replaces them.
        """
        offset = index - self.base_index - 1
        del self.entries[offset:]
        self._sizes.truncate(offset)
        self._configurations = [
            kept for kept in self._configurations if kept.position < index
        ]

    def save_vote(self, vote_state: VoteState) -> int:
        """Queue the newest term and vote to be written to the journal.

        Returns:
            The sequence number to pass to `Journal.wait_durable`.
        """
        sequence = self.journal.append(_record(RecordKind.VOTE, vote_state))
        self.vote_state = vote_state
        return sequence

    def save_commit(self, commit: int) -> None:
        """Queue the commit index to be written to the journal."""
        self.journal.append(_record(RecordKind.COMMIT, commit))
        self.commit = commit

    def install_snapshot(self, snapshot: message.Snapshot) -> None:
        """Replace all entries by a snapshot.

        Does nothing if the log already includes the snapshot's last entry.
        """
        if self.term_at(snapshot.position) == snapshot.term:
            return
        self.entries.clear()
        self._sizes.truncate(0)
        self.base_index = snapshot.position
        self.base_term = snapshot.term
        self._configurations = [
            _Configuration(snapshot.position, snapshot.members)
        ]

    def compact(self, index: int) -> None:
        """Remove the entries up to an index, which a snapshot must cover."""
        if index <= self.base_index:
            return
        base_term = self.term_at(index) or 0
        members = self.members_at(index)
        kept = [item for item in self._configurations if item.position > index]
        del self.entries[: index - self.base_index]
        self._sizes.drop_first(index - self.base_index)
        self.base_index = index
        self.base_term = base_term
        self._configurations = [_Configuration(index, members), *kept]

    def rewrite(self) -> int:
        """Replace the journal by one with the retained entries only.

        Returns:
            The sequence number to pass to `Journal.wait_durable`.
        """
        return self.journal.rewrite(self._records())

    async def rewrite_after_failure(self) -> None:
        """Replace a journal that failed; see `Journal.replace_after_failure`.

        Raises:
            DiskError: The disk still fails.
        """
        await self.journal.replace_after_failure(self._records())

    def _records(self) -> Iterator[bytes]:
        """Return the records of the current state, encoded as they are read."""
        values: list[tuple[RecordKind, object]] = [
            (RecordKind.VOTE, self.vote_state),
            (RecordKind.COMMIT, self.commit),
            *((RecordKind.ENTRY, entry) for entry in self.entries),
        ]
        return (_record(kind, value) for kind, value in values)

    def load(self, snapshot: message.Snapshot | None) -> None:
        """Restore the log from the journal; blocks on file I/O.

        Args:
            snapshot: The snapshot; None if there is none.

        Raises:
            CorruptLogError: A record is damaged or out of order.
            StorageError: The file can't be read.
        """
        # Entries that a snapshot covers are not needed, but for the last one,
        # whose term is compared.
        first = snapshot.position if snapshot else 0
        entries: list[message.Entry] = []
        for record in map(_decode_record, self.journal.load()):
            if record.kind == RecordKind.VOTE:
                self.vote_state = message.decode(record.body, VoteState)
            elif record.kind == RecordKind.COMMIT:
                self.commit = message.decode(record.body, int)
            else:
                entry = message.decode(record.body, message.Entry)
                while entries and entries[-1].position >= entry.position:
                    entries.pop()
                if entry.position >= first:
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
                # The journal holds another entry at the snapshot's index, so
                # the entries after it conflict with the snapshot.
                return


def _record(kind: RecordKind, value: object) -> bytes:
    body = msgspec.Raw(msgspec.msgpack.encode(value))
    return msgspec.msgpack.encode(Record(kind, body))


def _decode_record(data: bytes) -> Record:
    try:
        return msgspec.msgpack.decode(data, type=Record)
    except msgspec.DecodeError as error:
        raise errors.CorruptLogError(f"log: {error}") from error
