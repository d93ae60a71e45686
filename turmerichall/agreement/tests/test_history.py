"""Random histories at fixed seeds, and the checks of histories."""

import pytest

from turmerichall.agreement.tests import history
from turmerichall.agreement.tests import history_run

STEPS = 500
SEEDS = 20


def _call(
    kind: history.Kind, began: float, ended: float, version: int, value: float
) -> history.Call:
    return history.Call(kind, "k", began, ended, version, value)


class TestHistory:

    @pytest.mark.parametrize("seed", range(SEEDS))
    def test_random_history(self, seed: int) -> None:
        report = history_run.run(seed, STEPS)
        assert report.findings == []
        assert report.calls > STEPS / 10
        assert report.attempts > 0

    @pytest.mark.parametrize("seed", range(SEEDS))
    def test_random_history_with_disks_that_recover(self, seed: int) -> None:
        report = history_run.run(seed, STEPS, disks_recover=True)
        assert report.findings == []
        assert report.calls > STEPS / 10
        assert report.attempts > 0


class TestChecks:

    @pytest.mark.parametrize(
        ("second", "fault"),
        [
            (_call(history.Kind.WRITE, 0, 9, 1, 2.0), "written twice"),
            (_call(history.Kind.READ, 0, 9, 1, 2.0), "not written"),
            (_call(history.Kind.READ, 3, 4, 0, 0.0), "older than"),
            (_call(history.Kind.REFUSED, 0, 9, 0, 1.0), "refused and written"),
        ],
    )
    def test_fault_is_found(self, second: history.Call, fault: str) -> None:
        first = _call(history.Kind.WRITE, 1, 2, 1, 1.0)
        assert not history.findings([first])
        assert any(fault in line for line in history.findings([first, second]))
