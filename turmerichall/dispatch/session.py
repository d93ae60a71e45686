"""A leader's session with one worker: lease renewal, polls and orders."""

from typing import NamedTuple, Protocol

import trio

from turmerichall import errors
from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import run_state
from turmerichall.dispatch import tail_latency_controller
from turmerichall.dispatch import unexpected_runs as unexpected_run_sets
from turmerichall.dispatch import worker_client
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.heartbeats import sequence
from turmerichall.dispatch.retention import poll_pacing as poll_pacings
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import state as states
from turmerichall.supervision import pause as pauses
from turmerichall.supervision import reporter as reporters
from turmerichall.telemetry import lightweight_metrics

__all__ = ["Owner", "WorkerSession"]

# Time for which an order to start a run is valid, on the worker's clock.  The
# worker refuses it afterwards, so an unanswered start never ran if a later poll
# does not list the run.
START_DEADLINE_SECONDS = 1.5
# Maximum time for which the worker delays its answer to a poll until a run
# ends; short while there are unconfirmed starts or tail latencies to watch, and
# medium while tail latencies are far below their targets.  In replays, that
# saves up to 19 % of the polls, and targets are missed for no longer.
SHORT_WAIT_MS = 400
MEDIUM_WAIT_MS = 800
LONG_WAIT_MS = 1500
# Time between two tries to reach a worker.
RETRY_SECONDS = 0.25
# Longest pause after a failure of this session.
MAX_FAILURE_PAUSE_SECONDS = 5.0
# Time between two checks whether a quorum answers again; until then no lease
# may be renewed.
NO_QUORUM_RETRY_SECONDS = 0.05
# Maximum number of tries of one start before its deadline.
START_TRIES = 4
# A confirmed run is lost if a poll that was sent more than this time after the
# confirmation does not list it.
MISSING_GRACE_SECONDS = 0.5

# A call that fails within this time, beyond the time that the worker may wait
# before it answers, met a broken connection; a timeout takes longer.
ABRUPT_SECONDS = 0.3

Verdict = worker_client.Verdict


class Owner(tail_latency_controller.Owner, Protocol):
    """Interface of the leader for a session; `Leadership` implements it."""

    queue_state: states.QueueState
    log: link.Log
    metrics_registry: lightweight_metrics.MetricsRegistry
    failure_reporter: reporters.FailureReporter
    poll_pacing: poll_pacings.PollPacing

    def may_renew(self) -> bool:
        """Return whether leases may be renewed."""

    async def commit_ends(
        self, worker: worker_state.Worker, rows: list[changes.EndedRun]
    ) -> None:
        """Commit ends of runs, and free the resources of the runs."""

    def spawn_start(self, session: "WorkerSession", run: run_state.Run) -> None:
        """Start a run in the background, unless this was done before."""

    def spawn_stop(self, session: "WorkerSession", run: run_state.Run) -> None:
        """Stop a run in the background."""

    def move_stragglers(self, session: "WorkerSession") -> None:
        """Move runs that would finish sooner on another worker."""

    def request_placement(self) -> None:
        """Wake up placement, because the room on some worker has changed."""

    def record_run_time(self, run: run_state.Run, seconds: float) -> None:
        """Record the duration in seconds of a run that completed its task."""

    def ticket_refused(
        self, worker: worker_state.Worker, run: run_state.Run
    ) -> None:
        """Discard the ticket of a start that a worker refused."""

    async def worker_replaced(self, worker: worker_state.Worker) -> bool:
        """Remove a worker whose address another incarnation has taken over.

        Returns:
            Whether it was removed; not before its starts are fenced.
        """


class _Poll(NamedTuple):
    """A poll, and its answer.

    Attributes:
        asked_at: When it was sent, on the steady clock.
        renewed: Whether it renewed the lease.
        wait_ms: How long the worker might wait before it answered.
        status: The answer, or why there is none.
    """

    asked_at: float
    renewed: bool
    wait_ms: int
    status: worker_client.WorkerStatus | worker_client.PollFailure


class WorkerSession:
    """Session that renews a worker's lease, polls it and sends it orders.

    Attributes:
        owner: The leader.
        worker: The worker.
        acknowledged: Sequence number up to which the ends of the worker's runs
            are durable.
        scope: Cancel scope that ends the session.
    """

    def __init__(self, owner: Owner, worker: worker_state.Worker):
        self.owner = owner
        self.worker = worker
        self.acknowledged = 0
        self.scope = trio.CancelScope()
        self._tail_controller = tail_latency_controller.TailLatencyController(
            owner, worker
        )
        self._unexpected_runs = unexpected_run_sets.UnexpectedRuns(
            owner, worker
        )
        self._unanswered = False
        # Whether processing the latest answer failed.
        self._failed = False
        # Number of polls in a row that were not answered.
        self._failures = 0
        self._pause = pauses.GrowingPause(
            RETRY_SECONDS, MAX_FAILURE_PAUSE_SECONDS
        )

    async def run(self) -> None:
        """Poll the worker until it is removed or the term ends."""
        with self.scope:
            try:
                while True:
                    try:
                        await self._poll_once()
                    except errors.StorageError:
                        raise
                    # Whatever this worker caused ends only its own session.
                    # pylint: disable-next=broad-exception-caught
                    except Exception as error:
                        await self._handle_failure(error)
            finally:
                self.worker.client.close()

    async def _handle_failure(self, error: Exception) -> None:
        """Treat the worker as silent until a later poll succeeds."""
        worker = self.worker
        self.owner.failure_reporter.report(
            "session with a worker", error, worker=worker.record.id
        )
        self._unanswered = self._failed = True
        worker.record_silence(leases.steady_seconds(), False)
        await self._end_expired_runs()
        await trio.sleep(self._pause.next_seconds())

    async def _poll_once(self) -> None:
        owner, worker = self.owner, self.worker
        if not owner.may_renew():
            await trio.sleep(NO_QUORUM_RETRY_SECONDS)
            return
        if worker.kept_out:
            await self._end_expired_runs()
            await trio.sleep(RETRY_SECONDS)
            return
        poll = await self._renew_and_poll()
        if poll is None:
            await trio.sleep(NO_QUORUM_RETRY_SECONDS)
            return
        asked_at, renewed, wait_ms, status = poll
        arrived = leases.steady_seconds()
        self._unanswered = isinstance(status, worker_client.PollFailure)
        if isinstance(status, worker_client.PollFailure):
            was_abrupt = arrived - asked_at < wait_ms / 1000 + ABRUPT_SECONDS
            await self._handle_poll_failure(status.verdict, was_abrupt)
            return
        self._failures = 0
        lease = worker.lease
        if not lease.record_clock(status.clock_ms, arrived, asked_at):
            # Nothing else of this answer is relied on: whether starts can still
            # be carried out is told by the clock.
            self._unanswered = True
            owner.metrics_registry.count("worker_clock_jumps")
            owner.log.warning(
                "worker's clock is inconsistent with its earlier readings",
                worker=worker.record.id,
                clock_ms=status.clock_ms,
            )
            await self._handle_poll_failure(Verdict.UNANSWERED, False)
            return
        lease.record_term_accepted()
        if not renewed and not self._failed:
            # This poll only read the worker's clock; the next renews the lease.
            return
        if renewed and not worker.in_touch:
            worker.record_contact()
            owner.log.info("worker in touch", worker=worker.record.id)
            owner.request_placement()
        await self._commit_ends(status)
        await self._reconcile(status, asked_at)
        await self._tail_controller.adjust()
        owner.move_stragglers(self)
        if self._failed:
            # A whole answer was processed, so the worker may be used again.
            self._failed = False
            self._pause.reset()

    async def _renew_and_poll(self) -> _Poll | None:
        """Poll the worker in its turn; None while no lease may be renewed."""
        owner, worker = self.owner, self.worker
        async with owner.poll_pacing.turn(worker.in_touch, self._failures):
            if not owner.may_renew():
                return None
            now = leases.steady_seconds()
            # A poll without an answer may have renewed the lease, so the next
            # one does not: a worker whose answers don't arrive must lose its
            # lease.
            renews = (
                worker.lease.known and not self._unanswered and not self._failed
            )
            deadline_ms = worker.lease.grant(now) if renews else None
            wait_ms = self._wait_ms()
            status = await worker.client.poll(
                owner.token, self.acknowledged, deadline_ms, wait_ms
            )
        return _Poll(now, renews, wait_ms, status)

    def _wait_ms(self) -> int:
        worker = self.worker
        if not worker.in_touch:
            return 0
        if any(
            run.phase != run_state.Phase.RUNNING for run in worker.runs.values()
        ):
            return SHORT_WAIT_MS
        if worker.breaker.tripped and not worker.breaker.proven:
            # The poll after this one may show that the worker is sound.
            return SHORT_WAIT_MS
        if worker.long_running_count and worker.cpu_best_effort:
            quiet = self._tail_controller.is_quiet()
            return MEDIUM_WAIT_MS if quiet else SHORT_WAIT_MS
        return LONG_WAIT_MS

    async def _handle_poll_failure(
        self, verdict: Verdict, was_abrupt: bool
    ) -> None:
        owner, worker = self.owner, self.worker
        if verdict == Verdict.REPLACED:
            if await owner.worker_replaced(worker):
                return
        elif verdict == Verdict.FENCED:
            owner.fenced(worker)
            return
        if worker.in_touch:
            worker.record_silence(leases.steady_seconds(), was_abrupt)
            owner.log.info(
                "worker out of touch",
                worker=worker.record.id,
                verdict=verdict.value,
                runs=len(worker.runs),
            )
        await self._end_expired_runs()
        self._failures += 1
        now = leases.steady_seconds()
        await trio.sleep(owner.poll_pacing.retry_seconds(now))

    async def _end_expired_runs(self) -> None:
        """Commit the loss of all runs, if the lease has certainly expired."""
        owner, worker = self.owner, self.worker
        if worker.runs and worker.lease.has_expired(leases.steady_seconds()):
            rows = [
                self._ended(run, changes.Ending.LOST)
                for run in worker.runs.values()
                if run.phase != run_state.Phase.PLANNED
            ]
            owner.log.info(
                "lease ran out", worker=worker.record.id, runs=len(rows)
            )
            worker.lapsed_runs = list(worker.runs.values())
            await owner.commit_ends(worker, rows)

    async def _commit_ends(self, status: worker_client.WorkerStatus) -> None:
        """Commit new ends of runs, so that they may be acknowledged."""
        worker = self.worker
        rows = []
        last = self.acknowledged
        now = leases.steady_seconds()
        for end in status.ends:
            if end.sequence <= self.acknowledged:
                continue
            last = sequence.last_plausible(end.sequence, last)
            ended = end.ended
            if ended is None:
                continue
            run = worker.runs.get(ended.task)
            if run is None or run.number != ended.run:
                continue
            rows.append(ended)
            succeeded = ended.ending == changes.Ending.DONE
            if succeeded and run.confirmed_at:
                self.owner.record_run_time(run, now - run.confirmed_at)
            if succeeded or ended.ending == changes.Ending.FAILED:
                worker.breaker.record(succeeded, now, ended.task.job)
        if rows:
            await self.owner.commit_ends(worker, rows)
        self.acknowledged = last

    async def _reconcile(
        self, status: worker_client.WorkerStatus, asked_at: float
    ) -> None:
        """Reconcile the runs that the worker lists with those expected there.

        Args:
            status: Status of the worker.
            asked_at: Time on the steady clock at which the poll was sent.
        """
        worker, owner = self.worker, self.owner
        listed: dict[changes.TaskName, worker_client.RunningTask] = {}
        now = leases.steady_seconds()
        unexpected = []
        for row in status.running:
            run = worker.runs.get(row.task) if row.task else None
            if row.task is None or run is None or run.number != row.run:
                unexpected.append(row)
                if row.task is not None and (
                    row.run == worker_client.UNKNOWN_RUN
                ):
                    # It may be the expected run, so that is not lost.
                    listed[row.task] = row
                continue
            listed[row.task] = row
            if run.phase == run_state.Phase.ORDERED:
                run.phase = run_state.Phase.RUNNING
            if not run.confirmed_at:
                run.confirmed_at = now
            if worker.breaker.tripped and worker.breaker.record_running(
                now - run.confirmed_at, run.step.lasting
            ):
                owner.request_placement()
            run.load = row.recent_load
            run.record_progress(row.progress_percent, now)
            run.record_checkpoint(row.checkpoint)
        if unexpected:
            await self._unexpected_runs.handle(unexpected)
        if not status.complete:
            return
        rows = []
        for task, run in list(worker.runs.items()):
            if task in listed or run.phase == run_state.Phase.PLANNED:
                continue
            if run.phase == run_state.Phase.ORDERED:
                if not run.start_spawned:
                    # This start was committed in an earlier term, and perhaps
                    # never sent.
                    owner.spawn_start(self, run)
                elif 0 < run.refused_after_ms < status.clock_ms:
                    rows.append(self._ended(run, changes.Ending.UNSTARTED))
            elif asked_at > run.confirmed_at + MISSING_GRACE_SECONDS:
                rows.append(self._ended(run, changes.Ending.LOST))
        if rows:
            owner.log.info(
                "worker does not list expected runs",
                worker=worker.record.id,
                tasks=[str(row.task) for row in rows[:8]],
                count=len(rows),
            )
            await owner.commit_ends(worker, rows)

    def _ended(
        self, run: run_state.Run, ending: changes.Ending
    ) -> changes.EndedRun:
        return changes.EndedRun(run.task, run.number, ending, run.checkpoint)

    async def start(
        self, run: run_state.Run, order: worker_client.Order
    ) -> None:
        """Send a committed start to the worker.

        If no try is answered, later polls show whether the run was started.
        """
        owner, worker = self.owner, self.worker
        lease = worker.lease
        # The start also renews the lease.  If this process was frozen since the
        # commit, another leader may not expect that any more.
        while not owner.may_renew():
            await trio.sleep(NO_QUORUM_RETRY_SECONDS)
        now = leases.steady_seconds()
        run.refused_after_ms = lease.grant(now, START_DEADLINE_SECONDS)
        # Workers refuse the orders of earlier terms, but the leader's work may
        # have begun again in the same one.
        may_be_pending = run.adopted
        for _ in range(START_TRIES):
            if run.stopping or worker.runs.get(run.task) is not run:
                break
            if worker.replaced or owner.queue_state.is_evacuated(worker.record):
                break
            first_try = not run.sent_at
            run.sent_at = run.sent_at or leases.steady_seconds()
            result = await worker.client.start(
                order, owner.token, run.refused_after_ms
            )
            if first_try and result.verdict == Verdict.UNSENT:
                run.sent_at = 0.0
            may_be_pending = may_be_pending or result.may_be_pending
            if result.may_be_pending or result.verdict == Verdict.UNANSWERED:
                worker.record_unanswered_start(run, leases.steady_seconds())
            if await self._handle_start_result(run, result, may_be_pending):
                return
            may_be_pending = may_be_pending or result.verdict != Verdict.UNSENT
            if lease.estimate_ms(leases.steady_seconds()) >= (
                run.refused_after_ms
            ):
                break
        owner.log.info(
            "start without an answer",
            worker=worker.record.id,
            job=run.task.job,
            run=run.number,
        )

    async def _handle_start_result(
        self,
        run: run_state.Run,
        result: worker_client.OrderResult,
        may_be_pending: bool,
    ) -> bool:
        """Handle the answer to a start.

        Args:
            run: The run.
            result: The answer.
            may_be_pending: Whether an earlier try may still be carried out.

        Returns:
            Whether the outcome of the start is settled, so that no further try
            is made.
        """
        owner, worker = self.owner, self.worker
        verdict = result.verdict
        now = leases.steady_seconds()
        if verdict in (Verdict.UNANSWERED, Verdict.UNSENT):
            # No tasks are placed on the worker until it answers a poll.
            was_abrupt = now - run.sent_at < ABRUPT_SECONDS
            worker.record_silence(now, was_abrupt)
            return False
        if verdict == Verdict.DONE:
            if run.phase == run_state.Phase.ORDERED:
                run.phase = run_state.Phase.RUNNING
                run.confirmed_at = now
            if run.stopping:
                await self.stop(run)
            elif run.step.fills:
                await self._tail_controller.pace()
            return True
        if verdict == Verdict.FENCED:
            owner.fenced(worker)
            return True
        owner.metrics_registry.count("starts_refused", verdict=verdict.value)
        owner.log.info(
            "start refused",
            worker=worker.record.id,
            job=run.task.job,
            step=run.task.step,
            index=run.task.number,
            run=run.number,
            verdict=verdict.value,
            cpu_asked=worker.cpu_reserved,
            memory_used=worker.memory_reserved,
        )
        if verdict == Verdict.REPLACED:
            await owner.worker_replaced(worker)
            return True
        if verdict == Verdict.OUTDATED:
            # A poll reports the end of the run, which is committed then.
            return True
        if may_be_pending:
            return False
        if verdict == Verdict.NO_TICKET:
            owner.ticket_refused(worker, run)
        if verdict in (Verdict.UNWELL, Verdict.NO_ROOM, Verdict.MALFORMED):
            worker.breaker.record_refusal(now)
        await owner.commit_ends(
            worker, [self._ended(run, changes.Ending.UNSTARTED)]
        )
        return True

    async def stop(self, run: run_state.Run) -> None:
        """Tell the worker to stop a run; a later poll reports its end."""
        owner, worker = self.owner, self.worker
        run.stopping = True
        while worker.runs.get(run.task) is run and not worker.kept_out:
            result = await worker.client.stop(run.order(), owner.token)
            if result.verdict == Verdict.DONE:
                return
            if result.verdict == Verdict.FENCED:
                owner.fenced(worker)
                return
            if result.verdict == Verdict.REPLACED:
                await owner.worker_replaced(worker)
                return
            await trio.sleep(RETRY_SECONDS)
