"""HTTP responses for results of changes, refusals and invalid input.

The body of an error response is a JSON document with `error` (the reason, as
counted in metrics), `outcome` (`not run`, or `unknown` if the change may or may
not be applied), `detail` and, for invalid input, `findings`.  `not run` speaks
of the request that is answered.  Only if `recorded` is true, it holds for all
requests with the same operation id, since the state machine remembers it.
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
    """Return a response whose body is a JSON document."""
    return exchange.Response(status, documents.encode(document))


def refusal(
    refused: outcomes.Refusal,
    findings: list[errors.Finding] | None = None,
    extra_fields: Mapping[str, Any] | None = None,
) -> exchange.Response:
    """Return the HTTP response to a request that was refused.

    Args:
        refused: Why the request was refused.
        findings: A finding for each invalid value of the input.
        extra_fields: Further fields of the document.

    Returns:
        The response, with `Retry-After` if a retry may succeed.
    """
    status = _STATUS.get(refused.reason, _UNAVAILABLE)
    document: dict[str, Any] = {
        "error": refused.reason.value,
        "outcome": "not run",
        "detail": refused.detail,
        **(extra_fields or {}),
    }
    if findings:
        document["findings"] = findings
    retry_after_seconds = refused.retry_after_seconds
    if retry_after_seconds is None and status == _UNAVAILABLE:
        retry_after_seconds = DEFAULT_RETRY_AFTER_SECONDS
    headers: tuple[tuple[str, str], ...] = ()
    if retry_after_seconds is not None:
        headers = (("retry-after", str(math.ceil(retry_after_seconds))),)
    if refused.reason == outcomes.RefusalReason.UNAUTHORIZED:
        headers += (("www-authenticate", "Bearer"),)
    if refused.reason in _CONNECTION_CLOSING:
        headers += (("connection", "close"),)
    return exchange.Response(status, documents.encode(document), headers)


# The rest of the request is not read after these refusals, so that its
# connection can't be used again.
_CONNECTION_CLOSING = (
    outcomes.RefusalReason.TOO_LARGE,
    outcomes.RefusalReason.TIMEOUT,
)


def unknown(unknown_outcome: outcomes.Unknown) -> exchange.Response:
    """Return the HTTP response if a change may or may not be applied."""
    document = {
        "error": unknown_outcome.reason.value,
        "outcome": "unknown",
        "detail": unknown_outcome.detail
        + "; resend with the same operation id to learn the outcome",
    }
    body = documents.encode(document)
    return exchange.Response(_UNKNOWN_STATUS, body, (("retry-after", "1"),))


def result(
    change_result: changes.Result,
    extra_fields: Mapping[str, Any],
    recorded: bool = True,
) -> exchange.Response:
    """Return the HTTP response for a change that was applied or rejected.

    Args:
        change_result: Result of the change.
        extra_fields: Further fields of the document, such as the id of the job
            that is changed.
        recorded: Whether a refusal holds for all requests with the same
            operation id.

    Returns:
        The response; for a version conflict, with the current version and the
        operator who set it.
    """
    if change_result.status == changes.Status.APPLIED:
        return json_response(
            {"outcome": "ran", "version": change_result.version, **extra_fields}
        )
    reason = outcomes.RefusalReason.WRONG_STATE
    if change_result.status == changes.Status.CONFLICT:
        reason = outcomes.RefusalReason.VERSION_CONFLICT
    if change_result.reason:
        reason = outcomes.RefusalReason(change_result.reason)
    refused = outcomes.Refusal(reason, change_result.detail)
    current = {
        "current_version": change_result.version,
        "holder": change_result.holder,
    }
    if change_result.status != changes.Status.CONFLICT:
        current = {}
    return refusal(
        refused, extra_fields={"recorded": recorded, **current, **extra_fields}
    )
