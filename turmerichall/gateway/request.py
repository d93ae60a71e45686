"""Requests of callers, parsed from the HTTP head.

The path is `/v1/requests/{customer}/{service}`; the body is opaque.
"""

import math
import re
import uuid
from collections.abc import Iterable
from typing import NamedTuple

from turmerichall import outcomes
from turmerichall.customers import customer as customers
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import request_id as request_ids
from turmerichall.state import configuration as configurations

__all__ = [
    "DEADLINE_HEADER",
    "IDEMPOTENT_HEADER",
    "REQUEST_ID_HEADER",
    "Request",
    "parse",
]

REQUEST_ID_HEADER = b"turmerichall-request-id"
IDEMPOTENT_HEADER = b"turmerichall-idempotent"
DEADLINE_HEADER = b"turmerichall-deadline-ms"
FORWARDED_HEADERS = frozenset({b"accept", b"content-type", b"traceparent"})
REQUEST_ID_PATTERN = re.compile(rb"[A-Za-z0-9._:@-]{1,128}")

PATH_PREFIX = "/v1/requests/"

Headers = list[tuple[bytes, bytes]]


class Request(NamedTuple):
    """One request of a caller.

    Attributes:
        customer: Name of the customer.
        service: Name of the service template.
        request_id: The id that the caller sent, or a generated one.
        idempotent: Whether the request may be run more than once.
        urgency: Urgency of the customer.
        max_requests: Maximum number of requests in flight of the customer on
            this instance.
        deadline: When the caller stops waiting, trio time.
        headers: Headers that are forwarded to the backend server.
        body: The whole body.
    """

    customer: str
    service: str
    request_id: bytes
    idempotent: bool
    urgency: customers.Urgency
    max_requests: int
    deadline: float
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""

    def remaining_seconds(self, now: float) -> float:
        """Return the time until the deadline, in seconds."""
        return self.deadline - now


def parse(
    path: str,
    headers: Iterable[tuple[bytes, bytes]],
    configuration: configurations.Configuration,
    limits: limits_module.Limits,
    now: float,
) -> Request | outcomes.Refusal:
    """Parse the head of a request.

    Args:
        path: Decoded path of the URL.
        headers: Header names in lower case, with their values.
        configuration: Configuration in force.
        limits: Limits of the request path.
        now: Current time, trio clock.

    Returns:
        The request without its body, or why it is refused.
    """
    segments = path[len(PATH_PREFIX) :].split("/")
    if not path.startswith(PATH_PREFIX) or len(segments) != 2:
        return _malformed(
            f"path {path[:100]!r} is not {PATH_PREFIX}CUSTOMER/SERVICE"
        )
    customer_name, service = segments
    customer = configuration.customers.get(customer_name)
    if customer is None:
        return outcomes.Refusal(
            outcomes.RefusalReason.UNKNOWN_CUSTOMER,
            f"customer {customer_name[:80]!r} does not exist",
        )
    template = configuration.templates.get(service)
    if template is None or service not in customer.body.services:
        return outcomes.Refusal(
            outcomes.RefusalReason.UNKNOWN_SERVICE,
            f"customer {customer_name} has no service {service[:80]!r}",
        )
    fields = dict(headers)
    idempotent = _idempotent(fields, template.body.idempotent)
    if isinstance(idempotent, outcomes.Refusal):
        return idempotent
    request_id = _request_id(fields, idempotent)
    if isinstance(request_id, outcomes.Refusal):
        return request_id
    seconds = _deadline_seconds(fields, limits)
    if isinstance(seconds, outcomes.Refusal):
        return seconds
    return Request(
        customer_name,
        service,
        request_id,
        idempotent,
        customer.body.urgency,
        customer.body.max_requests,
        now + seconds,
        tuple(item for item in fields.items() if item[0] in FORWARDED_HEADERS),
    )


def _idempotent(
    fields: dict[bytes, bytes], default: bool
) -> bool | outcomes.Refusal:
    value = fields.get(IDEMPOTENT_HEADER)
    if value is None:
        return default
    if value in (b"true", b"false"):
        return value == b"true"
    return _malformed("Turmerichall-Idempotent must be true or false")


def _request_id(
    fields: dict[bytes, bytes], idempotent: bool
) -> bytes | outcomes.Refusal:
    value = fields.get(REQUEST_ID_HEADER)
    if value is None:
        if idempotent:
            return uuid.uuid4().hex.encode()
        return _malformed(
            "a request that is not idempotent needs Turmerichall-Request-Id"
        )
    if not REQUEST_ID_PATTERN.fullmatch(value):
        return _malformed(
            "Turmerichall-Request-Id must be 1 to 128 letters, digits or"
            " '.', '_', ':', '@', '-'"
        )
    if not idempotent and request_ids.parse(value.decode()) is None:
        return _malformed(
            "the id of a request that is not idempotent must be a version 7"
            " UUID"
        )
    return value


def _deadline_seconds(
    fields: dict[bytes, bytes], limits: limits_module.Limits
) -> float | outcomes.Refusal:
    value = fields.get(DEADLINE_HEADER)
    if value is None:
        return limits.deadline_seconds
    try:
        seconds = float(value) / 1000
    except ValueError:
        seconds = math.nan
    if 0 < seconds <= limits.max_deadline_seconds:
        return seconds
    return _malformed(
        "Turmerichall-Deadline-Ms must be above 0 and at most"
        f" {limits.max_deadline_seconds * 1000:.0f}"
    )


def _malformed(detail: str) -> outcomes.Refusal:
    return outcomes.Refusal(outcomes.RefusalReason.MALFORMED, detail)
