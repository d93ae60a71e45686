"""Buffer of the last applied entries of a diskless instance, to relay them."""

from collections.abc import Sequence

from turmerichall.agreement import message

__all__ = ["RelayBuffer", "slice_entries"]

# Size to which the buffer is reduced when it exceeds twice this size.  It holds
# some seconds of entries at peak load, for instances that have fallen behind.
MAX_BYTES = 1024 * 1024
# Estimated size of an entry without its data.
ENTRY_OVERHEAD_BYTES = 16


class RelayBuffer:
    """Retains the last applied entries for instances that follow this one.

    Attributes:
        base_index: Index of the entry before the first retained one.
        entries: The retained entries.
    """

    def __init__(self) -> None:
        self.base_index = 0
        self.entries: list[message.Entry] = []
        self._bytes = 0

    def append(self, entry: message.Entry) -> None:
        """Append an entry; drop the oldest ones if the buffer is too large.

        An entry that does not follow the last one replaces all others.
        """
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
        """Remove all entries; the entry after `index` is expected next."""
        self.entries.clear()
        self.base_index = index
        self._bytes = 0

    def entries_after(
        self, index: int, max_bytes: int
    ) -> tuple[message.Entry, ...]:
        """See `EntryLog.entries_after`."""
        return slice_entries(self.entries, index - self.base_index, max_bytes)


def approximate_bytes(entry: message.Entry) -> int:
    """Return the approximate size of an entry, in bytes."""
    return len(entry.data) + ENTRY_OVERHEAD_BYTES


def slice_entries(
    entries: Sequence[message.Entry], start: int, max_bytes: int
) -> tuple[message.Entry, ...]:
    """Return the entries from an offset on, up to a size.

    At least one entry is returned if there is any.

    Args:
        entries: Entries in log order.
        start: Offset of the first entry to return.
        max_bytes: Approximate size at which the result ends.
    """
    end = start
    size = 0
    while end < len(entries) and size < max_bytes:
        size += approximate_bytes(entries[end])
        end += 1
    return tuple(entries[start:end])
