"""Reading of a request's body, within what its listener may take."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from turmerichall import outcomes
from turmerichall.gateway import caller_connection
from turmerichall.intake import block_buffer

__all__ = ["read"]

RETRY_SECONDS = 1.0


async def read(
    scope: Mapping[str, Any],
    receive: Callable[[], Awaitable[Mapping[str, Any]]],
    max_bytes: int,
) -> bytes | outcomes.Refusal | None:
    """Read the body of a request.

    Args:
        scope: The ASGI scope of the request.
        receive: The ASGI callable that returns the next event.
        max_bytes: Maximum size of the body.

    Returns:
        The body; a refusal, if it is too large, or if all requests together are
        too large; None if the connection ended, also because it gave way to
        others.
    """
    state = scope.get("state") or {}
    connection = state.get(caller_connection.CONNECTION_KEY)
    # Cleared by the connection when it gives way.
    body = (
        block_buffer.BlockBuffer()
        if connection is None
        else connection.received_body
    )
    # An earlier request on the connection may have been refused midway.
    body.clear()
    while True:
        event = await receive()
        if event["type"] != "http.request":
            return None
        body.add(event.get("body", b""))
        if len(body) > max_bytes:
            return outcomes.Refusal(
                outcomes.RefusalReason.TOO_LARGE,
                f"the body is larger than {max_bytes} bytes",
            )
        if connection is not None and not connection.record_received():
            return None
        if not event.get("more_body", False):
            break
    whole = body.take()
    if connection is not None and not connection.admit(len(whole)):
        return outcomes.Refusal(
            outcomes.RefusalReason.OVERLOADED,
            "the requests in progress are too large in sum",
            RETRY_SECONDS,
        )
    return whole
