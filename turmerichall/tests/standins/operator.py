"""An operator that sends changes until each has a known outcome."""

import itertools
from typing import Any, NamedTuple

import httpcore
import msgspec
import trio

__all__ = ["Operator", "Reply"]

# Numbers operators, so that two of one name never share an operation id.
_OPERATORS = itertools.count()
TIMEOUT_SECONDS = 8.0
RETRY_SECONDS = 0.3


class Reply(NamedTuple):
    """One answer, or the lack of it.

    Attributes:
        status: HTTP status; 0 without an answer.
        body: The document, or empty.
    """

    status: int
    body: dict[str, Any]

    @property
    def is_final(self) -> bool:
        """Whether the fate of the change is known and will not change."""
        return self.status != 0 and self.status < 500


class Operator:
    """Sends changes through any instance, with an id that a resend keeps.

    Attributes:
        name: Name of the operator.
        key: Key of operators.
        servers: `host:port` of the operators' listeners, tried in turn.
    """

    def __init__(self, name: str, key: str, servers: tuple[str, ...]):
        self.name = name
        self.key = key
        self.servers = servers
        self._number = next(_OPERATORS)
        self._numbers = itertools.count()
        self._next_server = 0

    def new_operation_id(self) -> str:
        """Returns a new operation id."""
        return f"{self.name}.{self._number}-{next(self._numbers)}"

    async def send(
        self,
        server: str,
        method: str,
        path: str,
        body: Any = None,
        operation_id: str = "",
    ) -> Reply:
        """Sends one request to one instance, once."""
        headers = [
            ("Authorization", f"Bearer {self.key}"),
            ("Turmerichall-Operator", self.name),
            ("Turmerichall-Operation-Id", operation_id),
        ]
        content = b"" if body is None else msgspec.json.encode(body)
        try:
            with trio.fail_after(TIMEOUT_SECONDS):
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request(
                        method,
                        f"http://{server}{path}",
                        headers=headers,
                        content=content,
                    )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
        ):
            return Reply(0, {})
        try:
            document = msgspec.json.decode(response.content)
        except msgspec.DecodeError:
            document = {}
        return Reply(response.status, document)

    async def change(
        self, method: str, path: str, body: Any = None, operation_id: str = ""
    ) -> Reply:
        """Sends a change, and again with the same id, until it is decided."""
        operation_id = operation_id or self.new_operation_id()
        while True:
            server = self.servers[self._next_server % len(self.servers)]
            reply = await self.send(server, method, path, body, operation_id)
            if reply.is_final:
                return reply
            self._next_server += 1
            await trio.sleep(RETRY_SECONDS)

    async def read(self, server: str, path: str) -> dict[str, Any] | None:
        """Reads a document as one instance knows it; None without answer."""
        reply = await self.send(server, "GET", f"{path}?fresh=false")
        return reply.body if reply.status == 200 else None
