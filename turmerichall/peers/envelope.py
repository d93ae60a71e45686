"""Frames between daemons: a 4-byte length and a msgpack envelope."""

import enum
from typing import NamedTuple

import msgspec
import trio

from turmerichall import errors

__all__ = [
    "Connection",
    "Envelope",
    "FrameKind",
    "MAX_FRAME_BYTES",
    "decode",
    "encode",
]

MAX_FRAME_BYTES = 4 * 1024 * 1024
READ_BYTES = 64 * 1024
LENGTH_BYTES = 4


class FrameKind(enum.IntEnum):
    """What a frame is."""

    HELLO = 0
    CALL = 1
    ANSWER = 2
    REFUSAL = 3
    SEND = 4
    PING = 5
    PONG = 6


class Envelope(NamedTuple):
    """One frame.

    Attributes:
        frame: What the frame is.
        number: Number of the call that an answer belongs to; 0 for others.
        kind: Kind of message, which names the handler; of a refusal its
            reason.
        body: What the handler receives or gave.
    """

    frame: FrameKind
    number: int = 0
    kind: str = ""
    body: bytes = b""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Encodes an envelope with its length in front.

    Args:
        envelope: The frame to send.

    Returns:
        The bytes to write to a stream.

    Raises:
        PeerError: The frame is longer than `MAX_FRAME_BYTES`.

    Examples:
        >>> encode(Envelope(FrameKind.PING)).hex()
        '00000006940500a0c400'
    """
    payload = _ENCODER.encode(envelope)
    if len(payload) > MAX_FRAME_BYTES:
        raise errors.PeerError(f"frame of {len(payload)} bytes is too long")
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def decode(payload: bytes) -> Envelope:
    """Decodes the part of a frame that follows its length.

    Args:
        payload: The bytes.

    Returns:
        The envelope.

    Raises:
        PeerError: The bytes are no envelope.

    Examples:
        >>> decode(encode(Envelope(FrameKind.SEND, 0, "k", b"b"))[4:]).body
        b'b'
    """
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise errors.PeerError(f"malformed frame: {error}") from error


class Connection:
    """Envelopes over one stream.

    Attributes:
        stream: The stream beneath.
        buffer: Bytes received and not yet decoded.
    """

    def __init__(self, stream: trio.abc.Stream):
        self.stream = stream
        self.buffer = bytearray()

    async def receive(self) -> Envelope:
        """Waits for the next envelope.

        Returns:
            The envelope.

        Raises:
            PeerError: The connection ended or carried a malformed frame.
        """
        await self._fill(LENGTH_BYTES)
        length = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
        if length > MAX_FRAME_BYTES:
            raise errors.PeerError(f"frame of {length} bytes is too long")
        end = LENGTH_BYTES + length
        await self._fill(end)
        payload = bytes(self.buffer[LENGTH_BYTES:end])
        del self.buffer[:end]
        return decode(payload)

    async def _fill(self, size: int) -> None:
        while len(self.buffer) < size:
            try:
                received = await self.stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as gone:
                raise errors.PeerError("connection broke") from gone
            if not received:
                raise errors.PeerError("connection was closed")
            self.buffer += received

    async def send(self, data: bytes) -> None:
        """Writes encoded frames.

        Args:
            data: Frames as `encode` made them.

        Raises:
            PeerError: The connection broke.
        """
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as gone:
            raise errors.PeerError("connection broke") from gone
