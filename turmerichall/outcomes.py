"""Return values for operations that were refused or whose effect is unknown.

A function that may refuse an operation returns `Refusal`; one that can't
determine its effect returns `Unknown`.  Each reason has its own counter; see
docs/METRICS.md.
"""

import enum
from typing import NamedTuple

__all__ = [
    "Refusal",
    "RefusalReason",
    "RetryReason",
    "Unknown",
    "UnknownReason",
]


class RefusalReason(enum.StrEnum):
    """Why an operation was refused; it had no effect."""

    # Refusals of input that is invalid, unauthorized or names an unknown thing.
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_CUSTOMER = "unknown_customer"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_NAME = "unknown_name"
    # Refusals of changes to the configuration or other replicated state.
    VERSION_CONFLICT = "version_conflict"
    NO_QUORUM = "no_quorum"
    NOT_LEADER = "not_leader"
    STOPPED = "stopped"
    NO_ROOM = "no_room"
    # Refusals of callers' requests.
    DRAINING = "draining"
    OVERLOADED = "overloaded"
    CUSTOMER_LIMIT = "customer_limit"
    DEADLINE = "deadline"
    NO_BACKEND_SERVER = "no_backend_server"
    BACKEND_SERVER_REFUSED = "backend_server_refused"
    CONNECT_FAILED = "connect_failed"
    DUPLICATE_REQUEST = "duplicate_request"
    NOT_PROVABLY_SAFE = "not_provably_safe"
    # Refusals to place a task or grant a lease, and of operations that the
    # current state does not allow.
    NEVER_FITS = "never_fits"
    NO_CAPACITY = "no_capacity"
    OVER_QUOTA = "over_quota"
    QUARANTINED = "quarantined"
    STALE_EPOCH = "stale_epoch"
    STALE_ANCHOR = "stale_anchor"
    WRONG_STATE = "wrong_state"
    ZONE_EVACUATED = "zone_evacuated"
    # Refusals because another daemon can't be reached or does not answer.
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"


class UnknownReason(enum.StrEnum):
    """Why the effect of an operation is unknown."""

    CONNECTION_LOST = "connection_lost"
    SILENT = "silent"
    DEADLINE = "deadline"
    TRUNCATED = "truncated"
    WRONG_REQUEST_ID = "wrong_request_id"
    LEADER_LOST = "leader_lost"
    # The handler of a message raised an exception.
    HANDLER_FAILED = "handler_failed"


class RetryReason(enum.StrEnum):
    """Why an operation was retried."""

    CONNECT_FAILED = "connect_failed"
    BACKEND_SERVER_REFUSED = "backend_server_refused"
    CONNECTION_LOST = "connection_lost"
    SILENT = "silent"
    SERVER_ERROR = "server_error"
    NOT_LEADER = "not_leader"
    # An update of a worker's announcement could not be applied, so a full
    # announcement was requested.
    UNKNOWN_BASE = "unknown_base"
    BASE_MISMATCH = "base_mismatch"
    DIGEST_MISMATCH = "digest_mismatch"
    NEW_AUTHORITY = "new_authority"
    # A replica switched to another source of log entries.
    SOURCE_FAILED = "source_failed"


class Refusal(NamedTuple):
    """An operation was refused and provably had no effect.

    Attributes:
        reason: The reason, which is counted.
        detail: Explanation for people.
        retry_after_seconds: Time after which a retry may succeed; None if it
            will not.
    """

    reason: RefusalReason
    detail: str = ""
    retry_after_seconds: float | None = None


class Unknown(NamedTuple):
    """An operation was sent and its effect is unknown.

    Attributes:
        reason: The reason, which is counted.
        detail: Explanation for people.
    """

    reason: UnknownReason
    detail: str = ""
