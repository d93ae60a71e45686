"""Requests of callers, workers and operators that only the leader answers."""

from collections.abc import Callable, Collection
from typing import NamedTuple

import trio

from turmerichall import outcomes
from turmerichall.agreement import replica as replicas
from turmerichall.dispatch import configuration_commits
from turmerichall.dispatch import durations as run_durations
from turmerichall.dispatch import fence_response as fence_responses
from turmerichall.dispatch import freshness as freshnesses
from turmerichall.dispatch import interference_model as interference_models
from turmerichall.dispatch import leadership as leaderships
from turmerichall.dispatch import policy_client
from turmerichall.dispatch import term_failures
from turmerichall.dispatch import worker_client
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.admission_control import controller
from turmerichall.dispatch.evacuation import requests as evacuation_requests
from turmerichall.dispatch.job_requests import begun_jobs
from turmerichall.dispatch.job_requests import job_requests
from turmerichall.dispatch.job_requests import request_register
from turmerichall.dispatch.retention import memory_pressure
from turmerichall.dispatch.retention import retention as retentions
from turmerichall.http1 import server
from turmerichall.peers import link
from turmerichall.queues import configuration as configurations
from turmerichall.queues import configuration_edits
from turmerichall.queues import demand as demands
from turmerichall.queues import job as job_records
from turmerichall.queues import state as states
from turmerichall.settings import queue_settings
from turmerichall.supervision import rejections
from turmerichall.supervision import reporter as reporters
from turmerichall.telemetry import lightweight_metrics

__all__ = ["ANY_TERM", "Attempt", "Failure", "Leader", "LeaderApi"]

BARRIER_SECONDS = 0.8
RETRY_SECONDS = job_requests.RETRY_SECONDS
NOT_LEADER = job_requests.NOT_LEADER
NO_QUORUM = outcomes.Refusal(
    outcomes.RefusalReason.NO_QUORUM, "no quorum answered", RETRY_SECONDS
)
NO_ROOM = outcomes.Refusal(
    outcomes.RefusalReason.NO_ROOM, "the disk is almost full", RETRY_SECONDS
)

# Any leader may process an attempt: instances of older versions name no term.
ANY_TERM = -1

Failure = outcomes.Refusal | outcomes.Unknown


class Leader(NamedTuple):
    """The current leader, as known to one replica.

    Attributes:
        address: Address at which the leader takes calls from instances; empty
            if unknown.
        serving: Whether the answering replica is the leader and ready to serve.
        replicas: Addresses of all replicas.
        limits: Limits on callers' requests that are in force.
        configured: Whether a configuration is in force.
    """

    address: str
    serving: bool
    replicas: tuple[str, ...] = ()
    limits: server.Limits = server.Limits()
    configured: bool = False


class Attempt(NamedTuple):
    """One attempt of a caller's call, as an entry instance forwards it.

    Attributes:
        call_id: Id of the call, the same for all its attempts; empty if
            unknown.
        term: Term of the leader that may process it, or `ANY_TERM`.
    """

    call_id: str = ""
    term: int = ANY_TERM


class LeaderApi:
    """Interface for the requests that only the leader may answer.

    Attributes:
        replica: This replica.
        queue_state: Its replicated state of queues.
        leadership: The work of the current term; None if this replica does
            not lead.
        rejections: Reports messages that are rejected.
        retention: How long records are kept.
        may_revise: Returns whether all replicas can apply a change of the
            configuration that holds only what differs.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        queue_state: states.QueueState,
        make_client: worker_client.MakeClient,
        log: link.Log,
        metrics_registry: lightweight_metrics.MetricsRegistry,
        policy: policy_client.PolicyClient | None = None,
        scheduling: queue_settings.Scheduling = queue_settings.Scheduling(),
        zone_names: tuple[str, ...] = (),
        may_revise: Callable[[], bool] = lambda: False,
        retention: retentions.Options = retentions.Options(),
    ):
        self.replica = replica
        self.may_revise = may_revise
        self.queue_state = queue_state
        self.leadership: leaderships.Leadership | None = None
        self.freshness = freshnesses.QuorumFreshness(replica)
        self.rejections = rejections.Rejections(log, metrics_registry)
        self._make_client = make_client
        self._log = log
        self._metrics_registry = metrics_registry
        self._policy = policy
        self._scheduling = scheduling
        self._zone_names = zone_names
        self.retention = retention
        self._begun_jobs = begun_jobs.BegunJobs()
        self._fence_response = fence_responses.FenceResponse(replica, log)
        self._durations = run_durations.DurationEstimator()
        self._interference_model = interference_models.InterferenceModel(
            is_careful=scheduling.colocation == "careful"
        )

    async def run(self) -> None:
        """Do the leader's work in every term in which this replica leads."""
        replica = self.replica
        term = 0
        kept_out: frozenset[str] = frozenset()
        register = request_register.RequestRegister()
        failures = term_failures.TermFailures(
            replica,
            reporters.FailureReporter(self._log, self._metrics_registry),
        )
        while True:
            # A leader's state becomes current only by applying an entry.
            await replica.state.applied_advanced.wait_for(
                lambda: replica.leader_term() != 0
            )
            if term != replica.leader_term():
                term = replica.leader_term()
                kept_out = frozenset()
                register = request_register.RequestRegister()
            # What earlier work in this term proposed may not be applied yet.
            await replica.wait_log_applied(term)
            leadership = self.leadership = leaderships.Leadership(
                self.replica,
                self.queue_state,
                term,
                self._make_client,
                self.freshness,
                self._log,
                self._durations,
                self._interference_model,
                self._metrics_registry,
                self._policy,
                kept_out,
                self._zone_names,
                self._scheduling,
                register,
                self.retention,
            )
            try:
                await leadership.run()
            # The work begins anew, or another replica leads; the log goes on.
            # pylint: disable-next=broad-exception-caught
            except Exception as error:
                self.leadership = None
                await failures.handle(term, error)
            finally:
                self.leadership = None
            if leadership.fencers:
                kept_out |= await self._fence_response.respond(
                    term,
                    leadership.fencers,
                    leadership.workers.keys() - kept_out,
                )
            await trio.sleep(0.02)

    def leader(self) -> Leader:
        """Return the current leader, as known to this replica."""
        state = self.replica.state
        configuration = self.queue_state.configuration
        return Leader(
            state.leader,
            self.leadership is not None and self.freshness.may_read(),
            tuple(each.address for each in state.members),
            configuration.limits,
            configuration.version > 0,
        )

    async def _confirm(self) -> outcomes.Refusal | None:
        """Return None if a linearizable read is possible, or a refusal."""
        if self.leadership is None:
            return NOT_LEADER
        if self.freshness.may_read():
            return None
        refusal = await self.replica.barrier(BARRIER_SECONDS)
        if self.leadership is None:
            return NOT_LEADER
        return None if refusal is None else NO_QUORUM

    def may_process(self, attempt: Attempt) -> bool:
        """Return whether this replica is the leader that an attempt is for.

        To be asked after the last wait before the attempt has an effect.
        """
        leadership = self.leadership
        return leadership is not None and (
            attempt.term in (ANY_TERM, leadership.token)
        )

    async def find_queue(
        self, host: str, path: str
    ) -> configurations.Queue | outcomes.Refusal:
        """Return the queue for a request's host and path, or a refusal."""
        refusal = await self._confirm()
        if refusal is not None:
            return refusal
        configuration = self.queue_state.configuration
        if configuration.version == 0:
            return outcomes.Refusal(
                outcomes.RefusalReason.NO_QUORUM,
                "no configuration yet",
                RETRY_SECONDS,
            )
        queue = configuration.find(host, path)
        if queue is None:
            return outcomes.Refusal(
                outcomes.RefusalReason.UNKNOWN_SERVICE, "no such queue"
            )
        return queue

    async def refuse(
        self, refusal: outcomes.Refusal, job_id: str, attempt: Attempt
    ) -> Failure | None:
        """Refuse to accept a job, unless it is accepted.

        A refusal promises that the job does not run, so it must hold for the
        other attempts of the call: they get it too when they come to be
        processed, and it is not given if one of them was accepted.

        Args:
            refusal: The refusal.
            job_id: Id of the job.
            attempt: The attempt of the caller's call.

        Returns:
            The refusal; None if the job is durable; or another failure.
        """
        leadership = self.leadership
        if leadership is None or not self.may_process(attempt):
            return NOT_LEADER
        register = leadership.job_requests.register
        if job_id in self.queue_state.jobs:
            return None
        submission = register.submissions.get(job_id)
        if submission is not None:
            return await submission.wait(job_requests.CALLER_WAIT_SECONDS)
        register.record_refusal(attempt.call_id, refusal, trio.current_time())
        return refusal

    async def submit(
        self,
        queue: configurations.Queue,
        job_id: str,
        demand: demands.JobDemand,
        caller_zone: str = "",
        attempt: Attempt = Attempt(),
    ) -> Failure | None:
        """Accept a job; return None once it is durable, or the failure.

        Args:
            queue: Its queue.
            job_id: Id of the job.
            demand: The job as its caller described it.
            caller_zone: Availability zone of the entry instance that received
                the call; empty if unknown.
            attempt: The attempt of the caller's call.
        """
        leadership = self.leadership
        if leadership is None or not self.may_process(attempt):
            return NOT_LEADER
        refused = leadership.job_requests.register.refusal(attempt.call_id)
        if refused is not None:
            return refused
        no_room = self._find_shortage()
        if no_room is not None:
            reason = no_room.reason.value
            self._metrics_registry.count("jobs_refused", reason=reason)
            return await self.refuse(no_room, job_id, attempt)
        failure = await leadership.job_requests.submit(
            controller.Submission(job_id, queue, demand, caller_zone)
        )
        if isinstance(failure, outcomes.Refusal) and (
            failure.reason != outcomes.RefusalReason.NOT_LEADER
        ):
            return await self.refuse(failure, job_id, attempt)
        return failure

    def _find_shortage(self) -> outcomes.Refusal | None:
        """Return why no job can be stored now; None if there is room."""
        if self.replica.is_disk_almost_full():
            return NO_ROOM
        pressure = memory_pressure.level(
            self.queue_state.jobs_bytes, self.retention.memory_bytes
        )
        if pressure == memory_pressure.Level.CRITICAL:
            return memory_pressure.REFUSAL
        return None

    def job_state(self, job_id: str) -> job_records.JobState | outcomes.Refusal:
        """Return the state of a job, or a refusal if it is unknown.

        The caller must have awaited `find_queue` just before, which confirms
        that this replica may answer reads.
        """
        job = self.queue_state.jobs.get(job_id)
        if job is None:
            return outcomes.Refusal(
                outcomes.RefusalReason.UNKNOWN_NAME, "no such job"
            )
        return begun_jobs.find_state(job, self.queue_state, self._workers())

    def _workers(self) -> Collection[worker_state.Worker]:
        """Return the workers; none if this replica does not lead."""
        leadership = self.leadership
        return () if leadership is None else leadership.workers.values()

    async def cancel(self, job_id: str) -> Failure | None:
        """Cancel a job; return None once this is durable, or the failure."""
        leadership = self.leadership
        if leadership is None:
            return NOT_LEADER
        return await leadership.job_requests.cancel(job_id)

    def pending(self, queue: configurations.Queue) -> int:
        """Return the number of jobs of a queue that have not begun."""
        begun = self._begun_jobs.find(self._workers(), trio.current_time())
        return begun_jobs.count_pending(queue.key, self.queue_state, begun)

    async def heartbeat(self, heartbeat: worker_client.Heartbeat) -> bool:
        """Apply a worker's heartbeat; return whether to acknowledge it."""
        leadership = self.leadership
        return leadership is not None and await leadership.registry.heartbeat(
            heartbeat
        )

    async def worker_leaving(self, worker: str) -> bool:
        """Handle a worker's notice that it is shutting down.

        Returns:
            Whether to acknowledge the notice.
        """
        leadership = self.leadership
        return (
            leadership is not None
            and await leadership.registry.worker_leaving(worker)
        )

    async def configure(
        self, configuration: configurations.Configuration, document: bytes
    ) -> Failure | None:
        """Put a configuration in force.

        Returns None once it is durable, or the failure.  A configuration whose
        version is not higher than the current one is ignored, and also answered
        with None.
        """
        refusal = await self._confirm()
        if refusal is not None or self.leadership is None:
            return refusal or NOT_LEADER
        current_version = self.queue_state.configuration.version
        if configuration.version <= current_version:
            return None
        failed = await configuration_commits.commit(
            self.leadership,
            configuration_edits.Described(configuration, document),
            self.may_revise(),
        )
        if failed is None:
            self._log.info(
                "configuration in force",
                version=configuration.version,
                before=current_version,
                queues=len(configuration.queues),
            )
        return failed

    async def begin_evacuation(self, zone: str) -> Failure | None:
        """Put an availability zone in evacuation.

        Returns None once this is durable, or the failure.
        """
        refusal = await self._confirm()
        if refusal is not None or self.leadership is None:
            return refusal or NOT_LEADER
        return await evacuation_requests.begin(
            self.leadership, zone, leaderships.wall_ms()
        )

    async def finish_evacuation(self, zone: str) -> Failure | None:
        """Take an availability zone back; see `begin_evacuation`."""
        refusal = await self._confirm()
        if refusal is not None or self.leadership is None:
            return refusal or NOT_LEADER
        return await evacuation_requests.finish(
            self.leadership, zone, leaderships.wall_ms()
        )

    async def document(self) -> bytes | outcomes.Refusal:
        """Return the configuration as the operator sent it, or a refusal."""
        refusal = await self._confirm()
        if refusal is not None:
            return refusal
        return self.queue_state.document or outcomes.Refusal(
            outcomes.RefusalReason.NO_QUORUM,
            "no configuration yet",
            RETRY_SECONDS,
        )
