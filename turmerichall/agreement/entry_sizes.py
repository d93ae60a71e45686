"""Sizes of the retained entries of a log."""

import array
import bisect

__all__ = ["EntrySizes"]


class EntrySizes:
    """Sum of the sizes of any range of entries, in constant time.

    Entries are named by their offset, that is, by how many are before them.
    """

    def __init__(self) -> None:
        # Bytes up to the end of each entry, and those before the first.
        self._ends = array.array("Q", [0])

    def append(self, size: int) -> None:
        """Add an entry after the last one.

        Args:
            size: Its size in bytes.
        """
        self._ends.append(self._ends[-1] + size)

    def truncate(self, offset: int) -> None:
        """Remove the entries from an offset on."""
        del self._ends[offset + 1 :]

    def drop_first(self, count: int) -> None:
        """Remove the first entries."""
        del self._ends[:count]

    def between(self, start: int, end: int) -> int:
        """Return the size of the entries from one offset to before another."""
        return self._ends[end] - self._ends[start]

    def first_within(self, end: int, max_bytes: int) -> int:
        """Return the lowest offset from which entries up to `end` fit a size.

        Args:
            end: Offset after the last entry.
            max_bytes: Maximum size of the entries in bytes.

        Examples:
            >>> sizes = EntrySizes()
            >>> for size in (5, 5, 10): sizes.append(size)
            >>> sizes.first_within(3, 15), sizes.first_within(3, 14)
            (1, 2)
        """
        lowest = max(0, self._ends[end] - max_bytes)
        return bisect.bisect_left(self._ends, lowest, 0, end)
