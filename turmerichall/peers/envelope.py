"""Frames of the protocol between daemons: a 4-byte length and an envelope.

The length is big-endian and does not count itself; the envelope is msgpack.
"""

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
    "MAX_HELLO_BYTES",
    "connection_error",
    "decode",
    "encode",
]

MAX_FRAME_BYTES = 4 * 1024 * 1024
# Frames of a handshake have names, an address, a nonce and a proof.
MAX_HELLO_BYTES = 16 * 1024
READ_BYTES = 64 * 1024
LENGTH_BYTES = 4


class FrameKind(enum.IntEnum):
    """Kind of a frame; a frame contains the number of its kind."""

    HELLO = 0
    CALL = 1
    ANSWER = 2
    REFUSAL = 3
    ONE_WAY = 4
    PING = 5
    PONG = 6
    # Of messages that are too long for one frame; see `message_parts`.  They
    # are sent only to peers whose hello says that they accept them.
    BEGIN = 7
    PART = 8


class Envelope(NamedTuple):
    """Content of one frame, encoded as an array in this order.

    Attributes:
        frame_kind: Kind of the frame.
        call_number: Number of a call, which its answer or refusal repeats; in a
            hello, size of the largest message that its sender accepts in parts,
            in bytes; 0 in other frames.
        kind: Kind of message, which selects the handler; in a refusal, the
            reason.
        body: Input of the handler or its result; in a refusal, the detail.
    """

    frame_kind: FrameKind
    call_number: int = 0
    kind: str = ""
    body: bytes = b""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope as a frame.

    Args:
        envelope: Content of the frame.

    Returns:
        The bytes to write to a stream, starting with the length.

    Raises:
        PeerError: The envelope is longer than `MAX_FRAME_BYTES`.

    Examples:
        >>> encode(Envelope(FrameKind.PING)).hex()
        '00000006940500a0c400'
    """
    payload = _ENCODER.encode(envelope)
    if len(payload) > MAX_FRAME_BYTES:
        raise errors.PeerError(
            f"frame of {len(payload)} bytes exceeds the size limit"
        )
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def decode(payload: bytes) -> Envelope:
    """Decode the envelope of a frame.

    Args:
        payload: The bytes of the frame after its length.

    Returns:
        The envelope.

    Raises:
        PeerError: The bytes are not a valid envelope.

    Examples:
        >>> decode(encode(Envelope(FrameKind.ONE_WAY, 0, "k", b"b"))[4:]).body
        b'b'
    """
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise errors.PeerError(f"malformed frame: {error}") from error


def connection_error(group: BaseExceptionGroup) -> BaseException:
    """Return the exception to raise for a group from a connection's tasks.

    A connection can break in the step of the event loop in which its tasks are
    cancelled.  The cancellation, or any other error, then goes first.

    Args:
        group: Errors of the tasks that serve one connection.

    Returns:
        The first `PeerError` if the group holds nothing else; otherwise the
        group without its instances of `PeerError`.

    Examples:
        >>> broken = errors.PeerError("connection broke")
        >>> connection_error(ExceptionGroup("", [broken]))
        PeerError('connection broke')
        >>> connection_error(ExceptionGroup("", [broken, KeyError("a")]))
        ExceptionGroup('', [KeyError('a')])
    """
    _, other = group.split(errors.PeerError)
    return group.exceptions[0] if other is None else other


class Connection:
    """Connection that sends and receives frames over one stream.

    Attributes:
        stream: The underlying stream.
        buffer: Received bytes that are not decoded yet.
        max_frame_bytes: Size of the longest frame that it receives.  It is
            small until `end_handshake`, since anyone may connect.
        peer_max_message_bytes: Size of the largest message that the other end
            accepts in parts; 0 before the handshake, and of a peer of an
            earlier release, which accepts none.
        peer_changes_level: Level of the changes that the other end can apply;
            0 before the handshake, and of a peer of an earlier release.
    """

    def __init__(self, stream: trio.abc.Stream):
        self.stream = stream
        self.buffer = bytearray()
        self.max_frame_bytes = MAX_HELLO_BYTES
        self.peer_max_message_bytes = 0
        self.peer_changes_level = 0

    def end_handshake(self) -> None:
        """Receive frames of any valid size from now on."""
        self.max_frame_bytes = MAX_FRAME_BYTES

    async def receive(self) -> Envelope:
        """Wait for the next envelope.

        Returns:
            The envelope.

        Raises:
            PeerError: The connection ended, or a frame is malformed or too
                long.
        """
        await self._receive_until(LENGTH_BYTES)
        length = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
        if length > self.max_frame_bytes:
            raise errors.PeerError(
                f"frame of {length} bytes exceeds the size limit"
            )
        end = LENGTH_BYTES + length
        await self._receive_until(end)
        payload = bytes(self.buffer[LENGTH_BYTES:end])
        del self.buffer[:end]
        return decode(payload)

    async def _receive_until(self, size: int) -> None:
        while len(self.buffer) < size:
            try:
                received = await self.stream.receive_some(
                    min(READ_BYTES, self.max_frame_bytes)
                )
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ) as error:
                raise errors.PeerError("connection broke") from error
            if not received:
                raise errors.PeerError("connection was closed")
            self.buffer += received

    async def send(self, data: bytes) -> None:
        """Write encoded frames.

        Args:
            data: One or more frames returned by `encode`.

        Raises:
            PeerError: The connection broke.
        """
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise errors.PeerError("connection broke") from error
