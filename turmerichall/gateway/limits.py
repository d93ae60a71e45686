"""Limits of the request path, with their defaults."""

from typing import NamedTuple

__all__ = ["Limits"]


class Limits(NamedTuple):
    """Limits of the request path of one entry instance.

    Attributes:
        body_bytes: Maximum size of the body of a request.
        deadline_seconds: Time until the deadline of a request that states none.
        max_deadline_seconds: Longest such time that a caller may state.
        connect_seconds: Timeout for opening a connection to a backend server.
        silent_seconds: How long nothing may arrive for an exchange before the
            backend server is queried about it over a new connection.
        idle_seconds: How long an idle connection to a backend server is kept.
        caller_stall_seconds: Timeout for sending a part of a response to a
            caller; a caller that doesn't read it by then is disconnected.
        caller_connections: Maximum number of connections of callers.
        held_bytes: Maximum size of all requests of callers, and parts of
            responses, that are in memory.
        queue_requests: Maximum number of requests that wait for a slot.
        queue_seconds: How long a request may wait for a slot during a burst.
        standing_queue_seconds: How long it may wait once the queue has not been
            empty for `queue_seconds`.
        concurrency: Maximum number of requests in flight; upper bound and
            initial value of the adaptive limit.
        retry_ratio: Retries allowed for each first attempt.
        attempts: Maximum number of attempts of one request.
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
    held_bytes: int = 64 * 1024**2
    queue_requests: int = 256
    queue_seconds: float = 1.0
    standing_queue_seconds: float = 0.2
    concurrency: int = 256
    retry_ratio: float = 0.1
    attempts: int = 3
    routing: str = "least_loaded"
