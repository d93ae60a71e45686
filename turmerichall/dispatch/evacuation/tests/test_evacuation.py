"""Tests of zones that operators evacuate and take back, on a fake cluster."""

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.http1 import message
from turmerichall.platform import control_requests
from turmerichall.queues import change as changes
from turmerichall.queues import state as states

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

JOB = test_leadership.JOB
ZONE, OTHER = "z", "y"
TASK = changes.TaskName(JOB, 0, 0, 0)
# Time after an acknowledgement within which the last start may reach the zone.
EVACUATE_SECONDS = 5.0
WATCH_SECONDS = 15.0


class _Cluster(fakes.FakeCluster):
    """A cluster with a worker in the zone, and perhaps one in another."""

    def __init__(self, has_other: bool = False) -> None:
        self.inside = fakes.FakeWorker("w1")
        self.outside = fakes.FakeWorker("w2")
        self.outside.record = self.outside.record._replace(zone=OTHER)
        workers = [self.inside, self.outside][: 1 + has_other]
        super().__init__(*workers)

    async def begin(self) -> None:
        """Evacuate the zone, which is acknowledged."""
        assert await self.leader_api.begin_evacuation(ZONE) is None

    async def finish(self) -> None:
        """Take the zone back, which is acknowledged."""
        assert await self.leader_api.finish_evacuation(ZONE) is None

    async def change_leader(self, term: int) -> None:
        """Let the leader's work end, and begin in another term."""
        self.replica.lead(0)
        await self.wait_until(lambda: self.leader_api.leadership is None)
        self.replica.lead(term)
        await self.wait_until(lambda: self.leader_api.leadership is not None)

    def zone_changes(self) -> list[changes.Change]:
        """Return the committed changes of zones."""
        kinds = (changes.BeginEvacuation, changes.EndEvacuation)
        return [
            each for each in self.replica.changes if isinstance(each, kinds)
        ]


class TestStarts:

    # Without the state, tasks went on to be started in the zone.
    async def test_nothing_starts_in_the_zone_and_runs_go_on(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()
        cluster.inside.run_seconds = 2.5

        async def script() -> None:
            await cluster.submit(JOB, test_leadership.demand(1))
            await cluster.wait_until(lambda: bool(cluster.inside.runs))
            await cluster.begin()
            await cluster.submit("b" * 16, test_leadership.demand(1))
            await cluster.wait_for_state("completed", JOB)
            await trio.sleep(WATCH_SECONDS)
            assert len(cluster.starts()) == 1
            assert cluster.job_state("b" * 16) == "queued"
            await cluster.finish()
            await cluster.wait_for_state("completed", "b" * 16)

        await test_leadership.run_script(cluster, script)

    # A start that is being committed while the evacuation is acknowledged was
    # sent afterwards.
    async def test_a_start_in_commit_is_withheld(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster(has_other=True)
        cluster.outside.silent = True
        propose = cluster.replica.propose_in_term

        async def slow(
            change: bytes, term: int, timeout_seconds: float = 5.0
        ) -> bytes | outcomes.Refusal | outcomes.Unknown:
            if isinstance(changes.decode(change), changes.StartRuns):
                await trio.sleep(0.5)
            return await propose(change, term, timeout_seconds)

        cluster.replica.propose_in_term = slow  # type: ignore[method-assign]

        async def script() -> None:
            await trio.sleep(0.5)
            await cluster.submit(JOB, test_leadership.demand(1))
            await trio.sleep(0.1)
            await cluster.begin()
            await trio.sleep(2.0)
            assert not cluster.inside.history
            cluster.outside.silent = False
            await cluster.wait_for_state("completed", JOB)
            assert [run for _, run, _ in cluster.starts()] == [2]

        await test_leadership.run_script(cluster, script)

    # The next tries of a start without an answer reached the zone.
    async def test_a_start_is_not_sent_again(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()
        tries: list[float] = []

        async def lose(*_: object) -> worker_client.OrderResult:
            tries.append(trio.current_time())
            await trio.sleep(0.2)
            return worker_client.OrderResult(worker_client.Verdict.UNANSWERED)

        async def script() -> None:
            await trio.sleep(0.5)
            cluster.inside.start = lose  # type: ignore
            await cluster.submit(JOB, test_leadership.demand(1))
            await cluster.wait_until(lambda: bool(tries))
            await cluster.begin()
            del cluster.inside.start
            await trio.sleep(WATCH_SECONDS)
            assert len(tries) == 1
            assert not cluster.inside.history
            await cluster.finish()
            await cluster.wait_for_state("completed", JOB)

        await test_leadership.run_script(cluster, script)

    # A new leader sent the starts that the one before had committed.
    async def test_a_start_of_an_earlier_leader_is_not_sent(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster(has_other=True)
        test_leadership.commit_start(cluster)
        cluster.replica.apply(changes.BeginEvacuation(ZONE, 1))

        async def script() -> None:
            await cluster.wait_for_state("completed", JOB)
            assert not cluster.inside.history

        await test_leadership.run_script(cluster, script)

    async def test_the_state_outlives_the_leader(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            await cluster.begin()
            await cluster.change_leader(2)
            await cluster.submit(JOB, test_leadership.demand(1))
            await trio.sleep(WATCH_SECONDS)
            assert not cluster.starts()

        await test_leadership.run_script(cluster, script)

    # A long-running task was stopped for an urgent one that may not start in
    # its zone, nor the stopped one again.
    async def test_long_running_tasks_keep_their_room(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()
        cluster.inside.lasting_jobs.add(JOB)

        async def script() -> None:
            lasting = test_leadership.demand(1, cpu=8000, lasting=True)
            await cluster.submit(JOB, lasting)
            await cluster.wait_until(lambda: bool(cluster.inside.runs))
            await trio.sleep(4.0)
            await cluster.begin()
            await cluster.submit("b" * 16, test_leadership.demand(1))
            await trio.sleep(WATCH_SECONDS)
            assert list(cluster.inside.runs) == [TASK]
            assert len(cluster.starts()) == 1

        await test_leadership.run_script(cluster, script)

    async def test_a_worker_that_comes_up_there_gets_nothing(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()
        newcomer = fakes.FakeWorker("w3")
        cluster.workers[newcomer.record.address] = newcomer

        async def script() -> None:
            await cluster.begin()
            beat = worker_client.Heartbeat(newcomer.record, False, 1, 0)
            assert await cluster.leader_api.heartbeat(beat)
            await cluster.submit(JOB, test_leadership.demand(1))
            await trio.sleep(WATCH_SECONDS)
            assert not cluster.starts()
            held = [
                fields
                for line, fields in cluster.log.lines
                if line == "tasks wait for evacuated zones"
            ]
            assert held and held[0]["jobs"] == [JOB]

        await test_leadership.run_script(cluster, script)


class TestRequests:

    async def test_repeats_change_nothing(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            await cluster.finish()
            await cluster.begin()
            await cluster.begin()
            assert len(cluster.zone_changes()) == 1
            await cluster.finish()
            await cluster.finish()
            await cluster.begin()
            assert len(cluster.zone_changes()) == 3
            assert list(cluster.queue_state.evacuations) == [ZONE]

        await test_leadership.run_script(cluster, script)

    # A begin whose commit failed was reported as done, or as refused.
    async def test_an_uncertain_begin_is_unknown_until_resent(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            cluster.replica.committing = False
            failed = await cluster.leader_api.begin_evacuation(ZONE)
            assert isinstance(failed, outcomes.Unknown)
            cluster.replica.committing = True
            await cluster.begin()
            assert len(cluster.zone_changes()) == 1

        await test_leadership.run_script(cluster, script)

    async def test_no_acknowledgement_without_a_quorum(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            await cluster.begin()
            cluster.replica.seconds_since_quorum = (  # type: ignore[method-assign]
                lambda: 99.0
            )
            refusal = await cluster.leader_api.begin_evacuation(ZONE)
            assert isinstance(refusal, outcomes.Refusal)
            assert refusal.reason == outcomes.RefusalReason.NO_QUORUM

        await test_leadership.run_script(cluster, script)

    def test_the_state_is_in_snapshots(self) -> None:
        state = states.QueueState()
        rows: list[changes.Change] = [
            changes.BeginEvacuation(ZONE, 5),
            changes.BeginEvacuation(OTHER, 6),
            changes.EndEvacuation(ZONE, 7),
        ]
        for number, change in enumerate(rows):
            state.apply(number, changes.encode(change))
        copy = states.QueueState()
        copy.restore(state.snapshot())
        assert copy.evacuations == {OTHER: 6}
        assert copy.restored == {ZONE: 7}


class TestWire:

    @pytest.mark.parametrize(
        ("method", "path", "body", "status"),
        [
            ("POST", f"/v1/evacuation/{ZONE}/begin", b"", 200),
            ("POST", f"/v1/evacuation/{ZONE}/finish", b"", 200),
            ("POST", "/v1/evacuation/nowhere/begin", b"", 400),
            ("POST", "/v1/evacuation/nowhere/finish", b"", 400),
            ("POST", "/v1/evacuation//begin", b"", 400),
            ("POST", "/v1/evacuation/%00/begin", b"", 400),
            ("POST", f"/v1/evacuation/{ZONE}/begin", b"{}", 400),
            ("POST", f"/v1/evacuation/{ZONE}/pause", b"", 404),
            ("POST", f"/v1/evacuation/{ZONE}/x/begin", b"", 404),
            ("GET", f"/v1/evacuation/{ZONE}/begin", b"", 404),
        ],
    )
    async def test_requests(
        self,
        method: str,
        path: str,
        body: bytes,
        status: int,
        mocked_clocks: trio.testing.MockClock,
    ) -> None:
        cluster = _Cluster()

        async def script() -> None:
            request = message.Request(method, path, {}, body)
            answer = await control_requests.handle(
                cluster.leader_api, request, "10.0.0.1:80", cluster.log
            )
            assert isinstance(answer, message.Response)
            assert answer.status == status
            assert answer.body or status == 404
            assert len(cluster.zone_changes()) == int(
                status == 200 and path.endswith("begin")
            )

        await test_leadership.run_script(cluster, script)
