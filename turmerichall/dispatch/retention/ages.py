"""How long records have been seen without use.

Answers clocks that jump and leaders that change: the time counts from when this
leader first saw the record, on a steady clock, so that it is never too short.
"""

from collections.abc import Iterable

__all__ = ["Ages"]


class Ages:
    """Times since which a leader has seen records that may leave.

    Attributes:
        since: Time on the steady clock, in seconds, by key; the longest first.
    """

    def __init__(self) -> None:
        self.since: dict[str, float] = {}

    def observe(self, keys: Iterable[str], now: float) -> None:
        """Record which keys may leave now; forget all others.

        Args:
            keys: Keys of the records that may leave.
            now: Current time on the steady clock.

        Examples:
            >>> ages = Ages()
            >>> ages.observe(["a", "b"], 10.0)
            >>> ages.observe(["b", "c"], 20.0)
            >>> ages.since
            {'b': 10.0, 'c': 20.0}
        """
        present = set(keys)
        kept = {
            key: since for key, since in self.since.items() if key in present
        }
        for key in sorted(present - kept.keys()):
            kept[key] = now
        self.since = kept

    def older_than(
        self, seconds: float, now: float, most: int
    ) -> tuple[str, ...]:
        """Return the keys that have been seen for a time, the oldest first.

        Args:
            seconds: The time.
            now: Current time on the steady clock.
            most: Maximum number of keys.
        """
        found: list[str] = []
        for key, since in self.since.items():
            if len(found) == most or now - since < seconds:
                break
            found.append(key)
        return tuple(found)

    def renew(self, key: str, now: float) -> None:
        """Count the time of a record anew.

        Args:
            key: Key of the record.
            now: Current time on the steady clock.

        Examples:
            >>> ages = Ages()
            >>> ages.observe(["a", "b"], 10.0)
            >>> ages.renew("a", 20.0)
            >>> ages.since
            {'b': 10.0, 'a': 20.0}
        """
        self.since.pop(key, None)
        self.since[key] = now

    def discard(self, keys: Iterable[str]) -> None:
        """Forget keys whose records have left."""
        for key in keys:
            self.since.pop(key, None)
