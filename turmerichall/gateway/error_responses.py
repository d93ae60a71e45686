"""Error responses of the gateway, and the outcome header of all responses."""

import enum
import math
from typing import NamedTuple

from turmerichall import documents
from turmerichall import outcomes
from turmerichall.gateway import claim_store
from turmerichall.gateway import claims as claims_module

__all__ = [
    "Document",
    "OUTCOME_HEADER",
    "Outcome",
    "RETRY_AFTER_HEADER",
    "headers",
    "make_document",
    "status",
]

OUTCOME_HEADER = b"turmerichall-outcome"
RETRY_AFTER_HEADER = b"retry-after"


class Outcome(enum.StrEnum):
    """Outcome of a request: whether it ran."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


STATUS_BY_REASON = {
    outcomes.RefusalReason.MALFORMED: 400,
    outcomes.RefusalReason.TIMEOUT: 408,
    outcomes.RefusalReason.TOO_LARGE: 413,
    outcomes.RefusalReason.UNKNOWN_CUSTOMER: 404,
    outcomes.RefusalReason.UNKNOWN_SERVICE: 404,
    outcomes.RefusalReason.CUSTOMER_LIMIT: 429,
    outcomes.RefusalReason.DEADLINE: 504,
}
REFUSED_STATUS = 503
UNKNOWN_STATUS = 502
DUPLICATE_STATUS = 409


class Document(NamedTuple):
    """Body of a response that did not come from a backend server.

    Attributes:
        outcome: Whether the request ran.
        reason: Why the request was refused or its outcome is unknown, as named
            in the metrics.
        detail: Human-readable explanation.
        request_id: Id of the request; empty if it could not be read.
        retry_after_seconds: Time after which a new attempt may succeed; None if
            the caller is not asked to try again.
    """

    outcome: Outcome
    reason: str
    detail: str
    request_id: str
    retry_after_seconds: float | None


def make_document(
    result: outcomes.Refusal | outcomes.Unknown | claims_module.Duplicate,
    request_id: bytes,
) -> Document:
    """Return the document of a request that a backend server did not answer.

    If the request was refused because there was an earlier one with the same
    id, or because that can't be ruled out, the outcome is not `NOT_RUN`: the
    earlier request may have run.

    Examples:
        >>> result = outcomes.Refusal(outcomes.RefusalReason.DRAINING)
        >>> make_document(result, b"r1").outcome
        <Outcome.NOT_RUN: 'not-run'>
    """
    request_id_text = request_id.decode("latin-1")
    if isinstance(result, claims_module.Duplicate):
        return _duplicate(result, request_id_text)
    if isinstance(result, outcomes.Unknown):
        return Document(
            Outcome.UNKNOWN, result.reason, result.detail, request_id_text, None
        )
    outcome = Outcome.NOT_RUN
    if result.reason == outcomes.RefusalReason.NOT_PROVABLY_SAFE:
        outcome = Outcome.UNKNOWN
    return Document(
        outcome,
        result.reason,
        result.detail,
        request_id_text,
        result.retry_after_seconds,
    )


def _duplicate(result: claims_module.Duplicate, request_id: str) -> Document:
    ran = result.state == claim_store.ClaimState.RAN
    return Document(
        Outcome.RAN if ran else Outcome.UNKNOWN,
        outcomes.RefusalReason.DUPLICATE_REQUEST,
        f"a request with this id was already received: {result.state}",
        request_id,
        None,
    )


def status(
    result: outcomes.Refusal | outcomes.Unknown | claims_module.Duplicate,
) -> int:
    """Return the HTTP status of an error response."""
    if isinstance(result, claims_module.Duplicate):
        return DUPLICATE_STATUS
    if isinstance(result, outcomes.Unknown):
        return UNKNOWN_STATUS
    return STATUS_BY_REASON.get(result.reason, REFUSED_STATUS)


def headers(document: Document, body: bytes) -> list[tuple[bytes, bytes]]:
    """Return the headers of an error response."""
    response_headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
        (OUTCOME_HEADER, document.outcome.encode()),
    ]
    if document.request_id:
        response_headers.append(
            (b"turmerichall-request-id", document.request_id.encode("latin-1"))
        )
    if document.retry_after_seconds is not None:
        seconds = max(1, math.ceil(document.retry_after_seconds))
        response_headers.append((RETRY_AFTER_HEADER, b"%d" % seconds))
    return response_headers


def encode(document: Document) -> bytes:
    """Encode the body of an error response."""
    return documents.encode(document)
