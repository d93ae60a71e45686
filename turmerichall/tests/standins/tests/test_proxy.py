"""Tests of the proxy that injects faults."""

import contextlib
import functools
import os
from collections.abc import AsyncIterator

import pytest
import trio

from turmerichall.tests.standins import client_process
from turmerichall.tests.standins import proxy

TIMEOUT_SECONDS = 20.0


@pytest.fixture(name="echo_proxy")
async def _echo_proxy(nursery: trio.Nursery) -> AsyncIterator[proxy.Proxy]:
    async def echo(stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            async for data in stream:
                await stream.send_all(data)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, echo, listeners)
    port = listeners[0].socket.getsockname()[1]
    echo_proxy = proxy.Proxy(f"127.0.0.1:{port}")
    await nursery.start(echo_proxy.run)
    yield echo_proxy


async def connect(echo_proxy: proxy.Proxy) -> trio.SocketStream:
    """Connect through a proxy."""
    host, _, port = echo_proxy.address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def echoes(stream: trio.SocketStream, text: bytes) -> bool:
    """Send a text and return whether it is echoed."""
    await stream.send_all(text)
    received = b""
    with trio.fail_after(TIMEOUT_SECONDS):
        while len(received) < len(text):
            chunk = await stream.receive_some()
            if not chunk:
                return False
            received += chunk
    return received == text


async def stays_silent(stream: trio.SocketStream, text: bytes) -> bool:
    """Send a text and return whether nothing is received for 0.3 s."""
    await stream.send_all(text)
    with trio.move_on_after(0.3):
        await stream.receive_some()
        return False
    return True


class TestProxy:
    """The faults that the proxy injects."""

    async def test_forwards(self, echo_proxy: proxy.Proxy) -> None:
        assert await echoes(await connect(echo_proxy), b"x" * 300_000)
        assert echo_proxy.max_open_connections == 1

    async def test_refuses_and_heals(self, echo_proxy: proxy.Proxy) -> None:
        stream = await connect(echo_proxy)
        assert await echoes(stream, b"a")
        echo_proxy.set_faults(proxy.LinkFaults(refuse=True))
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()
        with trio.fail_after(TIMEOUT_SECONDS):
            while await connects(echo_proxy):
                await trio.sleep(0.01)
        echo_proxy.heal()
        with trio.fail_after(TIMEOUT_SECONDS):
            while not await connects(echo_proxy):
                await trio.sleep(0.01)
        assert await echoes(await connect(echo_proxy), b"b")

    async def test_resets_open_connections(
        self, echo_proxy: proxy.Proxy
    ) -> None:
        stream = await connect(echo_proxy)
        assert await echoes(stream, b"a")
        echo_proxy.reset_connections()
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()

    async def test_stalled_data_is_delivered_after_healing(
        self, echo_proxy: proxy.Proxy
    ) -> None:
        stream = await connect(echo_proxy)
        assert await echoes(stream, b"a")
        echo_proxy.set_faults(proxy.STALLED)
        assert await stays_silent(stream, b"b")
        assert await stays_silent(await connect(echo_proxy), b"c")
        echo_proxy.heal()
        with trio.fail_after(TIMEOUT_SECONDS):
            assert await stream.receive_some() == b"b"

    async def test_silenced_connections_stay_silent_after_healing(
        self, echo_proxy: proxy.Proxy
    ) -> None:
        stream = await connect(echo_proxy)
        assert await echoes(stream, b"a")
        echo_proxy.silence_connections()
        assert await stays_silent(stream, b"b")
        assert await echoes(await connect(echo_proxy), b"c")
        echo_proxy.heal()
        assert await stays_silent(stream, b"d")

    async def test_stalls_one_direction(self, echo_proxy: proxy.Proxy) -> None:
        received: list[bytes] = []

        async def receive_and_answer(stream: trio.SocketStream) -> None:
            received.append(await stream.receive_some())
            await stream.send_all(b"lost")

        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(
                trio.serve_listeners, receive_and_answer, listeners
            )
            port = listeners[0].socket.getsockname()[1]
            echo_proxy.target = f"127.0.0.1:{port}"
            echo_proxy.set_faults(proxy.LinkFaults(stall_to_client=True))
            assert await stays_silent(await connect(echo_proxy), b"heard")
            nursery.cancel_scope.cancel()
        assert received == [b"heard"]

    async def test_faults_of_one_client(self, echo_proxy: proxy.Proxy) -> None:
        pids = {"other": os.getppid(), "own": os.getpid()}
        echo_proxy.client_name_of = functools.partial(
            client_process.find_name, pids=pids
        )
        echo_proxy.set_client_faults({"own": proxy.STALLED})
        assert await stays_silent(await connect(echo_proxy), b"a")
        echo_proxy.set_client_faults({"other": proxy.STALLED})
        assert await echoes(await connect(echo_proxy), b"b")

    async def test_resets_after_bytes(self, echo_proxy: proxy.Proxy) -> None:
        echo_proxy.set_faults(proxy.LinkFaults(reset_after_bytes=5))
        stream = await connect(echo_proxy)
        await stream.send_all(b"x" * 50)
        received = b""
        with pytest.raises(trio.BrokenResourceError):
            while True:
                received += await stream.receive_some()
        assert len(received) <= 5

    async def test_unreachable_target_causes_a_reset(
        self, echo_proxy: proxy.Proxy
    ) -> None:
        echo_proxy.target = "127.0.0.1:1"
        stream = await connect(echo_proxy)
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()


async def connects(echo_proxy: proxy.Proxy) -> bool:
    """Return whether a connection is accepted."""
    try:
        stream = await connect(echo_proxy)
    except OSError:
        return False
    await stream.aclose()
    return True
