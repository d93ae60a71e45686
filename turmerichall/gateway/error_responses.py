"""What a caller is told: outcome headers, and documents of refusals."""

import enum
import math
from typing import NamedTuple

from turmerichall import documents
from turmerichall import outcomes
from turmerichall.gateway import claim_store
from turmerichall.gateway import claims

__all__ = [
    "Document",
    "OUTCOME",
    "Outcome",
    "RETRY_AFTER",
    "document",
    "headers",
    "status",
]

OUTCOME = b"turmerichall-outcome"
RETRY_AFTER = b"retry-after"


class Outcome(enum.StrEnum):
    """Whether a request was run."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


STATUS = {
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
    """Body of an answer that did not come from a backend server.

    Attributes:
        outcome: Whether the request was run.
        reason: The counted reason.
        detail: A sentence for people.
        request_id: Id of the request, or empty if it could not be read.
        retry_after_seconds: When a new try may succeed; None if it will not.
    """

    outcome: Outcome
    reason: str
    detail: str
    request_id: str
    retry_after_seconds: float | None


def document(
    ended: outcomes.Refusal | outcomes.Unknown | claims.Duplicate,
    request_id: bytes,
) -> Document:
    """Returns the document of a request that got no answer.

    A refusal that rests on an earlier request with the same id, or on not
    knowing whether there was one, doesn't say that the request was not run.

    Examples:
        >>> ended = outcomes.Refusal(outcomes.RefusalReason.DRAINING)
        >>> document(ended, b"r1").outcome
        <Outcome.NOT_RUN: 'not-run'>
    """
    known = request_id.decode("latin-1")
    if isinstance(ended, claims.Duplicate):
        return _duplicate(ended, known)
    if isinstance(ended, outcomes.Unknown):
        return Document(
            Outcome.UNKNOWN, ended.reason, ended.detail, known, None
        )
    outcome = Outcome.NOT_RUN
    if ended.reason == outcomes.RefusalReason.NOT_PROVABLY_SAFE:
        outcome = Outcome.UNKNOWN
    return Document(
        outcome, ended.reason, ended.detail, known, ended.retry_after_seconds
    )


def _duplicate(ended: claims.Duplicate, request_id: str) -> Document:
    ran = ended.state == claim_store.ClaimState.RAN
    return Document(
        Outcome.RAN if ran else Outcome.UNKNOWN,
        outcomes.RefusalReason.DUPLICATE_REQUEST,
        f"a request with this id was taken before: {ended.state}",
        request_id,
        None,
    )


def status(
    ended: outcomes.Refusal | outcomes.Unknown | claims.Duplicate,
) -> int:
    """Returns the HTTP status of a request that got no answer."""
    if isinstance(ended, claims.Duplicate):
        return DUPLICATE_STATUS
    if isinstance(ended, outcomes.Unknown):
        return UNKNOWN_STATUS
    return STATUS.get(ended.reason, REFUSED_STATUS)


def headers(said: Document, body: bytes) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an answer that carries a document."""
    made = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
        (OUTCOME, said.outcome.encode()),
    ]
    if said.request_id:
        made.append(
            (b"turmerichall-request-id", said.request_id.encode("latin-1"))
        )
    if said.retry_after_seconds is not None:
        seconds = max(1, math.ceil(said.retry_after_seconds))
        made.append((RETRY_AFTER, b"%d" % seconds))
    return made


def encode(said: Document) -> bytes:
    """Encodes the body of an answer."""
    return documents.encode(said)
