"""Tests of what a client tells about a call that failed."""

import pytest
import trio
import trio.testing

from turmerichall.http1 import client as http_client

TIMEOUT_SECONDS = 0.5
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


class _Socket:
    """Socket of a stream in memory, which closing the stream is enough for."""

    def close(self) -> None:
        """See `socket.socket`."""


class TestFailureOfAReusedConnection:

    # Such a call counted as not sent.  After a refusal of a later try, a task
    # whose start the worker had carried out was started elsewhere.
    @pytest.mark.parametrize("connects_slowly", [False, True])
    async def test_call_may_have_been_sent_though_no_other_connection_opens(
        self,
        autojump_clock: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
        connects_slowly: bool,
    ) -> None:
        received: list[bytes] = []
        server_ends: list[trio.StapledStream] = []

        async def connect(*_: object, **__: object) -> trio.StapledStream:
            if server_ends:
                await trio.sleep(60.0 if connects_slowly else 0.0)
                raise OSError("connection refused")
            client_end, server_end = trio.testing.memory_stream_pair()
            server_ends.append(server_end)
            setattr(client_end, "socket", _Socket())
            return client_end

        async def serve_one_and_break() -> None:
            while not server_ends:
                await trio.sleep(0.01)
            received.append(bytes(await server_ends[0].receive_some()))
            await server_ends[0].send_all(RESPONSE)
            received.append(bytes(await server_ends[0].receive_some()))
            await server_ends[0].aclose()

        monkeypatch.setattr(trio, "open_tcp_stream", connect)
        client = http_client.Client("a:1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_one_and_break)
            await client.call("POST", "/", b"first", {}, TIMEOUT_SECONDS)
            failure = await client.call(
                "POST", "/", b"second", {}, TIMEOUT_SECONDS
            )
        assert received[1].endswith(b"second")
        assert isinstance(failure, http_client.CallFailure)
        assert failure.possibly_sent
