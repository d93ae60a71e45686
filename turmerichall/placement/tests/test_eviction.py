"""Tests of throttling, eviction and preemption."""

import pytest

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import inspection
from turmerichall.placement import interference
from turmerichall.placement import planner as planners
from turmerichall.placement import views
from turmerichall.placement import weights
from turmerichall.state import change as changes

ROOM = resources.Resources(8, 8000, 0)


def _task(
    name: str,
    template: str,
    service: bool = False,
    processors: float = 2.0,
    urgency: customers.Urgency = customers.Urgency.NORMAL,
) -> views.TaskView:
    size = resources.Resources(processors, 1000)
    return views.TaskView(
        name, template, "c", "team", urgency, service, size, 1000.0
    )


def _shared() -> planners.Planner:
    """Return a planner with a service and a batch task on one worker."""
    planner = planners.Planner(weights.BALANCED)
    planner.put_worker(views.WorkerView("w0", "r0", "z1", ROOM))
    planner.put_running(_task("svc:c/s/z1/0", "s", service=True), "w0", 0.0)
    planner.put_running(_task("j/0", "noisy"), "w0", 0.0)
    return planner


def _report(
    planner: planners.Planner,
    task_id: str,
    at: float,
    slowdown: float = 1.0,
    processors: float = 2.0,
    memory_mb: int = 1000,
) -> None:
    usage = resources.Resources(processors, memory_mb)
    planner.put_usage(views.UsageReport("w0", task_id, 0, usage, slowdown, at))


class TestSlowService:
    """Neighbours of a slow service are throttled first and evicted later."""

    def test_throttled_then_evicted(self) -> None:
        planner = _shared()
        _report(planner, "svc:c/s/z1/0", 5.0, slowdown=4.0)
        first = planner.plan(10.0, 10.0)
        assert [t.task_id for t in first.throttles] == ["j/0"]
        assert not first.evictions
        _report(planner, "svc:c/s/z1/0", 60.0, slowdown=4.0)
        second = planner.plan(70.0, 70.0)
        assert [e.task_id for e in second.evictions] == ["j/0"]
        assert "did not help" in second.evictions[0].reason

    def test_restricted_tasks_are_reported_with_reasons(self) -> None:
        planner = _shared()
        for at, what, words in (
            (5.0, "throttled", "slowed to 4.00"),
            (60.0, "evicting", "did not help"),
        ):
            _report(planner, "svc:c/s/z1/0", at, slowdown=4.0)
            planner.plan(at + 10.0, at + 10.0)
            held = inspection.restricted_tasks(planner, at + 12.0)[0]
            assert (held.task_id, held.what) == ("j/0", what)
            assert held.seconds_ago == 2.0 and words in held.reason
        status = inspection.job_status(planner, "j", 72.0)
        assert status.held == (held,) and status.waiting is None

    def test_all_are_throttled_beside_a_service_far_above_its_margin(
        self,
    ) -> None:
        planner = _shared()
        planner.put_running(_task("j/1", "noisy"), "w0", 0.0)
        _report(planner, "svc:c/s/z1/0", 5.0, slowdown=9.0)
        throttled = [t.task_id for t in planner.plan(10.0, 10.0).throttles]
        assert sorted(throttled) == ["j/0", "j/1"]

    def test_measurement_from_before_the_throttle_is_ignored(self) -> None:
        planner = _shared()
        _report(planner, "svc:c/s/z1/0", 5.0, slowdown=4.0)
        assert planner.plan(10.0, 10.0).throttles
        _report(planner, "svc:c/s/z1/0", 9.0, slowdown=4.0)
        assert not planner.plan(70.0, 70.0).evictions

    def test_throttle_is_lifted_when_the_service_is_within_its_margin(
        self,
    ) -> None:
        planner = _shared()
        _report(planner, "svc:c/s/z1/0", 5.0, slowdown=4.0)
        planner.plan(10.0, 10.0)
        for at in range(60, 160, 10):
            _report(planner, "svc:c/s/z1/0", float(at), slowdown=1.0)
        lifted = planner.plan(170.0, 170.0).throttles
        assert [(t.task_id, t.share) for t in lifted] == [("j/0", 1.0)]

    def test_task_that_must_stay_throttled_is_evicted(self) -> None:
        planner = _shared()
        for at in range(1, 20):
            _report(planner, "svc:c/s/z1/0", float(at), slowdown=4.0)
        assert planner.plan(20.0, 20.0).throttles
        _report(planner, "j/0", 30.0, processors=0.8)
        for at in range(60, 100, 10):
            _report(planner, "svc:c/s/z1/0", float(at), slowdown=1.0)
        plan = planner.plan(100.0, 100.0)
        assert not plan.throttles
        assert [e.task_id for e in plan.evictions] == ["j/0"]
        assert "without its throttle" in plan.evictions[0].reason

    def test_evictions_stay_within_the_budget(self) -> None:
        planner = planners.Planner(weights.BALANCED)
        for number in range(8):
            name = f"w{number}"
            planner.put_worker(views.WorkerView(name, "r0", "z1", ROOM))
            service = _task(f"svc:c/s/z1/{number}", "s", service=True)
            planner.put_running(service, name, 0.0)
            planner.put_running(_task(f"j/{number}", "noisy"), name, 0.0)
        evicted = 0
        for now in range(10, 400, 20):
            for number in range(8):
                usage = resources.Resources(2.0, 1000)
                planner.put_usage(
                    views.UsageReport(
                        f"w{number}",
                        f"svc:c/s/z1/{number}",
                        0,
                        usage,
                        4.0,
                        now - 1.0,
                    )
                )
            evicted += len(planner.plan(float(now), float(now)).evictions)
        assert evicted <= 2 + 8 * 400 / 1800


class TestOverShare:
    """A task that uses more than its declared size is restricted."""

    def test_task_is_evicted_at_once_if_memory_is_exceeded(self) -> None:
        planner = _shared()
        _report(planner, "j/0", 5.0, memory_mb=7900)
        evictions = planner.plan(6.0, 6.0).evictions
        assert [e.task_id for e in evictions] == ["j/0"]

    def test_task_is_throttled_to_its_declared_processors(self) -> None:
        planner = _shared()
        _report(planner, "j/0", 5.0, processors=7.5)
        throttles = planner.plan(6.0, 6.0).throttles
        assert throttles[0].task_id == "j/0"
        assert throttles[0].share == pytest.approx(2.0 / 7.5)


class TestPreemption:
    """Service and urgent batch tasks preempt other batch tasks."""

    @pytest.mark.parametrize(
        ("service", "urgency", "evicted"),
        [
            (True, customers.Urgency.URGENT, 1),
            (False, customers.Urgency.URGENT, 1),
            (False, customers.Urgency.NORMAL, 0),
        ],
    )
    def test_preempts(
        self, service: bool, urgency: customers.Urgency, evicted: int
    ) -> None:
        planner = planners.Planner(weights.BALANCED)
        planner.put_worker(views.WorkerView("w0", "r0", "z1", ROOM))
        for number in range(2):
            running = _task(f"j/{number}", "batch", processors=4.0)
            planner.put_running(running, "w0", 0.0)
        waiting = _task("new/0", "new", service, 3.0, urgency)
        planner.put_waiting(waiting)
        assert len(planner.plan(10.0, 10.0).evictions) == evicted
        assert not planner.plan(11.0, 11.0).evictions

    def test_preempts_for_several_tasks_and_reserves_capacity_for_them(
        self,
    ) -> None:
        planner = planners.Planner(weights.BALANCED)
        for number in range(4):
            name = f"w{number % 2}"
            planner.put_worker(views.WorkerView(name, "r0", "z1", ROOM))
            running = _task(f"j/{number}", "batch", processors=4.0)
            planner.put_running(running, name, 0.0)
        for name, processors in (("u/0", 8.0), ("v/0", 4.0), ("v/1", 4.0)):
            urgent = customers.Urgency.URGENT
            planner.put_waiting(_task(name, "u", False, processors, urgent))
        evicted = planner.plan(10.0, 10.0).evictions
        assert len(evicted) == 4
        for one in evicted:
            planner.put_waiting(_task("n/" + one.task_id, "n", processors=4.0))
            ending = changes.Ending.EVICTED
            planner.record_end(one.task_id, one.worker, ending, 15.0)
            started = [s.task_id for s in planner.plan(15.0, 15.0).starts]
            assert all(task_id[0] in "uv" for task_id in started)
        assert {"u/0", "v/0", "v/1"} <= planner.fleet.worker_of.keys()

    def test_preempts_on_a_worker_where_the_task_may_be_placed(self) -> None:
        planner = _shared()
        planner.put_worker(views.WorkerView("w1", "r0", "z1", ROOM))
        planner.put_running(
            _task("old/0", "noisy", processors=8.0), "w1", -900.0
        )
        planner.put_running(_task("j/1", "noisy", processors=4.0), "w0", 0.0)
        seen = interference.Colocation("s", 0.5, (("u", 0.5),))
        for at in range(50):
            planner.fleet.estimator.learn(seen, 3.0, float(at))
        urgent = customers.Urgency.URGENT
        planner.put_waiting(_task("u/0", "u", False, 4.0, urgent))
        evicted = planner.plan(60.0, 60.0).evictions
        assert [e.worker for e in evicted] == ["w1"]

    def test_urgent_task_preempts_a_neighbour_that_interferes(self) -> None:
        planner = _shared()
        for template, excess in (("noisy", 3.0), ("u", 0.0)):
            seen = interference.Colocation("s", 0.5, ((template, 0.5),))
            for at in range(50):
                planner.fleet.estimator.learn(seen, excess, float(at))
        urgent = customers.Urgency.URGENT
        planner.put_waiting(_task("u/0", "u", False, 1.0, urgent))
        evicted = planner.plan(60.0, 60.0).evictions
        assert [e.task_id for e in evicted] == ["j/0"]

    def test_evicted_task_resumes_before_others(self) -> None:
        planner = planners.Planner(weights.BALANCED)
        planner.put_worker(views.WorkerView("w0", "r0", "z1", ROOM))
        planner.put_running(_task("old/0", "batch", processors=8.0), "w0", 0.0)
        planner.put_waiting(_task("a/0", "another", processors=8.0))
        again = _task("old/0", "batch", processors=8.0)
        planner.put_waiting(again._replace(attempt=1, evicted=True))
        planner.record_end("old/0", "w0", changes.Ending.EVICTED, 5.0)
        starts = planner.plan(6.0, 6.0).starts
        assert [s.task_id for s in starts] == ["old/0"]


class TestFailedEviction:
    """An eviction that was not carried out may be decided again."""

    def test_is_decided_again(self) -> None:
        planner = _shared()
        _report(planner, "j/0", 5.0, memory_mb=7900)
        assert planner.plan(6.0, 6.0).evictions
        assert not planner.plan(7.0, 7.0).evictions
        planner.record_eviction_failure("j/0", "w0")
        assert planner.plan(8.0, 8.0).evictions


class TestDrain:
    """Tasks on a draining worker are evicted, those of a service in turn."""

    def test_moves_one_task_of_a_service_at_a_time(self) -> None:
        planner = planners.Planner(weights.BALANCED)
        view = views.WorkerView("w0", "r0", "z1", ROOM)
        planner.put_worker(view)
        for number in range(3):
            service = _task(f"svc:c/s/z1/{number}", "s", service=True)
            planner.put_running(service, "w0", 0.0)
        planner.put_worker(view._replace(leaving=True))
        assert len(planner.plan(1.0, 1.0).evictions) == 1
        assert not planner.plan(2.0, 2.0).evictions
