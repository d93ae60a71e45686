"""Asks a backend server whether it still runs a request."""

import enum

import httpcore
import trio

from turmerichall import outcomes
from turmerichall.gateway import exchange as exchanges
from turmerichall.gateway import pool as pools
from turmerichall.gateway import request as requests

__all__ = ["Finding", "ask"]

ANSWER_SECONDS = 1.0
OK = 200


class Finding(enum.Enum):
    """What was found out about a request."""

    RUNS = enum.auto()
    ABSENT = enum.auto()
    NO_ANSWER = enum.auto()
    NOT_ASKED = enum.auto()


async def ask(pool: pools.Pool, request: requests.Request) -> Finding:
    """Asks over a new connection whether a request runs.

    Args:
        pool: The backend server.
        request: The request.

    Returns:
        What the server says; `NOT_ASKED` if all connections of this instance's
        part are in use.
    """
    with trio.move_on_after(ANSWER_SECONDS):
        pool.discard_idle(trio.current_time())
        connection = await pool.open()
        if isinstance(connection, pools.Connection):
            return await _ask(pool, connection, request)
        if connection.reason == outcomes.RefusalReason.OVERLOADED:
            return Finding.NOT_ASKED
    return Finding.NO_ANSWER


async def _ask(
    pool: pools.Pool, connection: pools.Connection, request: requests.Request
) -> Finding:
    target = b"/v1/requests/" + request.request_id
    url = httpcore.URL(
        scheme=b"http", host=pool.origin.host, port=pool.port, target=target
    )
    headers = [(b"Host", pool.authority)]
    asked = httpcore.Request(b"GET", url, headers=headers)
    try:
        response = await connection.http.handle_async_request(asked)
    except exchanges.BROKEN:
        return Finding.NO_ANSWER
    finally:
        pool.discard(connection)
    return Finding.RUNS if response.status == OK else Finding.ABSENT
