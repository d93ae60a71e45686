"""Sum of the messages of other instances that are being handled.

Answers many callers' requests that pass through all entry instances at once:
each instance limits its own, and the replica that they are sent to would hold
the sum.
"""

__all__ = ["Messages"]

DEFAULT_MAX_BYTES = 64 * 1024 * 1024


class Messages:
    """Messages that are being handled.

    Attributes:
        max_bytes: Maximum size of all of them.
        size: Size of all of them.

    Examples:
        >>> messages = Messages(10)
        >>> [messages.begin(size) for size in (20, 1)]
        [True, False]
        >>> messages.end(20)
        >>> [messages.begin(size) for size in (4, 6, 1)]
        [True, True, False]
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES):
        self.max_bytes = max_bytes
        self.size = 0

    def begin(self, size: int) -> bool:
        """Count a message, and return whether it may be handled.

        One that is larger than the limit may be handled alone.
        """
        if self.size and self.size + size > self.max_bytes:
            return False
        self.size += size
        return True

    def end(self, size: int) -> None:
        """Count the end of a message that was being handled."""
        self.size -= size
