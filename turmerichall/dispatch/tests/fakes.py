"""In-process fakes of workers and of the replica that commits changes."""

from collections.abc import Callable
import ipaddress
import itertools
import types
from typing import NamedTuple
import zlib

import trio

from turmerichall import outcomes
from turmerichall.agreement import condition as conditions
from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.dispatch import policy_client
from turmerichall.dispatch import worker_client
from turmerichall.dispatch.retention import retention as retentions
from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import demand as demands
from turmerichall.queues import state as states
from turmerichall.telemetry import lightweight_metrics
from turmerichall.telemetry import logs

QUEUE = configurations.Queue(
    "batch", "a.example", "/jobs/", "desk", max_attempts=3
)
CONFIGURATION = configurations.Configuration(
    1, (QUEUE,), (configurations.Service("desk"),)
)
GANG_WAIT_SECONDS = 3.0

Verdict = worker_client.Verdict
Result = worker_client.OrderResult


def address_of(worker_id: str) -> str:
    """Return the address at which a fake worker takes orders."""
    number = zlib.crc32(worker_id.encode()) % 2**24
    return f"{ipaddress.IPv4Address('10.0.0.0') + number}:80"


class FakeRun:
    """A run on a fake worker."""

    def __init__(
        self, order: worker_client.Order, began_at: float, ends_at: float
    ):
        self.order = order
        self.began_at = began_at
        self.ends_at = ends_at
        self.percent = 0
        self.load = 0
        self.pace = 100


class Span(NamedTuple):
    """Time for which a run was at work, in trio time."""

    task: changes.TaskName
    run: int
    began_at: float
    ended_at: float


class FakeWorker:
    """A worker that follows the published protocol, by its own clock.

    Attributes:
        history: Every start that was carried out: task, run and time.
        spans: Every run that ended.
        late_starts: Starts under way, with the time of their arrival.
        run_seconds: Time that a run takes.
        lasting_jobs: Ids of jobs whose runs never end by themselves.
        verdicts: Verdicts with which the next starts are answered without
            being carried out.
        silent: Whether calls get no answer and have no effect.
        drop_answers: Whether starts are carried out but not answered.
        deadly_tasks: Tasks that crash the worker when it starts them.
        down: Whether it has crashed: connections break or are refused.
        crashed_runs: Tasks that were running when it crashed.
    """

    def __init__(self, worker_id: str, cpu: int = 8000, rate: float = 1.0):
        self.record = changes.WorkerRecord(
            worker_id,
            "",
            address_of(worker_id),
            "desk",
            "z",
            "r1",
            ("a", "r1"),
            cpu,
            64000,
            0,
        )
        self.rate = rate
        self.run_seconds = 1.0
        self.lasting_jobs: set[str] = set()
        self.silent = False
        self.drop_answers = False
        self.deadly_tasks: set[changes.TaskName] = set()
        self.down = False
        self.crashed_runs: list[changes.TaskName] = []
        self.verdicts: list[Verdict] = []
        self.token = 0
        self.deadline_ms = 0
        self.acknowledged = 0
        self.runs: dict[changes.TaskName, FakeRun] = {}
        self.ends: list[worker_client.RunEnd] = []
        self.fenced: dict[changes.TaskName, int] = {}
        self.history: list[tuple[changes.TaskName, int, float]] = []
        self.spans: list[Span] = []
        self.late_starts: list[
            tuple[float, tuple[worker_client.Order, int, int]]
        ] = []
        self.paces: list[tuple[changes.TaskName, int]] = []
        self.outcome: Callable[[changes.TaskName], changes.Ending] = (
            lambda _: changes.Ending.DONE
        )

    def clock_ms(self) -> int:
        """Return the worker's steady clock in ms."""
        return int(trio.current_time() * 1000 * self.rate) + 5000

    def _advance(self) -> None:
        """Bring the runs up to date.

        Ends the runs that are done, or all runs if the lease expired, and
        carries out the starts that have arrived.
        """
        now = trio.current_time()
        rows, self.late_starts = self.late_starts, []
        for row in rows:
            if row[0] <= now:
                self.execute_start(*row[1])
            else:
                self.late_starts.append(row)
        if self.runs and self.deadline_ms <= self.clock_ms():
            for task in list(self.runs):
                self.end(task, changes.Ending.LOST)
        now = trio.current_time()
        for task, run in list(self.runs.items()):
            if now >= run.ends_at:
                self.end(task, self.outcome(task))

    def end(self, task: changes.TaskName, ending: changes.Ending) -> None:
        """End a run."""
        run = self.runs.pop(task)
        ended_at = min(run.ends_at, trio.current_time())
        self.spans.append(Span(task, run.order.run, run.began_at, ended_at))
        self.fenced[task] = max(self.fenced.get(task, 0), run.order.run)
        ended = changes.EndedRun(task, run.order.run, ending, "")
        number = self.acknowledged + len(self.ends) + 1
        self.ends.append(worker_client.RunEnd(number, ended))

    def crash(self) -> None:
        """Crash: all runs end at once, and nothing is remembered."""
        self.down = True
        self.crashed_runs = list(self.runs)
        now = trio.current_time()
        for task, run in self.runs.items():
            self.spans.append(Span(task, run.order.run, run.began_at, now))
        self.runs.clear()
        self.ends.clear()

    def _accepts_token(self, token: int) -> bool:
        self.token = max(self.token, token)
        return token >= self.token

    async def _answer(self) -> None:
        await trio.sleep(0.002)

    async def _no_answer(self, seconds: float = 0.35) -> Result:
        await trio.sleep(seconds)
        return Result(Verdict.UNANSWERED)

    async def start(
        self, order: worker_client.Order, token: int, deadline_ms: int
    ) -> Result:
        """See `WorkerClient`."""
        if self.silent:
            return await self._no_answer()
        await self._answer()
        if self.down:
            return Result(Verdict.UNSENT)
        if self.verdicts:
            return Result(self.verdicts.pop(0), self.clock_ms())
        result = self.execute_start(order, token, deadline_ms)
        if order.task in self.deadly_tasks and order.task in self.runs:
            self.crash()
            return Result(Verdict.UNANSWERED)
        return await self._no_answer() if self.drop_answers else result

    def execute_start(
        self, order: worker_client.Order, token: int, deadline_ms: int
    ) -> Result:
        """Carry out a start; tests call it directly for a delayed start."""
        self._advance()
        if not self._accepts_token(token):
            return Result(Verdict.FENCED, self.clock_ms())
        known = self.runs.get(order.task)
        if known is not None and known.order.run == order.run:
            return Result(Verdict.DONE, self.clock_ms())
        if order.run <= self.fenced.get(order.task, 0):
            return Result(Verdict.OUTDATED, self.clock_ms())
        if deadline_ms <= self.clock_ms():
            return Result(Verdict.LATE, self.clock_ms())
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        now = trio.current_time()
        endless = order.task.job in self.lasting_jobs
        ends_at = float("inf") if endless else now + self.run_seconds
        self.runs[order.task] = FakeRun(order, now, ends_at)
        self.history.append((order.task, order.run, now))
        return Result(Verdict.DONE, self.clock_ms())

    async def stop(self, order: worker_client.Order, token: int) -> Result:
        """See `WorkerClient`."""
        if self.silent:
            return await self._no_answer()
        await self._answer()
        if self.down:
            return Result(Verdict.UNSENT)
        self._advance()
        if not self._accepts_token(token):
            return Result(Verdict.FENCED, self.clock_ms())
        run = self.runs.get(order.task)
        if run is not None and run.order.run == order.run:
            self.end(order.task, changes.Ending.STOPPED)
        fenced = self.fenced.get(order.task, 0)
        self.fenced[order.task] = max(fenced, order.run)
        return Result(Verdict.DONE, self.clock_ms())

    async def pace(
        self, order: worker_client.Order, percent: int, token: int
    ) -> Result:
        """See `WorkerClient`."""
        await self._answer()
        run = self.runs.get(order.task)
        if run is not None and self._accepts_token(token):
            run.pace = percent
            self.paces.append((order.task, percent))
        return Result(Verdict.DONE, self.clock_ms())

    async def poll(
        self,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> worker_client.WorkerStatus | worker_client.PollFailure:
        """See `WorkerClient`."""
        if self.silent:
            await trio.sleep(0.5 + wait_ms / 1000)
            return worker_client.PollFailure(Verdict.UNANSWERED)
        await self._answer()
        if self.down:
            return worker_client.PollFailure(Verdict.UNSENT)
        self._advance()
        if not self._accepts_token(token):
            return worker_client.PollFailure(Verdict.FENCED)
        if deadline_ms is not None:
            self.deadline_ms = max(self.deadline_ms, deadline_ms)
        while self.ends and self.ends[0].sequence <= acknowledged:
            self.acknowledged = self.ends.pop(0).sequence
        waited = 0.0
        while not self.ends and waited < wait_ms / 1000:
            await trio.sleep(0.05)
            waited += 0.05
            if self.down:
                return worker_client.PollFailure(Verdict.UNANSWERED)
            self._advance()
        running = [
            worker_client.RunningTask(
                task, str(task), run.order.run, "", run.percent, run.load
            )
            for task, run in self.runs.items()
        ]
        return worker_client.WorkerStatus(
            self.clock_ms(), running, list(self.ends), True
        )

    def close(self) -> None:
        """See `WorkerClient`."""


class OtherWorker:
    """Client of an incarnation that is not, or no longer, at its address.

    Attributes:
        verdict: Verdict of all calls.
    """

    def __init__(self, verdict: Verdict):
        self.verdict = verdict

    async def start(self, *_: object) -> Result:
        """See `WorkerClient`."""
        await trio.sleep(0.002)
        return Result(self.verdict)

    stop = pace = start

    async def poll(self, *_: object) -> worker_client.PollFailure:
        """See `WorkerClient`."""
        await trio.sleep(0.002)
        return worker_client.PollFailure(self.verdict)

    def close(self) -> None:
        """See `WorkerClient`."""


class FakeReplica:
    """A replica that leads, and commits changes after 0.01 s.

    Attributes:
        queue_state: The state to which changes are applied.
        term: The term in which it leads; 0 if it does not lead.
        committing: Whether changes are committed.
        disk_almost_full: Whether its disk is almost full.
        changes: All committed changes.
    """

    def __init__(self, queue_state: states.QueueState):
        self.queue_state = queue_state
        self.term = 1
        self.committing = True
        self.disk_almost_full = False
        self.changes: list[changes.Change] = []
        self.state = types.SimpleNamespace(
            role_changed=conditions.Condition(),
            applied_advanced=conditions.Condition(),
            leader="self",
            members=(),
        )

    def leader_term(self) -> int:
        """See `agreement.replica.Replica`."""
        return self.term

    async def wait_log_applied(self, term: int) -> None:
        """See `agreement.replica.Replica`."""

    def is_disk_almost_full(self) -> bool:
        """See `agreement.replica.Replica`."""
        return self.disk_almost_full

    def lead(self, term: int) -> None:
        """Become leader in another term; 0 makes it a follower."""
        self.term = term
        self.state.role_changed.notify_all()
        self.state.applied_advanced.notify_all()

    def resign(self, term: int) -> None:
        """See `agreement.replica.Replica`."""
        if term == self.term:
            self.lead(0)

    def seconds_since_quorum(self) -> float:
        """See `agreement.replica.Replica`."""
        return 0.0 if self.term else 99.0

    async def barrier(self, timeout_seconds: float) -> outcomes.Refusal | None:
        """See `agreement.replica.Replica`."""
        await trio.sleep(timeout_seconds)
        return outcomes.Refusal(outcomes.RefusalReason.NO_QUORUM)

    async def propose_in_term(
        self, change: bytes, term: int, timeout_seconds: float = 5.0
    ) -> bytes | outcomes.Refusal | outcomes.Unknown:
        """See `agreement.replica.Replica`."""
        if term != self.term:
            return outcomes.Refusal(outcomes.RefusalReason.NOT_LEADER)
        if not self.committing:
            await trio.sleep(timeout_seconds)
            return outcomes.Unknown(outcomes.UnknownReason.LEADER_LOST)
        await trio.sleep(0.01)
        self.apply(changes.decode(change))
        return b""

    def apply(self, change: changes.Change) -> None:
        """Apply a change as if it were committed."""
        self.changes.append(change)
        self.queue_state.apply(len(self.changes), changes.encode(change))


class RecordingLog:
    """A log that records its lines for tests."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []

    def info(self, message: str, **fields: object) -> None:
        """Keep a message."""
        assert not fields.keys() & logs.RESERVED_FIELDS
        self.lines.append((message, fields))

    warning = error = info


class FakeCluster:
    """A leader API with a fake replica and fake workers.

    Attributes:
        workers: Workers by address.
        replica: The replica.
        leader_api: The leader API under test.
        make_replica: Makes the replica.
    """

    make_replica: type[FakeReplica] = FakeReplica

    def __init__(
        self,
        *workers: FakeWorker,
        policy: policy_client.PolicyClient | None = None,
        retention: retentions.Options = retentions.Options(),
    ):
        self.workers = {each.record.address: each for each in workers}
        self.queue_state = states.QueueState()
        self.replica = self.make_replica(self.queue_state)
        self.log = RecordingLog()
        self.replica.apply(changes.SetConfiguration(CONFIGURATION, b"{}"))
        for worker in workers:
            self.replica.apply(changes.RegisterWorker(worker.record))
        self.leader_api = leader_apis.LeaderApi(
            self.replica,  # type: ignore[arg-type]
            self.queue_state,
            self._client,
            self.log,
            lightweight_metrics.MetricsRegistry(),
            policy,
            retention=retention,
        )

    def _client(
        self, record: changes.WorkerRecord
    ) -> worker_client.WorkerClient:
        worker = self.workers.get(record.address)
        if worker is None:
            return OtherWorker(Verdict.UNSENT)
        if worker.record.id != record.id:
            return OtherWorker(Verdict.REPLACED)
        return worker

    def starts(self) -> list[tuple[changes.TaskName, int, float]]:
        """Return all starts that workers carried out, oldest first."""
        found = [row for each in self.workers.values() for row in each.history]
        return sorted(found, key=lambda row: row[2])

    def overlaps(self) -> list[tuple[Span, Span]]:
        """Return the pairs of runs of one task that were at work at once."""
        now = trio.current_time()
        spans = [span for each in self.workers.values() for span in each.spans]
        for worker in self.workers.values():
            for task, run in worker.runs.items():
                spans.append(Span(task, run.order.run, run.began_at, now))
        spans.sort()
        return [
            (first, second)
            for first, second in itertools.pairwise(spans)
            if first.task == second.task and second.began_at < first.ended_at
        ]

    async def wait_until(
        self, condition: Callable[[], bool], seconds: float = 30.0
    ) -> None:
        """Wait for a condition, and fail after a time on the mocked clock."""
        with trio.fail_after(seconds):
            while not condition():
                await trio.sleep(0.01)

    async def submit(self, job: str, demand: demands.JobDemand) -> None:
        """Submit a job, which is accepted."""
        assert await self.leader_api.submit(QUEUE, job, demand) is None

    async def wait_for_state(
        self, state: str, *jobs: str, seconds: float = 30.0
    ) -> None:
        """Wait until jobs are in a state, as `wait_until` does."""
        await self.wait_until(
            lambda: all(self.job_state(job) == state for job in jobs), seconds
        )

    def job_state(self, job: str) -> str:
        """Return the state of a job."""
        return self.queue_state.jobs[job].state.value
