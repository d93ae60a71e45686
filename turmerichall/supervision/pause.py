"""Pauses between tries of something that failed."""

__all__ = ["GrowingPause"]


class GrowingPause:
    """A pause that doubles with each failure in a row.

    Attributes:
        first_seconds: Pause after the first failure.
        most_seconds: Longest pause.

    Examples:
        >>> pause = GrowingPause(0.25, 5.0)
        >>> [pause.next_seconds() for _ in range(6)]
        [0.25, 0.5, 1.0, 2.0, 4.0, 5.0]
    """

    def __init__(self, first_seconds: float, most_seconds: float):
        self.first_seconds = first_seconds
        self.most_seconds = most_seconds
        self._next = first_seconds

    def next_seconds(self) -> float:
        """Return the pause after one more failure, in seconds."""
        seconds = self._next
        self._next = min(seconds * 2, self.most_seconds)
        return seconds

    def reset(self) -> None:
        """Start from the first pause again, after a success."""
        self._next = self.first_seconds
