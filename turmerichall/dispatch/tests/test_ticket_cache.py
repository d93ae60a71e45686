"""Tests of queues whose policy lets only some workers run a step."""

from collections.abc import Mapping, Sequence

import pytest
import trio
import trio.testing

from turmerichall.dispatch import policy_client
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

ADVICE = configurations.Advice(50, 1, 3000)
QUEUE = fakes.QUEUE._replace(advice=ADVICE)


class FakePolicy:
    """A policy that serves one call at a time.

    Attributes:
        allowed: Ids of the workers that may run every step.
        silent: Whether calls get no answer.
        calls: Step, workers and time of each call.
    """

    def __init__(self, *allowed: str):
        self.allowed = set(allowed)
        self.silent = False
        self.calls: list[tuple[policy_client.StepName, list[str], float]] = []
        self._turn = trio.Lock()

    async def ask(
        self,
        step: policy_client.StepName,
        workers: Sequence[str],
        timeout_seconds: float,
    ) -> Mapping[str, str] | None:
        """See `PolicyClient`."""
        self.calls.append((step, list(workers), trio.current_time()))
        if self.silent:
            await trio.sleep(timeout_seconds)
            return None
        async with self._turn:
            cost = ADVICE.decision_ms + ADVICE.per_worker_ms * len(workers)
            await trio.sleep(cost / 1000)
        issued = trio.current_time()
        return {
            worker: f"{step[2]}-{worker}-{issued}"
            for worker in workers
            if worker in self.allowed
        }

    def close(self) -> None:
        """See `PolicyClient`."""


class TicketWorker(fakes.FakeWorker):
    """A worker that refuses starts without a valid ticket for itself.

    Attributes:
        validity_seconds: Time for which it accepts a ticket.
        refused: Number of starts without a valid ticket.
    """

    validity_seconds = 3.0

    def __init__(self, worker_id: str, cpu: int = 8000):
        super().__init__(worker_id, cpu)
        self.refused = 0

    async def start(
        self, order: worker_client.Order, token: int, deadline_ms: int
    ) -> worker_client.OrderResult:
        """See `WorkerClient`."""
        step, _, rest = order.ticket.partition("-")
        worker, _, issued = rest.rpartition("-")
        if (
            step != str(order.task.step)
            or worker != self.record.name
            or trio.current_time() - float(issued) > self.validity_seconds
        ):
            self.refused += 1
            verdict = worker_client.Verdict.NO_TICKET
            return worker_client.OrderResult(verdict, self.clock_ms())
        return await super().start(order, token, deadline_ms)


class PolicyCluster:
    """Workers, a policy and a leader API."""

    def __init__(self, policy: FakePolicy, count: int = 3, cpu: int = 8000):
        self.policy = policy
        self.workers = [TicketWorker(f"w{i}", cpu) for i in range(count)]
        self.fake_cluster = fakes.FakeCluster(*self.workers, policy=policy)

    async def run_job(self, seconds: float, *steps: demands.StepDemand) -> None:
        """Submit a job and wait until it is completed.

        Args:
            seconds: Time after which the test fails.
            steps: Steps of the job.
        """
        fake_cluster = self.fake_cluster
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fake_cluster.leader_api.run)
            await fake_cluster.wait_until(
                lambda: fake_cluster.leader_api.leadership is not None
            )
            asked = demands.JobDemand("", steps)
            assert (
                await fake_cluster.leader_api.submit(QUEUE, "a7", asked) is None
            )
            await fake_cluster.wait_until(
                lambda: fake_cluster.job_state("a7") == "completed", seconds
            )
            nursery.cancel_scope.cancel()


def make_step(count: int = 1, **asked: object) -> demands.StepDemand:
    return demands.StepDemand(count, cpu=1000, **asked)  # type: ignore[arg-type]


@pytest.fixture(autouse=True)
def policy_queue(monkeypatch: pytest.MonkeyPatch) -> None:
    configuration = fakes.CONFIGURATION._replace(queues=(QUEUE,))
    monkeypatch.setattr(fakes, "CONFIGURATION", configuration)


class TestTickets:

    async def test_only_allowed_workers_run_a_step(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = PolicyCluster(FakePolicy("w1"))
        await cluster.run_job(10.0, make_step(3))
        assert [len(worker.history) for worker in cluster.workers] == [0, 3, 0]
        assert not any(worker.refused for worker in cluster.workers)

    # The policy knows workers by their names, which outlast a restart.
    async def test_the_policy_is_asked_for_names_of_workers(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = PolicyCluster(FakePolicy("w1"))
        for worker in cluster.workers:
            name = worker.record.id
            worker.record = worker.record._replace(
                id=changes.incarnation_id(name, 7), kept_name=name, born_ms=7
            )
            register = changes.RegisterWorker(worker.record)
            cluster.fake_cluster.replica.apply(register)
        await cluster.run_job(10.0, make_step(3))
        assert cluster.policy.calls[0][1] == ["w0", "w1", "w2"]
        assert [len(worker.history) for worker in cluster.workers] == [0, 3, 0]

    async def test_each_step_gets_its_own_tickets(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = PolicyCluster(FakePolicy("w0", "w2"))
        await cluster.run_job(10.0, make_step(2), make_step(2, after=(0,)))
        assert [call[0][2] for call in cluster.policy.calls] == [0, 1]
        assert not any(worker.refused for worker in cluster.workers)

    async def test_a_waiting_step_is_queried_once(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        # Two tasks fit at a time; the others wait for room, not for tickets.
        cluster = PolicyCluster(FakePolicy("w0"), count=1, cpu=2000)
        await cluster.run_job(10.0, make_step(4))
        assert len(cluster.policy.calls) == 1

    async def test_an_expired_ticket_is_renewed(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = PolicyCluster(FakePolicy("w0"), count=1, cpu=1000)
        await cluster.run_job(30.0, make_step(6))
        assert 2 <= len(cluster.policy.calls) <= 4
        assert cluster.workers[0].refused == 0

    async def test_tasks_start_once_the_policy_answers_again(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = PolicyCluster(FakePolicy("w0"))
        cluster.policy.silent = True

        async def answer_again() -> None:
            await trio.sleep(5.0)
            cluster.policy.silent = False

        async with trio.open_nursery() as nursery:
            nursery.start_soon(answer_again)
            await cluster.run_job(15.0, make_step(1))
        assert len(cluster.fake_cluster.starts()) == 1

    async def test_a_refused_ticket_is_replaced(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = PolicyCluster(FakePolicy("w0"), count=1)
        cluster.workers[0].validity_seconds = -1.0

        async def accept_tickets_again() -> None:
            await trio.sleep(1.0)
            cluster.workers[0].validity_seconds = 3.0

        async with trio.open_nursery() as nursery:
            nursery.start_soon(accept_tickets_again)
            await cluster.run_job(15.0, make_step(1))
        assert cluster.workers[0].refused >= 1
        assert len(cluster.workers[0].history) == 1

    async def test_a_step_that_no_worker_may_run_is_queried_once(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = PolicyCluster(FakePolicy())
        with pytest.RaisesGroup(trio.TooSlowError):
            await cluster.run_job(3.0, make_step(1))
        assert len(cluster.policy.calls) == 1

    async def test_no_run_starts_if_no_policy_is_configured(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = TicketWorker("w0")
        fake_cluster = fakes.FakeCluster(worker)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fake_cluster.leader_api.run)
            await fake_cluster.wait_until(
                lambda: fake_cluster.leader_api.leadership is not None
            )
            asked = demands.JobDemand("", (make_step(1),))
            await fake_cluster.leader_api.submit(QUEUE, "a7", asked)
            await trio.sleep(2.0)
            nursery.cancel_scope.cancel()
        assert worker.refused == 0
        assert any("no policy" in line for line, _ in fake_cluster.log.lines)
