"""Tests of telling failing workers from failing jobs."""

import pytest

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import health
from turmerichall.placement import views


def _task(task_id: str, service: bool = False) -> views.TaskView:
    size = resources.Resources(1, 1)
    urgency = customers.Urgency.NORMAL
    return views.TaskView(task_id, "t", "c", "team", urgency, service, size)


def _quarantined(made: health.Health, worker: str, now: float) -> bool:
    return not made.accepts(worker, _task("probe/0"), now)


class TestQuarantine:
    """A worker that fails what others finish is left alone for a while."""

    def test_bad_worker(self) -> None:
        made = health.Health()
        for number in range(3):
            made.record_failure("bad", f"j{number}/0", float(number))
        assert _quarantined(made, "bad", 10.0)
        assert not _quarantined(made, "good", 10.0)

    def test_bad_job_blames_no_worker(self) -> None:
        made = health.Health()
        for failure in range(48):
            worker = f"w{failure % 12}"
            made.record_failure(worker, f"bad/{failure}", float(failure))
        blamed = [n for n in range(12) if _quarantined(made, f"w{n}", 99.0)]
        assert not blamed

    @pytest.mark.parametrize("probe_finishes", [True, False])
    def test_one_probe_decides(self, probe_finishes: bool) -> None:
        made = health.Health()
        for number in range(3):
            made.record_failure("bad", f"j{number}/0", 0.0)
        after = health.PROBE_AFTER_SECONDS + 1.0
        assert not made.accepts("bad", _task("svc:a/0", True), after)
        assert made.accepts("bad", _task("p/0"), after)
        made.record_placement("bad", "p/0")
        assert not made.accepts("bad", _task("q/0"), after)
        if probe_finishes:
            made.record_success("bad", "p/0")
        else:
            made.record_failure("bad", "p/0", after)
        assert made.accepts("bad", _task("q/0"), after) == probe_finishes

    def test_task_is_not_tried_again_where_it_failed(self) -> None:
        made = health.Health()
        made.record_failure("w0", "j/0", 0.0)
        assert made.avoids("w0", "j/0")
        assert not made.avoids("w0", "j/1")


class TestFlapping:
    """A worker that comes and goes gets no service until it is stable."""

    def test_no_service(self) -> None:
        made = health.Health()
        for at in (0.0, 100.0, 200.0):
            made.record_return("w0", at)
        service = _task("svc:a/0", service=True)
        assert not made.accepts("w0", service, 210.0)
        assert made.accepts("w0", _task("j/0"), 210.0)
        stable = 200.0 + health.STABLE_AFTER_SECONDS
        assert made.accepts("w0", service, stable)
