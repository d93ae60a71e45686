"""Tests of a leader's work, with fake workers and a fake replica."""

from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import session as sessions
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

JOB = "5c0e7a21d94b36f8"


def demand(
    count: int = 1, schedule: demands.Schedule | None = None, **step: object
) -> demands.JobDemand:
    asked = {"cpu": 1000, "memory_mb": 100, "estimate_ms": 1000, **step}
    first = demands.StepDemand(count, **asked)  # type: ignore[arg-type]
    return demands.JobDemand("text", (first,), schedule)


async def run_script(
    cluster: fakes.FakeCluster, script: Callable[[], Awaitable[None]]
) -> None:
    """Run the leader API until a script is done."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(cluster.leader_api.run)
        await cluster.wait_until(
            lambda: cluster.leader_api.leadership is not None
        )
        await script()
        nursery.cancel_scope.cancel()


async def submit(cluster: fakes.FakeCluster, asked: demands.JobDemand) -> None:
    await cluster.submit(JOB, asked)


def commit_start(cluster: fakes.FakeCluster) -> None:
    """Commit a job and a start that was never sent to the worker."""
    task = changes.TaskName(JOB, 0, 0, 0)
    accepted = changes.AcceptJob(JOB, fakes.QUEUE.key, demand(1), 0)
    cluster.replica.apply(accepted)
    started = changes.StartedRun(task, 1, "w1")
    cluster.replica.apply(changes.StartRuns((started,)))


class TestNormalOperation:

    async def test_a_job_runs_and_is_completed(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))

        async def script() -> None:
            await submit(cluster, demand(3))
            await cluster.wait_until(
                lambda: cluster.job_state(JOB) == "completed", 3.0
            )

        await run_script(cluster, script)
        assert len(cluster.starts()) == 3

    async def test_a_step_waits_for_its_dependencies(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        cluster = fakes.FakeCluster(worker)
        first = demands.StepDemand(2, cpu=1000)
        then = demands.StepDemand(1, cpu=1000, after=(0,))

        async def script() -> None:
            await submit(cluster, demands.JobDemand("text", (first, then)))
            await cluster.wait_until(
                lambda: cluster.job_state(JOB) == "completed"
            )

        await run_script(cluster, script)
        starts = worker.history
        assert [row[0].step for row in starts] == [0, 0, 1]
        assert starts[2][2] - starts[0][2] > worker.run_seconds

    async def test_a_resubmitted_job_runs_once(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))

        async def script() -> None:
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(submit, cluster, demand(2))
            await cluster.wait_until(
                lambda: cluster.job_state(JOB) == "completed"
            )
            await submit(cluster, demand(2))

        await run_script(cluster, script)
        assert len(cluster.starts()) == 2

    async def test_a_worker_is_never_overcommitted(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1", cpu=2500)
        cluster = fakes.FakeCluster(worker)
        most = 0

        async def script() -> None:
            nonlocal most
            await submit(cluster, demand(6))
            while cluster.job_state(JOB) != "completed":
                most = max(most, len(worker.runs))
                await trio.sleep(0.01)

        await run_script(cluster, script)
        assert most == 2

    async def test_occurrences_start_when_they_are_due(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        cluster = fakes.FakeCluster(worker)
        first_at = trio.current_time() + 2.0
        schedule = demands.Schedule(int(first_at * 1000), 1500, 3)

        async def script() -> None:
            await submit(cluster, demand(1, schedule))
            await cluster.wait_until(
                lambda: cluster.job_state(JOB) == "completed"
            )

        await run_script(cluster, script)
        for occurrence, (task, _, at) in enumerate(worker.history):
            assert task.occurrence == occurrence
            assert -0.01 < at - (first_at + 1.5 * occurrence) < 0.25

    async def test_a_gang_starts_together_or_not_at_all(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1", cpu=3000)
        cluster = fakes.FakeCluster(worker)

        async def script() -> None:
            await submit(cluster, demand(4, gang=True))
            await trio.sleep(2.0)
            assert not cluster.starts()
            other = fakes.FakeWorker("w2")
            cluster.workers[other.record.address] = other
            heartbeat = worker_client.Heartbeat(other.record, False, 1, 5000)
            assert await cluster.leader_api.heartbeat(heartbeat)
            await cluster.wait_until(
                lambda: cluster.job_state(JOB) == "completed"
            )

        await run_script(cluster, script)
        assert {row[1] for row in cluster.starts()} == {1}
        at = [row[2] for row in cluster.starts()]
        assert max(at) - min(at) < fakes.GANG_WAIT_SECONDS

    async def test_the_limit_of_tasks_per_worker_is_kept(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster(
            fakes.FakeWorker("w1"), fakes.FakeWorker("w2")
        )

        async def script() -> None:
            await submit(cluster, demand(3, max_per_worker=1))
            await trio.sleep(0.5)
            for worker in cluster.workers.values():
                assert len(worker.runs) == 1
            await cluster.wait_until(
                lambda: cluster.job_state(JOB) == "completed"
            )

        await run_script(cluster, script)


class TestUnansweredOrders:

    async def test_a_run_whose_answer_was_lost_is_not_started_twice(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        first = fakes.FakeWorker("w1")
        first.drop_answers = True
        first.run_seconds = 4.0
        cluster = fakes.FakeCluster(first)

        async def script() -> None:
            await submit(cluster, demand(1))
            second = fakes.FakeWorker("w2")
            cluster.workers[second.record.address] = second
            heartbeat = worker_client.Heartbeat(second.record, False, 1, 5000)
            assert await cluster.leader_api.heartbeat(heartbeat)
            await cluster.wait_until(
                lambda: cluster.job_state(JOB) == "completed"
            )

        await run_script(cluster, script)
        assert len(cluster.starts()) == 1

    async def test_a_late_start_is_refused_before_the_next_run(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        first = fakes.FakeWorker("w1")
        cluster = fakes.FakeCluster(first)
        sent: list[tuple[worker_client.Order, int, int]] = []

        async def lose(
            order: worker_client.Order, token: int, deadline_ms: int
        ) -> worker_client.OrderResult:
            sent.append((order, token, deadline_ms))
            await trio.sleep(0.35)
            return worker_client.OrderResult(worker_client.Verdict.UNANSWERED)

        first.start = lose  # type: ignore[method-assign]

        async def script() -> None:
            await submit(cluster, demand(1))
            await cluster.wait_until(
                lambda: any(
                    isinstance(change, changes.EndRuns)
                    for change in cluster.replica.changes
                )
            )
            for order, token, deadline_ms in sent:
                late = first.execute_start(order, token, deadline_ms)
                assert late.verdict == worker_client.Verdict.LATE

        await run_script(cluster, script)

    @pytest.mark.parametrize("rate", [0.98, 1.0, 1.02])
    async def test_tasks_of_a_silent_worker_wait_until_its_lease_expires(
        self, mocked_clocks: trio.testing.MockClock, rate: float
    ) -> None:
        first = fakes.FakeWorker("w1", rate=rate)
        first.run_seconds = 60.0
        cluster = fakes.FakeCluster(first)
        second = fakes.FakeWorker("w2")
        silent_at = 0.0

        async def script() -> None:
            nonlocal silent_at
            await submit(cluster, demand(1))
            await cluster.wait_until(lambda: bool(first.runs))
            await trio.sleep(2.0)
            first.silent = True
            silent_at = trio.current_time()
            cluster.workers[second.record.address] = second
            heartbeat = worker_client.Heartbeat(second.record, False, 1, 5000)
            assert await cluster.leader_api.heartbeat(heartbeat)
            await cluster.wait_until(lambda: bool(second.history))
            assert first.clock_ms() >= first.deadline_ms

        await run_script(cluster, script)
        waited = second.history[0][2] - silent_at
        # One poll may still renew the lease after the silence began, and the
        # expiry is noticed at the next poll.
        last_renewal = sessions.LONG_WAIT_MS / 1000
        lasts = (
            leases.LEASE_SECONDS * leases.MAX_DRIFT
            + leases.EXPIRY_MARGIN_SECONDS
        )
        assert waited < last_renewal + lasts + 1.0


class TestWorkers:

    async def test_a_replaced_worker_loses_its_runs_at_once(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        first = fakes.FakeWorker("w1")
        first.run_seconds = 60.0
        cluster = fakes.FakeCluster(first)

        async def script() -> None:
            await submit(cluster, demand(1))
            await cluster.wait_until(lambda: bool(first.runs))
            second = fakes.FakeWorker("w2")
            record = second.record._replace(address=first.record.address)
            cluster.workers[first.record.address] = second
            heartbeat = worker_client.Heartbeat(record, False, 1, 5000)
            assert await cluster.leader_api.heartbeat(heartbeat)
            await cluster.wait_until(
                lambda: cluster.job_state(JOB) == "completed", 3.0
            )

        await run_script(cluster, script)

    async def test_no_run_starts_on_a_draining_worker(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        first = fakes.FakeWorker("w1")
        cluster = fakes.FakeCluster(first)

        async def script() -> None:
            heartbeat = worker_client.Heartbeat(first.record, True, 2, 5000)
            assert await cluster.leader_api.heartbeat(heartbeat)
            await submit(cluster, demand(1))
            await trio.sleep(2.0)
            assert not cluster.starts()

        await run_script(cluster, script)
        assert cluster.queue_state.draining == {"w1"}

    async def test_a_heartbeat_is_not_acknowledged_before_it_is_durable(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        first = fakes.FakeWorker("w1")
        cluster = fakes.FakeCluster(first)

        async def script() -> None:
            cluster.replica.committing = False
            heartbeat = worker_client.Heartbeat(first.record, True, 2, 5000)
            assert not await cluster.leader_api.heartbeat(heartbeat)
            again = heartbeat._replace(sequence=3)
            assert not await cluster.leader_api.heartbeat(again)
            assert not cluster.queue_state.draining

        await run_script(cluster, script)

    async def test_a_failing_worker_gets_fewer_and_fewer_tasks(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        bad = fakes.FakeWorker("w1", cpu=64000)
        bad.run_seconds = 0.05
        bad.outcome = lambda _: changes.Ending.FAILED
        good = fakes.FakeWorker("w2", cpu=8000)
        cluster = fakes.FakeCluster(bad, good)

        async def script() -> None:
            for number in range(12):
                job = f"{number:016x}"
                asked = demand(2)
                assert (
                    await cluster.leader_api.submit(fakes.QUEUE, job, asked)
                    is None
                )
                await trio.sleep(0.5)
            await trio.sleep(6.0)

        await run_script(cluster, script)
        states = [job.state.value for job in cluster.queue_state.jobs.values()]
        assert states.count("completed") >= 9
        assert len(bad.history) < 14


class TestUrgentTasksOnFullWorkers:
    """Long-running jobs fill the workers before an urgent job comes."""

    LASTING = "00000000000000aa"

    async def fill(
        self, cluster: fakes.FakeCluster, max_unavailable: int = -1
    ) -> None:
        """Run long-running tasks that ask for all processors."""
        for worker in cluster.workers.values():
            worker.lasting_jobs.add(self.LASTING)
        step = demand(
            16, cpu=1000, lasting=True, max_unavailable=max_unavailable
        )
        queue = fakes.QUEUE
        assert (
            await cluster.leader_api.submit(queue, self.LASTING, step) is None
        )
        await cluster.wait_until(lambda: len(cluster.starts()) == 16)
        await trio.sleep(4.0)

    async def test_an_urgent_job_is_on_time(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster(
            fakes.FakeWorker("w1"), fakes.FakeWorker("w2")
        )

        async def script() -> None:
            await self.fill(cluster)
            await submit(cluster, demand(4))
            await cluster.wait_until(
                lambda: cluster.job_state(JOB) == "completed", 2.0
            )
            assert len(cluster.starts()) <= 16 + 4 + 4
            # All long-running tasks are back soon after.
            await cluster.wait_until(
                lambda: sum(len(w.runs) for w in cluster.workers.values())
                == 16,
                4.0,
            )

        await run_script(cluster, script)

    async def test_a_limit_of_absences_is_kept(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster(
            fakes.FakeWorker("w1"), fakes.FakeWorker("w2")
        )

        async def script() -> None:
            await self.fill(cluster, max_unavailable=0)
            await submit(cluster, demand(4))
            await trio.sleep(5.0)
            assert len(cluster.starts()) == 16

        await run_script(cluster, script)

    async def test_a_stream_of_urgent_jobs_keeps_no_task_away_for_long(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster(
            fakes.FakeWorker("w1"), fakes.FakeWorker("w2")
        )
        last_seen: dict[changes.TaskName, float] = {}
        longest = 0.0

        async def script() -> None:
            nonlocal longest
            await self.fill(cluster)
            began_at = trio.current_time()
            for number in range(240):
                if number % 6 == 0:
                    job = f"{number:016x}"
                    asked = demand(4)
                    await cluster.leader_api.submit(fakes.QUEUE, job, asked)
                await trio.sleep(0.1)
                now = trio.current_time()
                running = {
                    task for w in cluster.workers.values() for task in w.runs
                }
                for index in range(16):
                    task = changes.TaskName(self.LASTING, 0, 0, index)
                    if task in running:
                        last_seen[task] = now
                    away = now - last_seen.get(task, began_at)
                    longest = max(longest, away)

        await run_script(cluster, script)
        # The platform reports a long-running task as lost after 9 s.
        assert longest < 6.0


class TestCancel:

    async def test_runs_are_stopped_and_no_more_start(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1", cpu=2000)
        worker.run_seconds = 60.0
        cluster = fakes.FakeCluster(worker)

        async def script() -> None:
            await submit(cluster, demand(4))
            await cluster.wait_until(lambda: len(worker.runs) == 2)
            assert await cluster.leader_api.cancel(JOB) is None
            await cluster.wait_until(lambda: not worker.runs, 1.0)
            await trio.sleep(2.0)

        await run_script(cluster, script)
        assert len(worker.history) == 2
        assert cluster.job_state(JOB) == "canceled"

    async def test_a_start_that_arrives_after_the_cancellation_is_stopped(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        worker.run_seconds = 60.0
        cluster = fakes.FakeCluster(worker)

        async def script() -> None:
            await submit(cluster, demand(1))
            await cluster.wait_until(lambda: bool(worker.runs))
            assert await cluster.leader_api.cancel(JOB) is None
            await cluster.wait_until(lambda: not worker.runs)
            task = changes.TaskName(JOB, 0, 0, 0)
            late = worker_client.Order(task, 7)
            worker.execute_start(late, 1, worker.clock_ms() + 9000)
            await cluster.wait_until(lambda: not worker.runs, 3.0)

        await run_script(cluster, script)


class TestTerms:

    async def test_a_new_term_continues_running_runs(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        worker.run_seconds = 3.0
        cluster = fakes.FakeCluster(worker)

        async def script() -> None:
            await submit(cluster, demand(2))
            await cluster.wait_until(lambda: len(worker.runs) == 2)
            cluster.replica.lead(0)
            await trio.sleep(1.0)
            cluster.replica.lead(5)
            await cluster.wait_until(
                lambda: cluster.job_state(JOB) == "completed"
            )

        await run_script(cluster, script)
        assert len(worker.history) == 2
        assert worker.token == 5

    async def test_a_call_that_outlasts_the_term_does_no_harm(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        worker.run_seconds = 60.0
        cluster = fakes.FakeCluster(worker)
        refused: list[object] = []

        async def cancel() -> None:
            refused.append(await cluster.leader_api.cancel(JOB))

        async def register() -> None:
            other = fakes.FakeWorker("w2")
            cluster.workers[other.record.address] = other
            heartbeat = worker_client.Heartbeat(other.record, False, 1, 5000)
            refused.append(await cluster.leader_api.heartbeat(heartbeat))

        async def script() -> None:
            await submit(cluster, demand(2))
            await cluster.wait_until(lambda: len(worker.runs) == 2)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cancel)
                nursery.start_soon(register)
                await trio.sleep(0.001)
                cluster.replica.lead(0)
            assert len(refused) == 2
            cluster.replica.lead(5)
            await cluster.wait_until(lambda: not worker.runs)
            await cluster.wait_until(
                lambda: "w2"
                in cluster.leader_api.leadership.workers  # type: ignore
            )

        await run_script(cluster, script)

    async def test_a_committed_start_that_was_not_sent_is_sent(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        cluster = fakes.FakeCluster(worker)
        commit_start(cluster)

        async def script() -> None:
            await cluster.wait_until(
                lambda: cluster.job_state(JOB) == "completed"
            )

        await run_script(cluster, script)
        assert [row[1] for row in worker.history] == [1]

    async def test_a_canceled_start_that_was_not_sent_is_never_sent(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        cluster = fakes.FakeCluster(worker)
        commit_start(cluster)
        cluster.replica.apply(changes.CancelJob(JOB))

        async def script() -> None:
            await trio.sleep(4.0)

        await run_script(cluster, script)
        assert not worker.history

    async def test_a_fenced_leader_sends_no_more_orders(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        cluster = fakes.FakeCluster(worker)

        async def script() -> None:
            worker.token = 9
            await cluster.wait_until(
                lambda: cluster.leader_api.leadership is None
            )
            await trio.sleep(3.0)
            assert cluster.leader_api.leadership is None

        await run_script(cluster, script)

    async def test_leases_are_not_renewed_without_a_quorum(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        worker.run_seconds = 60.0
        cluster = fakes.FakeCluster(worker)

        async def script() -> None:
            await submit(cluster, demand(1))
            await cluster.wait_until(lambda: bool(worker.runs))
            leadership = cluster.leader_api.leadership
            assert leadership is not None
            leadership.freshness.quorum = _NoQuorum()
            await trio.sleep(2.0)
            before = worker.deadline_ms
            await trio.sleep(3.0)
            assert worker.deadline_ms == before

        await run_script(cluster, script)

    async def test_a_new_term_sends_paces_again(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        worker.run_seconds = 9.0
        cluster = fakes.FakeCluster(worker)

        async def script() -> None:
            await submit(cluster, demand(1, fills=True, checkpoints=True))
            await cluster.wait_until(lambda: bool(worker.runs))
            await trio.sleep(1.0)
            cluster.replica.lead(0)
            await trio.sleep(0.5)
            for run in worker.runs.values():
                run.pace = 0
            cluster.replica.lead(3)
            await cluster.wait_until(
                lambda: all(run.pace == 100 for run in worker.runs.values()),
                2.0,
            )

        await run_script(cluster, script)


class _NoQuorum:

    def seconds_since_quorum(self) -> float:
        return 99.0


class TestRunEnds:

    async def test_an_end_is_acknowledged_only_once_it_is_durable(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        cluster = fakes.FakeCluster(worker)

        async def script() -> None:
            await submit(cluster, demand(1))
            await cluster.wait_until(lambda: bool(worker.runs))
            cluster.replica.committing = False
            await trio.sleep(5.0)
            assert worker.acknowledged == 0
            cluster.replica.committing = True
            cluster.replica.lead(2)
            await cluster.wait_until(lambda: worker.acknowledged == 1)
            assert cluster.job_state(JOB) == "completed"

        await run_script(cluster, script)
        assert len(worker.history) == 1

    async def test_a_long_running_task_is_restarted_however_it_ends(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        worker.run_seconds = 0.4
        endings = iter([changes.Ending.FAILED, changes.Ending.DONE] * 20)
        worker.outcome = lambda _: next(endings)
        cluster = fakes.FakeCluster(worker)

        async def script() -> None:
            await submit(cluster, demand(1, lasting=True))
            await cluster.wait_until(lambda: len(worker.history) > 4, 12.0)

        await run_script(cluster, script)
        assert cluster.job_state(JOB) == "active"


class TestInterference:

    async def test_a_job_that_interferes_on_every_worker_is_not_starved(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        worker.run_seconds = 60.0
        cluster = fakes.FakeCluster(worker)
        cluster.replica.apply(
            changes.NoteInterference({"desk": {"sort": 50.0}})
        )
        long_running = demand(1, lasting=True, image="desk", target_ms=10)

        async def script() -> None:
            await submit(cluster, long_running)
            await cluster.wait_until(lambda: bool(worker.runs))
            best_effort = demand(3, fills=True, image="sort", checkpoints=True)
            queue = fakes.QUEUE
            assert (
                await cluster.leader_api.submit(queue, "a7", best_effort)
                is None
            )
            await cluster.wait_until(lambda: len(worker.history) == 2, 2.5)
            await trio.sleep(3.0)

        await run_script(cluster, script)
        started = [row[0].job for row in worker.history]
        assert started.count("a7") == 1
