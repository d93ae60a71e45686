"""One attempt to run a request at one backend server."""

from collections.abc import AsyncIterator

import h11
import httpcore
import trio

from turmerichall import outcomes
from turmerichall.gateway import pool as pools
from turmerichall.gateway import request as requests

__all__ = ["Answer", "Ended", "NOT_RUN", "begin"]

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
BODILESS_STATUSES = frozenset({204, 304})
BROKEN = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    h11.ProtocolError,
)

Headers = list[tuple[bytes, bytes]]


class Answer:
    """An answer whose head has arrived and whose body is being read.

    Attributes:
        status: HTTP status.
        headers: Headers to pass on to the caller.
        whole: Whether the body arrived to its end.
    """

    def __init__(
        self,
        pool: pools.Pool,
        connection: pools.Connection,
        response: httpcore.Response,
    ):
        self.pool = pool
        self.connection = connection
        self.response = response
        self.status = response.status
        self.headers = [
            item
            for item in response.headers
            if item[0].lower() not in NOT_FORWARDED
        ]
        self.whole = False

    async def body(self) -> AsyncIterator[bytes]:
        """Yields the body; `whole` is set only if its end arrived."""
        assert not isinstance(self.response.stream, bytes)
        async for part in self.response.stream:  # type: ignore[union-attr]
            yield part
        self.whole = True

    async def close(self) -> None:
        """Gives the connection back, or closes it if the body was not read."""
        if self.whole:
            await self.response.stream.aclose()  # type: ignore[union-attr]
            self.pool.put_back(self.connection)
        else:
            self.pool.discard(self.connection)


Ended = Answer | outcomes.Refusal | outcomes.Unknown


async def begin(pool: pools.Pool, request: requests.Request) -> Ended:
    """Sends a request and reads the head of the answer.

    Args:
        pool: Where to send it; the caller of this function holds a slot.
        request: The request.

    Returns:
        The answer, which must be closed; a refusal, if the request was
        provably not run; or an unknown outcome.
    """
    connection = await pool.take()
    if isinstance(connection, outcomes.Refusal):
        return connection
    connection.stream.used = False
    try:
        response = await connection.http.handle_async_request(
            _head(pool, request)
        )
    except BROKEN as error:
        pool.discard(connection)
        return _broken(connection, pool, error)
    except BaseException:
        pool.discard(connection)
        raise
    return await _checked(pool, connection, request, response)


def _head(pool: pools.Pool, request: requests.Request) -> httpcore.Request:
    remaining = request.remaining_seconds(trio.current_time())
    url = httpcore.URL(
        scheme=b"http",
        host=pool.origin.host,
        port=pool.port,
        target=f"/v1/services/{request.customer}/{request.service}".encode(),
    )
    headers = [
        (b"Host", pool.authority),
        (b"Content-Length", b"%d" % len(request.body)),
        (b"Turmerichall-Request-Id", request.request_id),
        (b"Turmerichall-Deadline-Ms", b"%d" % max(1, int(remaining * 1000))),
    ]
    headers.extend(request.headers)
    return httpcore.Request(b"POST", url, headers=headers, content=request.body)


def _broken(
    connection: pools.Connection, pool: pools.Pool, error: Exception
) -> outcomes.Refusal | outcomes.Unknown:
    if not connection.stream.used:
        return outcomes.Refusal(
            outcomes.RefusalReason.CONNECT_FAILED,
            f"the connection to {pool.told.name} was closed before use",
        )
    return outcomes.Unknown(
        outcomes.UnknownReason.CONNECTION_LOST,
        f"the connection to {pool.told.name} broke: {error!r}",
    )


async def _checked(
    pool: pools.Pool,
    connection: pools.Connection,
    request: requests.Request,
    response: httpcore.Response,
) -> Ended:
    fields = {name.lower(): value for name, value in response.headers}
    if fields.get(requests.REQUEST_ID) != request.request_id:
        pool.discard(connection)
        return outcomes.Unknown(
            outcomes.UnknownReason.WRONG_REQUEST_ID,
            f"{pool.told.name} answered another request",
        )
    if response.status == 503 and fields.get(NOT_RUN) == b"true":
        return await _not_run(pool, connection, response, fields)
    if not _end_is_marked(response.status, fields):
        pool.discard(connection)
        return outcomes.Unknown(
            outcomes.UnknownReason.TRUNCATED,
            f"{pool.told.name} did not mark the end of its answer",
        )
    return Answer(pool, connection, response)


async def _not_run(
    pool: pools.Pool,
    connection: pools.Connection,
    response: httpcore.Response,
    fields: dict[bytes, bytes],
) -> outcomes.Refusal:
    answer = Answer(pool, connection, response)
    try:
        async for _ in answer.body():
            pass
    except BROKEN:
        pass
    finally:
        await answer.close()
    retry_after = fields.get(b"retry-after", b"")
    return outcomes.Refusal(
        outcomes.RefusalReason.BACKEND_SERVER_REFUSED,
        f"{pool.told.name} did not run the request",
        float(retry_after) if retry_after.isdigit() else None,
    )


def _end_is_marked(status: int, fields: dict[bytes, bytes]) -> bool:
    return (
        b"content-length" in fields
        or b"transfer-encoding" in fields
        or status in BODILESS_STATUSES
    )
