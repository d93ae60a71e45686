"""Tests of submissions that an instance reads after it stood still."""

import pytest
import trio
import trio.testing

from turmerichall.dispatch import lease as leases
from turmerichall.entry import entry_daemon
from turmerichall.entry import stalls
from turmerichall.http1 import message
from turmerichall.settings import queue_settings

SUBMISSION = message.Request("POST", "/jobs/a7", {"host": "a.example"}, b"{}")

SETTINGS = queue_settings.QueueSettings(
    queue_settings.Instance("e1", "z1", "entry"),
    queue_settings.Listen(),
    queue_settings.Replicas(("127.0.0.1",), 1, "k"),
)


class _Clock:
    """A steady clock that goes on while the process stands still."""

    def __init__(self) -> None:
        self.offset = 0.0

    def seconds(self) -> float:
        """Return its time."""
        return trio.current_time() + self.offset


class TestStalls:

    # The job had been canceled, and the promise that it does not run had
    # already been given up.
    @pytest.mark.parametrize(
        "stall_seconds, wait_seconds, forwarded",
        [(200.0, 0.0, False), (200.0, 6.0, True), (20.0, 0.0, True)],
    )
    async def test_submission_that_may_be_old_is_not_forwarded(
        self,
        autojump_clock: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
        stall_seconds: float,
        wait_seconds: float,
        forwarded: bool,
    ) -> None:
        clock = _Clock()
        monkeypatch.setattr(leases, "steady_seconds", clock.seconds)
        daemon = entry_daemon.EntryDaemon(SETTINGS)
        seen: list[message.Request] = []

        async def forward(
            _: str, request: message.Request, __: float
        ) -> message.Response:
            seen.append(request)
            return message.Response(200)

        monkeypatch.setattr(daemon.leader_client, "forward", forward)
        clock.offset = stall_seconds
        if wait_seconds:
            daemon.stalls.turn(clock.seconds())
            await trio.sleep(wait_seconds)
        # pylint: disable-next=protected-access
        response = await daemon._answer(SUBMISSION)
        assert bool(seen) == forwarded
        assert response.status == (200 if forwarded else 503)

    def test_every_submission_read_soon_after_a_stall_is_refused(self) -> None:
        detector = stalls.StallDetector(0.0)
        assert detector.find_refusal(100.0) == stalls.STALLED
        assert detector.find_refusal(104.0) == stalls.STALLED
        assert detector.find_refusal(105.5) is None
