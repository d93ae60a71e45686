"""Handshake of a connection: names, format version and authentication.

Each end proves that it has the cluster's key with an HMAC that covers the nonce
of the other end, so that a recorded handshake can't be replayed.
"""

import hashlib
import hmac
import secrets
from typing import NamedTuple

import msgspec

from turmerichall import errors
from turmerichall.peers import envelope
from turmerichall.peers import message_parts

__all__ = [
    "CHANGES_LEVEL",
    "FORMAT_VERSION",
    "accept",
    "check_level",
    "dial",
]

FORMAT_VERSION = 1
# Level of the changes that this release can apply; see `queues.levels`.
CHANGES_LEVEL = 2
MAX_DIGITS = 6
NONCE_BYTES = 16


class Hello(NamedTuple):
    """First message of each end of a connection, encoded as an array.

    Attributes:
        version: Format version of the frames and messages.
        name: Name of the instance.
        address: Address at which the instance accepts connections, host:port;
            empty if it accepts none.
        nonce: Random bytes that the other end's proof (an HMAC) must cover.
    """

    version: int
    name: str
    address: str
    nonce: bytes


class _HelloReply(NamedTuple):
    """Second message of the handshake, from the end that was dialed.

    It holds the hello of this end and the proof that it has the cluster's key.
    """

    hello: Hello
    proof: bytes


def _proof(key: bytes, role: str, dialer: Hello, acceptor: Hello) -> bytes:
    message = msgspec.msgpack.encode((role, dialer, acceptor))
    return hmac.digest(key, message, hashlib.sha256)


def _new_hello(name: str, address: str) -> Hello:
    nonce = secrets.token_bytes(NONCE_BYTES)
    return Hello(FORMAT_VERSION, name, address, nonce)


def _check_version(hello: Hello) -> None:
    if hello.version != FORMAT_VERSION:
        raise errors.PeerError(
            f"peer has format version {hello.version},"
            f" expected {FORMAT_VERSION}"
        )


def _check_proof(given: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(given, expected):
        raise errors.PeerError("the other end does not have the cluster's key")


def check_level(
    connection: envelope.Connection, address: str, least: int
) -> None:
    """Check that a replica can read what others may send it.

    Args:
        connection: A connection whose handshake is complete.
        address: Address at which the other end accepts connections; empty for
            an instance that holds no log.
        least: Level of the changes in force.

    Raises:
        PeerError: The other end can't read changes of that level.
    """
    level = connection.peer_changes_level
    if address and level < least:
        raise errors.PeerError(
            f"refused: its release reads changes up to level {level}, and"
            f" level {least} is in force"
        )


async def _send(connection: envelope.Connection, body: bytes) -> None:
    # Earlier releases ignore the number and the kind.  They reject a hello of
    # more fields.
    frame = envelope.Envelope(
        envelope.FrameKind.HELLO,
        message_parts.MAX_MESSAGE_BYTES,
        str(CHANGES_LEVEL),
        body,
    )
    await connection.send(envelope.encode(frame))


async def _receive(connection: envelope.Connection) -> bytes:
    frame = await connection.receive()
    if frame.frame_kind != envelope.FrameKind.HELLO:
        raise errors.PeerError("expected a hello frame")
    connection.peer_max_message_bytes = min(
        frame.call_number, message_parts.MAX_MESSAGE_BYTES
    )
    kind = frame.kind
    is_level = kind.isascii() and kind.isdigit() and len(kind) <= MAX_DIGITS
    connection.peer_changes_level = int(kind) if is_level else 0
    return frame.body


async def dial(
    connection: envelope.Connection,
    key: bytes,
    name: str,
    address: str,
    expected: str,
) -> None:
    """Perform the handshake on the dialing end.

    Args:
        connection: New connection, on which nothing has been sent yet.
        key: Shared key of the cluster.
        name: Name of this instance.
        address: Address at which this instance accepts connections, host:port;
            empty if it accepts none.
        expected: Name that the other end must have.

    Raises:
        PeerError: The other end has another name or another format version,
            or does not have the key.
    """
    own = _new_hello(name, address)
    await _send(connection, msgspec.msgpack.encode(own))
    try:
        body = await _receive(connection)
        reply = msgspec.msgpack.decode(body, type=_HelloReply)
    except msgspec.DecodeError as error:
        raise errors.PeerError(f"malformed hello: {error}") from error
    _check_version(reply.hello)
    _check_proof(reply.proof, _proof(key, "acceptor", own, reply.hello))
    if reply.hello.name != expected:
        raise errors.PeerError(
            f"reached instance {reply.hello.name}, expected {expected}"
        )
    await _send(connection, _proof(key, "dialer", own, reply.hello))


async def accept(
    connection: envelope.Connection, key: bytes, name: str, address: str
) -> Hello:
    """Perform the handshake on the accepting end.

    Args:
        connection: New connection, on which nothing has been sent yet.
        key: Shared key of the cluster.
        name: Name of this instance.
        address: Address at which this instance accepts connections, host:port.

    Returns:
        The authenticated hello of the dialing end.

    Raises:
        PeerError: The other end has another format version or does not have
            the key.
    """
    try:
        body = await _receive(connection)
        dialer = msgspec.msgpack.decode(body, type=Hello)
    except msgspec.DecodeError as error:
        raise errors.PeerError(f"malformed hello: {error}") from error
    _check_version(dialer)
    own = _new_hello(name, address)
    proof = _proof(key, "acceptor", dialer, own)
    await _send(connection, msgspec.msgpack.encode(_HelloReply(own, proof)))
    given = await _receive(connection)
    _check_proof(given, _proof(key, "dialer", dialer, own))
    return dialer
