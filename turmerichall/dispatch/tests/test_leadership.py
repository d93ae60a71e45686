"""Tests of a leader's work, with stand-ins of workers and of the log."""

from collections.abc import Awaitable, Callable

import pytest
import trio

from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import session as sessions
from turmerichall.dispatch import worker_port
from turmerichall.dispatch.tests import standins
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

pytestmark = pytest.mark.usefixtures("mocked_clocks")

JOB = "5c0e7a21d94b36f8"


def demand(
    count: int = 1, schedule: demands.Schedule | None = None, **step: object
) -> demands.JobDemand:
    asked = {"cpu": 1000, "memory_mb": 100, "estimate_ms": 1000, **step}
    first = demands.StepDemand(count, **asked)  # type: ignore[arg-type]
    return demands.JobDemand("text", (first,), schedule)


async def play(
    floor: standins.Floor, script: Callable[[], Awaitable[None]]
) -> None:
    """Runs the leader API while a script is carried out."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(floor.leader_api.run)
        await floor.until(lambda: floor.leader_api.leadership is not None)
        await script()
        nursery.cancel_scope.cancel()


async def submit(floor: standins.Floor, asked: demands.JobDemand) -> None:
    assert await floor.leader_api.submit(standins.QUEUE, JOB, asked) is None


def commit_start(floor: standins.Floor) -> None:
    """Commits a job and its start that was never ordered."""
    task = changes.TaskName(JOB, 0, 0, 0)
    accepted = changes.AcceptJob(JOB, standins.QUEUE.key, demand(1), 0)
    floor.replica.apply(accepted)
    started = changes.Started(task, 1, "w1")
    floor.replica.apply(changes.StartRuns((started,)))


class TestCalmDay:

    async def test_a_job_runs_and_is_completed(self) -> None:
        floor = standins.Floor(standins.StandinWorker("w1"))

        async def script() -> None:
            await submit(floor, demand(3))
            await floor.until(lambda: floor.state(JOB) == "completed", 3.0)

        await play(floor, script)
        assert len(floor.starts()) == 3

    async def test_a_step_waits_for_those_before(self) -> None:
        worker = standins.StandinWorker("w1")
        floor = standins.Floor(worker)
        first = demands.StepDemand(2, cpu=1000)
        then = demands.StepDemand(1, cpu=1000, after=(0,))

        async def script() -> None:
            await submit(floor, demands.JobDemand("text", (first, then)))
            await floor.until(lambda: floor.state(JOB) == "completed")

        await play(floor, script)
        starts = worker.history
        assert [row[0].step for row in starts] == [0, 0, 1]
        assert starts[2][2] - starts[0][2] > worker.run_seconds

    async def test_a_resend_runs_nothing_twice(self) -> None:
        floor = standins.Floor(standins.StandinWorker("w1"))

        async def script() -> None:
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(submit, floor, demand(2))
            await floor.until(lambda: floor.state(JOB) == "completed")
            await submit(floor, demand(2))

        await play(floor, script)
        assert len(floor.starts()) == 2

    async def test_never_asks_for_more_than_a_worker_holds(self) -> None:
        worker = standins.StandinWorker("w1", cpu=2500)
        floor = standins.Floor(worker)
        most = 0

        async def script() -> None:
            nonlocal most
            await submit(floor, demand(6))
            while floor.state(JOB) != "completed":
                most = max(most, len(worker.runs))
                await trio.sleep(0.01)

        await play(floor, script)
        assert most == 2

    async def test_occurrences_begin_when_they_are_due(self) -> None:
        worker = standins.StandinWorker("w1")
        floor = standins.Floor(worker)
        first_at = trio.current_time() + 2.0
        schedule = demands.Schedule(int(first_at * 1000), 1500, 3)

        async def script() -> None:
            await submit(floor, demand(1, schedule))
            await floor.until(lambda: floor.state(JOB) == "completed")

        await play(floor, script)
        for occurrence, (task, _, at) in enumerate(worker.history):
            assert task.occurrence == occurrence
            assert -0.01 < at - (first_at + 1.5 * occurrence) < 0.25

    async def test_a_gang_starts_together_or_not_at_all(self) -> None:
        worker = standins.StandinWorker("w1", cpu=3000)
        floor = standins.Floor(worker)

        async def script() -> None:
            await submit(floor, demand(4, gang=True))
            await trio.sleep(2.0)
            assert not floor.starts()
            other = standins.StandinWorker("w2")
            floor.workers[other.record.address] = other
            beat = worker_port.Heartbeat(other.record, False, 1, 5000)
            assert await floor.leader_api.heartbeat(beat)
            await floor.until(lambda: floor.state(JOB) == "completed")

        await play(floor, script)
        assert {row[1] for row in floor.starts()} == {1}
        at = [row[2] for row in floor.starts()]
        assert max(at) - min(at) < standins.GANG_WAIT_SECONDS

    async def test_no_more_tasks_on_a_worker_than_the_step_allows(
        self,
    ) -> None:
        floor = standins.Floor(
            standins.StandinWorker("w1"), standins.StandinWorker("w2")
        )

        async def script() -> None:
            await submit(floor, demand(3, max_per_worker=1))
            await trio.sleep(0.5)
            for worker in floor.workers.values():
                assert len(worker.runs) == 1
            await floor.until(lambda: floor.state(JOB) == "completed")

        await play(floor, script)


class TestUnansweredOrders:

    async def test_a_lost_answer_starts_nothing_twice(self) -> None:
        first = standins.StandinWorker("w1")
        first.lost_answers = True
        first.run_seconds = 4.0
        floor = standins.Floor(first)

        async def script() -> None:
            await submit(floor, demand(1))
            second = standins.StandinWorker("w2")
            floor.workers[second.record.address] = second
            beat = worker_port.Heartbeat(second.record, False, 1, 5000)
            assert await floor.leader_api.heartbeat(beat)
            await floor.until(lambda: floor.state(JOB) == "completed")

        await play(floor, script)
        assert len(floor.starts()) == 1

    async def test_a_late_order_is_refused_before_another_start(self) -> None:
        first = standins.StandinWorker("w1")
        floor = standins.Floor(first)
        sent: list[tuple[worker_port.Order, int, int]] = []

        async def lose(
            order: worker_port.Order, token: int, deadline_ms: int
        ) -> worker_port.OrderResult:
            sent.append((order, token, deadline_ms))
            await trio.sleep(0.35)
            return worker_port.OrderResult(worker_port.Verdict.UNANSWERED)

        first.start = lose  # type: ignore[method-assign]

        async def script() -> None:
            await submit(floor, demand(1))
            await floor.until(
                lambda: any(
                    isinstance(change, changes.EndRuns)
                    for change in floor.replica.changes
                )
            )
            for order, token, deadline_ms in sent:
                late = first.carry_out(order, token, deadline_ms)
                assert late.verdict == worker_port.Verdict.LATE

        await play(floor, script)

    @pytest.mark.parametrize("rate", [0.98, 1.0, 1.02])
    async def test_tasks_of_a_silent_worker_wait_until_its_lease_is_over(
        self, rate: float
    ) -> None:
        first = standins.StandinWorker("w1", rate=rate)
        first.run_seconds = 60.0
        floor = standins.Floor(first)
        second = standins.StandinWorker("w2")
        silent_at = 0.0

        async def script() -> None:
            nonlocal silent_at
            await submit(floor, demand(1))
            await floor.until(lambda: bool(first.runs))
            await trio.sleep(2.0)
            first.silent = True
            silent_at = trio.current_time()
            floor.workers[second.record.address] = second
            beat = worker_port.Heartbeat(second.record, False, 1, 5000)
            assert await floor.leader_api.heartbeat(beat)
            await floor.until(lambda: bool(second.history))
            assert first.clock_ms() >= first.deadline_ms

        await play(floor, script)
        waited = second.history[0][2] - silent_at
        # One look may still renew after the silence began, and the end is
        # seen with the next look.
        last_renewal = sessions.WAIT_MS / 1000
        lasts = leases.LEASE_SECONDS * leases.DRIFT + leases.END_SECONDS
        assert waited < last_renewal + lasts + 1.0


class TestWorkers:

    async def test_a_replaced_worker_loses_its_runs_at_once(self) -> None:
        first = standins.StandinWorker("w1")
        first.run_seconds = 60.0
        floor = standins.Floor(first)

        async def script() -> None:
            await submit(floor, demand(1))
            await floor.until(lambda: bool(first.runs))
            second = standins.StandinWorker("w2")
            record = second.record._replace(address=first.record.address)
            floor.workers[first.record.address] = second
            beat = worker_port.Heartbeat(record, False, 1, 5000)
            assert await floor.leader_api.heartbeat(beat)
            await floor.until(lambda: floor.state(JOB) == "completed", 3.0)

        await play(floor, script)

    async def test_nothing_starts_on_a_worker_that_drains(self) -> None:
        first = standins.StandinWorker("w1")
        floor = standins.Floor(first)

        async def script() -> None:
            beat = worker_port.Heartbeat(first.record, True, 2, 5000)
            assert await floor.leader_api.heartbeat(beat)
            await submit(floor, demand(1))
            await trio.sleep(2.0)
            assert not floor.starts()

        await play(floor, script)
        assert floor.ledger.draining == {"w1"}

    async def test_a_heartbeat_is_not_acknowledged_before_it_is_durable(
        self,
    ) -> None:
        first = standins.StandinWorker("w1")
        floor = standins.Floor(first)

        async def script() -> None:
            floor.replica.committing = False
            beat = worker_port.Heartbeat(first.record, True, 2, 5000)
            assert not await floor.leader_api.heartbeat(beat)
            again = beat._replace(sequence=3)
            assert not await floor.leader_api.heartbeat(again)
            assert not floor.ledger.draining

        await play(floor, script)

    async def test_a_failing_worker_gets_less_and_less(self) -> None:
        bad = standins.StandinWorker("w1", cpu=64000)
        bad.run_seconds = 0.05
        bad.outcome = lambda _: changes.Ending.FAILED
        good = standins.StandinWorker("w2", cpu=8000)
        floor = standins.Floor(bad, good)

        async def script() -> None:
            for number in range(12):
                job = f"{number:016x}"
                asked = demand(2)
                assert (
                    await floor.leader_api.submit(standins.QUEUE, job, asked)
                    is None
                )
                await trio.sleep(0.5)
            await trio.sleep(6.0)

        await play(floor, script)
        states = [job.state.value for job in floor.ledger.jobs.values()]
        assert states.count("completed") >= 9
        assert len(bad.history) < 14


class TestCancel:

    async def test_runs_are_stopped_and_nothing_starts(self) -> None:
        worker = standins.StandinWorker("w1", cpu=2000)
        worker.run_seconds = 60.0
        floor = standins.Floor(worker)

        async def script() -> None:
            await submit(floor, demand(4))
            await floor.until(lambda: len(worker.runs) == 2)
            assert await floor.leader_api.cancel(JOB) is None
            await floor.until(lambda: not worker.runs, 1.0)
            await trio.sleep(2.0)

        await play(floor, script)
        assert len(worker.history) == 2
        assert floor.state(JOB) == "canceled"

    async def test_a_task_that_is_carried_out_late_is_stopped(self) -> None:
        worker = standins.StandinWorker("w1")
        worker.run_seconds = 60.0
        floor = standins.Floor(worker)

        async def script() -> None:
            await submit(floor, demand(1))
            await floor.until(lambda: bool(worker.runs))
            assert await floor.leader_api.cancel(JOB) is None
            await floor.until(lambda: not worker.runs)
            task = changes.TaskName(JOB, 0, 0, 0)
            late = worker_port.Order(task, 7)
            worker.carry_out(late, 1, worker.clock_ms() + 9000)
            await floor.until(lambda: not worker.runs, 3.0)

        await play(floor, script)


class TestTerms:

    async def test_a_new_term_goes_on_with_what_runs(self) -> None:
        worker = standins.StandinWorker("w1")
        worker.run_seconds = 3.0
        floor = standins.Floor(worker)

        async def script() -> None:
            await submit(floor, demand(2))
            await floor.until(lambda: len(worker.runs) == 2)
            floor.replica.lead(0)
            await trio.sleep(1.0)
            floor.replica.lead(5)
            await floor.until(lambda: floor.state(JOB) == "completed")

        await play(floor, script)
        assert len(worker.history) == 2
        assert worker.token == 5

    async def test_a_start_that_was_committed_and_not_sent_is_sent(
        self,
    ) -> None:
        worker = standins.StandinWorker("w1")
        floor = standins.Floor(worker)
        commit_start(floor)

        async def script() -> None:
            await floor.until(lambda: floor.state(JOB) == "completed")

        await play(floor, script)
        assert [row[1] for row in worker.history] == [1]

    async def test_a_canceled_start_that_was_not_sent_is_never_sent(
        self,
    ) -> None:
        worker = standins.StandinWorker("w1")
        floor = standins.Floor(worker)
        commit_start(floor)
        floor.replica.apply(changes.CancelJob(JOB))

        async def script() -> None:
            await trio.sleep(4.0)

        await play(floor, script)
        assert not worker.history

    async def test_a_fenced_leader_orders_nothing_more(self) -> None:
        worker = standins.StandinWorker("w1")
        floor = standins.Floor(worker)

        async def script() -> None:
            worker.token = 9
            await floor.until(lambda: floor.leader_api.leadership is None)
            await trio.sleep(3.0)
            assert floor.leader_api.leadership is None

        await play(floor, script)

    async def test_leases_are_not_renewed_without_a_quorum(self) -> None:
        worker = standins.StandinWorker("w1")
        worker.run_seconds = 60.0
        floor = standins.Floor(worker)

        async def script() -> None:
            await submit(floor, demand(1))
            await floor.until(lambda: bool(worker.runs))
            leadership = floor.leader_api.leadership
            assert leadership is not None
            leadership.freshness.quorum = _NoQuorum()
            await trio.sleep(2.0)
            before = worker.deadline_ms
            await trio.sleep(3.0)
            assert worker.deadline_ms == before

        await play(floor, script)

    async def test_paces_of_an_earlier_term_are_told_anew(self) -> None:
        worker = standins.StandinWorker("w1")
        worker.run_seconds = 9.0
        floor = standins.Floor(worker)

        async def script() -> None:
            await submit(floor, demand(1, fills=True, checkpoints=True))
            await floor.until(lambda: bool(worker.runs))
            await trio.sleep(1.0)
            floor.replica.lead(0)
            await trio.sleep(0.5)
            for run in worker.runs.values():
                run.pace = 0
            floor.replica.lead(3)
            await floor.until(
                lambda: all(run.pace == 100 for run in worker.runs.values()),
                2.0,
            )

        await play(floor, script)


class _NoQuorum:

    def seconds_since_quorum(self) -> float:
        return 99.0


class TestEnds:

    async def test_an_end_is_acknowledged_only_once_it_is_durable(
        self,
    ) -> None:
        worker = standins.StandinWorker("w1")
        floor = standins.Floor(worker)

        async def script() -> None:
            await submit(floor, demand(1))
            await floor.until(lambda: bool(worker.runs))
            floor.replica.committing = False
            await trio.sleep(5.0)
            assert worker.acknowledged == 0
            floor.replica.committing = True
            floor.replica.lead(2)
            await floor.until(lambda: worker.acknowledged == 1)
            assert floor.state(JOB) == "completed"

        await play(floor, script)
        assert len(worker.history) == 1

    async def test_a_lasting_task_is_restarted_however_it_ends(self) -> None:
        worker = standins.StandinWorker("w1")
        worker.run_seconds = 0.4
        endings = iter([changes.Ending.FAILED, changes.Ending.DONE] * 20)
        worker.outcome = lambda _: next(endings)
        floor = standins.Floor(worker)

        async def script() -> None:
            await submit(floor, demand(1, lasting=True))
            await floor.until(lambda: len(worker.history) > 4, 12.0)

        await play(floor, script)
        assert floor.state(JOB) == "active"


class TestInterference:

    async def test_a_job_that_disturbs_everywhere_still_gets_on(self) -> None:
        worker = standins.StandinWorker("w1")
        worker.run_seconds = 60.0
        floor = standins.Floor(worker)
        floor.replica.apply(changes.NoteInterference({"desk": {"sort": 50.0}}))
        lasting = demand(1, lasting=True, image="desk", target_ms=10)

        async def script() -> None:
            await submit(floor, lasting)
            await floor.until(lambda: bool(worker.runs))
            filling = demand(3, fills=True, image="sort", checkpoints=True)
            queue = standins.QUEUE
            assert await floor.leader_api.submit(queue, "a7", filling) is None
            await floor.until(lambda: len(worker.history) == 2, 2.5)
            await trio.sleep(3.0)

        await play(floor, script)
        started = [row[0].job for row in worker.history]
        assert started.count("a7") == 1
