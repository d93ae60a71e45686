"""Tests that messages of other programs that can't be used are recognized.

In an incident, a heartbeat whose address could not be connected to was
accepted, and ended each leader that loaded it.
"""

import contextlib
from collections.abc import AsyncIterator
import json
from typing import Any

import pytest
import trio

from turmerichall import errors
from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import recurring_jobs
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.http1 import message
from turmerichall.http1 import server
from turmerichall.platform import client_requests
from turmerichall.platform import control_requests
from turmerichall.platform import http_worker_client
from turmerichall.queues import change as changes
from turmerichall.queues import demand as demands
from turmerichall.queues import state as states

TASK = changes.TaskName("5c0e7a21d94b36f8", 0, 1, 17)
LONG_NUMBER = "8" * 4400
HEARTBEAT: dict[str, Any] = {
    "service": "desk",
    "address": "10.128.0.9:8080",
    "machine": "m-1",
    "zone": "hall",
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "seq": 4,
    "born": 1700000000000,
}
UNUSABLE_ADDRESSES = (
    f"10.0.0.9:{LONG_NUMBER}",
    "10.0.0.9:0",
    "10.0.0.9:65536",
    "10.0.0.9:８０８０",
    "10.0.0.9: 8080",
    "10.0.0..9:8080",
    "10.0.0.256:8080",
    "10.0.0.9\n:8080",
    f"{'a' * 70}:8080",
    "worker.example:8080",
    f"[fe80::1%{'a' * 70}]:80",
    ":8080",
)
# Numbers that the log can't hold, or with which later sums overflow.
UNUSABLE_NUMBERS = (1.6e30, 1e999, 2**63, 2**64, 10**400, -(2**70))
# Numbers with which a text is not valid JSON for the decoder.
UNREADABLE_NUMBERS = (1e999,)


def _changed(path: str, value: object) -> bytes:
    document = json.loads(json.dumps(HEARTBEAT))
    *parents, last = path.split(".")
    target = document
    for each in parents:
        target = target[each]
    target[last] = value
    # The digits are written without the limit on conversions of numbers.
    return json.dumps(document).replace("Infinity", "1e999").encode()


def _outcome(
    body: bytes, worker: str = "i-7f"
) -> worker_client.Heartbeat | errors.Finding:
    return control_requests.heartbeat_from_wire(worker, body)


class TestHeartbeats:

    def test_an_address_that_cannot_be_connected_to_is_rejected(self) -> None:
        assert isinstance(_outcome(json.dumps(HEARTBEAT).encode()), tuple)
        for address in UNUSABLE_ADDRESSES:
            outcome = _outcome(_changed("address", address))
            assert isinstance(outcome, errors.Finding), address[:40]

    def test_a_capacity_that_cannot_be_stored_is_rejected(self) -> None:
        for field in ("cpu", "mem_mb", "gpu"):
            for number in UNUSABLE_NUMBERS:
                outcome = _outcome(_changed(f"capacity.{field}", number))
                assert isinstance(outcome, errors.Finding), (field, number)

    def test_accepted_heartbeats_can_be_stored(self) -> None:
        for field in ("born", "seq", "clock_ms", "cold_remaining_ms"):
            for number in UNUSABLE_NUMBERS:
                outcome = _outcome(_changed(field, number))
                if isinstance(outcome, errors.Finding):
                    continue
                change = changes.RegisterWorker(outcome.worker)
                assert changes.decode(changes.encode(change)) == change
                assert abs(outcome.clock_ms) < 2**53
                assert abs(outcome.sequence) < 2**53
                assert outcome.cold_ms < 2**53

    def test_texts_of_any_length_are_rejected(self) -> None:
        long_text = "a" * 70_000
        for field in ("service", "zone", "machine"):
            outcome = _outcome(_changed(field, long_text))
            assert isinstance(outcome, errors.Finding), field
        for labels in ([long_text], ["a"] * 10_000):
            outcome = _outcome(_changed("labels", labels))
            assert isinstance(outcome, errors.Finding)
        body = json.dumps(HEARTBEAT).encode()
        assert isinstance(_outcome(body, long_text), errors.Finding)

    def test_an_id_that_fits_no_header_is_rejected(self) -> None:
        body = json.dumps(HEARTBEAT).encode()
        for worker in ("i\u4e00", "i 7", "i\r\nx: y", "i\x7f", "i#1"):
            assert isinstance(_outcome(body, worker), errors.Finding), worker


@contextlib.asynccontextmanager
async def _client(
    body: bytes,
) -> AsyncIterator[http_worker_client.HttpWorkerClient]:
    """A client of a worker that answers each call with a body."""

    async def handle(_: message.Request) -> message.Response:
        return message.Response(200, body)

    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.Server(handle).run, "127.0.0.1:0")
        record = fakes.FakeWorker("i-7f").record
        client = http_worker_client.HttpWorkerClient(
            record._replace(address=address)
        )
        yield client
        client.close()
        nursery.cancel_scope.cancel()


async def _poll(
    body: bytes,
) -> worker_client.WorkerStatus | worker_client.PollFailure:
    async with _client(body) as client:
        return await client.poll(1, 0, None, 0)


def _answer(**fields: object) -> bytes:
    document = {"clock_ms": 5000, "running": [], "ended_runs": [], **fields}
    return json.dumps(document).replace("Infinity", "1e999").encode()


class TestAnswersOfWorkers:

    async def test_names_of_tasks_with_long_numbers_are_no_tasks(self) -> None:
        name = f"5c0e.0.1.{LONG_NUMBER}"
        status = await _poll(
            _answer(
                running=[[name, 1, "", 0, 0]],
                ended_runs=[[1, name, 1, "done", ""]],
            )
        )
        assert isinstance(status, worker_client.WorkerStatus)
        assert status.running[0].task is None
        assert status.ends[0].ended is None

    async def test_other_spellings_of_a_name_are_no_tasks(self) -> None:
        for name in ("5c0e.0.1.07", "5c0e.0.1.٧", "5c0e.0.1.-7", "5c0e.0.1."):
            assert http_worker_client.task_from_wire(name) is None, name

    async def test_a_clock_out_of_range_is_no_answer(self) -> None:
        for number in (*UNUSABLE_NUMBERS, -1, 1.5):
            status = await _poll(_answer(clock_ms=number))
            assert isinstance(status, worker_client.PollFailure), number

    async def test_numbers_of_rows_can_be_stored(self) -> None:
        for number in UNUSABLE_NUMBERS:
            status = await _poll(
                _answer(
                    running=[
                        ["5c0e.0.1.7", number, "", 0, 0],
                        ["5c0e.0.1.8", 1, "", number, number],
                    ],
                    ended_runs=[
                        [number, "5c0e.0.1.8", 1, "done", ""],
                        [1, "5c0e.0.1.8", number, "done", ""],
                    ],
                    born=number,
                )
            )
            if number in UNREADABLE_NUMBERS:
                assert status == worker_client.PollFailure(
                    worker_client.Verdict.UNANSWERED
                )
                continue
            assert isinstance(status, worker_client.WorkerStatus), number
            for row in status.running:
                assert abs(row.run) < 2**53
                assert 0 <= row.progress_percent <= 100
                assert abs(row.recent_load) < 2**53
            for end in status.ends:
                assert 0 < end.sequence < 2**53
                assert end.ended is None or 0 < end.ended.run < 2**53

    async def test_checkpoints_of_any_length_are_not_stored(self) -> None:
        checkpoint = "a" * 100_000
        status = await _poll(
            _answer(
                running=[["5c0e.0.1.7", 1, checkpoint, 0, 0]],
                ended_runs=[[1, "5c0e.0.1.8", 1, "stopped", checkpoint]],
            )
        )
        assert isinstance(status, worker_client.WorkerStatus)
        assert status.running[0].checkpoint == ""
        ended = status.ends[0].ended
        assert ended is not None and ended.checkpoint == ""

    async def test_a_clock_out_of_range_after_an_order_is_none(self) -> None:
        for number in (*UNUSABLE_NUMBERS, -1, True):
            async with _client(_answer(clock_ms=number)) as client:
                order = worker_client.Order(TASK, 1)
                result = await client.stop(order, 1)
            assert result.clock_ms is None, number


class TestUnusableAddress:

    async def test_a_registered_worker_with_it_is_not_reached(self) -> None:
        for address in UNUSABLE_ADDRESSES:
            record = fakes.FakeWorker("i-7f").record
            client = http_worker_client.HttpWorkerClient(
                record._replace(address=address)
            )
            failure = await client.poll(1, 0, None, 0)
            assert isinstance(failure, worker_client.PollFailure), address


def _job(**fields: object) -> bytes:
    step = {"count": 1, "cpu": 500, **fields}
    return json.dumps({"spec": "(text)", "steps": [step]}).encode()


class TestJobs:

    def test_numbers_that_cannot_be_used_are_rejected(self) -> None:
        for field in ("cpu", "mem_mb", "gpu", "target_ms", "may_miss"):
            for number in ("nan", "-inf", -1, 2**63, 10**300):
                demand = client_requests.demand_from_wire(
                    _job(**{field: number})
                )
                assert isinstance(demand, errors.Finding), (field, number)

    # Each leader that loaded such a job was busy with it for minutes.
    def test_millions_of_tasks_in_all_steps_are_rejected(self) -> None:
        steps = [{"count": client_requests.MAX_TASKS}] * 300
        body = json.dumps({"spec": "", "steps": steps}).encode()
        demand = client_requests.demand_from_wire(body)
        assert isinstance(demand, errors.Finding)

    def test_times_that_cannot_be_used_are_rejected(self) -> None:
        for times in ({"interval_ms": -1}, {"start_at_ms": 2**63}):
            document = json.loads(_job()) | {"repeat_count": 2} | times
            body = json.dumps(document).encode()
            demand = client_requests.demand_from_wire(body)
            assert isinstance(demand, errors.Finding), times


class TestOverdueOccurrences:

    # Each leader that loaded such a job ran out of memory, or was busy with it.
    @pytest.mark.parametrize(
        ("tasks", "occurrences"), [(1, 1000), (100, 200), (30_000, 1)]
    )
    def test_of_a_stored_job_wait_for_earlier_ones(
        self, tasks: int, occurrences: int
    ) -> None:
        schedule = demands.Schedule(0, 0, 2**62)
        demand = demands.JobDemand("", (demands.StepDemand(tasks),), schedule)
        queue_state = states.QueueState()
        for change in (
            changes.SetConfiguration(fakes.CONFIGURATION, b"{}"),
            changes.AcceptJob("j1", fakes.QUEUE.key, demand, 0),
        ):
            queue_state.apply(1, changes.encode(change))
        backlog = backlogs.Backlog(queue_state)
        job = queue_state.jobs["j1"]
        recurring = recurring_jobs.RecurringJobs(queue_state, backlog)
        recurring.add(job, 1)
        assert len(backlog.groups) == len(job.occurrences) == occurrences
        assert not recurring.advance(1)
        job.finished = 1
        assert recurring.advance(1)
        assert len(job.occurrences) == occurrences + 1
