"""Tests of the model of interference across terms."""

from turmerichall.dispatch import interference_model as interference_models


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
