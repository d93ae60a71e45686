"""Tests of when the leader places tasks."""

import pytest
import trio
import trio.testing

from turmerichall.dispatch import placement_trigger

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

BUSY_SECONDS = 0.05


async def seconds_to_placement(
    trigger: placement_trigger.PlacementTrigger, *requests: str
) -> float:
    """Return after what time a placement follows one, with some requests.

    Args:
        trigger: The trigger.
        requests: Methods that are called 10 ms after the earlier placement.
    """
    trigger.begin_placement()
    trigger.end_placement(BUSY_SECONDS)
    began_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trigger.wait)
        await trio.sleep(0.01)
        for request in requests:
            getattr(trigger, request)()
    return trio.current_time() - began_at


class TestRequests:

    @pytest.mark.parametrize(
        ("requests", "seconds"),
        [
            ((), placement_trigger.INTERVAL_SECONDS),
            (("set_room_changed",), 3 * BUSY_SECONDS),
            (("set",), 0.01),
            (("set_room_changed", "set"), 0.01),
        ],
    )
    async def test_only_changed_room_waits_for_the_pause(
        self,
        autojump_clock: trio.testing.MockClock,
        requests: tuple[str, ...],
        seconds: float,
    ) -> None:
        """Guards against urgent work that waits, and a leader always placing.

        The second round shows that nothing is left of the first.
        """
        trigger = placement_trigger.PlacementTrigger()
        for _ in range(2):
            taken = await seconds_to_placement(trigger, *requests)
            assert taken == pytest.approx(seconds)

    async def test_room_that_changed_during_a_placement_counts(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        """Guards against room that is only seen after the longest wait."""
        trigger = placement_trigger.PlacementTrigger()
        trigger.begin_placement()
        trigger.set_room_changed()
        trigger.end_placement(BUSY_SECONDS)
        began_at = trio.current_time()
        await trigger.wait()
        taken = trio.current_time() - began_at
        assert taken == pytest.approx(3 * BUSY_SECONDS)
