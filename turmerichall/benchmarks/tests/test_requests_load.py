"""Tests that the load generators count the outcome of each request."""

import functools

import pytest
import trio

from turmerichall.benchmarks import requests_load
from turmerichall.benchmarks import requests_servers
from turmerichall.gateway import server

SECONDS = 0.3
SPEC = requests_load.RequestSpec("/v1/services/c/s")


async def _backend(nursery: trio.Nursery, slots: int) -> str:
    app = requests_servers.Backend(0.0, slots)
    serve = functools.partial(
        server.serve, app, "127.0.0.1:0", trio.Event(), 1.0
    )
    address: str = await nursery.start(serve)
    return address


class TestLoad:

    @pytest.mark.parametrize("slots", [8, 0])
    async def test_responses_and_refusals_are_distinguished(
        self, nursery: trio.Nursery, slots: int
    ) -> None:
        address = await _backend(nursery, slots)
        closed = await requests_load.closed_loop(address, SPEC, 2, SECONDS, 0.0)
        opened = await requests_load.open_loop(
            address, SPEC, 100.0, SECONDS, 1, 0.0
        )
        for result in (closed, opened):
            assert (result.answered.total_count > 0) is (slots > 0)
            assert (result.refused.total_count > 0) is (slots == 0)
            assert not result.broken

    async def test_incomplete_responses_are_counted_as_broken(
        self, nursery: trio.Nursery
    ) -> None:
        async def close(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.aclose()

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, close, listeners)
        port = listeners[0].socket.getsockname()[1]
        pool = requests_load.ConnectionPool(f"127.0.0.1:{port}")
        assert await pool.send(SPEC) == 0
