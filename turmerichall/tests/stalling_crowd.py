"""A crowd of clients whose requests stop short of their end and stay open."""

import contextlib
from typing import NamedTuple

import trio

from turmerichall.http1 import message

__all__ = ["Crowd", "chunked_body", "endless_head", "run"]

HOLD_SECONDS = 4.0
CONNECT_SECONDS = 10.0


class Crowd(NamedTuple):
    """A number of clients that all send the same incomplete request.

    Attributes:
        clients: Number of clients, each with one connection at a time.
        request: Bytes that each connection carries.
        returns: How often each client comes back after its connection is
            closed.
        reads: Whether the clients read what they are sent.
    """

    clients: int
    request: bytes
    returns: int = 1
    reads: bool = True


def chunked_body(
    path: str,
    headers: message.Headers,
    chunk_bytes: int,
    body_bytes: int,
) -> bytes:
    """Return a request with a chunked body that lacks its end.

    Args:
        path: Target of the request.
        headers: Header fields of the request, without its encoding.
        chunk_bytes: Size of each chunk.
        body_bytes: Size of all chunks together.

    Examples:
        >>> chunked_body("/", {}, 1, 2).partition(b"chunked")[2]
        b'\\r\\n\\r\\n1\\r\\nx\\r\\n1\\r\\nx\\r\\n'
    """
    fields = {**headers, "transfer-encoding": "chunked"}
    head = f"POST {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    head += "\r\n"
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return head.encode() + chunk * (body_bytes // chunk_bytes)


def endless_head(fields: int) -> bytes:
    """Return a request that ends after some short header fields.

    Examples:
        >>> endless_head(2)
        b'GET / HTTP/1.1\\r\\n0:\\r\\n1:\\r\\n'
    """
    names = b"".join(b"%x:\r\n" % number for number in range(fields))
    return b"GET / HTTP/1.1\r\n" + names


async def run(address: str, crowd: Crowd) -> None:
    """Let all clients send their requests, and hold what they have begun.

    It ends once each client has come back as often as it may, and has waited
    for the end of its last connection for `HOLD_SECONDS`.

    Args:
        address: Address of the server, host:port.
        crowd: The clients.
    """
    async with trio.open_nursery() as nursery:
        for _ in range(crowd.clients):
            nursery.start_soon(_run_client, address, crowd)


async def _run_client(address: str, crowd: Crowd) -> None:
    host, _, port = address.rpartition(":")
    for _ in range(1 + crowd.returns):
        with trio.move_on_after(CONNECT_SECONDS):
            try:
                stream = await trio.open_tcp_stream(host, int(port))
            except OSError:
                # The server refuses it, or its backlog is full.
                continue
            await _send(stream, crowd)


async def _send(stream: trio.SocketStream, crowd: Crowd) -> None:
    """Send the request, and hold the connection until the server closes it."""
    with trio.move_on_after(HOLD_SECONDS) as scope:
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(_send_all, stream, crowd.request)
            if crowd.reads:
                await _read_to_end(stream)
                scope.cancel()


async def _send_all(stream: trio.SocketStream, data: bytes) -> None:
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(data)
    await trio.sleep_forever()


async def _read_to_end(stream: trio.SocketStream) -> None:
    with contextlib.suppress(trio.BrokenResourceError):
        while await stream.receive_some():
            pass
