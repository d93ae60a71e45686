"""Interface of the request path to the connections between entry instances."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from turmerichall import outcomes

__all__ = ["Handler", "Network"]

Handler = Callable[[str, bytes], Awaitable[bytes | None]]


class Network(Protocol):
    """Calls to other entry instances; `peers.network.Network` implements it."""

    name: str

    def handle(self, kind: str, handler: Handler) -> None:
        """Register the function that handles messages of a kind."""

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Send a message to another instance; return its reply or a refusal."""

    def send(self, instance: str, kind: str, body: bytes) -> bool:
        """Send a message without reply; return whether it was queued."""
