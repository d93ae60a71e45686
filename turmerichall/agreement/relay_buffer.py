"""The last committed entries of an instance without a disk."""

from collections.abc import Sequence

from turmerichall.agreement import message

__all__ = ["RelayBuffer", "slice_entries"]

# Entries that others may still ask for; some seconds of the peak.
MAX_BYTES = 1024 * 1024
ENTRY_OVERHEAD_BYTES = 16


class RelayBuffer:
    """Keeps the last applied entries for those that follow.

    Attributes:
        base_index: Index of the entry before the first one kept.
        entries: The entries kept.
    """

    def __init__(self) -> None:
        self.base_index = 0
        self.entries: list[message.Entry] = []
        self._bytes = 0

    def append(self, entry: message.Entry) -> None:
        """Adds an entry, and drops the oldest ones beyond a size."""
        if entry.position != self.base_index + len(self.entries) + 1:
            self.restart(entry.position - 1)
        self.entries.append(entry)
        self._bytes += approximate_bytes(entry)
        if self._bytes > 2 * MAX_BYTES:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        dropped = 0
        while self._bytes > MAX_BYTES and dropped < len(self.entries) - 1:
            self._bytes -= approximate_bytes(self.entries[dropped])
            dropped += 1
        del self.entries[:dropped]
        self.base_index += dropped

    def restart(self, index: int) -> None:
        """Drops everything; the next entry follows an index."""
        self.entries.clear()
        self.base_index = index
        self._bytes = 0

    def entries_after(
        self, index: int, max_bytes: int
    ) -> tuple[message.Entry, ...]:
        """Returns the entries that follow an index; see `EntryLog.entries_after`."""
        return slice_entries(self.entries, index - self.base_index, max_bytes)


def approximate_bytes(entry: message.Entry) -> int:
    """Returns about how many bytes an entry takes."""
    return len(entry.data) + ENTRY_OVERHEAD_BYTES


def slice_entries(
    entries: Sequence[message.Entry], start: int, max_bytes: int
) -> tuple[message.Entry, ...]:
    """Returns entries from a place on, at least one if any.

    Args:
        entries: All entries.
        start: Place of the first one.
        max_bytes: Where to stop.
    """
    end = start
    size = 0
    while end < len(entries) and size < max_bytes:
        size += approximate_bytes(entries[end])
        end += 1
    return tuple(entries[start:end])
