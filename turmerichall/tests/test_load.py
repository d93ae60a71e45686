"""Tests of the operators' load that runs while faults are injected."""

from typing import Any

import trio
import trio.testing

from turmerichall.tests import load as loads
from turmerichall.tests.standins import operator

ANSWER_DELAY_SECONDS = 5.0


class _SlowOperator(operator.Operator):
    """An operator whose changes are accepted at once but answered late."""

    in_flight = 0

    async def change(
        self, method: str, path: str, body: Any = None, operation_id: str = ""
    ) -> operator.Reply:
        del method, path, body, operation_id
        self.in_flight += 1
        await trio.sleep(ANSWER_DELAY_SECONDS)
        self.in_flight -= 1
        return operator.Reply(200, {"version": 2})


class _Load(loads.Load):
    """A load whose operators are all the same slow operator."""

    slow: _SlowOperator | None = None

    def new_operator(self, name: str, *via: str) -> operator.Operator:
        del via
        self.slow = self.slow or _SlowOperator(name, self.key, ())
        return self.slow


class TestPaused:
    """A paused load has no change in flight.

    Otherwise the version that a scenario builds on could still change.
    """

    async def test_waits_for_changes_in_flight(
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
                    await trio.sleep(10 * ANSWER_DELAY_SECONDS)
                    assert not load.slow.in_flight
            nursery.cancel_scope.cancel()
