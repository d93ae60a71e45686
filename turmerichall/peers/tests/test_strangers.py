"""Tests of accepted connections whose other end does not have the key."""

import trio
import trio.testing

from turmerichall.peers import envelope
from turmerichall.peers import network
from turmerichall.peers import strangers

KEY = b"shared"


class TestStrangers:

    # A frame of 4 MiB was received before the other end had shown the key.
    async def test_no_long_frame_is_received(
        self, nursery: trio.Nursery
    ) -> None:
        own = network.Network("a", KEY)
        address = await nursery.start(own.run, "127.0.0.1:0")
        host, _, port = address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all((4 * 1024 * 1024).to_bytes(4, "big") + bytes(99))
        with trio.fail_after(0.9 * own.timing.connect_seconds):
            assert await stream.receive_some() == b""
        await stream.aclose()
        nursery.cancel_scope.cancel()

    # Each could stay for the time of a handshake, and their number had no
    # limit.
    async def test_oldest_gives_way_and_an_instance_is_connected(
        self, nursery: trio.Nursery
    ) -> None:
        own = network.Network("a", KEY)
        other = network.Network("b", KEY)
        address = await nursery.start(own.run, "127.0.0.1:0")
        host, _, port = address.rpartition(":")
        streams = [
            await trio.open_tcp_stream(host, int(port))
            for _ in range(strangers.MAX_STRANGERS + 1)
        ]
        with trio.fail_after(0.9 * own.timing.connect_seconds):
            assert await streams[0].receive_some() == b""
        assert len(own.strangers.budget.holdings) <= strangers.MAX_STRANGERS
        await nursery.start(other.run, "127.0.0.1:0")
        other.set_addresses({"a": address})
        with trio.fail_after(own.timing.connect_seconds):
            while "a" not in other.links or not other.links["a"].connected:
                await trio.sleep(0.01)
        for stream in streams:
            await stream.aclose()
        nursery.cancel_scope.cancel()

    async def test_frames_after_the_handshake_may_be_long(self) -> None:
        left, right = trio.testing.memory_stream_pair()
        receiver = envelope.Connection(right)
        receiver.end_handshake()
        frame = envelope.Envelope(
            envelope.FrameKind.ONE_WAY, 0, "k", bytes(2**20)
        )
        await left.send_all(envelope.encode(frame))
        assert await receiver.receive() == frame
