"""Minimal HTTP/1.1 messages over asyncio streams, for the stand-ins."""

import asyncio
import json
from typing import Any, NamedTuple

__all__ = ["Broken", "Client", "Message", "call", "read_message", "response"]


class Broken(Exception):
    """A connection that ended before a whole message had arrived."""


class Message(NamedTuple):
    """A request or a response.

    Attributes:
        start: The three parts of the first line.
        headers: Header fields by name in lower case.
        body: The body.
    """

    start: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])

    def document(self) -> Any:
        """Return the body as JSON; an empty object if it is none."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message.

    Raises:
        Broken: The connection ended first.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        parts = (lines[0].split(" ", 2) + ["", ""])[:3]
        headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise Broken(str(error)) from error
    return Message((parts[0], parts[1], parts[2]), headers, body)


def response(status: int, document: Any = None) -> bytes:
    """Encode a response with a JSON body."""
    body = b"" if document is None else json.dumps(document).encode()
    head = (
        f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def request(
    method: str, path: str, host: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Encode a request."""
    lines = [f"{method} {path} HTTP/1.1", f"host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append("content-type: application/json")
    lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Client:
    """One connection that is kept open between calls.

    Attributes:
        address: Address of the server, host:port.
    """

    def __init__(self, address: str):
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(
        self,
        method: str,
        path: str,
        host: str,
        document: Any = None,
        timeout_seconds: float = 3.0,
        headers: dict[str, str] | None = None,
    ) -> Message | None:
        """Send a request; return the response, or None if there is none."""
        body = b"" if document is None else json.dumps(document).encode()
        try:
            async with asyncio.timeout(timeout_seconds):
                if self._writer is None:
                    server, _, port = self.address.rpartition(":")
                    self._reader, self._writer = await asyncio.open_connection(
                        server, int(port)
                    )
                assert self._reader is not None
                self._writer.write(
                    request(method, path, host, headers or {}, body)
                )
                await self._writer.drain()
                answer = await read_message(self._reader)
        except (OSError, TimeoutError, Broken):
            self.close()
            return None
        if answer.headers.get("connection") == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def call(
    address: str,
    method: str,
    path: str,
    host: str,
    document: Any = None,
    timeout_seconds: float = 3.0,
    headers: dict[str, str] | None = None,
) -> Message | None:
    """Send a request on a connection of its own; see `Client.call`."""
    client = Client(address)
    try:
        return await client.call(
            method, path, host, document, timeout_seconds, headers
        )
    finally:
        client.close()
