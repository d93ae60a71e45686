"""Reads of the replicated state, and how fresh they are.

`?fresh=true` answers only after a barrier, `?fresh=prefer` falls back to what
this instance knows and says so, `?fresh=false` asks nobody.
"""

from typing import Any

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.operators import exchange
from turmerichall.operators import services as services_module

__all__ = ["may_ask_others", "refresh", "with_freshness"]

BARRIER_TIMEOUT_SECONDS = 2.0
NO_QUORUM_NOTE = "may be out of date: no quorum answered"
LOCAL_NOTE = "may be out of date: only this instance was asked"

_CHOICES = ("true", "prefer", "false")


async def refresh(
    services: services_module.Services, request: exchange.Request
) -> str | outcomes.Refusal:
    """Brings the state up to date as the request asks for.

    Args:
        services: Parts of the daemon.
        request: The request.

    Returns:
        A note if the state may be out of date, empty if it is current, or why
        the read is refused.

    Raises:
        InputError: `fresh` is not one of the choices.
    """
    asked = request.query.get("fresh", "false")
    if asked not in _CHOICES:
        reason = f"expected one of {', '.join(_CHOICES)}, not {asked[:20]!r}"
        raise errors.InputError([errors.Finding("query fresh", reason)])
    if asked == "false":
        return LOCAL_NOTE
    refused = await services.replica.barrier(BARRIER_TIMEOUT_SECONDS)
    if refused is None:
        return ""
    return refused if asked == "true" else NO_QUORUM_NOTE


def may_ask_others(request: exchange.Request) -> bool:
    """Tells whether other instances may be asked for the answer."""
    return request.query.get("fresh", "false") != "false"


def with_freshness(note: str, document: dict[str, Any]) -> dict[str, Any]:
    """Adds to a document whether it is current.

    Examples:
        >>> with_freshness("", {"items": []})
        {'fresh': True, 'items': []}
    """
    freshness: dict[str, Any] = {"fresh": not note}
    if note:
        freshness["stale"] = note
    return freshness | document
