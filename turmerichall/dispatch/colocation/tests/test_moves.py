"""Replay of a best-effort task that is throttled at each peak of load."""

import trio
import trio.testing

from turmerichall.dispatch import run_state
from turmerichall.dispatch import straggler_detector
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.colocation.tests import replays
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands
from turmerichall.queues import state as states
from turmerichall.telemetry import logs

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

WORK_SECONDS = 6.0
MOVE_SECONDS = 0.8
# Time after which a replay is given up.
MAX_SECONDS = 60.0
TASK = changes.TaskName("f", 0, 0, 0)
STEP = demands.StepDemand(
    1, cpu=3200, fills=True, checkpoints=True, estimate_ms=6000
)


async def play(
    colocation: str, low_seconds: float, checkpoint_percent: int
) -> tuple[float, int]:
    """Return the time that a task takes, and the number of its moves.

    Args:
        colocation: The policy.
        low_seconds: Time in each 3 s for which all workers throttle it.
        checkpoint_percent: Progress between two checkpoints.
    """
    client = fakes.FakeWorker("w1")
    worker = worker_state.Worker(client.record, client, 0.0)
    detector = straggler_detector.StragglerDetector(
        states.QueueState(),
        {"w1": worker},
        logs.Log("replay"),
        replays.Owner(colocation).colocation,
    )
    began_at = trio.current_time()
    done = 0.0
    moves = 0
    while done < 100.0 and trio.current_time() - began_at < MAX_SECONDS:
        # A move stops the run, which resumes from its checkpoint.
        run = run_state.Run(TASK, moves + 1, STEP, "q")
        run.phase = run_state.Phase.RUNNING
        worker.add(run)
        run.confirmed_at = trio.current_time() + 0.001
        while done < 100.0:
            now = trio.current_time()
            is_low = (now - began_at) % 3.0 >= 3.0 - low_seconds
            run.pace_percent = 5 if is_low else 100
            done += 10.0 / WORK_SECONDS * run.pace_percent / 100
            run.record_progress(int(done), now)
            saved = int(done) // checkpoint_percent * checkpoint_percent
            run.record_checkpoint(str(saved) if saved else "")
            await trio.sleep(0.1)
            if detector.find_stragglers(worker, now):
                moves += 1
                done = float(saved)
                await trio.sleep(MOVE_SECONDS)
                break
        worker.remove(run)
    return trio.current_time() - began_at, moves


class TestThrottledRuns:

    async def test_do_not_go_from_worker_to_worker(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        # Without limits, each peak moves the run and discards its progress.
        plain_seconds, plain_moves = await play("plain", 1.3, 25)
        seconds, moves = await play("careful", 1.3, 25)
        print("plain", plain_seconds, plain_moves, "careful", seconds, moves)
        assert moves <= 2 < plain_moves
        assert seconds < 0.9 * plain_seconds

    async def test_that_discard_little_are_moved(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        _, moves = await play("careful", 2.0, 1)
        assert 0 < moves <= 2
