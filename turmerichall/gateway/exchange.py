"""One attempt to run a request on one backend server."""

import contextlib
import math
from collections.abc import AsyncGenerator
from typing import Any

import h11
import httpcore
import trio

from turmerichall import outcomes
from turmerichall.gateway import pool as pools
from turmerichall.gateway import request as requests

__all__ = ["CONNECTION_ERRORS", "Exchange", "NOT_RUN_HEADER", "Result"]

NOT_RUN_HEADER = b"turmerichall-not-run"
NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"upgrade",
        b"date",
        b"server",
        requests.REQUEST_ID_HEADER,
        NOT_RUN_HEADER,
    }
)
# A response whose body is at most this large is received whole before it is
# forwarded to the caller.
MAX_BUFFERED_RESPONSE_BYTES = 65_536
BODILESS_STATUSES = frozenset({204, 304})
CONNECTION_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    h11.ProtocolError,
)


class Exchange:
    """A request that was sent to a backend server, and its response.

    Attributes:
        slot: The slot that the request uses.
        pool: Slots and connections that may be used at the backend server.
        request: The request.
        started_at: When the exchange started, trio time.
        head_received_at: When the head of the response arrived, trio time; 0.0
            before.
        connection: The connection in use; None without one.
        cancel_scope: Cancelled to abort the exchange.
        silent: Whether it was aborted because nothing arrived on its
            connection.
        may_still_run: Whether the server may still run the request after the
            exchange ended.
        status: HTTP status of the response.
        headers: Headers of the response that are forwarded to the caller.
        complete: Whether the whole body of the response arrived.
        buffered_body: The whole body, if it was small enough to buffer.
    """

    def __init__(self, slot: pools.Slot, request: requests.Request):
        self.slot = slot
        self.pool = slot.pool
        self.request = request
        self.started_at = trio.current_time()
        self.head_received_at = 0.0
        self.connection: pools.Connection | None = None
        self.cancel_scope = trio.CancelScope(deadline=request.deadline)
        self.silent = False
        self.may_still_run = False
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.complete = False
        self.buffered_body: bytes | None = None
        self._closed = False
        self._response: httpcore.Response | None = None

    def read_wait_seconds(self, now: float) -> float:
        """Return for how many seconds the exchange has waited for bytes.

        If it doesn't wait, return 0.0.
        """
        if self.connection is None:
            return 0.0
        since = self.connection.stream.reading_since
        return 0.0 if since is None else now - since

    def abort_as_silent(self, may_still_run: bool) -> None:
        """Abort the exchange because nothing arrives on its connection.

        Args:
            may_still_run: Whether the backend server may still run the request;
                its slot then counts as in use until the deadline.
        """
        self.silent = True
        self.may_still_run = may_still_run
        self.cancel_scope.cancel()

    async def start(self) -> "Result":
        """Send the request and read the head of the response.

        The body of a small response is received as well, so that a truncated
        response becomes an unknown outcome.

        Returns:
            This exchange, which then must be closed; a refusal, if the request
            provably did not run; or an unknown outcome.
        """
        result: Result | None = None
        try:
            with self.cancel_scope:
                result = await self._start()
            if result is None:
                result = self._ended_early()
        finally:
            if result is not self:
                self.close()
        assert result is not None
        return result

    async def _start(self) -> "Result":
        connection = await self.pool.acquire_connection()
        if isinstance(connection, outcomes.Refusal):
            return connection
        self.connection = connection
        connection.stream.may_have_sent = False
        try:
            response = await connection.http.handle_async_request(
                self._build_request()
            )
        except CONNECTION_ERRORS as error:
            return self._connection_failed(error)
        self.head_received_at = trio.current_time()
        self._response = response
        return await self._check_response(response)

    def _build_request(self) -> httpcore.Request:
        request = self.request
        remaining = request.remaining_seconds(trio.current_time())
        target = f"/v1/services/{request.customer}/{request.service}"
        url = httpcore.URL(
            scheme=b"http",
            host=self.pool.origin.host,
            port=self.pool.port,
            target=target.encode(),
        )
        milliseconds = max(1, int(remaining * 1000))
        headers = [
            (b"Host", self.pool.authority),
            (b"Content-Length", b"%d" % len(request.body)),
            (b"Turmerichall-Request-Id", request.request_id),
            (b"Turmerichall-Deadline-Ms", b"%d" % milliseconds),
            (
                b"Turmerichall-Idempotent",
                b"true" if request.idempotent else b"false",
            ),
            *request.headers,
        ]
        return httpcore.Request(
            b"POST", url, headers=headers, content=request.body
        )

    def _connection_failed(
        self, error: Exception
    ) -> outcomes.Refusal | outcomes.Unknown:
        assert self.connection is not None
        if not self.connection.stream.may_have_sent:
            return outcomes.Refusal(
                outcomes.RefusalReason.CONNECT_FAILED,
                f"the connection to {self.pool.announcement.name} was closed"
                " before use",
                1.0,
            )
        return outcomes.Unknown(
            outcomes.UnknownReason.CONNECTION_LOST,
            f"the connection to {self.pool.announcement.name} broke: {error!r}",
        )

    def _ended_early(self) -> outcomes.Refusal | outcomes.Unknown:
        if self.connection is None or not self.connection.stream.may_have_sent:
            return outcomes.Refusal(
                outcomes.RefusalReason.DEADLINE,
                "the deadline passed before the request was sent",
            )
        if self.silent:
            return outcomes.Unknown(
                outcomes.UnknownReason.SILENT,
                f"the connection to {self.pool.announcement.name} fell silent",
            )
        return outcomes.Unknown(
            outcomes.UnknownReason.DEADLINE,
            f"{self.pool.announcement.name} did not answer by the deadline",
        )

    async def _check_response(self, response: httpcore.Response) -> "Result":
        fields = {name.lower(): value for name, value in response.headers}
        if fields.get(requests.REQUEST_ID_HEADER) != self.request.request_id:
            return outcomes.Unknown(
                outcomes.UnknownReason.WRONG_REQUEST_ID,
                f"{self.pool.announcement.name} answered another request",
            )
        if response.status == 503 and fields.get(NOT_RUN_HEADER) == b"true":
            return await self._read_refusal(fields)
        if not _has_framing(response.status, fields):
            return outcomes.Unknown(
                outcomes.UnknownReason.TRUNCATED,
                f"{self.pool.announcement.name} sent a response without"
                " content-length or transfer-encoding",
            )
        self.status = response.status
        self.headers = [
            item
            for item in response.headers
            if item[0].lower() not in NOT_FORWARDED
        ]
        if _body_length(response.status, fields) <= MAX_BUFFERED_RESPONSE_BYTES:
            return await self._buffer_body()
        return self

    async def _buffer_body(self) -> "Result":
        parts = []
        try:
            async with contextlib.aclosing(self.body()) as body:
                async for part in body:
                    parts.append(part)
        except CONNECTION_ERRORS as error:
            return outcomes.Unknown(
                outcomes.UnknownReason.TRUNCATED,
                f"the response of {self.pool.announcement.name} was cut off:"
                f" {error!r}",
            )
        self.buffered_body = b"".join(parts)
        return self

    async def _read_refusal(
        self, fields: dict[bytes, bytes]
    ) -> outcomes.Refusal:
        try:
            async with contextlib.aclosing(self.body()) as parts:
                async for _ in parts:
                    pass
        except CONNECTION_ERRORS:
            pass
        retry_after = fields.get(b"retry-after", b"")
        return outcomes.Refusal(
            outcomes.RefusalReason.BACKEND_SERVER_REFUSED,
            f"{self.pool.announcement.name} did not run the request",
            float(retry_after) if retry_after.isdigit() else 1.0,
        )

    def renew_cancel_scope(self) -> trio.CancelScope:
        """Replace `cancel_scope` by a new one to read the body in.

        Returns:
            The new scope, which is cancelled at the request's deadline.
        """
        self.cancel_scope = trio.CancelScope(deadline=self.request.deadline)
        return self.cancel_scope

    async def body(self) -> AsyncGenerator[bytes, None]:
        """Yield the parts of the body; set `complete` if all of it arrived."""
        assert self._response is not None
        stream: Any = self._response.stream
        async with contextlib.aclosing(aiter(stream)) as parts:
            async for part in parts:
                yield part
        await stream.aclose()
        self.complete = True

    def close(self) -> None:
        """Release the slot, and keep the connection if it can be reused."""
        if self._closed:
            return
        self._closed = True
        connection = self.connection
        if connection is not None:
            self.connection = None
            if self.complete:
                self.pool.return_connection(connection)
            else:
                self.pool.close_connection(connection, self.silent)
        if self.may_still_run:
            self.pool.release_slot(self.slot, self.request.deadline)
        else:
            self.pool.release_slot(self.slot)


Result = Exchange | outcomes.Refusal | outcomes.Unknown


def _body_length(status: int, fields: dict[bytes, bytes]) -> float:
    """Return the length of a body; infinity if the head doesn't state it."""
    if status in BODILESS_STATUSES:
        return 0
    text = fields.get(b"content-length", b"")
    return int(text) if text.isdigit() else math.inf


def _has_framing(status: int, fields: dict[bytes, bytes]) -> bool:
    return (
        b"content-length" in fields
        or b"transfer-encoding" in fields
        or status in BODILESS_STATUSES
    )
