"""One attempt to run a request at one backend server."""

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

__all__ = ["BROKEN", "Ended", "Exchange", "NOT_RUN"]

NOT_RUN = b"turmerichall-not-run"
NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"upgrade",
        b"date",
        b"server",
        requests.REQUEST_ID,
        NOT_RUN,
    }
)
# An answer up to this size is awaited before its head is passed on.
SMALL_ANSWER_BYTES = 65_536
BODILESS_STATUSES = frozenset({204, 304})
BROKEN = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    h11.ProtocolError,
)


class Exchange:
    """A request on its way at a backend server, and its answer.

    Attributes:
        slot: The slot that it fills.
        pool: The backend server's pool.
        request: The request.
        began_at: When it began, trio time.
        first_byte_at: When the head of the answer had arrived; 0.0 before.
        connection: The connection in use; None before it is there.
        scope: Cancelled when the exchange is given up from outside.
        silent: Whether it was given up because its connection is silent.
        may_run: Whether the server may go on running it after the end.
        status: HTTP status of the answer.
        headers: Headers of the answer to pass on to the caller.
        whole: Whether the body of the answer arrived to its end.
        small_body: The whole body, if it was small enough to await.
    """

    def __init__(self, slot: pools.Slot, request: requests.Request):
        self.slot = slot
        self.pool = slot.pool
        self.request = request
        self.began_at = trio.current_time()
        self.first_byte_at = 0.0
        self.connection: pools.Connection | None = None
        self.scope = trio.CancelScope(deadline=request.deadline)
        self.silent = False
        self.may_run = False
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.whole = False
        self.small_body: bytes | None = None
        self._closed = False
        self._response: httpcore.Response | None = None

    def quiet_seconds(self, now: float) -> float:
        """Returns how long nothing has arrived that is waited for."""
        if self.connection is None:
            return 0.0
        since = self.connection.stream.reading_since
        return 0.0 if since is None else now - since

    def give_up_as_silent(self, may_run: bool) -> None:
        """Ends the exchange because its connection is silent.

        Args:
            may_run: Whether the backend server may still run the request; its
                slot then counts as filled until the deadline.
        """
        self.silent = True
        self.may_run = may_run
        self.scope.cancel()

    async def begin(self) -> "Ended":
        """Sends the request and reads the head of the answer.

        Returns:
            This exchange, which then must be closed; a refusal, if the request
            was provably not run; or an unknown outcome.  The body of a small
            answer has arrived by then, so that one cut off is no answer.
        """
        ended: Ended | None = None
        try:
            with self.scope:
                ended = await self._begin()
            if ended is None:
                ended = self._given_up()
        finally:
            if ended is not self:
                self.close()
        assert ended is not None
        return ended

    async def _begin(self) -> "Ended":
        connection = await self.pool.acquire_connection()
        if isinstance(connection, outcomes.Refusal):
            return connection
        self.connection = connection
        connection.stream.used = False
        try:
            response = await connection.http.handle_async_request(self._head())
        except BROKEN as error:
            return self._broken(error)
        self.first_byte_at = trio.current_time()
        self._response = response
        return await self._checked(response)

    def _head(self) -> httpcore.Request:
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

    def _broken(self, error: Exception) -> outcomes.Refusal | outcomes.Unknown:
        assert self.connection is not None
        if not self.connection.stream.used:
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

    def _given_up(self) -> outcomes.Refusal | outcomes.Unknown:
        if self.connection is None or not self.connection.stream.used:
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

    async def _checked(self, response: httpcore.Response) -> "Ended":
        fields = {name.lower(): value for name, value in response.headers}
        if fields.get(requests.REQUEST_ID) != self.request.request_id:
            return outcomes.Unknown(
                outcomes.UnknownReason.WRONG_REQUEST_ID,
                f"{self.pool.announcement.name} answered another request",
            )
        if response.status == 503 and fields.get(NOT_RUN) == b"true":
            return await self._not_run(fields)
        if not _end_is_marked(response.status, fields):
            return outcomes.Unknown(
                outcomes.UnknownReason.TRUNCATED,
                f"{self.pool.announcement.name} sent a response without a"
                " length",
            )
        self.status = response.status
        self.headers = [
            item
            for item in response.headers
            if item[0].lower() not in NOT_FORWARDED
        ]
        if _length(response.status, fields) <= SMALL_ANSWER_BYTES:
            return await self._await_body()
        return self

    async def _await_body(self) -> "Ended":
        parts = []
        try:
            async with contextlib.aclosing(self.body()) as body:
                async for part in body:
                    parts.append(part)
        except BROKEN as error:
            return outcomes.Unknown(
                outcomes.UnknownReason.TRUNCATED,
                f"the response of {self.pool.announcement.name} was cut off:"
                f" {error!r}",
            )
        self.small_body = b"".join(parts)
        return self

    async def _not_run(self, fields: dict[bytes, bytes]) -> outcomes.Refusal:
        try:
            async with contextlib.aclosing(self.body()) as parts:
                async for _ in parts:
                    pass
        except BROKEN:
            pass
        retry_after = fields.get(b"retry-after", b"")
        return outcomes.Refusal(
            outcomes.RefusalReason.BACKEND_SERVER_REFUSED,
            f"{self.pool.announcement.name} did not run the request",
            float(retry_after) if retry_after.isdigit() else 1.0,
        )

    def renew_scope(self) -> trio.CancelScope:
        """Returns a scope to read the body in, which ends at the deadline."""
        self.scope = trio.CancelScope(deadline=self.request.deadline)
        return self.scope

    async def body(self) -> AsyncGenerator[bytes, None]:
        """Yields the body; `whole` is set only if its end arrived."""
        assert self._response is not None
        stream: Any = self._response.stream
        async with contextlib.aclosing(aiter(stream)) as parts:
            async for part in parts:
                yield part
        await stream.aclose()
        self.whole = True

    def close(self) -> None:
        """Frees the slot; the connection is kept if all of it was read."""
        if self._closed:
            return
        self._closed = True
        connection = self.connection
        if connection is not None:
            self.connection = None
            if self.whole:
                self.pool.return_connection(connection)
            else:
                self.pool.close_connection(connection, self.silent)
        if self.may_run:
            self.pool.release_slot(self.slot, self.request.deadline)
        else:
            self.pool.release_slot(self.slot)


Ended = Exchange | outcomes.Refusal | outcomes.Unknown


def _length(status: int, fields: dict[bytes, bytes]) -> float:
    """Returns the length of a body; infinity if the head doesn't tell."""
    if status in BODILESS_STATUSES:
        return 0
    text = fields.get(b"content-length", b"")
    return int(text) if text.isdigit() else math.inf


def _end_is_marked(status: int, fields: dict[bytes, bytes]) -> bool:
    return (
        b"content-length" in fields
        or b"transfer-encoding" in fields
        or status in BODILESS_STATUSES
    )
