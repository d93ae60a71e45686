"""Tests of the proxy that injects faults."""

import contextlib
import functools
import os
from collections.abc import AsyncIterator

import pytest
import trio

from turmerichall.tests.standins import client_process
from turmerichall.tests.standins import proxy

PATIENCE_SECONDS = 20.0


@pytest.fixture(name="link")
async def _link(nursery: trio.Nursery) -> AsyncIterator[proxy.Proxy]:
    async def echo(stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            async for data in stream:
                await stream.send_all(data)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, echo, listeners)
    port = listeners[0].socket.getsockname()[1]
    made = proxy.Proxy(f"127.0.0.1:{port}")
    await nursery.start(made.run)
    yield made


async def connect(link: proxy.Proxy) -> trio.SocketStream:
    """Connects through a proxy."""
    host, _, port = link.address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def echoes(stream: trio.SocketStream, text: bytes) -> bool:
    """Tells whether a text comes back."""
    await stream.send_all(text)
    got = b""
    with trio.fail_after(PATIENCE_SECONDS):
        while len(got) < len(text):
            chunk = await stream.receive_some()
            if not chunk:
                return False
            got += chunk
    return got == text


async def stays_silent(stream: trio.SocketStream, text: bytes) -> bool:
    """Tells whether nothing comes back for a while."""
    await stream.send_all(text)
    with trio.move_on_after(0.3):
        await stream.receive_some()
        return False
    return True


class TestProxy:
    """Each fault that the proxy injects."""

    async def test_forwards(self, link: proxy.Proxy) -> None:
        assert await echoes(await connect(link), b"x" * 300_000)
        assert link.max_open_connections == 1

    async def test_refuses_and_heals(self, link: proxy.Proxy) -> None:
        stream = await connect(link)
        assert await echoes(stream, b"a")
        link.set_faults(proxy.LinkFaults(refuse=True))
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()
        with trio.fail_after(PATIENCE_SECONDS):
            while await connects(link):
                await trio.sleep(0.01)
        link.heal()
        with trio.fail_after(PATIENCE_SECONDS):
            while not await connects(link):
                await trio.sleep(0.01)
        assert await echoes(await connect(link), b"b")

    async def test_reset_is_seen(self, link: proxy.Proxy) -> None:
        stream = await connect(link)
        assert await echoes(stream, b"a")
        link.reset_connections()
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()

    async def test_stall_delivers_later(self, link: proxy.Proxy) -> None:
        stream = await connect(link)
        assert await echoes(stream, b"a")
        link.set_faults(proxy.STALLED)
        assert await stays_silent(stream, b"b")
        assert await stays_silent(await connect(link), b"c")
        link.heal()
        with trio.fail_after(PATIENCE_SECONDS):
            assert await stream.receive_some() == b"b"

    async def test_open_connections_go_silent_for_good(
        self, link: proxy.Proxy
    ) -> None:
        stream = await connect(link)
        assert await echoes(stream, b"a")
        link.silence_connections()
        assert await stays_silent(stream, b"b")
        assert await echoes(await connect(link), b"c")
        link.heal()
        assert await stays_silent(stream, b"d")

    async def test_one_direction(self, link: proxy.Proxy) -> None:
        seen: list[bytes] = []

        async def keep(stream: trio.SocketStream) -> None:
            seen.append(await stream.receive_some())
            await stream.send_all(b"lost")

        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, keep, listeners)
            port = listeners[0].socket.getsockname()[1]
            link.target = f"127.0.0.1:{port}"
            link.set_faults(proxy.LinkFaults(stall_to_client=True))
            assert await stays_silent(await connect(link), b"heard")
            nursery.cancel_scope.cancel()
        assert seen == [b"heard"]

    async def test_faults_of_one_origin(self, link: proxy.Proxy) -> None:
        pids = {"other": os.getppid(), "own": os.getpid()}
        link.client_name_of = functools.partial(
            client_process.find_name, pids=pids
        )
        link.set_client_faults({"own": proxy.STALLED})
        assert await stays_silent(await connect(link), b"a")
        link.set_client_faults({"other": proxy.STALLED})
        assert await echoes(await connect(link), b"b")

    async def test_reset_after_bytes(self, link: proxy.Proxy) -> None:
        link.set_faults(proxy.LinkFaults(reset_after_bytes=5))
        stream = await connect(link)
        await stream.send_all(b"x" * 50)
        got = b""
        with pytest.raises(trio.BrokenResourceError):
            while True:
                got += await stream.receive_some()
        assert len(got) <= 5

    async def test_dead_target_is_a_reset(self, link: proxy.Proxy) -> None:
        link.target = "127.0.0.1:1"
        stream = await connect(link)
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()


async def connects(link: proxy.Proxy) -> bool:
    """Tells whether a connection is accepted."""
    try:
        stream = await connect(link)
    except OSError:
        return False
    await stream.aclose()
    return True
