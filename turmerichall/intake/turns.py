"""Turns of the connections whose input takes long to parse.

Answers crowds whose input is cut into very small parts: it takes far more
processor time a byte than ordinary input, and what is parsed at once for all of
them would delay heartbeats and ordinary requests.
"""

import trio

__all__ = ["PARTS_PER_TURN", "Turns"]

# An ordinary request has fewer header fields and pieces of a body.
PARTS_PER_TURN = 64


class Turns:
    """Lets one costly connection go on in each round of the event loop.

    Other tasks run between two turns, so that they wait for one costly
    connection at most.
    """

    def __init__(self) -> None:
        self._lock = trio.Lock()

    async def wait(self) -> None:
        """Wait for a turn, after those that wait already."""
        async with self._lock:
            await trio.lowlevel.checkpoint()
