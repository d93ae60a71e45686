"""Reader of the requests of one connection."""

import collections

import httptools

from turmerichall.http1 import limits as limits_module
from turmerichall.http1 import message
from turmerichall.intake import block_buffer

__all__ = ["CONTINUE_RESPONSE", "RequestReader", "request_size"]

# Received bytes are parsed in pieces of this size until a request is complete.
# What follows it stays as it was received, since short requests take many times
# their size once they are parsed.
PIECE_BYTES = 2 * 1024
# Memory of a header field beside its characters, and of a request beside its
# fields and its body.
FIELD_BYTES = 200
REQUEST_BYTES = 1000
HEADER_END = b"\r\n\r\n"
CONTINUE = "100-continue"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class _Refused(Exception):
    """Error for a request that is refused while it is read.

    Attributes:
        status: HTTP status of the response.
    """

    def __init__(self, status: int):
        super().__init__(status)
        self.status = status


class RequestReader:
    """Builder of requests from the callbacks of the HTTP parser.

    An offer to switch to another protocol is ignored (RFC 9110, 7.8).  The
    parser ends at the header of such a request, and takes what follows for the
    other protocol; another parser then reads the request again without the
    offer, and goes on.

    Attributes:
        limits: Limits on the size and time of the current request.
        requests: Complete requests that wait for the handler, each with whether
            the connection may be kept alive after its response.
        in_request: Whether a request has begun to arrive and is not complete.
        awaits_continue: Whether the client waits for `CONTINUE_RESPONSE` before
            it sends the body of the current request.
        unparsed: Received bytes that are not parsed yet.
        parts: Number of pieces in which the parser has returned the header
            fields and the body of the current request.
    """

    def __init__(self, limits: limits_module.Limits):
        self.limits = limits
        self.requests: collections.deque[tuple[message.Request, bool]] = (
            collections.deque()
        )
        self.in_request = False
        self.awaits_continue = False
        self.parser = httptools.HttpRequestParser(self)
        self.unparsed = bytearray()
        self.parts = 0
        self._waiting_bytes = 0
        self._target = b""
        self._headers: message.Headers = {}
        self._body = block_buffer.BlockBuffer()
        self._header_bytes = 0
        self._parsed_bytes = 0
        self._unparsed_field_bytes = 0
        self._tail = b""

    @property
    def size(self) -> int:
        """Estimated memory of all that was received and not answered."""
        return (
            self._waiting_bytes
            + len(self.unparsed)
            + self._header_bytes
            + FIELD_BYTES * len(self._headers)
            + self._unparsed_field_bytes
            + len(self._body)
        )

    def take(self) -> tuple[message.Request, bool]:
        """Return the first of `requests`, and remove it."""
        request, keeps_alive = self.requests.popleft()
        self._waiting_bytes -= request_size(request)
        return request, keeps_alive

    def discard(self) -> None:
        """Release what was received.  The reader can't be used any more."""
        self.requests.clear()
        self._waiting_bytes = 0
        self.unparsed = bytearray()
        self._headers = {}
        self._body.clear()

    # pylint: disable=missing-function-docstring
    def on_message_begin(self) -> None:
        self.in_request = True
        self._target = b""
        self._headers = {}
        self._body.clear()
        self._header_bytes = 0
        self._parsed_bytes = 0
        self._unparsed_field_bytes = 0
        self.parts = 0

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_header(len(name) + len(value))
        key = name.decode("latin-1").lower()
        self._headers[key] = value.decode("latin-1")
        self.parts += 1

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > self.limits.body_bytes:
            raise _Refused(413)
        self._body.add(body)
        self.parts += 1

    def on_message_complete(self) -> None:
        request = message.Request(
            self.parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            self._body.take(),
        )
        self._headers = {}
        self._header_bytes = 0
        self._unparsed_field_bytes = 0
        self.in_request = False
        self.requests.append((request, self.parser.should_keep_alive()))
        self._waiting_bytes += request_size(request)

    # pylint: enable=missing-function-docstring

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self.limits.header_bytes:
            raise _Refused(431)

    def parse_piece(self) -> int:
        """Parse the next piece of `unparsed`.

        Returns:
            0 if they are valid so far, otherwise the HTTP status of the error.
        """
        data = bytes(self.unparsed[:PIECE_BYTES])
        del self.unparsed[:PIECE_BYTES]
        try:
            self._parse(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            return cause.status if isinstance(cause, _Refused) else 400
        except _Refused as refused:
            return refused.status
        except httptools.HttpParserError:
            return 400
        return self._check_incomplete(data) if self.in_request else 0

    def _parse(self, data: bytes) -> None:
        while True:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                data = data[offer.args[0] :]
            # The parser has taken the header for the whole request.
            request, keeps_alive = self.requests.pop()
            self._waiting_bytes -= request_size(request)
            self.in_request = True
            if request.method == "CONNECT":
                raise _Refused(501)
            head = _head_without_offer(
                request, self.parser.get_http_version(), keeps_alive
            )
            self.parser = httptools.HttpRequestParser(self)
            self.parser.feed_data(head)
            if not data:
                return

    def _check_incomplete(self, data: bytes) -> int:
        """Check a request that is not complete after the bytes just parsed.

        Returns:
            413 if its announced body is too large, 431 if a single field is,
            which the parser keeps until it is complete; otherwise 0.
        """
        self._tail = (self._tail + data)[-len(HEADER_END) :]
        if self._tail == HEADER_END and not self._body:
            headers = self._headers
            if int(headers.get("content-length", 0)) > self.limits.body_bytes:
                return 413
            expected = headers.get("expect", "").lower()
            version = self.parser.get_http_version()
            self.awaits_continue = (
                expected == CONTINUE and version != "1.0" and not self.unparsed
            )
        parsed_bytes = self._header_bytes + len(self._body)
        if parsed_bytes != self._parsed_bytes:
            self._parsed_bytes = parsed_bytes
            self._unparsed_field_bytes = 0
            return 0
        self._unparsed_field_bytes += len(data)
        too_large = self._unparsed_field_bytes > self.limits.header_bytes
        return 431 if too_large else 0


def request_size(request: message.Request) -> int:
    """Return the estimated memory of a complete request."""
    fields = request.headers
    return (
        REQUEST_BYTES
        + len(request.target)
        + sum(FIELD_BYTES + len(name) + len(fields[name]) for name in fields)
        + len(request.body)
    )


def _head_without_offer(
    request: message.Request, version: str, keeps_alive: bool
) -> bytes:
    """Encode the header of a request without its offer of another protocol."""
    lines = [f"{request.method} {request.target} HTTP/{version}"]
    lines += [
        f"{name}: {value}"
        for name, value in request.headers.items()
        if name not in ("upgrade", "connection")
    ]
    lines.append(f"connection: {'keep-alive' if keeps_alive else 'close'}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")
