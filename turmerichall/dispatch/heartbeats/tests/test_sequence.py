"""Tests of numbers that no worker reaches, in reports about it."""

from collections.abc import Awaitable, Callable
import random

import pytest
import trio
import trio.testing

from turmerichall.dispatch import worker_client
from turmerichall.dispatch.heartbeats import sequence
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.queues import change as changes

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

FOREIGN = 10**15
HEARTBEAT_SECONDS = 1.1


class Reporter:
    """A worker that sends heartbeats, with a leader that receives them.

    Attributes:
        cluster: The leader.
        worker: The worker.
        number: Number of its latest heartbeat.
    """

    def __init__(self) -> None:
        self.worker = fakes.FakeWorker("w1")
        self.cluster = fakes.FakeCluster(self.worker)
        self.number = 0

    async def report(
        self, number: int = 0, draining: bool = False, cpu: int = 8000
    ) -> bool:
        """Send a heartbeat, with the worker's next number if none is given."""
        if not number:
            self.number += 1
        record = self.worker.record._replace(cpu=cpu)
        heartbeat = worker_client.Heartbeat(
            record, draining, number or self.number, self.worker.clock_ms()
        )
        return await self.cluster.leader_api.heartbeat(heartbeat)

    @property
    def known(self) -> changes.Capacity:
        """The capacity by which the leader goes."""
        leadership = self.cluster.leader_api.leadership
        assert leadership is not None
        return leadership.workers["w1"].capacity


class TestForeignHeartbeat:
    """One heartbeat of another writer, with a number far ahead."""

    @staticmethod
    async def run(
        script: Callable[[Reporter], Awaitable[None]], foreign: int = FOREIGN
    ) -> None:
        """Run a script after the first heartbeat and a foreign one."""
        reporter = Reporter()

        async def with_heartbeats() -> None:
            assert await reporter.report(cpu=9000)
            if foreign:
                assert await reporter.report(foreign)
            await script(reporter)

        await test_leadership.run_script(reporter.cluster, with_heartbeats)

    # A worker was given tasks after its drain had been acknowledged.
    async def test_drain_that_is_acknowledged_takes_effect(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        async def script(reporter: Reporter) -> None:
            assert await reporter.report(draining=True)
            assert reporter.cluster.queue_state.draining == {"w1"}

        await self.run(script)

    # A worker that had shrunk was given more than it has.
    async def test_capacity_is_followed_again(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        async def script(reporter: Reporter) -> None:
            for _ in range(5):
                assert await reporter.report(cpu=2000)
                await trio.sleep(HEARTBEAT_SECONDS)
            assert reporter.known.cpu == 2000

        await self.run(script)

    async def test_late_reports_do_not_replace_newer_ones(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        async def script(reporter: Reporter) -> None:
            for number in range(2, 6):
                reporter.number = 10 * number
                assert await reporter.report(cpu=2000)
                assert await reporter.report(number, cpu=9000)
                await trio.sleep(HEARTBEAT_SECONDS)
            assert reporter.known.cpu == 2000

        await self.run(script, foreign=0)


class TestHeartbeatOrder:

    @pytest.mark.parametrize("seed", range(20))
    def test_own_reports_count_again_after_any_foreign_one(
        self, seed: int
    ) -> None:
        rng = random.Random(seed)
        order = sequence.HeartbeatOrder()
        own, now = 0, 0.0
        for _ in range(200):
            for _ in range(rng.randint(0, 3)):
                order.is_newest(rng.choice((0, 1, own, 2**53 - 1)), now)
            newest = []
            for _ in range(5):
                own += 1
                now += HEARTBEAT_SECONDS
                newest.append(order.is_newest(own, now))
            assert newest[-1]


class TestEnds:

    # The end after it was skipped and acknowledged: its task was never done.
    async def test_end_after_one_with_a_number_far_ahead_is_committed(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        cluster = fakes.FakeCluster(worker)

        async def script() -> None:
            unknown = changes.EndedRun(
                changes.TaskName("other", 0, 0, 0), 1, changes.Ending.DONE, ""
            )
            worker.ends.append(worker_client.RunEnd(FOREIGN, unknown))
            await trio.sleep(3.0)
            # The worker goes on with its own numbers.
            worker.ends.clear()
            worker.acknowledged = 0
            await test_leadership.submit(cluster, test_leadership.demand())
            await cluster.wait_for_state("completed", test_leadership.JOB)

        await test_leadership.run_script(cluster, script)
