"""Responses for results, refusals and findings.

An error is a JSON document with `error` (the counted reason), `outcome`
(`not run`, or `unknown` when the effect is not known), `detail` and, for bad
input, `findings`.
"""

from collections.abc import Mapping
import math
from typing import Any

from turmerichall import documents
from turmerichall import errors
from turmerichall import outcomes
from turmerichall.operators import exchange
from turmerichall.state import change as changes

__all__ = ["json_response", "refusal", "result", "unknown"]

_STATUS = {
    outcomes.RefusalReason.MALFORMED: 400,
    outcomes.RefusalReason.UNAUTHORIZED: 401,
    outcomes.RefusalReason.UNKNOWN_NAME: 404,
    outcomes.RefusalReason.UNKNOWN_CUSTOMER: 404,
    outcomes.RefusalReason.UNKNOWN_SERVICE: 404,
    outcomes.RefusalReason.TIMEOUT: 408,
    outcomes.RefusalReason.VERSION_CONFLICT: 409,
    outcomes.RefusalReason.WRONG_STATE: 409,
    outcomes.RefusalReason.STALE_ANCHOR: 409,
    outcomes.RefusalReason.STALE_EPOCH: 409,
    outcomes.RefusalReason.TOO_LARGE: 413,
    outcomes.RefusalReason.OVER_QUOTA: 422,
    outcomes.RefusalReason.NEVER_FITS: 422,
}
_UNAVAILABLE = 503
_UNKNOWN_STATUS = 504
DEFAULT_RETRY_AFTER_SECONDS = 1.0


def json_response(document: Any, status: int = 200) -> exchange.Response:
    """Returns a response with a document."""
    return exchange.Response(status, documents.encode(document))


def refusal(
    refused: outcomes.Refusal,
    findings: list[errors.Finding] | None = None,
    more: Mapping[str, Any] | None = None,
) -> exchange.Response:
    """Returns the response for something that was not done.

    Args:
        refused: Why.
        findings: All faults of a bad input.
        more: Further fields of the document.

    Returns:
        The response, with `Retry-After` if a later try may succeed.
    """
    status = _STATUS.get(refused.reason, _UNAVAILABLE)
    document: dict[str, Any] = {
        "error": refused.reason.value,
        "outcome": "not run",
        "detail": refused.detail,
        **(more or {}),
    }
    if findings:
        document["findings"] = findings
    wait = refused.retry_after_seconds
    if wait is None and status == _UNAVAILABLE:
        wait = DEFAULT_RETRY_AFTER_SECONDS
    headers: tuple[tuple[str, str], ...] = ()
    if wait is not None:
        headers = (("retry-after", str(math.ceil(wait))),)
    if refused.reason == outcomes.RefusalReason.UNAUTHORIZED:
        headers += (("www-authenticate", "Bearer"),)
    if refused.reason in _CLOSING:
        headers += (("connection", "close"),)
    return exchange.Response(status, documents.encode(document), headers)


# After these the rest of the request is not read.
_CLOSING = (outcomes.RefusalReason.TOO_LARGE, outcomes.RefusalReason.TIMEOUT)


def unknown(lost: outcomes.Unknown) -> exchange.Response:
    """Returns the response for a change that may or may not be applied."""
    document = {
        "error": lost.reason.value,
        "outcome": "unknown",
        "detail": lost.detail
        + "; resend with the same operation id to learn the outcome",
    }
    body = documents.encode(document)
    return exchange.Response(_UNKNOWN_STATUS, body, (("retry-after", "1"),))


def result(
    applied: changes.Result, more: Mapping[str, Any]
) -> exchange.Response:
    """Returns the response for a change that was decided upon.

    Args:
        applied: What came of the change.
        more: Fields that say what the change was about.

    Returns:
        The response; a conflict names who made the current version.
    """
    if applied.status == changes.Status.APPLIED:
        return json_response(
            {"outcome": "ran", "version": applied.version, **more}
        )
    reason = outcomes.RefusalReason.WRONG_STATE
    if applied.status == changes.Status.CONFLICT:
        reason = outcomes.RefusalReason.VERSION_CONFLICT
    if applied.reason:
        reason = outcomes.RefusalReason(applied.reason)
    refused = outcomes.Refusal(reason, applied.detail)
    current = {"current_version": applied.version, "holder": applied.holder}
    if applied.status != changes.Status.CONFLICT:
        current = {}
    return refusal(refused, more={**current, **more})
