"""Fixture that makes the leader's clocks follow the mocked clock of trio."""

import pytest
import trio

from turmerichall.dispatch import leadership as leaderships
from turmerichall.dispatch import lease as leases


@pytest.fixture
def mocked_clocks(
    monkeypatch: pytest.MonkeyPatch, autojump_clock: trio.testing.MockClock
) -> trio.testing.MockClock:
    """Make the steady clock and the wall clock follow trio's mocked clock."""
    monkeypatch.setattr(leases, "steady_seconds", trio.current_time)
    monkeypatch.setattr(
        leaderships, "wall_ms", lambda: int(trio.current_time() * 1000)
    )
    return autojump_clock
