"""Tests of the condition variable of a replica's tasks."""

import trio
import trio.testing

from turmerichall.agreement import condition as conditions


class TestCondition:
    """A task that waits for a predicate."""

    async def test_wakes_only_tasks_whose_predicate_is_true(self) -> None:
        """Waking all tasks at each log entry costs a leader's processor."""
        condition = conditions.Condition()
        reached = 0
        woken: list[int] = []

        async def wait(value: int) -> None:
            assert await condition.wait_for(lambda: reached >= value)
            woken.append(value)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait, 1)
            nursery.start_soon(wait, 2)
            await trio.testing.wait_all_tasks_blocked()
            reached = 1
            condition.notify_all()
            await trio.testing.wait_all_tasks_blocked()
            assert woken == [1]
            reached = 2
            condition.notify_all()

        assert woken == [1, 2]

    async def test_waits_again_if_the_predicate_is_false_when_it_runs(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Another task may undo the change before the woken one runs."""
        condition = conditions.Condition()
        is_true = False
        results: list[bool] = []

        async def wait() -> None:
            deadline = trio.current_time() + 1.0
            results.append(await condition.wait_for(lambda: is_true, deadline))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            await trio.testing.wait_all_tasks_blocked()
            is_true = True
            condition.notify_all()
            is_true = False

        assert results == [False]
        assert autojump_clock.current_time() >= 1.0

    async def test_wakes_plain_waiters_at_any_notification(self) -> None:
        """A candidate waits for an event, not for a state."""
        condition = conditions.Condition()
        with trio.fail_after(5.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(condition.wait)
                await trio.testing.wait_all_tasks_blocked()
                condition.notify_all()
