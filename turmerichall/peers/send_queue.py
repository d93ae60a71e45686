"""Queue of the messages that one connection still has to send."""

import collections
from typing import NamedTuple

import trio

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.peers import envelope
from turmerichall.peers import message_parts

__all__ = ["Batch", "MAX_QUEUED_BYTES", "NO_LIMIT", "SendQueue"]

MAX_QUEUED_BYTES = 2 * message_parts.MAX_MESSAGE_BYTES
MAX_QUEUED_FRAMES = 8192
NO_LIMIT = 2**63
MAX_WRITE_BYTES = 64 * 1024


class Batch(NamedTuple):
    """What is written at once.

    Attributes:
        data: Encoded frames.
        call_number: Number of the call of which the data hold a part; 0 if
            they hold none.
    """

    data: bytes
    call_number: int = 0


class _LongMessage:
    """A message that leaves in parts.

    Attributes:
        message: The message.
        unsent: The next frame to send, if it is encoded already.
        offset: Start of the next part in the body.
    """

    def __init__(self, message: envelope.Envelope):
        self.message = message
        self.unsent = message_parts.encode_beginning(message)
        self.offset = 0

    def is_sent(self) -> bool:
        """Return whether no part is left to send."""
        return self.offset >= len(self.message.body)

    def take(self) -> bytes:
        """Return the next frame to send."""
        frame, self.unsent = self.unsent, b""
        if not frame:
            frame = message_parts.encode_part(self.message, self.offset)
            self.offset += message_parts.PART_BYTES
        return frame


class SendQueue:
    """Messages to send, of which the long ones leave in parts.

    A long message waits for the long ones before it.  Others are sent between
    its parts, so that a long message does not delay heartbeats and pings.

    Attributes:
        max_bytes: Limit on the size of all queued messages.
        max_frames: Limit on the number of the short ones.
        max_message_bytes: Largest message that the peer accepts in parts; 0 if
            it is of an earlier release, which accepts none.
        filled: Set while messages are queued.
    """

    def __init__(
        self,
        max_bytes: int = MAX_QUEUED_BYTES,
        max_frames: int = MAX_QUEUED_FRAMES,
    ):
        self.max_bytes = max_bytes
        self.max_frames = max_frames
        self.max_message_bytes = 0
        self.filled = trio.Event()
        self._frames: collections.deque[bytes] = collections.deque()
        self._long: collections.deque[_LongMessage] = collections.deque()
        self._queued_bytes = 0

    def add(self, message: envelope.Envelope) -> outcomes.Refusal | None:
        """Queue a message.

        Returns:
            None; or a refusal with the reason `too_large`, if the peer does
            not accept messages of this size, `malformed`, if the message can't
            be encoded, or `unreachable`, if the queue is full.
        """
        size = len(message.body)
        in_parts = message_parts.PART_BYTES < size <= self.max_message_bytes
        if not in_parts and size > envelope.MAX_FRAME_BYTES:
            return _too_large(size)
        try:
            if in_parts:
                long_message = _LongMessage(message)
            else:
                data = envelope.encode(message)
                size = len(data)
        except errors.PeerError:
            return _too_large(size)
        except (TypeError, ValueError, OverflowError) as error:
            return outcomes.Refusal(
                outcomes.RefusalReason.MALFORMED,
                f"the message can't be encoded: {error}",
            )
        if (
            len(self._frames) >= self.max_frames
            or self._queued_bytes + size > self.max_bytes
        ):
            return outcomes.Refusal(
                outcomes.RefusalReason.UNREACHABLE, "send queue full"
            )
        if in_parts:
            self._long.append(long_message)
        else:
            self._frames.append(data)
        self._queued_bytes += size
        self.filled.set()
        return None

    def clear(self) -> None:
        """Discard all messages, also the rest of one that is being sent."""
        self._frames.clear()
        self._long.clear()
        self._queued_bytes = 0
        self.filled = trio.Event()

    async def take(self) -> Batch:
        """Wait for messages, and return what is to be written next."""
        await self.filled.wait()
        batch = bytearray()
        while self._frames and len(batch) < MAX_WRITE_BYTES:
            batch += self._frames.popleft()
        self._queued_bytes -= len(batch)
        call_number = 0
        if self._long:
            first = self._long[0]
            call_number = first.message.call_number
            batch += first.take()
            if first.is_sent():
                self._long.popleft()
                self._queued_bytes -= len(first.message.body)
        if not self._frames and not self._long:
            self.filled = trio.Event()
        return Batch(bytes(batch), call_number)


def _too_large(size: int) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.RefusalReason.TOO_LARGE,
        f"a message of {size} bytes exceeds what the other instance accepts",
    )
