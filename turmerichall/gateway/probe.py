"""Asks a backend server whether it still runs a request."""

import httpcore
import trio

from turmerichall import outcomes
from turmerichall.gateway import exchange as exchanges
from turmerichall.gateway import pool as pools
from turmerichall.gateway import request as requests

__all__ = ["runs_there"]

ANSWER_SECONDS = 1.0
OK = 200


async def runs_there(pool: pools.Pool, request: requests.Request) -> bool:
    """Asks over a new connection whether a request runs.

    Args:
        pool: The backend server.
        request: The request.

    Returns:
        True if the server says so, or if there is no connection to ask over
        because this instance's part of them is in use.
    """
    pool.discard_idle(trio.current_time())
    connection = await pool.open()
    if isinstance(connection, outcomes.Refusal):
        return connection.reason == outcomes.RefusalReason.OVERLOADED
    try:
        with trio.move_on_after(ANSWER_SECONDS):
            return await _ask(pool, connection, request)
        return False
    except exchanges.BROKEN:
        return False
    finally:
        pool.discard(connection)


async def _ask(
    pool: pools.Pool, connection: pools.Connection, request: requests.Request
) -> bool:
    target = b"/v1/requests/" + request.request_id
    url = httpcore.URL(
        scheme=b"http", host=pool.origin.host, port=pool.port, target=target
    )
    headers = [(b"Host", pool.authority)]
    asked = httpcore.Request(b"GET", url, headers=headers)
    response = await connection.http.handle_async_request(asked)
    return response.status == OK
