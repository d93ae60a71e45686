"""Random histories of calls that are tried again: no refused job may run."""

import random

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.dispatch.admission_control import controller
from turmerichall.dispatch.tests import fakes
from turmerichall.entry import calls
from turmerichall.entry import leader_client as leader_clients
from turmerichall.http1 import message
from turmerichall.platform import client_requests
from turmerichall.queues import change as changes

SEEDS = range(40)
CALLS = 60
BODY = b'{"steps":[{"count":1,"cpu":10}]}'
REFUSED = (404, 429, 503)


class _Replica(fakes.FakeReplica):
    """A replica whose commits and barriers take up to 3 s, or fail.

    Attributes:
        rng: Draws the times and failures.
        nursery: Runs the commits.
        unapplied: Number of entries that are neither committed nor lost.
    """

    rng = random.Random(0)
    nursery: trio.Nursery | None = None
    unapplied = 0

    async def barrier(self, timeout_seconds: float) -> outcomes.Refusal | None:
        """See `fakes.FakeReplica`."""
        await trio.sleep(self.rng.uniform(0.0, timeout_seconds))
        failed = outcomes.Refusal(outcomes.RefusalReason.NO_QUORUM)
        return failed if self.rng.random() < 0.5 else None

    def seconds_since_quorum(self) -> float:
        """See `fakes.FakeReplica`."""
        return self.rng.choice((0.0, 0.0, 1.0))

    async def propose_in_term(
        self, change: bytes, term: int, timeout_seconds: float = 5.0
    ) -> bytes | outcomes.Refusal | outcomes.Unknown:
        """Append an entry, which is committed or lost also if nobody waits."""
        if term != self.term or self.nursery is None:
            return outcomes.Refusal(outcomes.RefusalReason.NOT_LEADER)
        committed: list[bool] = []
        done = trio.Event()
        self.unapplied += 1

        async def commit() -> None:
            await trio.sleep(self.rng.choice((0.02, 0.02, 1.5, 3.0)))
            committed.append(self.term == term or self.rng.random() < 0.5)
            if committed[0]:
                self.apply(changes.decode(change))
            self.unapplied -= 1
            done.set()

        self.nursery.start_soon(commit)
        with trio.move_on_after(timeout_seconds):
            await done.wait()
        if not committed:
            return outcomes.Unknown(outcomes.UnknownReason.LEADER_LOST)
        lost = outcomes.Refusal(outcomes.RefusalReason.NO_QUORUM)
        return b"" if committed[0] else lost

    async def wait_log_applied(self, term: int) -> None:
        """See `agreement.replica.Replica`."""
        while self.unapplied and self.term == term:
            await trio.sleep(0.01)


class _Cluster(fakes.FakeCluster):
    make_replica = _Replica
    replica: _Replica


class _RandomAdmission:
    """Admission control that refuses half of the jobs."""

    def __init__(self, rng: random.Random):
        self.rng = rng

    def decide(self, *_: object) -> outcomes.Refusal | None:
        """See `controller.AdmissionController`."""
        if self.rng.random() < 0.5:
            return None
        return outcomes.Refusal(outcomes.RefusalReason.DEADLINE, "", 1.0)


class _Network:
    """Delivers calls late, also ones whose sender no longer waits."""

    def __init__(
        self, cluster: _Cluster, rng: random.Random, nursery: trio.Nursery
    ):
        self.cluster = cluster
        self.rng = rng
        self.nursery = nursery
        self.addresses: dict[str, str] = {}

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """See `peers.network.Network`."""
        self.addresses = addresses

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """See `peers.network.Network`."""
        del kind
        await trio.lowlevel.checkpoint()
        if instance != "self":
            return calls.encode(
                calls.not_leading("self", self.cluster.replica.term)
            )
        answers: list[bytes] = []
        answered = trio.Event()

        async def deliver() -> None:
            await trio.sleep(self.rng.choice((0.0, 0.0, 0.9, 2.0)))
            answers.append(await self._process(calls.decode_request(body)))
            answered.set()

        self.nursery.start_soon(deliver)
        with trio.move_on_after(timeout_seconds):
            await answered.wait()
        return (
            answers[0]
            if answers
            else outcomes.Refusal(outcomes.RefusalReason.TIMEOUT)
        )

    async def _process(self, request: message.Request) -> bytes:
        leader_api = self.cluster.leader_api
        answer: message.Response | outcomes.Refusal = leader_apis.NOT_LEADER
        if leader_api.may_process(calls.attempt(request)):
            answer = await client_requests.handle(leader_api, request)
        if isinstance(answer, outcomes.Refusal):
            return calls.encode(
                calls.not_leading("self", self.cluster.replica.term)
            )
        leadership = leader_api.leadership
        return calls.encode(
            calls.wrap_response(
                answer, 0 if leadership is None else leadership.token
            )
        )


async def _refused_jobs(cluster: _Cluster, seed: int) -> set[str]:
    """Submit jobs at random times; return those that were refused."""
    rng = random.Random(seed)
    refused: set[str] = set()
    async with trio.open_nursery() as nursery:
        network = _Network(cluster, rng, nursery)
        client = leader_clients.LeaderClient(
            network,  # type: ignore[arg-type]
            ("other", "self"),
            fakes.RecordingLog(),
        )
        nursery.start_soon(cluster.leader_api.run)

        cluster.replica.nursery = nursery

        async def change_terms() -> None:
            for term in range(2, 12):
                await trio.sleep(rng.uniform(0.5, 3.0))
                leadership = cluster.leader_api.leadership
                if leadership is not None and rng.random() < 0.5:
                    # The leader's work begins anew in the same term.
                    leadership.end_work()
                    continue
                cluster.replica.lead(0)
                await trio.sleep(rng.uniform(0.1, 1.0))
                # A leader has applied all entries of earlier terms.
                while cluster.replica.unapplied:
                    await trio.sleep(0.01)
                cluster.replica.lead(term)

        async def submit(job: str) -> None:
            await trio.sleep(rng.uniform(0.0, 20.0))
            request = message.Request(
                "POST", f"/jobs/{job}", {"host": "a.example"}, BODY
            )
            response = await client.forward(
                calls.CLIENT_CALL, request, rng.uniform(1.0, 3.0)
            )
            if response.status in REFUSED:
                refused.add(job)

        nursery.start_soon(change_terms)
        for number in range(CALLS):
            nursery.start_soon(submit, f"{number:016x}")
        await trio.sleep(40.0)
        nursery.cancel_scope.cancel()
    return refused


class TestUntrueRefusal:

    # Jobs ran whose callers had all been told that they were refused.
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_no_refused_job_is_accepted(
        self,
        mocked_clocks: trio.testing.MockClock,
        monkeypatch: pytest.MonkeyPatch,
        seed: int,
    ) -> None:
        del mocked_clocks
        rng = random.Random(1000 + seed)
        monkeypatch.setattr(_Replica, "rng", rng)
        monkeypatch.setattr(
            controller.BacklogController,
            "decide",
            lambda *_: _RandomAdmission(rng).decide(),
        )
        cluster = _Cluster(fakes.FakeWorker("w1", cpu=10**6))
        refused = await _refused_jobs(cluster, seed)
        accepted = set(cluster.queue_state.jobs)
        assert accepted and refused
        assert not refused & accepted
