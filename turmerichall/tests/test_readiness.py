"""Tests of the readiness check that the load balancer uses."""

from typing import NamedTuple

import pytest
import trio
import trio.testing

from turmerichall import readiness


class _Status(NamedTuple):
    """The fields of a replica's status that readiness depends on."""

    applied: int = 5
    stopped: str = ""
    recovered: bool = True


class _FakeReplica:
    """A fake replica with a fixed status."""

    def __init__(self, status: _Status):
        self.fixed_status = status

    def status(self) -> _Status:
        """Return the status."""
        return self.fixed_status


class TestReadiness:
    """Conditions under which an instance is ready for requests."""

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
        refusal = readiness.Readiness(_FakeReplica(status))()
        assert (refusal is None) == ready

    async def test_draining(self) -> None:
        check = readiness.Readiness(_FakeReplica(_Status()))
        check.draining = True
        assert check() is not None

    async def test_restarted_instance_becomes_ready_after_the_recovery_time(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        check = readiness.Readiness(_FakeReplica(_Status(recovered=False)))
        assert check() is not None
        await trio.sleep(readiness.RECOVERY_TIMEOUT_SECONDS)
        assert check() is None

    async def test_stopped_replica_that_never_recovered_stays_unready(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        status = _Status(stopped="disk is full", recovered=False)
        check = readiness.Readiness(_FakeReplica(status))
        await trio.sleep(2 * readiness.RECOVERY_TIMEOUT_SECONDS)
        assert check() is not None
