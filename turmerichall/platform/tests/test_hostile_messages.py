"""Seeded fuzz tests of what workers, operators and clients send."""

import json
import random
from typing import Any

import msgspec
import pytest
import trio

from turmerichall import errors
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.fuzzing import mutations
from turmerichall.http1 import client as http_client
from turmerichall.http1 import message
from turmerichall.platform import client_requests
from turmerichall.platform import configuration_document
from turmerichall.platform import control_requests
from turmerichall.platform import http_worker_client
from turmerichall.platform import sound_messages
from turmerichall.platform.tests import wire_worker
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands
from turmerichall.queues import state as states

# Tests name the fixture as an argument, which makes them run on its clock.
# pylint: disable=unused-argument, protected-access

INPUTS = 3000
HEARTBEAT = sound_messages.heartbeat("127.0.0.1:80", "m", 1, 1, "desk")


def _apply(change: changes.Change) -> None:
    """Replicate a change, and load a snapshot with it."""
    queue_state = states.QueueState()
    queue_state.apply(1, changes.encode(change))
    states.QueueState().restore(queue_state.snapshot())


class TestDecoders:

    # A number that can't be replicated, or an address or a name that can't be
    # used, ended one leader after the other.
    def test_heartbeat_is_refused_or_can_be_replicated_and_used(self) -> None:
        rng = random.Random(1)
        for _ in range(INPUTS):
            body = mutations.hostile_document(HEARTBEAT, rng)
            heartbeat = control_requests.heartbeat_from_wire("w", body)
            if isinstance(heartbeat, errors.Finding):
                continue
            worker = heartbeat.worker
            _apply(changes.RegisterWorker(worker))
            assert heartbeat.cold_ms / 1000 >= 0
            headers = {"host": worker.address, "expect-instance": worker.name}
            message.encode_request(message.Request("POST", "/", headers))

    def test_answer_to_a_poll_is_refused_or_can_be_replicated(self) -> None:
        rng = random.Random(2)
        for _ in range(INPUTS):
            body = mutations.hostile_document(
                sound_messages.poll_answer(1), rng
            )
            status = http_worker_client._worker_status(body, {})
            if status is None:
                continue
            rows = [end.ended for end in status.ends if end.ended is not None]
            changes.encode(changes.EndRuns(tuple(rows)))
            for row in status.running:
                assert float(row.recent_load) < float("inf")

    def test_answer_to_an_order_has_a_usable_clock(self) -> None:
        rng = random.Random(3)
        document = {"clock_ms": 1, "reason": "late"}
        for _ in range(INPUTS):
            body = mutations.hostile_document(document, rng)
            response = message.Response(rng.choice([200, 409, 500]), body)
            result = http_worker_client._order_result(response)
            if result.clock_ms is not None:
                json.dumps(result.clock_ms + 10_000)

    # One call with the target "nan" ended each leader that an entry instance
    # tried.
    def test_job_is_refused_or_can_be_replicated(self) -> None:
        rng = random.Random(4)
        for _ in range(INPUTS):
            body = mutations.hostile_document(sound_messages.job(), rng)
            demand = client_requests.demand_from_wire(body)
            if not isinstance(demand, errors.Finding):
                _apply(changes.AcceptJob("j", "q", demand, 1))

    def test_configuration_is_refused_or_can_be_replicated(self) -> None:
        rng = random.Random(5)
        for _ in range(INPUTS):
            body = mutations.hostile_document(
                sound_messages.configuration(2), rng
            )
            document = configuration_document.decode(body)
            if not document.errors:
                _apply(changes.SetConfiguration(document.configuration, body))


class _HostileWorker(wire_worker.WireWorker):
    """A worker whose answers are hostile now and then.

    Attributes:
        rng: Chooses the answers.
        hostile: Whether any of them are.
    """

    def __init__(self, name: str, rng: random.Random):
        super().__init__(name)
        self.rng = rng
        self.hostile = True

    async def call(
        self, *args: Any
    ) -> message.Response | http_client.CallFailure:
        """See `WireWorker`."""
        answer = await super().call(*args)
        if (
            not self.hostile
            or not isinstance(answer, message.Response)
            or self.rng.random() < 0.5
        ):
            return answer
        sound = json.loads(answer.body or b"{}")
        for row in sound.get("running", []):
            row[4] = self.rng.randrange(1000)
        return answer._replace(body=mutations.hostile_document(sound, self.rng))


class _Cluster(wire_worker.WireCluster):
    """A cluster that knows addresses at which nothing answers."""

    def _client(
        self, record: changes.WorkerRecord
    ) -> worker_client.WorkerClient:
        if record.address not in self.wire_workers:
            return fakes.OtherWorker(fakes.Verdict.UNSENT)
        return super()._client(record)


class TestLeader:

    # Any error in the session of one worker ended the leader.
    @pytest.mark.parametrize("seed", range(4))
    async def test_goes_on_beside_a_hostile_worker(
        self,
        seed: int,
        mocked_clocks: object,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        rng = random.Random(seed)
        # The order in which trio runs its tasks decides who draws a number.
        monkeypatch.setattr(trio._core._run, "_r", random.Random(seed))
        monkeypatch.setattr(
            trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True
        )
        random.seed(seed)
        hostile = _HostileWorker("hostile", rng)
        cluster = _Cluster(wire_worker.WireWorker("sound"), hostile)
        step = demands.StepDemand(2, cpu=500)
        steps = (
            step,
            msgspec.structs.replace(
                step, lasting=True, image="a", target_ms=50
            ),
        )
        jobs = [f"j{number}" for number in range(10)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cluster.leader_api.run)
            nursery.start_soon(cluster.send_heartbeats)
            await trio.sleep(1.0)
            await cluster.submit("lasting", demands.JobDemand("", steps[1:]))
            for job in jobs:
                for _ in range(10):
                    body = mutations.hostile_document(HEARTBEAT, rng)
                    heartbeat = control_requests.heartbeat_from_wire("h", body)
                    if not isinstance(heartbeat, errors.Finding):
                        await cluster.leader_api.heartbeat(heartbeat)
                await cluster.submit(job, demands.JobDemand("", steps[:1]))
                await trio.sleep(1.0)
            hostile.hostile = False
            hostile.restart()
            await cluster.wait_for_state("completed", *jobs, seconds=120.0)
            nursery.cancel_scope.cancel()
