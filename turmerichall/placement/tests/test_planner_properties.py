"""Property tests of the planner with random workers, jobs and faults."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import decisions
from turmerichall.placement import planner as planners
from turmerichall.placement import policy
from turmerichall.placement import views
from turmerichall.placement import weights
from turmerichall.state import change as changes

WORKERS = [f"w{number}" for number in range(5)]
CAPACITIES = (
    resources.Resources(8, 8000, 0),
    resources.Resources(16, 4000, 2),
)
SIZES = (
    resources.Resources(1, 500, 0),
    resources.Resources(5, 3000, 0),
    resources.Resources(2, 1000, 1),
    resources.Resources(20, 100, 0),
)
ENDINGS = (
    changes.Ending.FINISHED,
    changes.Ending.FAILED,
    changes.Ending.EVICTED,
    changes.Ending.LOST,
    changes.Ending.REFUSED,
)


class PlannerMachine(stateful.RuleBasedStateMachine):
    """Driver of a planner, with its own record of which task runs where."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.planner = planners.Planner(weights.BALANCED)
        self.capacity: dict[str, resources.Resources] = {}
        self.tasks: dict[str, views.TaskView] = {}
        self.running: dict[str, str] = {}
        self.evicting: set[str] = set()
        self.leaving: set[str] = set()
        self.present: set[str] = set()

    @stateful.rule(
        name=st.sampled_from(WORKERS),
        capacity=st.sampled_from(CAPACITIES),
        leaving=st.booleans(),
    )
    def put_worker(
        self, name: str, capacity: resources.Resources, leaving: bool
    ) -> None:
        """Add or change a worker."""
        capacity = self.capacity.setdefault(name, capacity)
        self.planner.put_worker(
            views.WorkerView(name, f"r-{name}", "z1", capacity, 6, leaving)
        )
        self.present.add(name)
        (self.leaving.add if leaving else self.leaving.discard)(name)

    @stateful.rule(name=st.sampled_from(WORKERS))
    def drop_worker(self, name: str) -> None:
        self.planner.drop_worker(name)
        self.present.discard(name)

    @stateful.rule(
        count=st.integers(1, 12),
        size=st.sampled_from(SIZES),
        urgency=st.sampled_from(customers.Urgency),
        service=st.booleans(),
    )
    def submit(
        self,
        count: int,
        size: resources.Resources,
        urgency: customers.Urgency,
        service: bool,
    ) -> None:
        """Submit a job of several tasks."""
        job = f"j{len(self.tasks)}"
        for number in range(count):
            task = views.TaskView(
                f"{job}/{number}",
                f"t{size.processors:g}{service}",
                "c",
                f"team-{number % 2}",
                urgency,
                service,
                size,
                deadline_wall_seconds=self.now + 100.0 * number,
            )
            self.tasks[task.task_id] = task
            self.planner.put_waiting(task)

    @stateful.precondition(lambda self: self.tasks)
    @stateful.rule(data=st.data())
    def cancel_waiting(self, data: st.DataObject) -> None:
        """Cancel a waiting task."""
        task_id = data.draw(st.sampled_from(sorted(self.tasks)))
        if task_id not in self.running:
            self.planner.drop_waiting(task_id)
            del self.tasks[task_id]

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        data=st.data(), ending=st.sampled_from(ENDINGS), early=st.booleans()
    )
    def end(
        self, data: st.DataObject, ending: changes.Ending, early: bool
    ) -> None:
        """End a running task; `early` queues it again before its end."""
        task_id = data.draw(st.sampled_from(sorted(self.running)))
        worker = self.running.pop(task_id)
        self.evicting.discard(task_id)
        task = self.tasks[task_id]
        again = task._replace(attempt=task.attempt + 1, evicted=True)
        if ending == changes.Ending.FINISHED:
            del self.tasks[task_id]
        elif early:
            self.tasks[task_id] = again
            self.planner.put_waiting(again)
        self.planner.record_end(task_id, worker, ending, self.now)
        if ending != changes.Ending.FINISHED and not early:
            self.tasks[task_id] = again
            self.planner.put_waiting(again)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        data=st.data(),
        use=st.floats(0.0, 40.0),
        slowdown=st.floats(0.0, 5.0),
        age=st.floats(0.0, 90.0),
    )
    def report(
        self, data: st.DataObject, use: float, slowdown: float, age: float
    ) -> None:
        """Report a measurement of a running task."""
        task_id = data.draw(st.sampled_from(sorted(self.running)))
        worker = self.running[task_id]
        self.planner.record_start(task_id, worker, self.now)
        usage = resources.Resources(use, int(use * 200))
        attempt = self.tasks[task_id].attempt + 1
        self.planner.put_usage(
            views.UsageReport(
                worker, task_id, attempt, usage, slowdown, self.now - age
            )
        )

    @stateful.rule(seconds=st.floats(0.1, 120.0))
    def plan(self, seconds: float) -> None:
        """Run a scheduling cycle and carry out its decisions."""
        self.now += seconds
        plan = self.planner.plan(self.now, self.now)
        for start in plan.starts:
            self._start(start)
        for eviction in plan.evictions:
            assert self.running[eviction.task_id] == eviction.worker
            assert eviction.task_id not in self.evicting
            assert eviction.reason
            self.evicting.add(eviction.task_id)

    def _start(self, start: decisions.StartDecision) -> None:
        assert (
            start.task_id not in self.running
        ), "task was started on two workers"
        assert start.worker in self.present
        assert start.worker not in self.leaving
        assert start.reason
        self.running[start.task_id] = start.worker
        total = resources.ZERO
        on_worker = [t for t, w in self.running.items() if w == start.worker]
        for task_id in on_worker:
            total = total.plus(self.tasks[task_id].size)
        assert total.fits_in(self.capacity[start.worker])
        assert len(on_worker) <= 6

    @stateful.invariant()
    def nothing_is_lost(self) -> None:
        """Check that each task either waits or runs."""
        known = set(self.planner.waiting.bucket_of)
        known |= set(self.planner.unschedulable.tasks)
        assert known.isdisjoint(self.running)
        assert known | set(self.running) == set(self.tasks)
        assert set(self.planner.fleet.worker_of) == set(self.running)

    @stateful.invariant()
    def bookkeeping_agrees(self) -> None:
        """Check allocations against capacity and the use of teams."""
        used: dict[str, resources.Resources] = {}
        for state in self.planner.fleet.workers.values():
            total = state.free
            for allocation in state.allocations.values():
                total = total.plus(allocation.size)
                if not allocation.task.service:
                    team = allocation.task.team
                    previous = used.get(team, resources.ZERO)
                    used[team] = previous.plus(allocation.task.size)
            assert total.fits_in(state.view.capacity)
            assert state.view.capacity.fits_in(total)
        for team, used_by_team in self.planner.quotas.used.items():
            expected = used.get(team, resources.ZERO)
            assert abs(used_by_team.processors - expected.processors) < 1e-6


PlannerMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=60, derandomize=True, deadline=None
)
TestPlannerProperties = PlannerMachine.TestCase


class TestBaselines:
    """Each named policy starts as many tasks as a worker has slots."""

    def test_every_named_policy_fills_a_worker(self) -> None:
        for name in policy.NAMES:
            planner = planners.Planner(
                policy=policy.named(name, weights.BALANCED)
            )
            planner.put_worker(
                views.WorkerView("w0", "r", "z1", CAPACITIES[0], 6)
            )
            for number in range(9):
                task = views.TaskView(
                    f"j/{number}",
                    "t",
                    "c",
                    "team",
                    customers.Urgency.NORMAL,
                    False,
                    SIZES[0],
                )
                planner.put_waiting(task)
            assert len(planner.plan(0.0, 0.0).starts) == 6
