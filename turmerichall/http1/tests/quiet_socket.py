"""Socket of a stream in memory, on which nothing is waiting to be read."""

import socket

__all__ = ["QuietSocket"]


class QuietSocket:
    """Stand-in for the socket of a stream.

    Attributes:
        closed: Whether it was closed.
    """

    def __init__(self) -> None:
        self.closed = False
        self._ends = socket.socketpair()

    def fileno(self) -> int:
        """See `socket.socket`."""
        return self._ends[0].fileno()

    def close(self) -> None:
        """See `socket.socket`."""
        self.closed = True
        for end in self._ends:
            end.close()
