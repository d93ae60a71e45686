"""Tests of orders to change a pace whose answers are lost."""

import pytest
import trio
import trio.testing

from turmerichall.dispatch import run_state
from turmerichall.dispatch import straggler_detector
from turmerichall.dispatch import tail_latency_controller
from turmerichall.dispatch import worker_client
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_interference
from turmerichall.queues import change as changes
from turmerichall.queues import state as states

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

POLLS = 40
# Time after which the worker carries out an order that it did not answer.
LATE_SECONDS = 11.0
TASK = changes.TaskName("f", 0, 0, 0)


class _LossyWorker(fakes.FakeWorker):
    """A worker that carries out paces, and whose answers may be lost.

    Attributes:
        pace_percent: Pace that was last carried out.
        nursery: Where unanswered orders wait to be carried out late; None to
            carry them out at once.
        received: Number of orders of a pace that arrived.
        late_seconds: Time after which they are carried out.
    """

    def __init__(self, nursery: trio.Nursery | None = None) -> None:
        super().__init__("w1", test_interference.CPU)
        self.pace_percent = 100
        self.nursery = nursery
        self.received = 0
        self.late_seconds = LATE_SECONDS

    async def pace(
        self, order: worker_client.Order, percent: int, token: int
    ) -> worker_client.OrderResult:
        """See `WorkerClient`."""
        self.received += 1
        await trio.sleep(0.01)
        if not self.drop_answers:
            self.pace_percent = percent
            return worker_client.OrderResult(fakes.Verdict.DONE)
        if self.nursery is None:
            self.pace_percent = percent
        else:
            self.nursery.start_soon(self._carry_out_late, percent)
        return worker_client.OrderResult(fakes.Verdict.UNANSWERED)

    async def _carry_out_late(self, percent: int) -> None:
        await trio.sleep(self.late_seconds)
        self.pace_percent = percent


class _Polls:
    """A worker with a long-running and a best-effort run, and its polls.

    The best-effort run makes progress unless its pace is 0.

    Attributes:
        worker: The worker.
        reasons: Why runs were found to be stragglers.
    """

    def __init__(self, client: _LossyWorker):
        self.client = client
        self.worker = worker_state.Worker(client.record, client, 0.0)
        self.long_running = changes.TaskName("desk", 0, 0, 0)
        run = test_interference.SimulatedCluster.run
        run(self.worker, test_interference.LONG_RUNNING_STEP, self.long_running)
        run(self.worker, test_interference.best_effort_step("sort"), TASK)
        self.best_effort_run.progress_percent = 0
        self.reasons: list[str] = []
        self._owner = test_interference.FakeOwner()
        self._controller = tail_latency_controller.TailLatencyController(
            self._owner, self.worker
        )
        self._detector = straggler_detector.StragglerDetector(
            states.QueueState(), {"w1": self.worker}, fakes.RecordingLog()
        )
        self._progress = 0.0

    @property
    def best_effort_run(self) -> run_state.Run:
        """The best-effort run."""
        return self.worker.runs[TASK]

    async def poll(self, tail_ms: float, count: int) -> None:
        """Poll the worker some times, with a tail latency of its service."""
        for _ in range(count):
            now = trio.current_time()
            self._progress += self.client.pace_percent / 100
            self.best_effort_run.record_progress(int(self._progress), now)
            self.worker.runs[self.long_running].load = round(tail_ms)
            await self._controller.adjust()
            self.reasons += [
                reason
                for _, reason in self._detector.find_stragglers(
                    self.worker, now
                )
            ]
            await trio.sleep(test_interference.POLL_SECONDS)

    async def throttle_without_answers(self) -> None:
        """Let an order of a pace of 0 be sent, and lose its answer."""
        await self.poll(test_interference.IDLE_MS, 5)
        assert self.client.pace_percent == 100
        before = self.client.received
        self.client.drop_answers = True
        with trio.fail_after(60.0):
            while self.client.received == before:
                await self.poll(2 * test_interference.TARGET_MS, 1)
        self.client.drop_answers = False


class TestLostAnswer:

    # The leader went on to believe in the full pace, and so never raised it
    # again: the task ran at the lower pace until it ended.
    async def test_a_task_gets_its_full_pace_back(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        client = _LossyWorker()
        polls = _Polls(client)
        await polls.throttle_without_answers()
        assert client.pace_percent < 100
        await polls.poll(test_interference.IDLE_MS, POLLS)
        assert client.pace_percent == 100

    # A run that was held back in the belief that it had its full pace counted
    # as a failure of its worker.
    async def test_a_throttled_run_is_no_straggler(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        polls = _Polls(_LossyWorker())
        await polls.throttle_without_answers()
        await polls.poll(test_interference.IDLE_MS, POLLS)
        assert not polls.reasons
        assert not polls.worker.breaker.outcomes

    async def test_an_unknown_pace_is_neither_full_nor_low(self) -> None:
        polls = _Polls(_LossyWorker())
        run = polls.best_effort_run
        run.record_progress(10, 1.0)
        run.pace_percent = run_state.UNKNOWN_PACE
        run.record_progress(10, 9.0)
        progress = run.progress(9.0)
        assert progress.full_pace_seconds == 0.0
        assert progress.throttled_seconds == 0.0

    @pytest.mark.parametrize(
        "verdict", [fakes.Verdict.UNSENT, fakes.Verdict.UNWELL]
    )
    async def test_an_order_that_did_nothing_leaves_the_pace_known(
        self,
        verdict: fakes.Verdict,
        mocked_clocks: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        client = _LossyWorker()
        polls = _Polls(client)

        async def refuse(*_: object) -> worker_client.OrderResult:
            client.received += 1
            return worker_client.OrderResult(verdict)

        monkeypatch.setattr(client, "pace", refuse)
        await polls.throttle_without_answers()
        assert polls.best_effort_run.pace_percent == 100


class TestLateOrder:

    # A worker carries out an order that it did not answer up to 12 s later,
    # also after newer ones; nothing undid that.
    async def test_a_task_gets_its_full_pace_back(
        self, nursery: trio.Nursery, mocked_clocks: trio.testing.MockClock
    ) -> None:
        client = _LossyWorker(nursery)
        polls = _Polls(client)
        await polls.throttle_without_answers()
        sent_at = trio.current_time()
        await polls.poll(test_interference.IDLE_MS, 20)
        assert trio.current_time() < sent_at + LATE_SECONDS - 1.0
        assert client.pace_percent == 100
        await polls.poll(test_interference.IDLE_MS, POLLS)
        assert client.pace_percent == 100
        assert polls.best_effort_run.pace_percent == 100

    # The run stands still until its pace is told again.
    @pytest.mark.parametrize("late_seconds", [8.5, 9.0, 9.5, 10.0, 10.5, 11.0])
    async def test_a_run_that_it_holds_back_is_no_straggler(
        self,
        late_seconds: float,
        nursery: trio.Nursery,
        mocked_clocks: trio.testing.MockClock,
    ) -> None:
        client = _LossyWorker(nursery)
        client.late_seconds = late_seconds
        polls = _Polls(client)
        await polls.throttle_without_answers()
        await polls.poll(test_interference.IDLE_MS, 20 + POLLS)
        assert not polls.reasons
        assert not polls.worker.breaker.outcomes

    async def test_the_pace_is_not_repeated_for_ever(
        self, nursery: trio.Nursery, mocked_clocks: trio.testing.MockClock
    ) -> None:
        client = _LossyWorker(nursery)
        polls = _Polls(client)
        await polls.throttle_without_answers()
        await polls.poll(test_interference.IDLE_MS, 2 * POLLS)
        before = client.received
        await polls.poll(test_interference.IDLE_MS, POLLS)
        assert client.received == before
