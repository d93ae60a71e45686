"""A leader's work in one term: places tasks and sends orders to workers."""

from collections.abc import Awaitable, Callable, Set
import time

import trio

from turmerichall import outcomes
from turmerichall.agreement import replica as replicas
from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import durations as run_durations
from turmerichall.dispatch import end_commits
from turmerichall.dispatch import freshness as freshnesses
from turmerichall.dispatch import gang_checkpoint
from turmerichall.dispatch import interference_model as interference_models
from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import placement_trigger
from turmerichall.dispatch import planner as planners
from turmerichall.dispatch import policy_client
from turmerichall.dispatch import quarantine as quarantines
from turmerichall.dispatch import recurring_jobs as recurring_job_sets
from turmerichall.dispatch import registry as registries
from turmerichall.dispatch import reports
from turmerichall.dispatch import run_state
from turmerichall.dispatch import service_load
from turmerichall.dispatch import session as sessions
from turmerichall.dispatch import straggler_detector as straggler_detectors
from turmerichall.dispatch import supervised_client
from turmerichall.dispatch import term_commits
from turmerichall.dispatch import term_report
from turmerichall.dispatch import ticket_cache as ticket_caches
from turmerichall.dispatch import worker_client
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.admission_control import selection
from turmerichall.dispatch.colocation import careful_policy
from turmerichall.dispatch.forecasts import forecast
from turmerichall.dispatch.job_requests import job_requests as job_request_sets
from turmerichall.dispatch.job_requests import request_register
from turmerichall.dispatch.retention import poll_pacing as poll_pacings
from turmerichall.dispatch.retention import retention as retentions
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import forgetting
from turmerichall.queues import job as job_records
from turmerichall.queues import state as states
from turmerichall.settings import queue_settings
from turmerichall.supervision import reporter as reporters
from turmerichall.telemetry import lightweight_metrics
from turmerichall.telemetry import loop_delay as loop_delays

__all__ = ["Leadership", "wall_ms"]

# Time from a request for a placement to the placement, so that tasks that
# arrive together are placed together.
PLACEMENT_BATCH_SECONDS = 0.005
# Maximum time between two checks whether the replica still leads.
LEADERSHIP_INTERVAL_SECONDS = 0.25
# Time between two checks whether occurrences of recurring jobs are due.
SCHEDULE_INTERVAL_SECONDS = 0.05


def wall_ms() -> int:
    """Return the wall-clock time in ms since 1970."""
    return time.time_ns() // 1_000_000


class Leadership:
    """The work of a leader in one term.

    Attributes:
        replica: The replica that commits changes.
        queue_state: The replicated state of queues.
        token: Fencing token of all orders, which is the term.
        registry: Live workers and their sessions.
        backlog: Waiting tasks.
        durations: Learned run times.
        forecaster: Forecasts of run times.
        interference_model: Learned slowdowns of long-running tasks.
        load_tracker: Load of long-running jobs.
        colocation: Policy for best-effort tasks beside long-running ones; None
            for the plain one.
        tickets: Permissions to run steps on workers, for queues with a policy.
        metrics_registry: Metrics of this process.
        freshness: Age of the latest quorum contact, which limits lease
            renewals.
        fencers: Ids of workers that refused the token, which ends the work.
        kept_out: Ids of workers that are not used, because they refused the
            token although a quorum confirmed the term.
        zone_names: Availability zones that the settings name.
        scope: Cancel scope that ends the term's work.
        job_requests: Callers' requests to accept and cancel jobs.
        failure_reporter: Reports failures of single sessions.
        loop_delay: Delay of the event loop while this replica leads.
        retention: Removal of what has ended from the replicated state.
        poll_pacing: Pace of the polls of silent workers.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        queue_state: states.QueueState,
        token: int,
        make_client: worker_client.MakeClient,
        freshness: freshnesses.QuorumFreshness,
        log: link.Log,
        durations: run_durations.DurationEstimator,
        interference_model: interference_models.InterferenceModel,
        metrics_registry: lightweight_metrics.MetricsRegistry,
        policy: policy_client.PolicyClient | None = None,
        kept_out: Set[str] = frozenset(),
        zone_names: tuple[str, ...] = (),
        scheduling: queue_settings.Scheduling = queue_settings.Scheduling(),
        register: request_register.RequestRegister | None = None,
        retention_options: retentions.Options = retentions.Options(),
    ):
        self.replica = replica
        self.queue_state = queue_state
        self.token = token
        self.freshness = freshness
        self.log = log
        self.durations = durations
        self.interference_model = interference_model
        self.load_tracker = service_load.LoadTracker()
        self.metrics_registry = metrics_registry
        self.tickets = ticket_caches.TicketCache(policy, log, metrics_registry)
        self.backlog = backlogs.Backlog(queue_state)
        self.forecaster = forecast.Forecaster(durations, metrics_registry)
        self.job_requests = job_request_sets.JobRequests(
            self,
            selection.make_controller(
                scheduling,
                self.backlog,
                durations,
                self.forecaster,
                log,
                metrics_registry,
                wall_ms,
            ),
            register or request_register.RequestRegister(),
            wall_ms,
        )
        self.colocation = careful_policy.make_policy(
            scheduling, interference_model, metrics_registry, log
        )
        self.failure_reporter = reporters.FailureReporter(
            log, metrics_registry, leases.steady_seconds
        )
        self._commits = term_commits.Commits(
            replica, token, log, metrics_registry
        )
        self.registry = registries.Registry(
            self,
            supervised_client.supervise(make_client, self.failure_reporter),
        )
        self.workers = self.registry.workers
        self.poll_pacing = poll_pacings.PollPacing(self.workers)
        self.scope = trio.CancelScope()
        self.loop_delay = loop_delays.LoopDelay(metrics_registry)
        self.fencers: set[str] = set()
        self.kept_out = kept_out
        self.zone_names = zone_names
        # Ids of failed jobs that are closed.
        self._failed_jobs: set[str] = set()
        self._wake = placement_trigger.PlacementTrigger()
        self._nursery: trio.Nursery | None = None
        self._quarantine = quarantines.Quarantine(self)
        self.retention = retentions.Retention(self, retention_options)
        self._recurring_jobs = recurring_job_sets.RecurringJobs(
            queue_state, self.backlog
        )
        self._straggler_detector = straggler_detectors.StragglerDetector(
            queue_state, self.workers, log, self.colocation
        )
        self._end_commits = end_commits.EndCommits(
            queue_state, self.commit_or_resign
        )
        self._planner = planners.Planner(
            metrics_registry,
            self.backlog,
            self.workers,
            interference_model,
            self.tickets,
            log,
            scheduling,
            self.forecaster,
        )

    # Begin and end of the term, and commits.

    async def run(self) -> None:
        """Do the leader's work until the term ends."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self._load_state(nursery)
                self.log.info(
                    "term begins",
                    term=self.token,
                    workers=len(self.workers),
                    jobs=len(self.queue_state.jobs),
                    runs=sum(len(w.runs) for w in self.workers.values()),
                )
                nursery.start_soon(self._end_commits.run)
                nursery.start_soon(self._place_tasks)
                nursery.start_soon(self.tickets.run, self.request_placement)
                nursery.start_soon(self._watch_schedule)
                nursery.start_soon(self._watch_leadership)
                nursery.start_soon(term_report.run, self)
                nursery.start_soon(self.loop_delay.run)
                nursery.start_soon(self._quarantine.run)
                nursery.start_soon(self.retention.run)
                try:
                    await trio.sleep_forever()
                finally:
                    # Calls from outside the nursery may still be in flight;
                    # what they would order is left to the next term.
                    self._nursery = None
                    self.registry.end()

    def _load_state(self, nursery: trio.Nursery) -> None:
        """Load the workers, runs and jobs from the replicated state."""
        self.interference_model.restore_from(self.queue_state)
        self.registry.load(nursery)
        now_ms = wall_ms()
        for job in self.queue_state.jobs.values():
            if job.state == job_records.JobState.FAILED:
                self._failed_jobs.add(job.id)
            for name, task in job.runs():
                self.registry.adopt_run(job, name, task)
            if job.open:
                self._recurring_jobs.add(job, now_ms)
        for session in self.registry.sessions.values():
            if session.worker.draining:
                # The earlier leader may not have stopped all of them.
                self.registry.stop_movable_runs(session.worker)
            for run in session.worker.runs.values():
                if not self.queue_state.jobs[run.task.job].open:
                    self.spawn_stop(session, run)

    async def _watch_leadership(self) -> None:
        while self.replica.leader_term() == self.token and not self.fencers:
            await self.replica.state.role_changed.wait(
                trio.current_time() + LEADERSHIP_INTERVAL_SECONDS
            )
        self.log.info("term ends", term=self.token)
        self.scope.cancel()

    def may_renew(self) -> bool:
        """See `session.Owner`."""
        return self.freshness.may_renew()

    def fenced(self, worker: worker_state.Worker) -> None:
        """See `session.Owner`."""
        self.log.warning(
            "fenced: worker obeys a newer term",
            worker=worker.record.id,
            term=self.token,
        )
        self.fencers.add(worker.record.id)
        self.scope.cancel()

    async def commit(
        self,
        change: changes.Change,
        timeout_seconds: float = term_commits.CALLER_COMMIT_SECONDS,
    ) -> outcomes.Refusal | outcomes.Unknown | None:
        """See `term_commits.Commits.commit`."""
        return await self._commits.commit(change, timeout_seconds)

    async def commit_or_resign(self, change: changes.Change) -> None:
        """Commit a change, or end the term's work if that fails."""
        failed = await self.commit(change, term_commits.OWN_COMMIT_SECONDS)
        if failed is not None:
            self.log.info(
                "change not committed; leader ends its term",
                reason=failed.reason.value,
                detail=failed.detail,
            )
            self.scope.cancel()
            await trio.sleep_forever()

    async def remove_unusable(self, worker: worker_state.Worker) -> None:
        """See `quarantine.Owner`."""
        await self.registry.remove_unusable(worker)

    async def records_forgotten(self, change: forgetting.Forget) -> None:
        """See `retention.Owner`."""
        self._failed_jobs.difference_update(change.jobs)
        await self.registry.drop_removed()

    # Events from sessions.

    def move_stragglers(self, session: sessions.WorkerSession) -> None:
        """See `session.Owner`."""
        now = leases.steady_seconds()
        for run, reason in self._straggler_detector.find_stragglers(
            session.worker, now
        ):
            self.metrics_registry.count("runs_moved", reason=reason)
            self.spawn_stop(session, run)

    def request_placement(self) -> None:
        """See `session.Owner`."""
        self._wake.set_room_changed()

    def record_run_time(self, run: run_state.Run, seconds: float) -> None:
        """See `session.Owner`."""
        if run.step.lasting:
            return
        self.forecaster.record(run, seconds)
        self._straggler_detector.record_run_time(run, seconds)

    def ticket_refused(
        self, worker: worker_state.Worker, run: run_state.Run
    ) -> None:
        """See `session.Owner`."""
        self.tickets.discard(run.task[:3], worker.record.id)

    async def worker_replaced(self, worker: worker_state.Worker) -> bool:
        """See `session.Owner`."""
        return await self.registry.worker_replaced(worker)

    # Runs.

    def spawn_start(
        self, session: sessions.WorkerSession, run: run_state.Run
    ) -> None:
        """See `session.Owner`."""
        # A second task would take a refusal of its own try for the outcome,
        # though a try of the first may still be carried out.
        if self._nursery is None or run.start_spawned:
            return
        job = self.queue_state.jobs.get(run.task.job)
        if job is None:
            return
        run.start_spawned = True
        tickets = self.tickets.valid(run.task[:3], leases.steady_seconds())
        order = worker_client.Order(
            run.task,
            run.number,
            job.demand.spec,
            gang_checkpoint.choose_checkpoint(job, run.task),
            tickets.get(session.worker.record.id, ""),
        )
        self._nursery.start_soon(session.start, run, order)

    def spawn_stop(
        self, session: sessions.WorkerSession, run: run_state.Run
    ) -> None:
        """See `session.Owner`."""
        if not run.stopping and self._nursery is not None:
            run.stopping = True
            self._nursery.start_soon(session.stop, run)

    async def commit_ends(
        self, worker: worker_state.Worker, rows: list[changes.EndedRun]
    ) -> None:
        """See `session.Owner`."""
        await self._end_commits.commit(
            rows, lambda batch: self._free_runs(worker, rows, batch)
        )

    def _free_runs(
        self,
        worker: worker_state.Worker,
        rows: list[changes.EndedRun],
        batch: end_commits.Batch,
    ) -> None:
        for row in rows:
            run = worker.runs.get(row.task)
            if run is None or run.number != row.run:
                continue
            worker.remove(run)
            if row.ending == changes.Ending.DONE:
                if self.backlog.record_done(row.task):
                    # The steps after it may start.
                    self._wake.set()
                    self._straggler_detector.forget_step(row.task)
                    self.tickets.forget_step(row.task[:3])
                    accepted_at_ms = self.queue_state.jobs[row.task.job].at_ms
                    age_ms = wall_ms() - accepted_at_ms
                    reports.log_step_done(self.log, row.task, age_ms)
                if run.step.lasting:
                    self.backlog.requeue(row.task)
            else:
                is_avoided = row.ending == changes.Ending.FAILED or run.moved
                avoided = worker.record.id if is_avoided else ""
                self.backlog.requeue(row.task, avoided)
                if run.preempted:
                    self.backlog.pause(row.task, leases.steady_seconds())
                    # Urgent tasks wait for its room.
                    self._wake.set()
        reports.record_ends(self.log, self.metrics_registry, worker, rows)
        for job in batch.take_closed():
            self._close_ended_job(job)
        self._wake.set_room_changed()

    def _close_ended_job(self, job: job_records.Job) -> None:
        """Close a job that was completed, or failed."""
        if job.id in self._failed_jobs:
            return
        if job.state == job_records.JobState.FAILED:
            self._failed_jobs.add(job.id)
        self.metrics_registry.count("jobs_ended", state=job.state.value)
        reports.log_job_ended(self.log, job, wall_ms() - job.at_ms)
        self._close_job(job.id)

    def close_failed_job(self, job_id: str) -> None:
        """See `registry.Owner`."""
        job = self.queue_state.jobs.get(job_id)
        if job is not None and job.state == job_records.JobState.FAILED:
            self._close_ended_job(job)

    def _close_job(self, job_id: str) -> None:
        """Stop the remaining runs of a job that ended, and forget the job."""
        self.backlog.drop_job(job_id)
        self._recurring_jobs.drop(job_id)
        self._straggler_detector.forget_job(job_id)
        self.tickets.forget_job(job_id)
        self.load_tracker.forget_job(job_id)
        for session in self.registry.sessions.values():
            if job_id not in session.worker.runs_by_job:
                continue
            for run in list(session.worker.runs.values()):
                is_planned = run.phase == run_state.Phase.PLANNED
                if run.task.job == job_id and not is_planned:
                    self.spawn_stop(session, run)

    # Placement.

    async def _place_tasks(self) -> None:
        while True:
            await self._wake.wait()
            await trio.sleep(PLACEMENT_BATCH_SECONDS)
            self._wake.begin_placement()
            if not self.may_renew():
                continue
            began_at = time.perf_counter()
            planned = self._planner.plan(leases.steady_seconds(), wall_ms())
            seconds = time.perf_counter() - began_at
            self._wake.end_placement(seconds, self._planner.is_cut)
            self._stop_for_urgent_tasks()
            if planned:
                await self._start_runs(planned)

    def _stop_for_urgent_tasks(self) -> None:
        """Stop the long-running runs that give room to urgent tasks."""
        stops = self._planner.stops
        if not stops:
            return
        self.metrics_registry.count("runs_preempted", len(stops))
        reports.log_preempted(self.log, stops)
        for stop in stops:
            session = self.registry.sessions[stop.worker.record.id]
            stop.run.preempted = True
            self.spawn_stop(session, stop.run)

    async def _start_runs(self, planned: planners.PlannedRuns) -> None:
        """Commit the planned starts, then send them to the workers."""
        rows = tuple(
            changes.StartedRun(run.task, run.number, worker.record.id)
            for worker, run in planned
        )
        await self.commit_or_resign(changes.StartRuns(rows))
        self.metrics_registry.count("runs_started", len(rows))
        reports.log_starts(self.log, rows)
        unsent: planners.PlannedRuns = []
        for worker, run in planned:
            session = self.registry.sessions.get(worker.record.id)
            job = self.queue_state.jobs.get(run.task.job)
            if session is None:
                worker.remove(run)
                self.backlog.requeue(run.task)
            elif (
                job is not None
                and job.open
                and not self.queue_state.is_evacuated(worker.record)
            ):
                run.phase = run_state.Phase.ORDERED
                self.spawn_start(session, run)
            else:
                unsent.append((worker, run))
        # The jobs were canceled or the zones evacuated in the meantime; these
        # starts are never sent, so the runs stay planned until their ends are
        # committed.
        for worker, run in unsent:
            unstarted = changes.Ending.UNSTARTED
            ended = changes.EndedRun(run.task, run.number, unstarted, "")
            await self.commit_ends(worker, [ended])

    # Jobs.

    async def _watch_schedule(self) -> None:
        """Add occurrences of recurring jobs when they are due."""
        while True:
            await trio.sleep(SCHEDULE_INTERVAL_SECONDS)
            if self._recurring_jobs.advance(wall_ms()):
                self._wake.set()

    def spawn(
        self, function: Callable[..., Awaitable[None]], *args: object
    ) -> bool:
        """See `job_requests.Owner`."""
        if self._nursery is None:
            return False
        self._nursery.start_soon(function, *args)
        return True

    def job_accepted(self, job_id: str) -> None:
        """See `job_requests.Owner`."""
        job = self.queue_state.jobs[job_id]
        if job.open and not job.started:
            self._recurring_jobs.add(job, wall_ms())
            self._wake.set()

    def job_canceled(self, job_id: str) -> None:
        """See `job_requests.Owner`."""
        self._close_job(job_id)

    def end_work(self) -> None:
        """See `job_requests.Owner`."""
        self.scope.cancel()
