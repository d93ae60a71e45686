"""Acceptance and cancellation of jobs, carried out to the end.

Answers slow commits: the leader goes on with a change when its caller no longer
waits, so that what is committed is also acted on, and all requests for the same
change share its outcome.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol

from turmerichall import outcomes
from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import reports
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.admission_control import controller
from turmerichall.dispatch.job_requests import request_register
from turmerichall.dispatch.retention import retention as retentions
from turmerichall.dispatch.withdrawals import withdrawal
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import state as states
from turmerichall.telemetry import lightweight_metrics

__all__ = ["JobRequests", "NOT_LEADER", "Owner", "RETRY_SECONDS"]

# How long a caller waits for a commit; its outcome is then unknown.
CALLER_WAIT_SECONDS = 2.5
# Timeout of a commit; the leader's work ends if it passes.
COMMIT_SECONDS = 20.0
# Time after which a caller that found no leader may try again.
RETRY_SECONDS = 0.5
NOT_LEADER = outcomes.Refusal(
    outcomes.RefusalReason.NOT_LEADER, "not the leader", RETRY_SECONDS
)


class Owner(Protocol):
    """Interface of the leader; `leadership.Leadership` implements it."""

    queue_state: states.QueueState
    workers: dict[str, worker_state.Worker]
    token: int
    retention: retentions.Retention
    log: link.Log
    metrics_registry: lightweight_metrics.MetricsRegistry

    def spawn(
        self, function: Callable[..., Awaitable[None]], *args: object
    ) -> bool:
        """Start a task; return False if the leader's work has ended."""

    async def commit(
        self, change: changes.Change, timeout_seconds: float
    ) -> outcomes.Refusal | outcomes.Unknown | None:
        """Commit a change; return None, or why that failed or is uncertain."""

    def job_accepted(self, job_id: str) -> None:
        """Let the tasks of an accepted job wait for their placement."""

    def job_canceled(self, job_id: str) -> None:
        """Stop the runs of a canceled job."""

    def end_work(self) -> None:
        """End the leader's work, which begins anew if the term goes on."""


class JobRequests:
    """Callers' requests about jobs, while the leader's work goes on.

    Attributes:
        owner: The leader.
        admission: Admission control.
        wall_ms: Returns the wall-clock time in ms since 1970.
        register: Requests in progress, and refused calls, of the term.
    """

    def __init__(
        self,
        owner: Owner,
        admission: controller.AdmissionController,
        register: request_register.RequestRegister,
        wall_ms: Callable[[], int],
    ):
        self.owner = owner
        self.admission = admission
        self.register = register
        self.wall_ms = wall_ms

    async def submit(
        self, submission: controller.Submission
    ) -> request_register.Failure | None:
        """Accept a job; return None once it is durable, or the failure."""
        owner = self.owner
        job_id, queue, demand, _ = submission
        if job_id in owner.queue_state.jobs:
            return None
        pending = self.register.submissions.get(job_id)
        if pending is not None:
            return await pending.wait(CALLER_WAIT_SECONDS)
        withdrawn = self.register.cancellations.get(job_id)
        if withdrawn is not None:
            failure = await withdrawn.wait(CALLER_WAIT_SECONDS)
            return withdrawal.WITHDRAWN if failure is None else failure
        if job_id in owner.queue_state.withdrawn:
            owner.log.info("canceled job was submitted late", job=job_id)
            return withdrawal.WITHDRAWN
        refusal = self.admission.decide(
            submission, owner.workers.values(), leases.steady_seconds()
        )
        if refusal is not None:
            owner.metrics_registry.count(
                "jobs_refused", reason=refusal.reason.value
            )
            reports.log_refused(owner.log, job_id, queue, refusal)
            return refusal

        def accepted() -> None:
            owner.metrics_registry.count("jobs_accepted", queue=queue.name)
            reports.log_accepted(owner.log, job_id, queue, demand)
            owner.job_accepted(job_id)

        change = changes.AcceptJob(job_id, queue.key, demand, self.wall_ms())
        return await self._carry_out(
            self.register.submissions, job_id, change, accepted
        )

    async def cancel(self, job_id: str) -> request_register.Failure | None:
        """Cancel a job and stop its runs.

        Returns:
            None once this is durable, or the failure.  `UNKNOWN_JOB` if the
            job is not known; it is refused from then on.
        """
        owner = self.owner
        # The job may be in the log already.
        submission = self.register.submissions.get(job_id)
        if submission is not None:
            failure = await submission.wait(CALLER_WAIT_SECONDS)
            if isinstance(failure, outcomes.Unknown):
                return failure
        job = owner.queue_state.jobs.get(job_id)
        if job is None:
            return await self._withdraw(job_id)
        if not job.open:
            return None
        pending = self.register.cancellations.get(job_id)
        if pending is not None:
            return await pending.wait(CALLER_WAIT_SECONDS)

        def canceled() -> None:
            owner.log.info("job canceled", job=job_id)
            owner.job_canceled(job_id)

        return await self._carry_out(
            self.register.cancellations,
            job_id,
            changes.CancelJob(job_id),
            canceled,
        )

    async def _withdraw(self, job_id: str) -> request_register.Failure:
        """Cancel a job that is not known, so that it is not accepted later.

        Returns:
            `UNKNOWN_JOB` once this is durable, or why it may not be.
        """
        owner, register = self.owner, self.register
        withdrawn = owner.queue_state.withdrawn
        if job_id in withdrawn and owner.retention.renew_withdrawal(job_id):
            return withdrawal.UNKNOWN_JOB
        pending = register.cancellations.get(job_id)
        if pending is not None:
            failure = await pending.wait(CALLER_WAIT_SECONDS)
            return withdrawal.UNKNOWN_JOB if failure is None else failure
        refusal = withdrawal.find_refusal(
            len(withdrawn) + len(register.cancellations)
        )
        if refusal is not None:
            owner.metrics_registry.count("withdrawals_refused")
            return refusal

        def committed() -> None:
            owner.metrics_registry.count("jobs_withdrawn")
            owner.log.info("unknown job canceled", job=job_id)
            owner.retention.job_withdrawn(job_id)

        failure = await self._carry_out(
            register.cancellations,
            job_id,
            changes.CancelJob(job_id),
            committed,
        )
        return withdrawal.UNKNOWN_JOB if failure is None else failure

    async def _carry_out(
        self,
        in_progress: dict[str, request_register.PendingChange],
        job_id: str,
        change: changes.Change,
        committed: Callable[[], None],
    ) -> request_register.Failure | None:
        """Commit a change and act on it, also if the caller waits no longer.

        Args:
            in_progress: Changes of this kind that are being committed, by job.
            job_id: Id of the job.
            change: The change.
            committed: Called once the change is committed.
        """
        pending = request_register.PendingChange()
        if not self.owner.spawn(
            self._commit, pending, in_progress, job_id, change, committed
        ):
            return NOT_LEADER
        in_progress[job_id] = pending
        return await pending.wait(CALLER_WAIT_SECONDS)

    async def _commit(
        self,
        pending: request_register.PendingChange,
        in_progress: dict[str, request_register.PendingChange],
        job_id: str,
        change: changes.Change,
        committed: Callable[[], None],
    ) -> None:
        owner = self.owner
        failure: request_register.Failure | None = (
            request_register.unknown_outcome("the leader's work ended")
        )
        try:
            failure = await owner.commit(change, COMMIT_SECONDS)
            if failure is None:
                committed()
            elif failure.reason == outcomes.RefusalReason.NO_QUORUM:
                # Another leader's entry took the place of this one.
                failure = NOT_LEADER
        finally:
            del in_progress[job_id]
            pending.resolve(failure)
        if failure is not None:
            reports.log_uncommitted(owner.log, job_id, owner.token, failure)
        if isinstance(failure, outcomes.Unknown):
            owner.end_work()
