"""Requests and responses of the operators' listener, and bounds on requests."""

from collections.abc import Awaitable, Callable, Mapping
import types
from typing import Any, NamedTuple
import urllib.parse

import trio

from turmerichall import outcomes
from turmerichall.gateway import received_body
from turmerichall.settings import settings

__all__ = [
    "Bounds",
    "ClientDisconnected",
    "Request",
    "Response",
    "read_body",
    "parse_head",
    "send_response",
]

Scope = Mapping[str, Any]
Receive = Callable[[], Awaitable[Mapping[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

JSON_TYPE = "application/json"


class ClientDisconnected(Exception):
    """Error for a client that disconnected before its request was complete."""


class Bounds(NamedTuple):
    """Bounds on a request.

    Attributes:
        max_body_bytes: Maximum size of the body.
        max_header_count: Maximum number of header fields.
        max_header_bytes: Maximum total size of the header fields.
        max_path_bytes: Maximum size of path and query together.
        body_timeout_seconds: Time limit for the complete body to arrive.
    """

    max_body_bytes: int = 1024**2
    max_header_count: int = 64
    max_header_bytes: int = 16 * 1024
    max_path_bytes: int = 2048
    body_timeout_seconds: float = 10.0

    @classmethod
    def from_config(cls, config: settings.Settings) -> "Bounds":
        """Create the bounds from the settings of the daemon."""
        return cls(
            max_header_count=config.limits.max_header_count,
            max_header_bytes=config.limits.max_header_bytes,
            body_timeout_seconds=config.timing.slow_sender_timeout_seconds,
        )


class Request(NamedTuple):
    """HTTP request.

    Attributes:
        method: HTTP method.
        path: Decoded path.
        query: Query parameters by name; the last value if one is repeated.
        headers: Header fields by lower-case name; the last value if one is
            repeated.
        body: Body; empty until it has been read.
        parameters: Values of the path parameters by name.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes = b""
    parameters: Mapping[str, str] = types.MappingProxyType({})

    def with_body(self, data: bytes, name: str) -> "Request":
        """Return a copy with the body and the path parameter `name` set."""
        return self._replace(body=data, parameters={"name": name})


class Response(NamedTuple):
    """HTTP response.

    Attributes:
        status: HTTP status.
        body: Body.
        headers: Header fields besides content type and length.
        content_type: Media type of the body.
    """

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = JSON_TYPE


def parse_head(scope: Scope, bounds: Bounds) -> Request | outcomes.Refusal:
    """Parse the head of a request and check its size.

    Args:
        scope: The ASGI scope.
        bounds: Bounds on the request.

    Returns:
        The request without its body, or why it is refused.
    """
    fields = scope["headers"]
    if len(fields) > bounds.max_header_count:
        return _too_large(f"more than {bounds.max_header_count} header fields")
    if sum(len(n) + len(v) for n, v in fields) > bounds.max_header_bytes:
        return _too_large(f"header fields above {bounds.max_header_bytes} B")
    query = scope["query_string"]
    if len(scope["raw_path"]) + len(query) > bounds.max_path_bytes:
        return _too_large(f"path above {bounds.max_path_bytes} B")
    parsed = urllib.parse.parse_qsl(query.decode("latin-1"))
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in fields
    }
    return Request(scope["method"], scope["path"], dict(parsed), headers)


async def read_body(
    scope: Scope, receive: Receive, bounds: Bounds
) -> bytes | outcomes.Refusal:
    """Read the body of a request within its size and time limits.

    Args:
        scope: The ASGI scope.
        receive: The ASGI callable that returns the next event.
        bounds: Bounds on the request.

    Returns:
        The body, or why the request is refused.

    Raises:
        ClientDisconnected: The connection was closed before the body was
            complete.
    """
    with trio.move_on_after(bounds.body_timeout_seconds):
        body = await received_body.read(scope, receive, bounds.max_body_bytes)
        if body is None:
            raise ClientDisconnected
        return body
    return outcomes.Refusal(
        outcomes.RefusalReason.TIMEOUT,
        f"the body did not arrive within {bounds.body_timeout_seconds} s",
    )


async def send_response(send: Send, response: Response) -> None:
    """Send a complete response."""
    fields = (
        ("content-type", response.content_type),
        ("content-length", str(len(response.body))),
        *response.headers,
    )
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": [(n.encode(), v.encode()) for n, v in fields],
        }
    )
    await send({"type": "http.response.body", "body": response.body})


def _too_large(detail: str) -> outcomes.Refusal:
    return outcomes.Refusal(outcomes.RefusalReason.TOO_LARGE, detail)
