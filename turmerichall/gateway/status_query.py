"""Query of whether a backend server still runs a request."""

import enum

import httpcore
import trio

from turmerichall import outcomes
from turmerichall.gateway import exchange as exchanges
from turmerichall.gateway import pool as pools
from turmerichall.gateway import request as requests

__all__ = ["RequestStatus", "query"]

TIMEOUT_SECONDS = 1.0
OK = 200


class RequestStatus(enum.Enum):
    """Result of asking a backend server whether it still runs a request."""

    RUNNING = enum.auto()
    NOT_FOUND = enum.auto()
    NO_ANSWER = enum.auto()
    NOT_ASKED = enum.auto()


async def query(pool: pools.Pool, request: requests.Request) -> RequestStatus:
    """Ask a backend server over a new connection whether a request runs.

    Args:
        pool: The backend server's pool.
        request: The request.

    Returns:
        What the server answers; `NO_ANSWER` if it doesn't answer; `NOT_ASKED`
        if all connections of this instance's share are in use.
    """
    with trio.move_on_after(TIMEOUT_SECONDS):
        pool.close_idle_connections(trio.current_time())
        connection = await pool.open_connection()
        if isinstance(connection, pools.Connection):
            return await _query(pool, connection, request)
        if connection.reason == outcomes.RefusalReason.OVERLOADED:
            return RequestStatus.NOT_ASKED
    return RequestStatus.NO_ANSWER


async def _query(
    pool: pools.Pool, connection: pools.Connection, request: requests.Request
) -> RequestStatus:
    target = b"/v1/requests/" + request.request_id
    url = httpcore.URL(
        scheme=b"http", host=pool.origin.host, port=pool.port, target=target
    )
    headers = [(b"Host", pool.authority)]
    query_request = httpcore.Request(b"GET", url, headers=headers)
    try:
        response = await connection.http.handle_async_request(query_request)
    except exchanges.CONNECTION_ERRORS:
        return RequestStatus.NO_ANSWER
    finally:
        pool.close_connection(connection)
    return (
        RequestStatus.RUNNING
        if response.status == OK
        else RequestStatus.NOT_FOUND
    )
