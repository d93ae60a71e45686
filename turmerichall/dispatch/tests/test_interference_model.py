"""Tests of the model of interference, and of what it keeps across terms."""

import random

import msgspec
import pytest

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


class TestKeptEstimates:

    @pytest.mark.parametrize("seed", range(5))
    def test_are_those_of_a_model_that_was_never_asked(self, seed: int) -> None:
        """Guards against an estimate that outlives a sample."""
        drawn = random.Random(seed)
        asked = interference_models.InterferenceModel()
        changes_made: list[tuple[str, tuple[object, ...]]] = []
        for _ in range(60):
            if drawn.random() < 0.05:
                tables = {"desk": {"scan": drawn.uniform(0.0, 5.0)}}
                changes_made.append(("restore", (tables,)))
            else:
                images = drawn.sample(("scan", "sort", "pack"), 2)
                shares = {image: drawn.uniform(0.0, 0.3) for image in images}
                place = drawn.choice(("desk", "mail"))
                changes_made.append(("learn", (place, shares, drawn.random())))
            method, arguments = changes_made[-1]
            getattr(asked, method)(*arguments)
            fresh = interference_models.InterferenceModel()
            for method, arguments in changes_made:
                getattr(fresh, method)(*arguments)
            for pair in (("desk", "scan"), ("mail", "sort"), ("mail", "new")):
                assert asked.upper_weight(*pair) == fresh.upper_weight(*pair)


class TestManyImages:
    """The model grew with each image that there ever was, on all replicas."""

    def test_images_seen_least_recently_are_forgotten(self) -> None:
        model = interference_models.InterferenceModel()
        most = interference_models.MAX_IMAGES
        for number in range(most + 50):
            model.learn("desk", {"scan": 0.2, f"v{number}": 0.1}, 0.4)
        table = model.table()["desk"]
        assert len(table) == most
        assert "scan" in table and "v0" not in table
        assert f"v{most + 49}" in table
        later = interference_models.InterferenceModel()
        later.restore(model.table())
        assert later.table() == model.table()

    def test_long_running_images_are_bounded(self) -> None:
        model = interference_models.InterferenceModel()
        most = interference_models.MAX_IMAGES
        for number in range(most + 50):
            model.learn(f"desk{number}", {"scan": 0.2}, 0.4)
        assert len(model.table()) == most
