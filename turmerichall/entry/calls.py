"""Messages between entry instances and replicas, and between replicas."""

import enum
from typing import NamedTuple

import msgspec

from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.http1 import message

__all__ = [
    "Answer",
    "CALLER_ZONE_HEADER",
    "CALL_ID_HEADER",
    "CLIENT_CALL",
    "CONTROL_CALL",
    "Kind",
    "LEADER_QUERY",
    "SAFE_METHODS",
    "TERM_HEADER",
    "attempt",
    "decode_answer",
    "decode_leader",
    "decode_request",
    "encode",
    "for_attempt",
    "not_leading",
    "with_caller_zone",
    "wrap_response",
]

# Kinds of messages: a client's call that an entry instance forwards, a worker's
# or operator's call that a replica forwards to the leader, and a query for the
# current leader.
CLIENT_CALL = "queue_call"
CONTROL_CALL = "control_call"
LEADER_QUERY = "queue_leader"
# Header field of a forwarded call with the availability zone of the entry
# instance.  Replicas of older versions ignore it.
CALLER_ZONE_HEADER = "turmerichall-caller-zone"
# Header field of a forwarded call with its id, which all attempts of it have.
CALL_ID_HEADER = "turmerichall-call"
# Header field of a forwarded call with the term of the leader that may process
# it, and of an answer with the term of the replica.  It is not a field of
# `Answer`, because entry instances of older versions reject unknown fields.
TERM_HEADER = "turmerichall-term"
# Methods of calls that change nothing.
SAFE_METHODS = ("GET", "HEAD")
# Digits of the largest term.
MAX_DIGITS = 19


class Kind(enum.IntEnum):
    """Kind of an answer; its number is part of the wire format."""

    ANSWERED = 0
    # The replica is not the leader and did not process the call.
    NOT_LEADING = 1


class Answer(NamedTuple):
    """A replica's answer to a forwarded call, encoded as an array.

    Attributes:
        kind: Whether the replica processed the call, or did not because it is
            not the leader.
        status: HTTP status of the response to the caller.
        body: Body of the response.
        headers: Header fields of the response.
        leader: Address of the leader if the replica is not the leader; empty
            if it doesn't know the leader.
    """

    kind: Kind
    status: int
    body: bytes
    headers: dict[str, str]
    leader: str = ""

    @property
    def term(self) -> int:
        """Term of the replica; 0 from replicas of older versions."""
        return _term(self.headers, 0)

    def response(self) -> message.Response:
        """Return the HTTP response that the answer carries to the caller."""
        headers = {
            name: value
            for name, value in self.headers.items()
            if name != TERM_HEADER
        }
        return message.Response(self.status, self.body, headers)


def with_caller_zone(request: message.Request, zone: str) -> message.Request:
    """Return a call with the zone of the entry instance that received it.

    A zone that the client claims itself is replaced.

    Args:
        request: The call.
        zone: Availability zone of the entry instance.

    Examples:
        >>> call = message.Request("GET", "/", {CALLER_ZONE_HEADER: "claimed"})
        >>> with_caller_zone(call, "b").headers[CALLER_ZONE_HEADER]
        'b'
    """
    return request._replace(
        headers={**request.headers, CALLER_ZONE_HEADER: zone}
    )


def for_attempt(
    request: message.Request, call_id: str, term: int
) -> message.Request:
    """Return a call as it is sent in one attempt.

    Args:
        request: The call.
        call_id: Id of the call, the same for all its attempts.
        term: Term of the leader that may process it; 0 if unknown.
    """
    headers = {**request.headers, CALL_ID_HEADER: call_id}
    headers[TERM_HEADER] = str(term)
    return request._replace(headers=headers)


def attempt(request: message.Request) -> leader_apis.Attempt:
    """Return which attempt of which call a forwarded call is.

    A call that changes something and names no known term, 0, is for no leader:
    the answer tells the instance the term that it has to name.
    """
    headers = request.headers
    term = _term(headers, leader_apis.ANY_TERM)
    if term == 0 and request.method in SAFE_METHODS:
        term = leader_apis.ANY_TERM
    return leader_apis.Attempt(headers.get(CALL_ID_HEADER, ""), term)


def _term(headers: message.Headers, default: int) -> int:
    text = headers.get(TERM_HEADER, "")
    if text.isdecimal() and len(text) <= MAX_DIGITS:
        return int(text)
    return default


def wrap_response(response: message.Response, term: int = 0) -> Answer:
    """Return the answer that carries an HTTP response of the leader.

    Args:
        response: The response.
        term: Term of the leader; 0 if its work has ended.
    """
    return Answer(
        Kind.ANSWERED,
        response.status,
        response.body,
        {**response.headers, TERM_HEADER: str(term)},
    )


def not_leading(leader: str, term: int = 0) -> Answer:
    """Return the answer of a replica that is not the leader.

    Args:
        leader: Address of the leader; empty if it is not known.
        term: Term of the replica.
    """
    return Answer(Kind.NOT_LEADING, 0, b"", {TERM_HEADER: str(term)}, leader)


_ENCODER = msgspec.msgpack.Encoder()
_ANSWER_DECODER = msgspec.msgpack.Decoder(Answer)
_REQUEST_DECODER = msgspec.msgpack.Decoder(message.Request)
_LEADER_DECODER = msgspec.msgpack.Decoder(leader_apis.Leader)


def encode(value: message.Request | Answer | leader_apis.Leader) -> bytes:
    """Encode a call, its answer, or the answer to `LEADER_QUERY`."""
    return _ENCODER.encode(value)


def decode_answer(data: bytes) -> Answer:
    """Decode a replica's answer to a forwarded call.

    Raises:
        msgspec.DecodeError: The bytes are not a valid answer.

    Examples:
        >>> decode_answer(encode(not_leading("10.0.0.1:7720"))).leader
        '10.0.0.1:7720'
    """
    return _ANSWER_DECODER.decode(data)


def decode_request(data: bytes) -> message.Request:
    """Decode a forwarded call.

    Raises:
        msgspec.DecodeError: The bytes are not a valid call.
    """
    return _REQUEST_DECODER.decode(data)


def decode_leader(data: bytes) -> leader_apis.Leader:
    """Decode the answer to `LEADER_QUERY`.

    Raises:
        msgspec.DecodeError: The bytes are not a valid answer.
    """
    return _LEADER_DECODER.decode(data)
