"""An operator that resends each change until its outcome is known."""

import itertools
from typing import Any, NamedTuple

import httpcore
import msgspec
import trio

__all__ = ["Operator", "Reply"]

# Numbers the operators of this process, so that two operators with the same
# name never use the same operation id.
_OPERATOR_NUMBERS = itertools.count()
TIMEOUT_SECONDS = 8.0
RETRY_DELAY_SECONDS = 0.3


class Reply(NamedTuple):
    """Reply to a request, or the lack of one.

    Attributes:
        status: HTTP status; 0 without a reply.
        body: The document in the reply, or empty.
    """

    status: int
    body: dict[str, Any]

    @property
    def is_final(self) -> bool:
        """Whether the outcome of the change is known and final."""
        return self.status != 0 and self.status < 500


class Operator:
    """Sends changes through any instance, idempotently by an operation id.

    Attributes:
        name: Name of the operator.
        key: Key that authorizes operators.
        servers: `host:port` of the operators' listeners, tried in turn.
    """

    def __init__(self, name: str, key: str, servers: tuple[str, ...]):
        self.name = name
        self.key = key
        self.servers = servers
        self._operator_number = next(_OPERATOR_NUMBERS)
        self._operation_numbers = itertools.count()
        self._next_server = 0

    def new_operation_id(self) -> str:
        """Return a new operation id."""
        return (
            f"{self.name}.{self._operator_number}"
            f"-{next(self._operation_numbers)}"
        )

    async def send(
        self,
        server: str,
        method: str,
        path: str,
        body: Any = None,
        operation_id: str = "",
    ) -> Reply:
        """Send a request to an instance once, without retries."""
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
        """Send a change, and resend it with the same id until it is decided."""
        operation_id = operation_id or self.new_operation_id()
        while True:
            server = self.servers[self._next_server % len(self.servers)]
            reply = await self.send(server, method, path, body, operation_id)
            if reply.is_final:
                return reply
            self._next_server += 1
            await trio.sleep(RETRY_DELAY_SECONDS)

    async def read(self, server: str, path: str) -> dict[str, Any] | None:
        """Return a document as an instance knows it; None if that fails.

        The instance answers from its own state, without asking a quorum.
        """
        reply = await self.send(server, "GET", f"{path}?fresh=false")
        return reply.body if reply.status == 200 else None
