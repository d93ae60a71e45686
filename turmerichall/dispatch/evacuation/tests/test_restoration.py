"""Replay of the return of a zone with much work waiting."""

from turmerichall.dispatch import worker_state
from turmerichall.dispatch import run_state
from turmerichall.dispatch.evacuation import zone_states
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands
from turmerichall.queues import state as states

STEP = demands.StepDemand(1, cpu=1000, memory_mb=10)
CPU = 8000


def _replay(cold_seconds: float, seconds: float) -> list[int]:
    """Start as much as a worker of a restored zone takes, every 0.25 s.

    Returns:
        Number of runs after each round.
    """
    state = states.QueueState()
    state.restored["z"] = 0
    fake = fakes.FakeWorker("w1", CPU)
    worker = worker_state.Worker(fake.record, fake, 0.0)
    worker.cold_until = cold_seconds
    zones = zone_states.ZoneStates(state)
    counts = []
    for tick in range(int(seconds * 4) + 1):
        now = tick / 4
        zones.begin_round([worker], now, int(now * 1000))
        while worker.has_room_for(STEP):
            task = changes.TaskName("a" * 16, 0, 0, len(worker.runs))
            run = run_state.Run(task, 1, STEP, "q")
            run.confirmed_at = max(now, 0.001)
            worker.add(run)
        counts.append(len(worker.runs))
    return counts


class TestReturn:

    # All waiting work started at once on workers that had become cold.
    def test_starts_are_spread(self) -> None:
        counts = _replay(cold_seconds=0.0, seconds=3.0)
        assert counts[0] == 2
        assert counts[4] == 4
        assert counts[-1] == 8

    def test_a_cold_worker_is_not_filled(self) -> None:
        counts = _replay(cold_seconds=5.0, seconds=6.0)
        assert counts[16] == 4
        assert counts[-1] == 8

    # Work that stayed in the zone took the room of the first starts.
    def test_runs_of_before_do_not_count(self) -> None:
        state = states.QueueState()
        state.restored["z"] = 10_000
        fake = fakes.FakeWorker("w1", CPU)
        worker = worker_state.Worker(fake.record, fake, 0.0)
        for number in range(4):
            task = changes.TaskName("b" * 16, 0, 0, number)
            run = run_state.Run(task, 1, STEP, "q")
            run.confirmed_at = 5.0
            worker.add(run)
        zones = zone_states.ZoneStates(state)
        zones.begin_round([worker], 10.0, 10_000)
        assert worker.start_budget == 2000
