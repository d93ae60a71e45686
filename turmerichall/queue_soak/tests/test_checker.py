"""Tests that each promise that a soak checks can be seen broken."""

import trio
import trio.testing

from turmerichall.dispatch import worker_client
from turmerichall.platform.tests import wire_worker
from turmerichall.queues import change as changes
from turmerichall.queue_soak import checker

# Tests name the clock as an argument, which makes them run on it.
# pylint: disable=unused-argument

TASK = changes.TaskName("j", 0, 0, 0)
ACCEPTED = {"j": checker.Call((200,), None, "completed")}


def _start(life: wire_worker.Life, run: int) -> None:
    order = worker_client.Order(TASK, run)
    life.execute_start(order, 1, life.clock_ms() + 60_000)


class TestFindBroken:

    @staticmethod
    def lives() -> tuple[wire_worker.Life, wire_worker.Life]:
        """Return the lives of two workers."""
        return wire_worker.Life("w1", 8000), wire_worker.Life("w2", 8000)

    async def test_sound_history_breaks_nothing(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        first, second = self.lives()
        _start(first, 1)
        await trio.sleep(1.5)
        await first.poll(1, 0, None, 0)
        assert not checker.find_broken(ACCEPTED, (first, second))

    async def test_two_runs_at_once(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        first, second = self.lives()
        _start(first, 1)
        await trio.sleep(0.2)
        _start(second, 2)
        await trio.sleep(0.2)
        (broken,) = checker.find_broken(ACCEPTED, (first, second))
        assert broken.startswith("two runs at once: j.0.0.0, 1 and 2")

    async def test_start_after_an_end_that_was_noted(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        first, second = self.lives()
        _start(first, 1)
        await trio.sleep(1.5)
        await first.poll(1, 0, None, 0)
        await trio.sleep(0.1)
        _start(second, 2)
        assert not checker.find_broken(ACCEPTED, (first, second))
        await first.poll(1, 1, None, 0)
        (broken,) = checker.find_broken(ACCEPTED, (first, second))
        assert broken.startswith("started after its end was noted")

    async def test_start_after_a_cancellation(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        first, _ = self.lives()
        calls = {"j": checker.Call((0,), trio.current_time(), "")}
        await trio.sleep(checker.CANCEL_SECONDS + 0.1)
        _start(first, 1)
        (broken,) = checker.find_broken(calls, (first,))
        assert "after its cancellation" in broken

    async def test_rejected_job_that_ran(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        first, _ = self.lives()
        _start(first, 1)
        (broken,) = checker.find_broken(
            {"j": checker.Call((503, 429))}, (first,)
        )
        assert broken == "ran though it was rejected: j.0.0.0"
        # One without an answer may have been accepted.
        assert not checker.find_broken({"j": checker.Call((503, 0))}, (first,))

    async def test_lost_job(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        calls = {"j": checker.Call((0, 200), None, "410")}
        assert checker.find_broken(calls, ()) == ["lost: job j is 410"]
