"""Tests of the distinction of faulty workers from faulty jobs."""

import pytest

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import health
from turmerichall.placement import views


def _task(task_id: str, service: bool = False) -> views.TaskView:
    size = resources.Resources(1, 1)
    urgency = customers.Urgency.NORMAL
    return views.TaskView(task_id, "t", "c", "team", urgency, service, size)


def _quarantined(tracker: health.Health, worker: str, now: float) -> bool:
    return not tracker.accepts(worker, _task("probe/0"), now)


class TestQuarantine:
    """A worker that fails tasks of several jobs is quarantined."""

    def test_faulty_worker_is_quarantined(self) -> None:
        tracker = health.Health()
        for number in range(3):
            tracker.record_failure("bad", f"j{number}/0", float(number))
        assert _quarantined(tracker, "bad", 10.0)
        assert not _quarantined(tracker, "good", 10.0)

    def test_faulty_job_quarantines_no_worker(self) -> None:
        tracker = health.Health()
        for failure in range(48):
            worker = f"w{failure % 12}"
            tracker.record_failure(worker, f"bad/{failure}", float(failure))
        quarantined = [
            n for n in range(12) if _quarantined(tracker, f"w{n}", 99.0)
        ]
        assert not quarantined

    @pytest.mark.parametrize("probe_finishes", [True, False])
    def test_one_probe_ends_or_renews_a_quarantine(
        self, probe_finishes: bool
    ) -> None:
        tracker = health.Health()
        for number in range(3):
            tracker.record_failure("bad", f"j{number}/0", 0.0)
        after = health.PROBE_AFTER_SECONDS + 1.0
        assert not tracker.accepts("bad", _task("svc:a/0", True), after)
        assert tracker.accepts("bad", _task("p/0"), after)
        tracker.record_placement("bad", "p/0")
        assert not tracker.accepts("bad", _task("q/0"), after)
        if probe_finishes:
            tracker.record_success("bad", "p/0")
        else:
            tracker.record_failure("bad", "p/0", after)
        assert tracker.accepts("bad", _task("q/0"), after) == probe_finishes

    def test_task_avoids_a_worker_on_which_it_failed(self) -> None:
        tracker = health.Health()
        tracker.record_failure("w0", "j/0", 0.0)
        assert tracker.avoids("w0", "j/0")
        assert not tracker.avoids("w0", "j/1")


class TestFlapping:
    """A flapping worker is given no service task until it is stable."""

    def test_accepts_only_batch_tasks(self) -> None:
        tracker = health.Health()
        for at in (0.0, 100.0, 200.0):
            tracker.record_return("w0", at)
        service = _task("svc:a/0", service=True)
        assert not tracker.accepts("w0", service, 210.0)
        assert tracker.accepts("w0", _task("j/0"), 210.0)
        stable = 200.0 + health.STABLE_AFTER_SECONDS
        assert tracker.accepts("w0", service, stable)
