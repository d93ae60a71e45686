"""Tests of calls and messages between daemons, over loopback sockets."""

from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.peers import envelope
from turmerichall.peers import handshake
from turmerichall.peers import link
from turmerichall.peers import network
from turmerichall.telemetry import counters

KEY = b"shared"
CALL_SECONDS = 20.0


async def _echo(sender: str, body: bytes) -> bytes:
    return sender.encode() + b":" + body


async def _wait_until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(CALL_SECONDS):
        while not condition():
            await trio.sleep(0.005)


class _Log:
    """Log that records its messages."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def info(self, message: str, **_: object) -> None:
        self.lines.append(message)

    warning = info
    error = info

    def contains(self, text: str) -> bool:
        return any(text in line for line in self.lines)


async def _pair(
    nursery: trio.Nursery, key: bytes = KEY, log: _Log | None = None
) -> tuple[network.Network, network.Network]:
    left = network.Network("a", KEY, log=log)
    right = network.Network("b", key)
    right.handle("echo", _echo)
    await nursery.start(left.run, "127.0.0.1:0")
    address = await nursery.start(right.run, "127.0.0.1:0")
    left.set_addresses({"b": address})
    return left, right


async def _read_only(stream: trio.SocketStream) -> None:
    """Read everything and send nothing."""
    while await stream.receive_some(1024):
        pass


async def _send_garbage(stream: trio.SocketStream) -> None:
    await stream.send_all(b"\xff\xff\xff\xffnonsense")


async def _close(stream: trio.SocketStream) -> None:
    await stream.aclose()


Server = Callable[[trio.SocketStream], Awaitable[None]]


class TestCalls:

    async def test_answer_and_sender(self, nursery: trio.Nursery) -> None:
        left, right = await _pair(nursery)
        await _wait_until(lambda: left.links["b"].connected)
        assert await left.call("b", "echo", b"x", CALL_SECONDS) == b"a:x"
        await _wait_until(
            lambda: "a" in right.links and right.links["a"].connected
        )
        assert right.last_heard("a") > -float("inf")

    async def test_many_calls_get_their_own_answers(
        self, nursery: trio.Nursery
    ) -> None:
        left, _ = await _pair(nursery)
        await _wait_until(lambda: left.links["b"].connected)
        answers = {}

        async def ask(number: int) -> None:
            body = str(number).encode()
            answers[body] = await left.call("b", "echo", body, CALL_SECONDS)

        async with trio.open_nursery() as callers:
            for number in range(300):
                callers.start_soon(ask, number)
        assert all(answer == b"a:" + body for body, answer in answers.items())

    async def test_refused_call_is_a_checkpoint(
        self, nursery: trio.Nursery
    ) -> None:
        left, _ = await _pair(nursery)
        for name in ("b", "nobody"):
            with trio.testing.assert_checkpoints():
                answer = await left.call(name, "echo", b"", CALL_SECONDS)
            assert isinstance(answer, outcomes.Refusal)

    async def test_unknown_kind_is_refused(self, nursery: trio.Nursery) -> None:
        left, _ = await _pair(nursery)
        await _wait_until(lambda: left.links["b"].connected)
        refusal = await left.call("b", "nothing", b"", CALL_SECONDS)
        assert isinstance(refusal, outcomes.Refusal)
        assert refusal.reason == outcomes.RefusalReason.UNKNOWN_NAME

    async def test_handler_that_never_returns_times_out(
        self, nursery: trio.Nursery
    ) -> None:
        left, right = await _pair(nursery)

        async def hang(_: str, __: bytes) -> bytes:
            await trio.sleep(2 * CALL_SECONDS)
            return b""

        right.handle("stuck", hang)
        await _wait_until(lambda: left.links["b"].connected)
        refusal = await left.call("b", "stuck", b"", 0.05)
        assert isinstance(refusal, outcomes.Refusal)
        assert refusal.reason == outcomes.RefusalReason.TIMEOUT
        assert await left.call("b", "echo", b"", CALL_SECONDS) == b"a:"


class TestHandshake:

    async def test_peer_with_another_key_is_rejected(
        self, nursery: trio.Nursery
    ) -> None:
        log = _Log()
        left, right = await _pair(nursery, key=b"other", log=log)
        await _wait_until(
            lambda: log.contains("does not have the cluster's key")
        )
        assert not left.links["b"].connected
        assert not right.addresses
        assert not left.send("b", "echo", b"")

    async def test_peer_with_another_name_is_rejected(
        self, nursery: trio.Nursery
    ) -> None:
        log = _Log()
        left, right = await _pair(nursery, log=log)
        left.set_addresses({"c": right.listen_address})
        await _wait_until(
            lambda: log.contains("reached instance b, expected c")
        )
        refusal = await left.call("c", "echo", b"", CALL_SECONDS)
        assert isinstance(refusal, outcomes.Refusal)
        assert refusal.reason == outcomes.RefusalReason.UNREACHABLE

    @pytest.mark.parametrize("serve", [_read_only, _send_garbage, _close])
    async def test_server_without_valid_handshake_is_unreachable(
        self,
        nursery: trio.Nursery,
        serve: Server,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setattr(link, "CONNECT_SECONDS", 0.1)
        log = _Log()
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        addresses = {"b": f"127.0.0.1:{port}"}
        left = network.Network("a", KEY, addresses, log)
        await nursery.start(left.run, "127.0.0.1:0")
        await _wait_until(lambda: log.contains("was not opened"))
        refusal = await left.call("b", "echo", b"", CALL_SECONDS)
        assert isinstance(refusal, outcomes.Refusal)
        assert refusal.reason == outcomes.RefusalReason.UNREACHABLE

    async def test_failed_connection_is_counted(
        self, nursery: trio.Nursery
    ) -> None:
        registry = counters.Counters()
        left = network.Network(
            "a", KEY, {"b": "127.0.0.1:1"}, counters=registry
        )
        await nursery.start(left.run, "127.0.0.1:0")
        await _wait_until(
            lambda: registry.count_of("retries", "peers", "connect_failed") > 0
        )


class TestSendQueue:

    async def test_full_queue_rejects_messages(
        self, nursery: trio.Nursery
    ) -> None:
        left, _ = await _pair(nursery)
        await _wait_until(lambda: left.links["b"].connected)
        body = bytes(envelope.MAX_FRAME_BYTES // 2)
        queued = [left.send("b", "echo", body) for _ in range(20)]
        assert queued[0] and not queued[-1]
        assert left.links["b"].connected


class _Proxy:
    """TCP proxy whose connections can be stalled by number.

    A stalled connection stays open and delivers nothing.
    """

    def __init__(self, target: str):
        self.target = target
        self.accepted = 0
        self.stalled: set[int] = set()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Forward one connection in both directions."""
        self.accepted += 1
        number = self.accepted
        host, _, port = self.target.rpartition(":")
        upstream = await trio.open_tcp_stream(host, int(port))
        async with stream, upstream, trio.open_nursery() as nursery:
            nursery.start_soon(self._forward, number, stream, upstream)
            nursery.start_soon(self._forward, number, upstream, stream)

    async def _forward(
        self,
        number: int,
        source: trio.SocketStream,
        destination: trio.SocketStream,
    ) -> None:
        while data := await source.receive_some(65536):
            if number not in self.stalled:
                await destination.send_all(data)
        if number in self.stalled:
            await trio.sleep_forever()
        await destination.send_eof()


class TestSilentConnection:

    async def test_silent_connection_is_replaced(
        self, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(link, "PING_AFTER_SECONDS", 0.05)
        monkeypatch.setattr(link, "RECEIVE_TIMEOUT_SECONDS", 0.2)
        log = _Log()
        left, right = await _pair(nursery, log=log)
        proxy = _Proxy(right.listen_address)
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, proxy.serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        left.set_addresses({"b": f"127.0.0.1:{port}"})
        await _wait_until(lambda: left.links["b"].connected)
        proxy.stalled.add(1)
        refusal = await left.call("b", "echo", b"1", CALL_SECONDS)
        assert isinstance(refusal, outcomes.Refusal)
        assert refusal.reason == outcomes.RefusalReason.TIMEOUT
        await _wait_until(lambda: left.links["b"].connected)
        assert await left.call("b", "echo", b"2", CALL_SECONDS) == b"a:2"
        assert proxy.accepted == 2
        assert log.contains("nothing arrives on it")


class TestEndOfAConnection:

    # The error of the connection and the cancellation came as one group, which
    # nothing handled: a daemon that was drained ended with a traceback.
    async def test_break_during_the_stop_is_no_error_of_the_network(
        self,
        nursery: trio.Nursery,
        autojump_clock: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        async def accept(*_: object) -> handshake.Hello:
            await trio.lowlevel.checkpoint()
            return handshake.Hello(handshake.FORMAT_VERSION, "b", "", b"")

        monkeypatch.setattr(handshake, "accept", accept)
        near, far = trio.testing.memory_stream_pair()
        right = network.Network("a", KEY)
        scope = trio.CancelScope()

        async def serve() -> None:
            with scope:
                # pylint: disable-next=protected-access
                await right._accept(near)  # type: ignore[arg-type]

        nursery.start_soon(serve)
        await trio.testing.wait_all_tasks_blocked()
        # In one step of the event loop, as when all instances are stopped.
        far.send_stream.close()
        scope.cancel()
        await trio.testing.wait_all_tasks_blocked()
        assert scope.cancelled_caught

    async def test_break_of_a_dialed_connection_during_the_stop(
        self,
        nursery: trio.Nursery,
        autojump_clock: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        near, far = trio.testing.memory_stream_pair()

        async def connect(*_: object) -> trio.StapledStream:
            await trio.lowlevel.checkpoint()
            return near

        async def dial(*_: object) -> None:
            await trio.lowlevel.checkpoint()

        monkeypatch.setattr(trio, "open_tcp_stream", connect)
        monkeypatch.setattr(handshake, "dial", dial)
        left = network.Network("a", KEY, {"b": "b:1"})
        scope = trio.CancelScope()

        async def run() -> None:
            with scope:
                await left.run()

        nursery.start_soon(run)
        await trio.testing.wait_all_tasks_blocked()
        assert left.links["b"].connected
        far.send_stream.close()
        scope.cancel()
        await trio.testing.wait_all_tasks_blocked()
        assert scope.cancelled_caught
        assert not left.links["b"].connected


class TestLargeMessages:

    # A replica held the sum of the bodies that all entry instances forwarded.
    async def test_more_than_may_be_handled_at_once_is_refused(
        self, nursery: trio.Nursery
    ) -> None:
        left, right = await _pair(nursery)
        await _wait_until(lambda: left.links["b"].connected)
        handled = 0
        go_on = trio.Event()

        async def wait(_: str, __: bytes) -> bytes:
            nonlocal handled
            handled += 1
            await go_on.wait()
            return b""

        right.handle("wait", wait)
        right.handle("vote", _echo, is_critical=True)
        right.messages.max_bytes = 250_000
        body = bytes(100_000)
        results: list[bytes | outcomes.Refusal] = []

        async def call() -> None:
            results.append(await left.call("b", "wait", body, CALL_SECONDS))

        async with trio.open_nursery() as calls:
            for _ in range(5):
                calls.start_soon(call)
            await _wait_until(lambda: len(results) == 3)
            assert handled == 2
            # The log and votes go on.
            answer = await left.call("b", "vote", body, CALL_SECONDS)
            assert isinstance(answer, bytes)
            go_on.set()
        refusals = [
            each for each in results if isinstance(each, outcomes.Refusal)
        ]
        assert len(refusals) == 3
        assert {each.reason for each in refusals} == {
            outcomes.RefusalReason.OVERLOADED
        }
        assert right.messages.size == 0
        answer = await left.call("b", "echo", bytes(900_000), CALL_SECONDS)
        assert isinstance(answer, bytes)
        nursery.cancel_scope.cancel()
