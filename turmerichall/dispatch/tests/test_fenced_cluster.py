"""Tests of a cluster whose term is below the one that a worker has seen."""

from collections.abc import Callable
import functools
import itertools

import trio
import trio.testing

from turmerichall.agreement.tests import cluster as clusters
from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.dispatch import replica_daemon
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.queues import state as states
from turmerichall.telemetry import lightweight_metrics

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument

# Time for some elections.
LIMIT_SECONDS = 120.0
TOKEN = 5
# A token that no election reaches.
WRONG_TOKEN = 10**9
HEARTBEAT_SECONDS = 1.0


class _Worker(fakes.FakeWorker):
    """A worker that records the tokens with which it is called.

    Attributes:
        tokens: Token and time of each call.
    """

    def __init__(self, worker_id: str) -> None:
        super().__init__(worker_id)
        self.tokens: list[tuple[int, float]] = []

    def _accepts_token(self, token: int) -> bool:
        self.tokens.append((token, trio.current_time()))
        return super()._accepts_token(token)


class _Replicas:
    """Three replicas with their leader APIs, and workers.

    Attributes:
        cluster: The replicas.
        apis: Their leader APIs, by name.
        log: Log of all leader APIs.
    """

    def __init__(self, cluster: clusters.Cluster):
        self.cluster = cluster
        self.apis: dict[str, leader_apis.LeaderApi] = {}
        self.log = fakes.RecordingLog()

    @classmethod
    async def start(
        cls, nursery: trio.Nursery, *workers: fakes.FakeWorker
    ) -> "_Replicas":
        """Start three replicas, and let workers send them heartbeats."""
        cluster = clusters.Cluster(
            nursery, timing=replica_daemon.TIMING, machine=states.QueueState
        )
        await cluster.start_all()
        replicas = cls(cluster)
        by_id = {worker.record.id: worker for worker in workers}
        for name in cluster.names:
            machine = cluster.machines[name]
            assert isinstance(machine, states.QueueState)
            api = leader_apis.LeaderApi(
                cluster.replicas[name],
                machine,
                lambda record: by_id[record.id],
                replicas.log,
                lightweight_metrics.MetricsRegistry(),
            )
            nursery.start_soon(api.run)
            replicas.apis[name] = api
        for worker in workers:
            nursery.start_soon(replicas.send_heartbeats, worker)
        return replicas

    async def send_heartbeats(self, worker: fakes.FakeWorker) -> None:
        """Send heartbeats of a worker, which only the leader handles."""
        for sequence in itertools.count(1):
            heartbeat = worker_client.Heartbeat(
                worker.record, False, sequence, worker.clock_ms()
            )
            for api in self.apis.values():
                await api.heartbeat(heartbeat)
            await trio.sleep(HEARTBEAT_SECONDS)

    def leaders(self) -> list[str]:
        """Return the names of the replicas that do a leader's work."""
        return [name for name, api in self.apis.items() if api.leadership]

    def in_touch(self) -> set[str]:
        """Return the ids of the workers that a leader uses."""
        return {
            worker.record.id
            for api in self.apis.values()
            if api.leadership
            for worker in api.leadership.workers.values()
            if worker.in_touch
        }

    def terms(self) -> set[int]:
        """Return the terms of all replicas."""
        return {each.state.term for each in self.cluster.replicas.values()}

    async def submit(self, job_id: str) -> None:
        """Hand in a job until a leader accepts it."""

        async def accepted() -> bool:
            for api in self.apis.values():
                await api.configure(fakes.CONFIGURATION, b"{}")
                demand = test_leadership.demand(12)
                if await api.submit(fakes.QUEUE, job_id, demand) is None:
                    return True
            return False

        with trio.fail_after(LIMIT_SECONDS):
            while not await accepted():
                await trio.sleep(0.1)

    def is_completed(self, job_id: str) -> bool:
        """Return whether the replicas of the leaders show a job as done."""
        return any(
            self.apis[name].queue_state.jobs[job_id].state.value == "completed"
            for name in self.leaders()
        )

    def errors_about(self, worker_id: str) -> int:
        """Return the number of log lines on a worker kept out of use."""
        return sum(
            message.startswith("worker is kept out of use")
            and fields["worker"] == worker_id
            for message, fields in self.log.lines
        )


async def _wait_until(
    condition: Callable[[], bool], seconds: float = LIMIT_SECONDS
) -> None:
    with trio.fail_after(seconds):
        while not condition():
            await trio.sleep(0.1)


class TestFencedCluster:

    # All replicas had lost their disks and began again at term 1: the leader
    # that a worker fenced kept its leadership and did no work in it.
    async def test_the_cluster_works_again_after_some_elections(
        self, nursery: trio.Nursery, mocked_clocks: trio.testing.MockClock
    ) -> None:
        worker = fakes.FakeWorker("w1")
        worker.token = TOKEN
        replicas = await _Replicas.start(nursery, worker)

        def serves() -> bool:
            apis = replicas.apis.values()
            leading = [each.leadership for each in apis if each.leadership]
            return any(
                each.token >= TOKEN
                and any(w.in_touch for w in each.workers.values())
                for each in leading
            )

        await _wait_until(serves)

    # Nothing was served in the rest of the term.
    async def test_a_leader_fenced_by_all_workers_serves_again_soon(
        self, nursery: trio.Nursery, mocked_clocks: trio.testing.MockClock
    ) -> None:
        workers = [_Worker(name) for name in ("w1", "w2", "w3")]
        replicas = await _Replicas.start(nursery, *workers)
        await _wait_until(lambda: len(replicas.in_touch()) == 3)
        token = max(replicas.terms()) + 1
        for worker in workers:
            worker.token = token
        await _wait_until(lambda: not replicas.leaders())
        await _wait_until(lambda: len(replicas.in_touch()) == 3, 5.0)
        assert min(replicas.terms()) >= token

    async def test_a_worker_with_a_wrong_token_does_not_stop_the_others(
        self, nursery: trio.Nursery, mocked_clocks: trio.testing.MockClock
    ) -> None:
        workers = [_Worker(name) for name in ("w1", "w2", "w3")]
        # Its runs last until its lease has expired.
        workers[0].run_seconds = LIMIT_SECONDS
        replicas = await _Replicas.start(nursery, *workers)
        await _wait_until(lambda: len(replicas.in_touch()) == 3)
        await replicas.submit("before")
        await _wait_until(lambda: all(worker.runs for worker in workers))
        workers[0].token = WRONG_TOKEN
        await _wait_until(lambda: replicas.errors_about("w1") > 0, 30.0)
        terms = replicas.terms()
        await replicas.submit("after")
        for job_id in ("before", "after"):
            await _wait_until(functools.partial(replicas.is_completed, job_id))
        await trio.sleep(LIMIT_SECONDS)
        assert replicas.terms() == terms
        assert replicas.in_touch() == {"w2", "w3"}
        assert replicas.errors_about("w1") == 1

    # The last order of the term must not come after the fence.
    async def test_a_fenced_leader_without_a_quorum_stays_silent(
        self, nursery: trio.Nursery, mocked_clocks: trio.testing.MockClock
    ) -> None:
        workers = [_Worker(name) for name in ("w1", "w2", "w3")]
        replicas = await _Replicas.start(nursery, *workers)
        await _wait_until(lambda: len(replicas.in_touch()) == 3)
        (old,) = replicas.leaders()
        cluster = replicas.cluster
        term = cluster.replicas[old].state.term
        cluster.hub.isolate(old, set(cluster.names))
        workers[0].token = term + 1
        await _wait_until(lambda: replicas.apis[old].leadership is None, 2.0)
        fenced_at = trio.current_time()
        await _wait_until(lambda: len(replicas.in_touch()) == 3, 10.0)
        (new,) = replicas.leaders()
        assert new != old
        await trio.sleep(10.0)
        # Calls that were in progress at the fence may still arrive.
        late = [
            at
            for worker in workers
            for token, at in worker.tokens
            if token <= term and at > fenced_at + 0.1
        ]
        assert not late
        # The isolated replica calls no election that it can't win.
        assert cluster.replicas[old].state.term == term
        cluster.hub.heal()
        await trio.sleep(5.0)
        assert replicas.leaders() == [new]
