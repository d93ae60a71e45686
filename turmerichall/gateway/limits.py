"""Settings of the request path, with their defaults."""

from typing import NamedTuple

__all__ = ["Limits"]


class Limits(NamedTuple):
    """What bounds the request path of one entry instance.

    Attributes:
        body_bytes: Largest body of a request.
        deadline_seconds: Deadline of a request that names none.
        max_deadline_seconds: Longest deadline that a caller may name.
        connect_seconds: How long opening a connection may take.
        silent_seconds: How long an exchange may stay quiet before the backend
            server is asked about it over a new connection.
        idle_seconds: How long a connection is kept without use.
        caller_stall_seconds: How long a caller may take no byte of its answer.
        caller_connections: Connections of callers at most.
        queue_requests: Requests that may wait for a slot.
        queue_seconds: How long a request may wait for a slot in a burst.
        standing_queue_seconds: How long it may wait once requests have been
            waiting without a break for `queue_seconds`.
        concurrency: Requests in flight at most; the adaptive limit starts and
            stays below it.
        retry_ratio: Retries allowed for each first attempt.
        attempts: Attempts of one request at most.
        routing: Name of the selector: `least_loaded`, `round_robin` or
            `random`.
    """

    body_bytes: int = 1_048_576
    deadline_seconds: float = 10.0
    max_deadline_seconds: float = 120.0
    connect_seconds: float = 1.0
    silent_seconds: float = 2.0
    idle_seconds: float = 3.0
    caller_stall_seconds: float = 20.0
    caller_connections: int = 1024
    queue_requests: int = 256
    queue_seconds: float = 1.0
    standing_queue_seconds: float = 0.2
    concurrency: int = 256
    retry_ratio: float = 0.1
    attempts: int = 3
    routing: str = "least_loaded"
