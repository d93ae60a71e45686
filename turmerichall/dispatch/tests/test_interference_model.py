"""Tests of the model of interference across terms."""

import msgspec

from turmerichall.dispatch import interference_model as interference_models
from turmerichall.queues import change as changes
from turmerichall.queues import state as states


def learn(model: interference_models.InterferenceModel, weight: float) -> None:
    for number in range(200):
        share = 0.1 * (number % 4)
        model.learn("desk", {"scan": share}, weight * share, 0.0)


class TestRestore:
    """A replica leads, another one does, and the first leads again.

    The first replica still has what it learned in its earlier term, while the
    replicated state has what the other one learned later.
    """

    def test_a_later_leader_is_believed(self) -> None:
        first = interference_models.InterferenceModel()
        learn(first, 0.0)
        second = interference_models.InterferenceModel()
        second.restore(first.table())
        learn(second, 4.0)
        assert second.weight("desk", "scan") > 3.0

        first.restore(second.table())
        assert first.weight("desk", "scan") > 3.0

    def test_own_samples_are_kept_if_nobody_else_led(self) -> None:
        model = interference_models.InterferenceModel()
        learn(model, 4.0)
        certain = model.upper_weight("desk", "scan")
        model.restore(model.table())
        assert model.upper_weight("desk", "scan") == certain


class TestStrengths:

    def test_reach_the_next_leader_through_the_state(self) -> None:
        # A pair that was hardly observed must not count as known.
        model = interference_models.InterferenceModel(is_careful=True)
        learn(model, 3.0)
        model.learn("desk", {"sort": 0.1}, 0.0)
        state = states.QueueState()
        state.apply(1, changes.encode(model.note()))
        restored = states.QueueState()
        restored.restore(state.snapshot())
        other = interference_models.InterferenceModel(is_careful=True)
        other.restore_from(restored)
        assert other.strengths() == model.strengths()
        assert other.is_unknown("desk", "sort")
        assert not other.is_unknown("desk", "scan")

    def test_are_not_needed_in_changes_of_earlier_releases(self) -> None:
        note = changes.decode(
            msgspec.msgpack.encode([9, {"desk": {"sort": 2.0}}])
        )
        assert note == changes.NoteInterference({"desk": {"sort": 2.0}})
        state = states.QueueState()
        state.apply(1, changes.encode(note))
        model = interference_models.InterferenceModel(is_careful=True)
        model.restore_from(state)
        assert not model.is_unknown("desk", "sort")
