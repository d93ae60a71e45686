"""Messages in parts: those that are too long for one frame.

A frame of the kind `BEGIN` names the message and its size; frames of the kind
`PART` follow with its body.  A connection carries one such message at a time in
each direction, so that the receiver never holds more than one, and other frames
between its parts.
"""

from typing import NamedTuple

import msgspec
import trio

from turmerichall import errors
from turmerichall.peers import envelope

__all__ = [
    "Assembler",
    "MAX_MESSAGE_BYTES",
    "PART_BYTES",
    "encode_beginning",
    "encode_part",
]

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# 0.13 s at 2 Mbit/s, for which a ping may have to wait.
PART_BYTES = 32 * 1024


class _Beginning(NamedTuple):
    """Body of a `BEGIN` frame, encoded as an array.

    Attributes:
        frame_kind: Kind of the frame that a shorter message would be.
        size: Size of the body of the message, in bytes.
    """

    frame_kind: envelope.FrameKind
    size: int


_DECODER = msgspec.msgpack.Decoder(_Beginning)


def encode_beginning(message: envelope.Envelope) -> bytes:
    """Encode the frame that goes before the parts of a message.

    Raises:
        TypeError, ValueError, OverflowError: A field can't be encoded.
    """
    beginning = _Beginning(message.frame_kind, len(message.body))
    return envelope.encode(
        message._replace(
            frame_kind=envelope.FrameKind.BEGIN,
            body=msgspec.msgpack.encode(beginning),
        )
    )


def encode_part(message: envelope.Envelope, offset: int) -> bytes:
    """Encode the part of a message that starts at an offset in its body.

    Examples:
        >>> body = bytes(PART_BYTES + 1)
        >>> call = envelope.Envelope(envelope.FrameKind.CALL, 7, "k", body)
        >>> len(envelope.decode(encode_part(call, PART_BYTES)[4:]).body)
        1
    """
    return envelope.encode(
        envelope.Envelope(
            envelope.FrameKind.PART,
            message.call_number,
            body=message.body[offset : offset + PART_BYTES],
        )
    )


class Assembler:
    """Puts received parts together.

    Attributes:
        max_gap_seconds: Longest time between two parts of a message.
        message: The message that is incomplete, without its body; None if
            there is none.
    """

    def __init__(self, max_gap_seconds: float):
        self.max_gap_seconds = max_gap_seconds
        self.message: envelope.Envelope | None = None
        self._body = bytearray()
        self._size = 0
        self._part_due = float("inf")

    def add(self, frame: envelope.Envelope) -> envelope.Envelope | None:
        """Take a received frame, and return the message that it completes.

        Args:
            frame: The frame.

        Returns:
            The frame itself if it is a whole message; None if parts are still
            missing.

        Raises:
            PeerError: The frame is out of order, its message is larger than
                `MAX_MESSAGE_BYTES`, or the rest of the message before it is
                overdue.
        """
        now = trio.current_time()
        if frame.frame_kind == envelope.FrameKind.BEGIN:
            self._begin(frame)
        elif frame.frame_kind != envelope.FrameKind.PART:
            if now > self._part_due:
                raise errors.PeerError("the rest of a message does not arrive")
            return frame
        elif self.message is None or not frame.body:
            raise errors.PeerError("a part belongs to no message")
        else:
            self._body += frame.body
        if len(self._body) > self._size:
            raise errors.PeerError("a message is longer than announced")
        self._part_due = now + self.max_gap_seconds
        if len(self._body) < self._size or self.message is None:
            return None
        whole = self.message._replace(body=bytes(self._body))
        self.message = None
        self._body = bytearray()
        self._part_due = float("inf")
        return whole

    def _begin(self, frame: envelope.Envelope) -> None:
        try:
            beginning = _DECODER.decode(frame.body)
        except msgspec.DecodeError as error:
            raise errors.PeerError(f"malformed frame: {error}") from error
        if self.message is not None:
            raise errors.PeerError("a message begins within another one")
        if not 0 < beginning.size <= MAX_MESSAGE_BYTES:
            raise errors.PeerError(
                f"message of {beginning.size} bytes exceeds the size limit"
            )
        self.message = frame._replace(frame_kind=beginning.frame_kind, body=b"")
        self._size = beginning.size
