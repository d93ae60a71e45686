"""Tests of the delay of the event loop."""

import trio
import trio.testing

from turmerichall.telemetry import lightweight_metrics
from turmerichall.telemetry import loop_delay


class TestLoopDelay:

    async def test_shows_that_a_task_held_the_loop(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        delay = loop_delay.LoopDelay(lightweight_metrics.MetricsRegistry())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(delay.run)
            await trio.testing.wait_all_tasks_blocked()
            # The loop gets to run the measurement 0.4 s after it was due.
            mock_clock.jump(loop_delay.INTERVAL_SECONDS + 0.4)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        assert abs(delay.take_worst() - 0.4) < 0.001
        assert delay.take_worst() == 0.0
