"""Tests of what a client tells about a call that failed or was resent."""

import pytest
import trio
import trio.testing

from turmerichall.http1 import client as http_client
from turmerichall.http1 import message
from turmerichall.http1.tests import quiet_socket

TIMEOUT_SECONDS = 0.5
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


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
            setattr(client_end, "socket", quiet_socket.QuietSocket())
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

    # A refusal of the second try counted as the outcome of the call, though the
    # first one could still be carried out.
    async def test_response_to_a_resent_call_says_so(
        self,
        autojump_clock: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        server_ends: list[trio.StapledStream] = []

        async def connect(*_: object, **__: object) -> trio.StapledStream:
            client_end, server_end = trio.testing.memory_stream_pair()
            server_ends.append(server_end)
            setattr(client_end, "socket", quiet_socket.QuietSocket())
            return client_end

        async def serve() -> None:
            while not server_ends:
                await trio.sleep(0.01)
            await server_ends[0].receive_some()
            await server_ends[0].send_all(RESPONSE)
            await server_ends[0].receive_some()
            await server_ends[0].aclose()
            while len(server_ends) < 2:
                await trio.sleep(0.01)
            for _ in range(2):
                await server_ends[1].receive_some()
                await server_ends[1].send_all(RESPONSE)

        monkeypatch.setattr(trio, "open_tcp_stream", connect)
        client = http_client.Client("a:1")
        resent: list[bool] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            for _ in range(3):
                answer = await client.call("POST", "/", b"", {}, 5.0)
                assert isinstance(answer, message.Response)
                resent.append(answer.resent)
        assert resent == [False, True, False]
