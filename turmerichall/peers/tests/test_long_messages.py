"""Tests of messages that are too long for one frame, over loopback sockets."""

from typing import Any

import pytest
import trio
import trio.testing

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.peers import envelope
from turmerichall.peers import link
from turmerichall.peers import message_parts
from turmerichall.peers import network
from turmerichall.telemetry import counters

KEY = b"shared"
CALL_SECONDS = 20.0
LONG = bytes(range(256)) * (20 * 1024)
MEGABYTE = 1024 * 1024
# 2 Mbit/s.
SLOW_BYTES_PER_SECOND = 250_000.0


class _Log:
    """Log that records the fields of warnings."""

    def __init__(self) -> None:
        self.warnings: list[dict[str, Any]] = []

    def info(self, message: str, **fields: object) -> None:
        """Ignore the line."""

    error = info

    def warning(self, message: str, **fields: object) -> None:
        self.warnings.append({"message": message, **fields})


async def _echo(_: str, body: bytes) -> bytes:
    return body


async def _grow(_: str, body: bytes) -> bytes:
    return bytes(int(body))


async def _connect(
    nursery: trio.Nursery, log: _Log, registry: counters.Counters
) -> network.Network:
    """Return an instance that is connected to another one, `b`."""
    left = network.Network("a", KEY, log=log, counters=registry)
    right = network.Network("b", KEY, log=log, counters=registry)
    right.handle("echo", _echo)
    right.handle("grow", _grow)
    await nursery.start(left.run, "127.0.0.1:0")
    address = await nursery.start(right.run, "127.0.0.1:0")
    left.set_addresses({"b": address})
    with trio.fail_after(CALL_SECONDS):
        while not left.links["b"].connected:
            await trio.sleep(0.005)
    return left


class TestLongCall:
    """A message longer than a frame ended the process that sent it."""

    @pytest.mark.parametrize("size", [5 * MEGABYTE, 16 * MEGABYTE])
    async def test_arrives_and_is_answered(
        self, nursery: trio.Nursery, size: int
    ) -> None:
        left = await _connect(nursery, _Log(), counters.Counters())
        body = (LONG * 4)[:size]
        assert await left.call("b", "echo", body, CALL_SECONDS) == body

    async def test_too_long_is_refused_logged_and_counted(
        self, nursery: trio.Nursery
    ) -> None:
        log, registry = _Log(), counters.Counters()
        left = await _connect(nursery, log, registry)
        size = 16 * MEGABYTE + 1
        refusal = await left.call("b", "echo", bytes(size), CALL_SECONDS)
        assert isinstance(refusal, outcomes.Refusal)
        assert refusal.reason == outcomes.RefusalReason.TOO_LARGE
        assert not left.send("b", "echo", bytes(size))
        assert len(log.warnings) == 2
        for warning in log.warnings:
            assert warning["kind"] == "echo" and warning["peer"] == "b"
            assert warning["size"] == size
        assert registry.count_of("refusals", "peers", "too_large") == 2
        assert await left.call("b", "echo", b"x", CALL_SECONDS) == b"x"

    async def test_peer_of_an_earlier_release_gets_no_parts(
        self, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The hello of an earlier release has the number 0.
        monkeypatch.setattr(message_parts, "MAX_MESSAGE_BYTES", 0)
        left = await _connect(nursery, _Log(), counters.Counters())
        refusal = await left.call("b", "echo", LONG, CALL_SECONDS)
        assert isinstance(refusal, outcomes.Refusal)
        assert refusal.reason == outcomes.RefusalReason.TOO_LARGE
        body = bytes(3 * MEGABYTE)
        assert await left.call("b", "echo", body, CALL_SECONDS) == body


class TestLongAnswer:
    """An answer longer than a frame ended the process that sent it."""

    async def test_too_long_is_reported_and_others_go_on(
        self, nursery: trio.Nursery
    ) -> None:
        log, registry = _Log(), counters.Counters()
        left = await _connect(nursery, log, registry)
        size = str(16 * MEGABYTE + 1).encode()
        refusal = await left.call("b", "grow", size, CALL_SECONDS)
        # The handler has run: other reasons promise that it has not.
        assert isinstance(refusal, outcomes.Refusal)
        assert refusal.reason == outcomes.RefusalReason.TIMEOUT
        assert "exceeds" in refusal.detail
        assert log.warnings[0]["kind"] == "grow"
        assert log.warnings[0]["peer"] == "a"
        assert registry.count_of("refusals", "peers", "too_large") == 1
        assert await left.call("b", "grow", b"3", CALL_SECONDS) == bytes(3)


class _SlowStream(trio.abc.SendStream):
    """Sends with a limited rate, in bytes per second."""

    def __init__(self, stream: trio.abc.SendStream, rate: float):
        self.stream = stream
        self.rate = rate

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        await trio.sleep(len(data) / self.rate)
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self.stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        await self.stream.aclose()


async def _connect_slowly(
    nursery: trio.Nursery, log: _Log, monkeypatch: pytest.MonkeyPatch
) -> network.Network:
    """Return an instance with a slow connection to another one, `b`."""
    near, far = (
        trio.StapledStream(
            _SlowStream(end.send_stream, SLOW_BYTES_PER_SECOND),
            end.receive_stream,
        )
        for end in trio.testing.memory_stream_pair()
    )

    async def connect(*_: object) -> trio.abc.Stream:
        await trio.lowlevel.checkpoint()
        return near

    monkeypatch.setattr(trio, "open_tcp_stream", connect)
    timing = link.ConnectionTiming(1.0, 2.0, 1.0, 0.5)
    left = network.Network("a", KEY, log=log, timing=timing)
    right = network.Network("b", KEY, log=log, timing=timing)
    right.handle("echo", _echo)
    right.handle("grow", _grow)
    nursery.start_soon(left.run)
    # pylint: disable-next=protected-access
    nursery.start_soon(right._accept, far)  # type: ignore[arg-type]
    await trio.testing.wait_all_tasks_blocked()
    left.set_addresses({"b": "b:1"})
    await trio.sleep(0.1)
    return left


class TestSlowConnection:
    """The timeout of a call ended before a long message had been sent."""

    async def test_long_call_is_answered_while_short_ones_are(
        self,
        nursery: trio.Nursery,
        autojump_clock: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        log = _Log()
        left = await _connect_slowly(nursery, log, monkeypatch)
        began_at = trio.current_time()
        delays: list[float] = []

        async def call_long() -> None:
            assert await left.call("b", "echo", LONG, 0.8) == LONG
            nursery.cancel_scope.cancel()

        nursery.start_soon(call_long)
        seconds = 2 * len(LONG) / SLOW_BYTES_PER_SECOND
        while trio.current_time() < began_at + seconds:
            sent_at = trio.current_time()
            assert await left.call("b", "echo", b"x", 0.8) == b"x"
            delays.append(trio.current_time() - sent_at)
            await trio.sleep(0.3)
        assert max(delays) < 0.5
        assert not log.warnings

    # The end that only sends heard nothing for too long and closed the
    # connection, because the other end pinged only while it received nothing.
    @pytest.mark.parametrize("kind", ["echo", "grow"])
    async def test_long_message_alone(
        self,
        nursery: trio.Nursery,
        autojump_clock: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
        kind: str,
    ) -> None:
        log = _Log()
        left = await _connect_slowly(nursery, log, monkeypatch)
        body = LONG if kind == "echo" else str(len(LONG)).encode()
        answer = await left.call("b", kind, body, 0.8)
        nursery.cancel_scope.cancel()
        assert isinstance(answer, bytes) and len(answer) == len(LONG)
        assert not log.warnings


def _frames_of(message: envelope.Envelope) -> list[envelope.Envelope]:
    """Return the frames in which a message leaves."""
    begin = message_parts.encode_beginning(message)
    parts = range(0, len(message.body), message_parts.PART_BYTES)
    encoded = [
        begin,
        *(message_parts.encode_part(message, start) for start in parts),
    ]
    return [envelope.decode(each[4:]) for each in encoded]


class TestAssembler:
    """A peer must not make its receiver hold more than one message."""

    async def test_parts_out_of_order_end_the_connection(self) -> None:
        call = envelope.Envelope(envelope.FrameKind.CALL, 1, "k", LONG)
        begin, part, *_ = _frames_of(call)
        for frames in (
            [part],
            [begin, begin],
            [begin, part._replace(body=b"")],
        ):
            assembler = message_parts.Assembler(1.0)
            with pytest.raises(errors.PeerError):
                for frame in frames:
                    assembler.add(frame)

    async def test_size_is_bounded(self) -> None:
        size = 16 * MEGABYTE + 1
        call = envelope.Envelope(envelope.FrameKind.CALL, 1, "k", bytes(size))
        with pytest.raises(errors.PeerError, match="size limit"):
            message_parts.Assembler(1.0).add(_frames_of(call)[0])
        short = _frames_of(call._replace(body=bytes(40_000)))
        with pytest.raises(errors.PeerError, match="longer than announced"):
            assembler = message_parts.Assembler(1.0)
            for frame in (*short[:2], short[1]):
                assembler.add(frame)

    async def test_message_that_stays_incomplete_ends_the_connection(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        call = envelope.Envelope(envelope.FrameKind.CALL, 1, "k", LONG)
        assembler = message_parts.Assembler(1.0)
        assert assembler.add(_frames_of(call)[0]) is None
        ping = envelope.Envelope(envelope.FrameKind.PING)
        assert assembler.add(ping) == ping
        await trio.sleep(1.5)
        with pytest.raises(errors.PeerError, match="does not arrive"):
            assembler.add(ping)
