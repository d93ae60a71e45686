"""Tests of which availability zones are known."""

from turmerichall.dispatch.evacuation import zone_states
from turmerichall.queues import change as changes
from turmerichall.queues import state as states


class TestIsKnown:

    # An order to take such a zone back was acknowledged, and refused when the
    # operator, whose answer was lost, repeated it.
    def test_zone_without_workers_that_was_taken_back_is_known(self) -> None:
        queue_state = states.QueueState()
        begin = changes.encode(changes.BeginEvacuation("z1", 1000))
        queue_state.apply(1, begin)
        queue_state.apply(2, changes.encode(changes.EndEvacuation("z1", 2000)))
        assert zone_states.is_known("z1", (), queue_state)
        assert not zone_states.is_known("z2", (), queue_state)
