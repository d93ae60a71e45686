"""What the request path needs of the connections between daemons."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from turmerichall import outcomes

__all__ = ["Handler", "Network"]

Handler = Callable[[str, bytes], Awaitable[bytes | None]]


class Network(Protocol):
    """Calls to other entry instances; `peers.network.Network` is one."""

    name: str

    def handle(self, kind: str, handler: Handler) -> None:
        """Registers the handler of a kind of message."""

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Calls a handler on another instance."""

    def send(self, instance: str, kind: str, body: bytes) -> bool:
        """Sends a one-way message."""
