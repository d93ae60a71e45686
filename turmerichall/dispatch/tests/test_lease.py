"""Tests of leases: when a worker's runs have certainly ended."""

import pytest
import trio.testing

from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.queues import change as changes

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

# Longest lease that a worker keeps, on a clock that is 2 % slow.
LONGEST_SECONDS = 10.0 / 0.98
AHEAD_MS = 1_000_000


def granted_lease() -> leases.Lease:
    """Return a lease of 8 s that was granted at 10 s and reads 5 s then."""
    lease = leases.Lease(0.0)
    lease.record_term_accepted()
    lease.record_clock(5_000, 10.0)
    lease.grant(10.0)
    return lease


class TestClockReadings:
    """A wrong reading of the clock does not end a lease early."""

    @pytest.mark.parametrize("clock_ms", [AHEAD_MS, 4_000])
    def test_a_reading_that_jumps_does_not_expire_the_lease(
        self, clock_ms: int
    ) -> None:
        lease = granted_lease()
        assert not lease.record_clock(clock_ms, 10.5)
        assert not lease.has_expired(10.5 + LONGEST_SECONDS)
        assert lease.has_expired(10.8 + LONGEST_SECONDS)

    def test_a_reading_that_jumps_and_returns_does_not_expire_the_lease(
        self,
    ) -> None:
        lease = granted_lease()
        lease.record_clock(AHEAD_MS, 10.5)
        lease.grant(10.5)
        assert not lease.record_clock(5_700, 10.7)
        assert not lease.has_expired(10.7 + LONGEST_SECONDS)
        assert lease.has_expired(11.0 + LONGEST_SECONDS)

    def test_late_answers_and_a_frozen_worker_are_consistent(self) -> None:
        lease = leases.Lease(0.0)
        lease.record_clock(5_000, 13.0, asked_at=10.0)
        assert lease.record_clock(8_300, 13.3, asked_at=13.1)
        # The clock does not count the time of a suspension.
        assert lease.record_clock(8_400, 60.0, asked_at=59.0)


class _WorkerWithWrongClock(fakes.FakeWorker):
    """A worker that reports one wrong reading of its clock, then is silent.

    Its last answer is lost, but it has taken the lease of that poll, shortened
    to the longest that there is.
    """

    def __init__(self) -> None:
        super().__init__("w1")
        self.run_seconds = 60.0
        self.has_reported = False

    async def poll(
        self,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> worker_client.WorkerStatus | worker_client.PollFailure:
        """See `WorkerClient`."""
        longest_ms = self.clock_ms() + int(leases.MAX_LEASE_SECONDS * 1000)
        if deadline_ms is not None:
            deadline_ms = min(deadline_ms, longest_ms)
        status = await super().poll(token, acknowledged, deadline_ms, wait_ms)
        if self.has_reported:
            self.silent = True
            return worker_client.PollFailure(worker_client.Verdict.UNANSWERED)
        if self.runs and isinstance(status, worker_client.WorkerStatus):
            self.has_reported = True
            return status._replace(clock_ms=status.clock_ms + AHEAD_MS)
        return status


class TestSessionOfAWorkerWithAWrongClock:

    async def test_its_task_is_not_started_elsewhere_while_it_runs(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        wrong = _WorkerWithWrongClock()
        other = fakes.FakeWorker("w2")
        other.silent = True
        cluster = fakes.FakeCluster(wrong, other)

        async def script() -> None:
            await test_leadership.submit(cluster, test_leadership.demand(1))
            await cluster.wait_until(lambda: wrong.silent)
            other.silent = False
            await cluster.wait_until(lambda: bool(other.history), 30.0)

        await test_leadership.run_script(cluster, script)
        task, _, started_at = other.history[0]
        assert task == changes.TaskName(test_leadership.JOB, 0, 0, 0)
        # The run ends by itself when its lease has expired on the worker.
        lease_ended_at = (wrong.deadline_ms - 5_000) / 1000
        assert started_at >= lease_ended_at
