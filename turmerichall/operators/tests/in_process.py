"""Client that calls the operators' application in the same process."""

from typing import Any, NamedTuple

import msgspec
import trio

from turmerichall.operators import exchange
from turmerichall.operators.tests import fake_daemon
from turmerichall.telemetry import counters

__all__ = ["Response", "Client", "OPERATOR", "WORKER"]

OPERATOR = {"authorization": "Bearer operators-key"}
WORKER = {"authorization": "Bearer workers-key"}


class Response(NamedTuple):
    """Response as received by a client.

    Attributes:
        status: HTTP status.
        document: Decoded JSON body, or the raw body of another content type.
        headers: Header fields by name.
    """

    status: int
    document: Any
    headers: dict[str, str]


class Client:
    """Calls an application that runs on a fake daemon."""

    def __init__(self) -> None:
        self.daemon = fake_daemon.FakeDaemon()
        self.counters = counters.Counters()
        bounds = exchange.Bounds(max_body_bytes=4000)
        self.app = self.daemon.application(self.counters, bounds)
        self.operations = 0

    async def call(
        self,
        method: str,
        target: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        body_never_ends: bool = False,
    ) -> Response:
        """Send a request with default headers and return the response.

        Args:
            method: HTTP method.
            target: Path and query.
            body: Body: bytes, or a value to encode as JSON.
            headers: Header fields instead of an operator's key.
            body_never_ends: Whether the end of the body is never sent.
        """
        path, _, query = target.partition("?")
        self.operations += 1
        fields = {"turmerichall-operation-id": f"op{self.operations}"}
        fields |= OPERATOR if headers is None else headers
        data = body if isinstance(body, bytes) else b""
        if body is not None and not isinstance(body, bytes):
            data = msgspec.json.encode(body)
        encoded = [(n.encode(), v.encode()) for n, v in fields.items()]
        return await self.send(
            method, path, query.encode(), encoded, data, body_never_ends
        )

    async def send(
        self,
        method: str,
        path: str,
        query: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        body_never_ends: bool = False,
    ) -> Response:
        """Send a request exactly as given and return the response."""
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "raw_path": path.encode("utf-8", "surrogatepass"),
            "query_string": query,
            "headers": headers,
        }
        events = [
            {"type": "http.request", "body": body, "more_body": body_never_ends}
        ]
        sent: list[dict[str, Any]] = []

        async def receive() -> dict[str, Any]:
            if not events:
                await trio.sleep_forever()
            return events.pop()

        async def record(event: dict[str, Any]) -> None:
            sent.append(event)

        await self.app(scope, receive, record)
        response_headers = {
            n.decode(): v.decode() for n, v in sent[0]["headers"]
        }
        text = sent[1]["body"]
        if response_headers["content-type"] == "application/json":
            text = msgspec.json.decode(text)
        return Response(sent[0]["status"], text, response_headers)

    async def put(
        self, path: str, body: Any, base_version: int = 0, **headers: str
    ) -> Response:
        """Set an entry of a collection and return the response."""
        document = {"base_version": base_version, "body": body}
        fields = OPERATOR | {k.replace("_", "-"): v for k, v in headers.items()}
        return await self.call("PUT", path, document, fields)
