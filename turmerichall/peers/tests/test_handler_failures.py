"""Tests of messages whose handler raises an unexpected exception."""

import pytest
import trio

from turmerichall import outcomes
from turmerichall.peers import envelope
from turmerichall.peers import network
from turmerichall.peers.tests import test_network
from turmerichall.telemetry import counters

CALL_SECONDS = test_network.CALL_SECONDS


class _Log(test_network._Log):  # pylint: disable=protected-access
    """Log that also records the fields of errors."""

    def __init__(self) -> None:
        super().__init__()
        self.errors: list[dict[str, object]] = []

    def error(self, message: str, **fields: object) -> None:
        self.errors.append({"message": message, **fields})


async def _fail(_: str, body: bytes) -> bytes:
    raise OverflowError(f"can't take {body!r}")


async def _fail_assertion(_: str, __: bytes) -> bytes:
    raise AssertionError("state is broken")


async def _connect(
    nursery: trio.Nursery, right: network.Network
) -> network.Network:
    left = network.Network("a", test_network.KEY)
    await nursery.start(left.run, "127.0.0.1:0")
    address = await nursery.start(right.run, "127.0.0.1:0")
    left.set_addresses({"b": address})
    with trio.fail_after(CALL_SECONDS):
        while not left.links["b"].connected:
            await trio.sleep(0.005)
    return left


class TestHandlerFailure:
    """An exception in a handler ended the process that received the message."""

    async def test_is_answered_logged_and_counted(
        self, nursery: trio.Nursery
    ) -> None:
        log, registry = _Log(), counters.Counters()
        right = network.Network(
            "b", test_network.KEY, log=log, counters=registry
        )
        right.handle("fail", _fail)
        left = await _connect(nursery, right)
        for _ in range(2):
            refusal = await left.call("b", "fail", b"\xff", CALL_SECONDS)
            assert isinstance(refusal, outcomes.Refusal)
            # Other reasons promise that there was no effect.
            assert refusal.reason == outcomes.RefusalReason.TIMEOUT
            assert "OverflowError" in refusal.detail
        assert left.send("b", "fail", b"one way")
        with trio.fail_after(CALL_SECONDS):
            while len(log.errors) < 3:
                await trio.sleep(0.005)
        assert log.errors[0]["kind"] == "fail"
        assert log.errors[0]["peer"] == "a"
        assert "in _fail" in str(log.errors[0]["traceback"])
        assert registry.count_of("unknown", "peers", "handler_failed") == 3

    @pytest.mark.parametrize("is_critical", [True, False])
    async def test_of_the_log_or_the_state_ends_the_process(
        self, is_critical: bool
    ) -> None:
        right = network.Network("b", test_network.KEY)
        handler = _fail if is_critical else _fail_assertion
        right.handle("fail", handler, is_critical)
        expected = OverflowError if is_critical else AssertionError
        with pytest.raises(ExceptionGroup) as caught:
            async with trio.open_nursery() as nursery:
                left = await _connect(nursery, right)
                await left.call("b", "fail", b"", CALL_SECONDS)
        assert caught.value.subgroup(expected)


class TestUnknownReason:

    # A reason of a later release ended the process that had called.
    async def test_is_taken_for_an_unknown_effect(
        self, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        right = network.Network("b", test_network.KEY)
        left = await _connect(nursery, right)
        encode = envelope.encode

        def encode_new(message: envelope.Envelope) -> bytes:
            if message.frame_kind == envelope.FrameKind.REFUSAL:
                message = message._replace(kind="new_reason")
            return encode(message)

        monkeypatch.setattr(envelope, "encode", encode_new)
        refusal = await left.call("b", "unknown", b"", CALL_SECONDS)
        assert isinstance(refusal, outcomes.Refusal)
        assert refusal.reason == outcomes.RefusalReason.TIMEOUT
        assert "new_reason" in refusal.detail


class TestMalformedAddress:

    # The address that an instance names for itself is dialed by the other.
    async def test_does_not_end_the_process(
        self, nursery: trio.Nursery
    ) -> None:
        left = network.Network(
            "a", test_network.KEY, {"c": "no port", "d": "127.0.0.1:99999"}
        )
        await nursery.start(left.run, "127.0.0.1:0")
        await trio.sleep(0.3)
        refusal = await left.call("c", "echo", b"", CALL_SECONDS)
        assert isinstance(refusal, outcomes.Refusal)
