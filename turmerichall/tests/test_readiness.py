"""Tests of the answer to whether the balancer may send requests."""

from typing import NamedTuple

import pytest
import trio
import trio.testing

from turmerichall import readiness


class _Status(NamedTuple):
    """A replica's status."""

    applied: int = 5
    stopped: str = ""
    recovered: bool = True


class _Replica:
    """A replica whose status a test sets."""

    def __init__(self, status: _Status):
        self.shown = status

    def status(self) -> _Status:
        """Returns the status."""
        return self.shown


class TestReadiness:
    """When requests may be sent."""

    @pytest.mark.parametrize(
        ("status", "ready"),
        [
            (_Status(), True),
            (_Status(applied=0), False),
            (_Status(stopped="disk is full"), True),
            (_Status(stopped="disk is full", recovered=False), False),
            (_Status(recovered=False), False),
        ],
    )
    async def test_status(self, status: _Status, ready: bool) -> None:
        answer = readiness.Readiness(_Replica(status))()
        assert (answer is None) == ready

    async def test_draining(self) -> None:
        answers = readiness.Readiness(_Replica(_Status()))
        answers.draining = True
        assert answers() is not None

    async def test_cut_off_instance_does_not_wait_for_ever(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        answers = readiness.Readiness(_Replica(_Status(recovered=False)))
        assert answers() is not None
        await trio.sleep(readiness.RECOVERY_TIMEOUT_SECONDS)
        assert answers() is None

    async def test_instance_that_can_not_follow_stays_out(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        status = _Status(stopped="disk is full", recovered=False)
        answers = readiness.Readiness(_Replica(status))
        await trio.sleep(2 * readiness.RECOVERY_TIMEOUT_SECONDS)
        assert answers() is not None
