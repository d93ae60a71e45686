"""HTTP/1.1 requests and responses, and their encoding."""

from collections.abc import Mapping
import http
import types
from typing import NamedTuple

__all__ = [
    "Headers",
    "Request",
    "Response",
    "encode_request",
    "encode_response",
]

# Values of header fields, by name in lower case.
Headers = dict[str, str]

JSON = "application/json"


class Request(NamedTuple):
    """A complete request.

    Attributes:
        method: HTTP method in capitals.
        target: Path and query as sent by the client.
        headers: Header fields by name in lower case.
        body: Body of the request.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b""

    @property
    def host(self) -> str:
        """The host name of the `host` header field, without the port."""
        return self.headers.get("host", "").partition(":")[0].lower()


class Response(NamedTuple):
    """A response.

    Attributes:
        status: HTTP status code.
        body: Body of the response; JSON unless the headers name another type.
        headers: Header fields by name in lower case, without `content-length`,
            which is added on encoding.
        resent: Whether a client got this response after an earlier try of the
            call broke, which the server may also have received, or may yet.
    """

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = types.MappingProxyType({})
    resent: bool = False


_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n"
    for status in http.HTTPStatus
}


def encode_request(request: Request) -> bytes:
    """Return the encoded request, with its `content-length`.

    Raises:
        ValueError: The target or a header field can't be encoded, or contains a
            line break.

    Examples:
        >>> encode_request(Request("GET", "/a", {"host": "b"}))
        b'GET /a HTTP/1.1\\r\\nhost: b\\r\\ncontent-length: 0\\r\\n\\r\\n'
    """
    target = request.target
    if "\n" in target or "\r" in target:
        raise ValueError("the target contains a line break")
    head = f"{request.method} {target} HTTP/1.1\r\n"
    for name, value in request.headers.items():
        head += _encode_field(name, value)
    head += f"content-length: {len(request.body)}\r\n\r\n"
    return head.encode("latin-1") + request.body


def encode_response(response: Response, close: bool = False) -> bytes:
    """Return the encoded response, with its `content-length`.

    Args:
        response: The response.
        close: Whether the server closes the connection after this response.

    Raises:
        ValueError: A header field can't be encoded, or contains a line break.

    Examples:
        >>> encode_response(Response(200), close=True)[:36]
        b'HTTP/1.1 200 OK\\r\\ncontent-length: 0\\r\\n'
    """
    status = response.status
    head = _STATUS_LINES.get(status) or f"HTTP/1.1 {status} Unknown\r\n"
    head += f"content-length: {len(response.body)}\r\n"
    if response.body and "content-type" not in response.headers:
        head += f"content-type: {JSON}\r\n"
    for name, value in response.headers.items():
        head += _encode_field(name, value)
    if close:
        head += "connection: close\r\n"
    return (head + "\r\n").encode("latin-1") + response.body


def _encode_field(name: str, value: str) -> str:
    """Return the line of a header field.

    Raises:
        ValueError: It would be several lines, and so add other fields.
    """
    field = f"{name}: {value}"
    if "\n" in field or "\r" in field:
        raise ValueError(f"the header field {name!r} contains a line break")
    return field + "\r\n"
