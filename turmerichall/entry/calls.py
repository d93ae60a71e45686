"""Messages between entry instances and replicas, and between replicas."""

import enum
from typing import NamedTuple

import msgspec

from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.http1 import message

__all__ = [
    "Answer",
    "CLIENT_CALL",
    "CONTROL_CALL",
    "Kind",
    "LEADER_QUERY",
    "decode_answer",
    "decode_leader",
    "decode_request",
    "encode",
    "not_leading",
    "wrap_response",
]

# Kinds of messages.
CLIENT_CALL = "queue_call"
CONTROL_CALL = "control_call"
LEADER_QUERY = "queue_leader"


class Kind(enum.IntEnum):
    """What an answer is."""

    ANSWERED = 0
    # Another replica leads; nothing was done.
    NOT_LEADING = 1


class Answer(NamedTuple):
    """A replica's answer to a call that was passed on.

    Attributes:
        kind: What it is.
        status: Status for the caller.
        body: Body for the caller.
        headers: Header fields for the caller.
        leader: Address of the leader, as far as it is known.
    """

    kind: Kind
    status: int
    body: bytes
    headers: dict[str, str]
    leader: str = ""

    def response(self) -> message.Response:
        """Returns the response for the caller."""
        return message.Response(self.status, self.body, self.headers)


def wrap_response(response: message.Response) -> Answer:
    """Returns the answer that holds a response."""
    return Answer(
        Kind.ANSWERED, response.status, response.body, dict(response.headers)
    )


def not_leading(leader: str) -> Answer:
    """Returns the answer of a replica that does not lead."""
    return Answer(Kind.NOT_LEADING, 0, b"", {}, leader)


_ENCODER = msgspec.msgpack.Encoder()
_ANSWERS = msgspec.msgpack.Decoder(Answer)
_REQUESTS = msgspec.msgpack.Decoder(message.Request)
_LEADERS = msgspec.msgpack.Decoder(leader_apis.Leader)


def encode(value: message.Request | Answer | leader_apis.Leader) -> bytes:
    """Encodes a call or an answer."""
    return _ENCODER.encode(value)


def decode_answer(data: bytes) -> Answer:
    """Decodes an answer.

    Raises:
        msgspec.DecodeError: The bytes are none.

    Examples:
        >>> decode_answer(encode(not_leading("10.0.0.1:7720"))).leader
        '10.0.0.1:7720'
    """
    return _ANSWERS.decode(data)


def decode_request(data: bytes) -> message.Request:
    """Decodes a call.

    Raises:
        msgspec.DecodeError: The bytes are none.
    """
    return _REQUESTS.decode(data)


def decode_leader(data: bytes) -> leader_apis.Leader:
    """Decodes who leads.

    Raises:
        msgspec.DecodeError: The bytes tell nothing of it.
    """
    return _LEADERS.decode(data)
