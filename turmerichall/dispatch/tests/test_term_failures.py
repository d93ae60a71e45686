"""Tests that a failure of the leader's work ends neither process nor service.

In an incident, whatever the leader's work raised ended its process, and then
that of the next leader, which loaded the same state.
"""

import contextlib
from collections.abc import AsyncIterator
from typing import Any

import pytest
import trio
import trio.testing

from turmerichall import errors
from turmerichall.dispatch import leadership as leaderships
from turmerichall.dispatch import reports
from turmerichall.dispatch import term_failures
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

JOB = test_leadership.JOB


@contextlib.asynccontextmanager
async def _running(cluster: fakes.FakeCluster) -> AsyncIterator[None]:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(cluster.leader_api.run)
        yield
        nursery.cancel_scope.cancel()


class TestRaisingWork:

    async def test_begins_anew_and_loses_no_job(
        self,
        mocked_clocks: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))
        log_starts = reports.log_starts
        failed = 0

        def raise_twice(*args: Any) -> None:
            nonlocal failed
            failed += 1
            if failed <= 2:
                raise KeyError("a job")
            log_starts(*args)

        # It is called after the commit of the starts, before they are sent.
        monkeypatch.setattr(reports, "log_starts", raise_twice)
        async with _running(cluster):
            await cluster.wait_until(
                lambda: cluster.leader_api.leadership is not None
            )
            await cluster.submit(JOB, test_leadership.demand(3))
            await cluster.wait_for_state("completed", JOB)
        assert len(cluster.starts()) == 3
        lines = [
            fields
            for message, fields in cluster.log.lines
            if message == "work of a term failed"
        ]
        assert lines[0]["cause"] == "KeyError"

    async def test_that_always_fails_passes_the_lead_on(
        self,
        mocked_clocks: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))

        def load(*_: object) -> None:
            raise KeyError("a job")

        monkeypatch.setattr(leaderships.Leadership, "_load_state", load)
        async with _running(cluster):
            await cluster.wait_until(lambda: cluster.replica.term == 0, 5.0)
            began = len(cluster.log.lines)
            cluster.replica.lead(2)
            await cluster.wait_until(lambda: cluster.replica.term == 0, 20.0)
            assert len(cluster.log.lines) - began < 20

    async def test_a_failure_of_the_log_is_passed_on(
        self,
        mocked_clocks: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        cluster = fakes.FakeCluster(fakes.FakeWorker("w1"))

        def load(*_: object) -> None:
            raise errors.CorruptLogError("entry 7 is damaged")

        monkeypatch.setattr(leaderships.Leadership, "_load_state", load)
        with pytest.raises(ExceptionGroup) as raised:
            async with _running(cluster):
                await trio.sleep(5.0)
        assert raised.group_contains(errors.CorruptLogError)


class TestDecision:

    def test_every_third_failure_in_a_row_passes_the_lead_on(self) -> None:
        assert [
            failed
            for failed in range(1, 10)
            if term_failures.should_resign(failed)
        ] == [3, 6, 9]
