"""Freshness of reads of the replicated state, by the query parameter `fresh`.

`?fresh=true` requires a linearizable read: before the read, a barrier waits
until this instance has applied every change committed so far.  `?fresh=prefer`
does the same, but if the barrier fails, it reads the possibly stale local copy
and says so in the response.  `?fresh=false`, the default, reads the local copy
without contacting any other instance.
"""

from typing import Any

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.operators import exchange
from turmerichall.operators import services as services_module

__all__ = ["may_ask_others", "refresh", "with_freshness"]

BARRIER_TIMEOUT_SECONDS = 2.0
NO_QUORUM_STALENESS = "may be out of date: no quorum answered"
LOCAL_STALENESS = "may be out of date: only this instance was asked"

_FRESH_VALUES = ("true", "prefer", "false")


async def refresh(
    services: services_module.Services, request: exchange.Request
) -> str | outcomes.Refusal:
    """Bring the local state up to date, if the request's `fresh` asks for it.

    Args:
        services: Parts of the daemon.
        request: The request.

    Returns:
        Empty if the local state is current, otherwise a text that says why it
        may be out of date; a refusal if the read is refused.

    Raises:
        InputError: `fresh` has an invalid value.
    """
    fresh = request.query.get("fresh", "false")
    if fresh not in _FRESH_VALUES:
        reason = (
            f"expected one of {', '.join(_FRESH_VALUES)}, not {fresh[:20]!r}"
        )
        raise errors.InputError([errors.Finding("query fresh", reason)])
    if fresh == "false":
        return LOCAL_STALENESS
    refused = await services.replica.barrier(BARRIER_TIMEOUT_SECONDS)
    if refused is None:
        return ""
    return refused if fresh == "true" else NO_QUORUM_STALENESS


def may_ask_others(request: exchange.Request) -> bool:
    """Return whether a request lets other instances be contacted.

    It does unless its `fresh` is "false" or missing.
    """
    return request.query.get("fresh", "false") != "false"


def with_freshness(staleness: str, document: dict[str, Any]) -> dict[str, Any]:
    """Return a copy of a document with fields that say whether it is current.

    Args:
        staleness: Why the document may be out of date; empty if it is current.
        document: The document.

    Examples:
        >>> with_freshness("", {"items": []})
        {'fresh': True, 'items': []}
    """
    freshness: dict[str, Any] = {"fresh": not staleness}
    if staleness:
        freshness["stale"] = staleness
    return freshness | document
