"""Worker that speaks the platform's protocol, in process, for tests."""

from collections.abc import Callable
import json
from typing import Any

import trio

from turmerichall import errors
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.tests import fakes
from turmerichall.http1 import client as http_client
from turmerichall.http1 import message
from turmerichall.platform import control_requests
from turmerichall.platform import http_worker_client
from turmerichall.queues import change as changes

__all__ = ["Life", "WireCluster", "WireWorker"]

# Clock of a worker that has just started, in ms.
FIRST_CLOCK_MS = 40

_HOW = {
    changes.Ending.DONE: "done",
    changes.Ending.FAILED: "failed",
    changes.Ending.STOPPED: "stopped",
    changes.Ending.LOST: "lapsed",
    changes.Ending.BROKEN: "broken",
    changes.Ending.ALONE: "alone",
}
_REASONS = {
    fakes.Verdict.FENCED: "fence",
    fakes.Verdict.OUTDATED: "old",
    fakes.Verdict.LATE: "late",
    fakes.Verdict.NO_ROOM: "room",
}


class Life(fakes.FakeWorker):
    """One life of a worker, with a clock and counts of its own.

    Attributes:
        born_at: Time of its start, in trio time.
        longest_lease_ms: Longest time until the deadline of a start.
        done_at: Time of each task's first end as done, in trio time.
        stop_seconds: Time that a stop of a run takes.
        stopping: Tasks whose runs are being stopped.
        noted: Tasks whose end as done was acknowledged.
    """

    def __init__(self, name: str, cpu: int):
        super().__init__(name, cpu)
        self.born_at = trio.current_time()
        self.longest_lease_ms = 0
        self.done_at: dict[changes.TaskName, float] = {}
        self.stop_seconds = 0.0
        self.stopping: set[changes.TaskName] = set()
        self.noted: set[changes.TaskName] = set()

    async def poll(
        self,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> worker_client.WorkerStatus | worker_client.PollFailure:
        """See `FakeWorker`."""
        if not self.silent and not self.down and token >= self.token:
            self.noted.update(
                end.ended.task
                for end in self.ends
                if end.sequence <= acknowledged
                and end.ended is not None
                and end.ended.ending == changes.Ending.DONE
            )
        return await super().poll(token, acknowledged, deadline_ms, wait_ms)

    async def stop(
        self, order: worker_client.Order, token: int
    ) -> worker_client.OrderResult:
        """See `FakeWorker`."""
        run = self.runs.get(order.task)
        if not self.stop_seconds or run is None or run.order.run != order.run:
            return await super().stop(order, token)
        if order.task not in self.stopping:
            self.stopping.add(order.task)
            now = trio.current_time()
            run.ends_at = min(run.ends_at, now + self.stop_seconds)
        return worker_client.OrderResult(fakes.Verdict.DONE, self.clock_ms())

    def end(self, task: changes.TaskName, ending: changes.Ending) -> None:
        """See `FakeWorker`."""
        if task in self.stopping:
            self.stopping.remove(task)
            ending = changes.Ending.STOPPED
        if ending == changes.Ending.DONE:
            self.done_at.setdefault(task, trio.current_time())
        super().end(task, ending)

    @property
    def born_ms(self) -> int:
        """Time of its start in ms since 1970."""
        return 1_700_000_000_000 + int(self.born_at * 1000)

    def clock_ms(self) -> int:
        """See `FakeWorker`."""
        return int((trio.current_time() - self.born_at) * 1000) + FIRST_CLOCK_MS


class WireWorker:
    """A worker that keeps its id when it starts again.

    Attributes:
        name: Its id on the wire.
        lives: All lives so far; the last is the current one.
        hold_back: Chooses calls that get no answer and are carried out later.
        held_back: Bodies of starts that were held back.
    """

    def __init__(self, name: str, cpu: int = 8000):
        self.name = name
        self.cpu = cpu
        self.run_seconds = 1.0
        self.stop_seconds = 0.0
        self.lives = [Life(name, cpu)]
        self.sequence = 0
        self.hold_back: Callable[[str, dict[str, Any]], bool] = (
            lambda _path, _body: False
        )
        self.held_back: list[dict[str, Any]] = []

    @property
    def life(self) -> Life:
        """The current life."""
        return self.lives[-1]

    def restart(self) -> None:
        """Start again under the same id, with nothing of before."""
        if not self.life.down:
            self.life.crash()
        self.lives.append(Life(self.name, self.cpu))
        self.life.run_seconds = self.run_seconds
        self.life.stop_seconds = self.stop_seconds
        self.life.lasting_jobs = self.lives[0].lasting_jobs
        self.sequence = 0

    def heartbeat(self, **fields: object) -> worker_client.Heartbeat:
        """Return the next heartbeat, decoded from the wire."""
        self.sequence += 1
        record = self.life.record
        document = {
            "service": record.service,
            "address": record.address,
            "machine": f"m-{self.name}",
            "zone": record.zone,
            "state": "ready",
            "capacity": {"cpu": record.cpu, "mem_mb": record.memory_mb},
            "labels": list(record.labels),
            "clock_ms": self.life.clock_ms(),
            "born": self.life.born_ms,
            "seq": self.sequence,
            **fields,
        }
        heartbeat = control_requests.heartbeat_from_wire(
            self.name, json.dumps(document).encode()
        )
        assert not isinstance(heartbeat, errors.Finding)
        return heartbeat

    def client(
        self, record: changes.WorkerRecord
    ) -> worker_client.WorkerClient:
        """Return a client of an incarnation of this worker."""
        client = http_worker_client.HttpWorkerClient(record)
        client.client = self  # type: ignore[assignment]
        return client

    def close(self) -> None:
        """See `http1.client.Client`."""

    async def call(
        self,
        _method: str,
        target: str,
        body: bytes,
        headers: message.Headers,
        timeout_seconds: float,
        _opening: http_client.Opening | None = None,
    ) -> message.Response | http_client.CallFailure:
        """See `http1.client.Client`; calls may reach a later life."""
        await trio.sleep(0.002)
        life = self.life
        if life.down:
            return http_client.CallFailure(False, "connect failed")
        if headers["expect-instance"] != self.name:
            return message.Response(421)
        document = json.loads(body)
        if self.hold_back(target, document):
            self.held_back.append(document)
            await trio.sleep(timeout_seconds)
            return http_client.CallFailure(True, "no response in time")
        if target == "/v1/hold":
            return await self._hold(life, document)
        return await self.carry_out(target, document)

    async def carry_out(
        self, target: str, document: dict[str, Any]
    ) -> message.Response | http_client.CallFailure:
        """Carry out an order in the current life."""
        task = http_worker_client.task_from_wire(document["task"])
        assert task is not None
        order = worker_client.Order(task, document["run"])
        token = document["fencing_token"]
        life = self.life
        if target == "/v1/run-start":
            deadline_ms = document["deadline_ms"]
            lease_ms = deadline_ms - life.clock_ms()
            life.longest_lease_ms = max(life.longest_lease_ms, lease_ms)
            result = await life.start(order, token, deadline_ms)
        else:
            result = await life.stop(order, token)
        if result.verdict in (fakes.Verdict.UNANSWERED, fakes.Verdict.UNSENT):
            possibly_sent = result.verdict == fakes.Verdict.UNANSWERED
            return http_client.CallFailure(possibly_sent, "connection broke")
        answer: dict[str, Any] = {"clock_ms": life.clock_ms()}
        if result.verdict == fakes.Verdict.DONE:
            return message.Response(200, json.dumps(answer).encode())
        answer["reason"] = _REASONS[result.verdict]
        return message.Response(409, json.dumps(answer).encode())

    async def _hold(
        self, life: Life, document: dict[str, Any]
    ) -> message.Response | http_client.CallFailure:
        status = await life.poll(
            document["fencing_token"],
            document["acked_through"],
            document.get("deadline_ms"),
            document.get("wait_ms", 0),
        )
        if isinstance(status, worker_client.PollFailure):
            if status.verdict == fakes.Verdict.FENCED:
                return message.Response(409, b'{"reason":"fence"}')
            return http_client.CallFailure(True, "the connection broke")
        to_wire = http_worker_client.task_to_wire
        answer = {
            "clock_ms": status.clock_ms,
            "born": life.born_ms,
            "running": [
                [row.name, row.run, row.checkpoint, row.progress_percent, 0]
                for row in status.running
            ],
            "ended_runs": [
                [
                    end.sequence,
                    to_wire(end.ended.task),
                    end.ended.run,
                    _HOW[end.ended.ending],
                    end.ended.checkpoint,
                ]
                for end in status.ends
                if end.ended is not None
            ],
        }
        return message.Response(200, json.dumps(answer).encode())


class WireCluster(fakes.FakeCluster):
    """A leader whose workers are reached over the wire formats.

    Attributes:
        wire_workers: The workers, by address.
    """

    def __init__(self, *workers: WireWorker):
        super().__init__()
        self.wire_workers = {each.life.record.address: each for each in workers}

    def _client(
        self, record: changes.WorkerRecord
    ) -> worker_client.WorkerClient:
        return self.wire_workers[record.address].client(record)

    async def send_heartbeats(self, seconds: float = 1.5) -> None:
        """Send the heartbeats of all workers, until cancelled."""
        while True:
            for worker in self.wire_workers.values():
                if not worker.life.down:
                    await self.leader_api.heartbeat(worker.heartbeat())
            await trio.sleep(seconds)

    def lives(self) -> list[Life]:
        """Return all lives of all workers."""
        return [
            life
            for worker in self.wire_workers.values()
            for life in worker.lives
        ]

    def starts(self) -> list[tuple[changes.TaskName, int, float]]:
        """See `FakeCluster`."""
        found = [row for life in self.lives() for row in life.history]
        return sorted(found, key=lambda row: row[2])

    def overlaps(self) -> list[tuple[fakes.Span, fakes.Span]]:
        """See `FakeCluster`."""
        self.workers = {str(n): life for n, life in enumerate(self.lives())}
        return super().overlaps()
