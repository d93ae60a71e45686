"""Tests of the level of changes that the ends of a connection tell."""

import pytest
import trio
import trio.testing

from turmerichall.peers import envelope
from turmerichall.peers import handshake

KEY = b"key"


class TestChangesLevel:
    """A change that an earlier release can't apply ended its process."""

    @pytest.mark.parametrize(
        ("sent", "received"), [("1", 1), ("", 0), ("x", 0), ("9" * 9, 0)]
    )
    async def test_is_known_after_the_handshake(
        self, sent: str, received: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Releases before level 1 send no kind in their hello.
        monkeypatch.setattr(handshake, "CHANGES_LEVEL", sent)
        streams = trio.testing.memory_stream_pair()
        dialing, accepting = map(envelope.Connection, streams)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(handshake.accept, accepting, KEY, "b", "")
            await handshake.dial(dialing, KEY, "a", "", "b")
        assert dialing.peer_changes_level == received
        assert accepting.peer_changes_level == received
