"""Tests of the load that runs while faults are injected."""

from typing import Any

import trio
import trio.testing

from turmerichall.tests import load as loads
from turmerichall.tests.standins import operator

ANSWER_SECONDS = 5.0


class _SlowOperator(operator.Operator):
    """Every change is accepted, and answered some time later."""

    in_flight = 0

    async def change(
        self, method: str, path: str, body: Any = None, operation_id: str = ""
    ) -> operator.Reply:
        del method, path, body, operation_id
        self.in_flight += 1
        await trio.sleep(ANSWER_SECONDS)
        self.in_flight -= 1
        return operator.Reply(200, {"version": 2})


class _Load(loads.Load):
    """Load of operators that are all the same slow one."""

    slow: _SlowOperator | None = None

    def new_operator(self, name: str, *via: str) -> operator.Operator:
        del via
        self.slow = self.slow or _SlowOperator(name, self.key, ())
        return self.slow


class TestPaused:
    """A scenario that pauses the load knows the version it builds on."""

    async def test_waits_for_what_is_in_flight(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        load = _Load({}, "key", lambda _: True)
        assert load.slow
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            for _ in range(3):
                await trio.sleep(loads.JOB_PERIOD_SECONDS)
                async with load.paused():
                    assert not load.slow.in_flight
                    await trio.sleep(10 * ANSWER_SECONDS)
                    assert not load.slow.in_flight
            nursery.cancel_scope.cancel()
