"""Execution of commands and simulation of task attempts on a stand-in worker.

Times are trio times of the worker.  A lease is counted from the sending of the
announcement that the start command (its anchor) or the renewal refers to.
"""

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.backend_servers import announcement
from turmerichall.tests.standins import attempt as attempts
from turmerichall.tests.standins import audit_trail
from turmerichall.tests.standins import behaviours

__all__ = ["LEASE_ENDED", "STEP_PERIOD_SECONDS", "TaskRunner"]

STEP_PERIOD_SECONDS = 0.1
LEASE_ENDED = "lease ended"
# Period for which the send times of announcements are kept.
SENT_AT_RETENTION_SECONDS = 120.0


class TaskRunner:
    """The task attempts of one incarnation of a worker.

    Attributes:
        capacity: Total resources of the worker.
        incarnation: Incarnation of the worker.
        speed: Seconds of declared run time that a task completes in one second.
        fail_starts: Whether newly started attempts fail.
        behaviours: Behaviour of tasks by template; all other tasks behave as
            declared.
        audit_trail: Trail that commands and the course of attempts are written
            to.
        epoch: Highest epoch of a placement authority that it has seen.
        attempts: Attempts that are live or whose end is not acknowledged, by
            name.
        sent_at: Send times of announcements by sequence, oldest first.
    """

    def __init__(
        self,
        capacity: resources.Resources,
        incarnation: int,
        trail: audit_trail.AuditTrail,
        speed: float = 1.0,
    ):
        self.capacity = capacity
        self.incarnation = incarnation
        self.speed = speed
        self.fail_starts = False
        self.behaviours: dict[str, behaviours.Behaviour] = {}
        self._usage_fits = True
        self.audit_trail = trail
        self.epoch = 0
        self.attempts: dict[str, attempts.Attempt] = {}
        self.sent_at: dict[int, float] = {}
        self._highest_attempts: dict[str, int] = {}

    def record_sent(self, sequence: int, now: float) -> None:
        """Record the send time of an announcement."""
        self.sent_at[sequence] = now
        while (
            next(iter(self.sent_at.values())) < now - SENT_AT_RETENTION_SECONDS
        ):
            del self.sent_at[next(iter(self.sent_at))]

    def apply_reply(
        self, reply: announcement.Reply, sequence: int, now: float
    ) -> list[attempts.CommandResult]:
        """Apply the reply to an announcement.

        Renews leases, forgets attempts whose end is acknowledged, and executes
        the commands.

        Args:
            reply: The reply.
            sequence: Sequence of the announcement.
            now: Current time.

        Returns:
            Results of the executed or refused commands.
        """
        if reply.epoch and reply.epoch >= self.epoch:
            self.epoch = reply.epoch
            expires_at = self.sent_at[sequence] + reply.lease_seconds
            for name in reply.renewed:
                attempt = self.attempts.get(name)
                if attempt is not None and attempt.lease_expires_at > now:
                    attempt.lease_expires_at = max(
                        attempt.lease_expires_at, expires_at
                    )
            for name in reply.acknowledged:
                attempt = self.attempts.get(name)
                if attempt is not None and not attempt.is_live:
                    del self.attempts[name]
                    self.audit_trail.write(
                        "acknowledged", attempt=name, epoch=reply.epoch
                    )
        return [
            self.execute(command, now)
            for command in reply.commands
            if not self._is_repeated_throttle(command)
        ]

    def _is_repeated_throttle(self, command: announcement.Command) -> bool:
        """Return whether a command repeats the throttle in force."""
        name = announcement.attempt_name(command.task_id, command.attempt)
        attempt = self.attempts.get(name)
        if attempt is None or command.kind != announcement.CommandKind.THROTTLE:
            return False
        return attempt.throttle == command.throttle

    def execute(
        self, command: announcement.Command, now: float
    ) -> attempts.CommandResult:
        """Execute or refuse a command.

        A start of an attempt that already exists is accepted without effect,
        as it is a resend.
        """
        refusal = self._refusal_of(command, now)
        if refusal is None and self._is_repeated_start(command):
            return attempts.CommandResult(
                command.task_id, command.attempt, True
            )
        if refusal is None:
            self.epoch = max(self.epoch, command.epoch)
            self._apply(command, now)
            return attempts.CommandResult(
                command.task_id, command.attempt, True
            )
        self.audit_trail.write(
            "command_refused",
            task=command.task_id,
            attempt=command.attempt,
            kind=command.kind,
            reason=refusal.reason,
            detail=refusal.detail,
        )
        detail = f"{refusal.reason}: {refusal.detail}"
        return attempts.CommandResult(
            command.task_id, command.attempt, False, detail
        )

    def _refusal_of(
        self, command: announcement.Command, now: float
    ) -> outcomes.Refusal | None:
        reasons = outcomes.RefusalReason
        if command.epoch < self.epoch:
            return outcomes.Refusal(
                reasons.STALE_EPOCH,
                f"epoch {self.epoch} was seen by the worker",
            )
        if command.incarnation != self.incarnation:
            return outcomes.Refusal(
                reasons.WRONG_STATE,
                f"the worker's incarnation is {self.incarnation}",
            )
        if command.kind == announcement.CommandKind.START:
            if self._is_repeated_start(command):
                return None
            refusal = self._refusal_of_start(command, now)
            if refusal is not None:
                # The authority may now start the task on another worker, so a
                # delayed duplicate of this command must be refused too.
                self._record_attempt_number(command)
            return refusal
        name = announcement.attempt_name(command.task_id, command.attempt)
        if name not in self.attempts:
            return outcomes.Refusal(
                reasons.UNKNOWN_NAME, f"attempt {name} is unknown to the worker"
            )
        return None

    def _is_repeated_start(self, command: announcement.Command) -> bool:
        """Return whether a command starts an attempt that already exists."""
        name = announcement.attempt_name(command.task_id, command.attempt)
        return (
            command.kind == announcement.CommandKind.START
            and name in self.attempts
        )

    def _record_attempt_number(self, command: announcement.Command) -> None:
        highest = self._highest_attempts.get(command.task_id, 0)
        self._highest_attempts[command.task_id] = max(highest, command.attempt)

    def _refusal_of_start(
        self, command: announcement.Command, now: float
    ) -> outcomes.Refusal | None:
        reasons = outcomes.RefusalReason
        sent_at = self.sent_at.get(command.anchor)
        if sent_at is None or now >= sent_at + command.lease_seconds:
            return outcomes.Refusal(
                reasons.STALE_ANCHOR, f"anchor {command.anchor} is too old"
            )
        highest = self._highest_attempts.get(command.task_id, 0)
        if command.attempt <= highest:
            return outcomes.Refusal(
                reasons.WRONG_STATE,
                f"attempt {highest} was already started or refused",
            )
        running = [
            attempt for attempt in self.attempts.values() if attempt.is_live
        ]
        if any(
            attempt.start_command.task_id == command.task_id
            for attempt in running
        ):
            return outcomes.Refusal(
                reasons.WRONG_STATE, f"attempt {highest} is still running"
            )
        needed = command.size
        for attempt in running:
            needed = needed.plus(attempt.start_command.size)
        if not needed.fits_in(self.capacity):
            self.audit_trail.write(
                "over_capacity",
                task=command.task_id,
                attempt=command.attempt,
                needed=needed,
                capacity=self.capacity,
            )
            return outcomes.Refusal(
                reasons.NO_CAPACITY, f"{needed} would be needed in total"
            )
        return None

    def _apply(self, command: announcement.Command, now: float) -> None:
        kinds = announcement.CommandKind
        if command.kind == kinds.START:
            self._start_attempt(command, now)
            return
        name = announcement.attempt_name(command.task_id, command.attempt)
        attempt = self.attempts[name]
        if not attempt.is_live:
            return
        if command.kind == kinds.THROTTLE:
            attempt.throttle = command.throttle
            self.audit_trail.write(
                "throttled", task=command.task_id, share=command.throttle
            )
        elif command.kind == kinds.EVICT:
            state = announcement.ReportedState.CHECKPOINTED
            self.end_attempt(attempt, state, "evicted", now)
        else:
            state = announcement.ReportedState.STOPPED
            self.end_attempt(attempt, state, "stopped", now)

    def _start_attempt(self, command: announcement.Command, now: float) -> None:
        expires_at = self.sent_at[command.anchor] + command.lease_seconds
        attempt = attempts.Attempt(command, expires_at, now)
        attempt.will_fail = self.fail_starts
        name = announcement.attempt_name(command.task_id, command.attempt)
        self.attempts[name] = attempt
        self._record_attempt_number(command)
        self.audit_trail.write(
            "task_start",
            task=command.task_id,
            attempt=command.attempt,
            epoch=command.epoch,
            service=command.service,
            size=command.size,
            progress=attempt.progress,
        )

    def end_attempt(
        self,
        attempt: attempts.Attempt,
        state: announcement.ReportedState,
        detail: str,
        now: float,
    ) -> None:
        """End an attempt; its end is reported until it is acknowledged.

        An attempt makes no progress after its lease has expired, so the
        record contains the time since then as `idle_seconds`.
        """
        attempt.state = state
        attempt.detail = detail
        self.audit_trail.write(
            "task_end",
            task=attempt.start_command.task_id,
            attempt=attempt.start_command.attempt,
            state=state,
            progress=attempt.progress,
            idle_seconds=max(0.0, now - attempt.lease_expires_at),
            detail=detail,
        )

    def step(self, now: float) -> bool:
        """Advance live attempts, and end those whose lease has expired.

        Returns:
            Whether an attempt ended.
        """
        ended = False
        for attempt in self.attempts.values():
            if attempt.is_live:
                self._step_attempt(attempt, now)
                ended = ended or not attempt.is_live
        self._record_overuse()
        return ended

    def _record_overuse(self) -> None:
        """Record when total usage begins or ceases to exceed the capacity."""
        total = resources.ZERO
        for attempt in self.attempts.values():
            total = total.plus(self._usage_of(attempt))
        fits = total.fits_in(self.capacity)
        if fits != self._usage_fits:
            self._usage_fits = fits
            event = "use_within" if fits else "use_over"
            self.audit_trail.write(event, usage=total)

    def _behaviour_of(self, attempt: attempts.Attempt) -> behaviours.Behaviour:
        name = attempt.start_command.template
        return self.behaviours.get(name, behaviours.AS_DECLARED)

    def _usage_of(self, attempt: attempts.Attempt) -> resources.Resources:
        if not attempt.is_live:
            return resources.ZERO
        behaviour = self._behaviour_of(attempt)
        return behaviours.usage(
            attempt.start_command.size, attempt.throttle, behaviour
        )

    def _slowdown_of(self, attempt: attempts.Attempt) -> float:
        """Return the slowdown of a service; 0.0 if it is not measured.

        It is measured only for services, and only while behaviours are set.
        """
        if not attempt.start_command.service or not self.behaviours:
            return 0.0
        return behaviours.slowdown(
            self._behaviour_of(other)
            for other in self.attempts.values()
            if other.is_live
        )

    def _step_attempt(self, attempt: attempts.Attempt, now: float) -> None:
        states = announcement.ReportedState
        if now >= attempt.lease_expires_at:
            self.end_attempt(attempt, states.CHECKPOINTED, LEASE_ENDED, now)
            return
        self.audit_trail.write(
            "task_step",
            task=attempt.start_command.task_id,
            attempt=attempt.start_command.attempt,
        )
        # A worker process that was suspended made no progress meanwhile.
        elapsed = min(now - attempt.last_step_at, 2 * STEP_PERIOD_SECONDS)
        attempt.last_step_at = now
        if attempt.will_fail:
            self.end_attempt(
                attempt, states.FAILED, "failed by fault injection", now
            )
        elif not attempt.start_command.service:
            done = elapsed * self.speed * attempt.throttle
            needed = (
                attempt.start_command.run_seconds
                * self._behaviour_of(attempt).run_ratio
            )
            attempt.progress += done / max(needed, STEP_PERIOD_SECONDS)
            if attempt.progress >= 1.0:
                attempt.progress = 1.0
                self.end_attempt(attempt, states.FINISHED, "", now)

    def checkpoint_all(self, now: float) -> None:
        """Checkpoint and end every live attempt."""
        for attempt in self.attempts.values():
            if attempt.is_live:
                state = announcement.ReportedState.CHECKPOINTED
                self.end_attempt(attempt, state, "worker is leaving", now)

    def serves(self, customer: str, service: str, now: float) -> bool:
        """Return whether a service runs on this worker under a valid lease."""
        return any(
            attempt.start_command.service
            and attempt.is_live
            and attempt.lease_expires_at > now
            and (attempt.start_command.customer, attempt.start_command.template)
            == (customer, service)
            for attempt in self.attempts.values()
        )

    def reports(self) -> tuple[announcement.TaskReport, ...]:
        """Return the reports about all attempts."""
        return tuple(
            attempt.report(self._usage_of(attempt), self._slowdown_of(attempt))
            for attempt in self.attempts.values()
        )
