"""The attempts that a worker runs, and the rules by which it takes commands.

Times are trio times of the worker; leases are counted from the moment at
which the worker sent the announcement that a command or a renewal names.
"""

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.backend_servers import announcement
from turmerichall.tests.standins import attempt
from turmerichall.tests.standins import audit_trail
from turmerichall.tests.standins import behaviours

__all__ = ["LEASE_ENDED", "STEP_SECONDS", "TaskRunner"]

STEP_SECONDS = 0.1
LEASE_ENDED = "lease ended"
# Send times of announcements are kept for this long.
ANCHOR_SECONDS = 120.0


class TaskRunner:
    """All attempts of one incarnation of a worker.

    Attributes:
        capacity: What the worker offers.
        incarnation: Its incarnation.
        speed: Run time that it does in one second.
        fail_starts: Whether every attempt that starts from now on fails.
        behaviours: What tasks do, by template; the others do as declared.
        record: Where to record starts and ends.
        epoch: Highest epoch of an authority seen.
        held: Attempts that run or whose end is not acknowledged, by name.
        anchors: Send times of announcements by sequence, oldest first.
    """

    def __init__(
        self,
        capacity: resources.Resources,
        incarnation: int,
        record: audit_trail.AuditTrail,
        speed: float = 1.0,
    ):
        self.capacity = capacity
        self.incarnation = incarnation
        self.speed = speed
        self.fail_starts = False
        self.behaviours: dict[str, behaviours.Behaviour] = {}
        self._fits = True
        self.record = record
        self.epoch = 0
        self.held: dict[str, attempt.Attempt] = {}
        self.anchors: dict[int, float] = {}
        self._highest: dict[str, int] = {}

    def note_sent(self, sequence: int, now: float) -> None:
        """Notes the send time of an announcement."""
        self.anchors[sequence] = now
        while next(iter(self.anchors.values())) < now - ANCHOR_SECONDS:
            del self.anchors[next(iter(self.anchors))]

    def take_reply(
        self, reply: announcement.Reply, sequence: int, now: float
    ) -> list[attempt.CommandResult]:
        """Takes the answer to an announcement.

        Args:
            reply: The answer.
            sequence: Sequence of the announcement.
            now: Current time.

        Returns:
            Answers to the commands in it.
        """
        if reply.epoch and reply.epoch >= self.epoch:
            self.epoch = reply.epoch
            until = self.anchors[sequence] + reply.lease_seconds
            for name in reply.renewed:
                held = self.held.get(name)
                if held is not None and held.lease_until > now:
                    held.lease_until = max(held.lease_until, until)
            for name in reply.acknowledged:
                held = self.held.get(name)
                if held is not None and not held.is_live:
                    del self.held[name]
                    self.record.write(
                        "acknowledged", attempt=name, epoch=reply.epoch
                    )
        return [
            self.take(command, now)
            for command in reply.commands
            if not self._is_in_force(command)
        ]

    def _is_in_force(self, command: announcement.Command) -> bool:
        """Tells whether a command repeats a throttle that is in force."""
        name = announcement.attempt_name(command.task_id, command.attempt)
        held = self.held.get(name)
        if held is None or command.kind != announcement.CommandKind.THROTTLE:
            return False
        return held.throttle == command.throttle

    def take(
        self, command: announcement.Command, now: float
    ) -> attempt.CommandResult:
        """Carries a command out, or refuses it."""
        refusal = self._refusal(command, now)
        if refusal is None and self._is_resent(command):
            return attempt.CommandResult(command.task_id, command.attempt, True)
        if refusal is None:
            self.epoch = max(self.epoch, command.epoch)
            self._carry_out(command, now)
            return attempt.CommandResult(command.task_id, command.attempt, True)
        self.record.write(
            "command_refused",
            task=command.task_id,
            attempt=command.attempt,
            kind=command.kind,
            reason=refusal.reason,
            detail=refusal.detail,
        )
        detail = f"{refusal.reason}: {refusal.detail}"
        return attempt.CommandResult(
            command.task_id, command.attempt, False, detail
        )

    def _refusal(
        self, command: announcement.Command, now: float
    ) -> outcomes.Refusal | None:
        reasons = outcomes.RefusalReason
        if command.epoch < self.epoch:
            return outcomes.Refusal(
                reasons.STALE_EPOCH, f"epoch {self.epoch} was seen"
            )
        if command.incarnation != self.incarnation:
            return outcomes.Refusal(
                reasons.WRONG_STATE, f"incarnation is {self.incarnation}"
            )
        if command.kind == announcement.CommandKind.START:
            if self._is_resent(command):
                return None
            refusal = self._start_refusal(command, now)
            if refusal is not None:
                # The authority may start the task elsewhere now, so an
                # earlier copy of this command must not be carried out.
                self._bar(command)
            return refusal
        name = announcement.attempt_name(command.task_id, command.attempt)
        if name not in self.held:
            return outcomes.Refusal(
                reasons.UNKNOWN_NAME, f"attempt {name} is not here"
            )
        return None

    def _is_resent(self, command: announcement.Command) -> bool:
        """Tells whether a start names an attempt that is held already."""
        name = announcement.attempt_name(command.task_id, command.attempt)
        return (
            command.kind == announcement.CommandKind.START and name in self.held
        )

    def _bar(self, command: announcement.Command) -> None:
        highest = self._highest.get(command.task_id, 0)
        self._highest[command.task_id] = max(highest, command.attempt)

    def _start_refusal(
        self, command: announcement.Command, now: float
    ) -> outcomes.Refusal | None:
        reasons = outcomes.RefusalReason
        sent_at = self.anchors.get(command.anchor)
        if sent_at is None or now >= sent_at + command.lease_seconds:
            return outcomes.Refusal(
                reasons.STALE_ANCHOR, f"anchor {command.anchor} is too old"
            )
        highest = self._highest.get(command.task_id, 0)
        if command.attempt <= highest:
            return outcomes.Refusal(
                reasons.WRONG_STATE, f"attempt {highest} was started here"
            )
        running = [held for held in self.held.values() if held.is_live]
        if any(held.start.task_id == command.task_id for held in running):
            return outcomes.Refusal(
                reasons.WRONG_STATE, f"attempt {highest} runs here"
            )
        needed = command.size
        for held in running:
            needed = needed.plus(held.start.size)
        if not needed.fits_in(self.capacity):
            self.record.write(
                "over_capacity",
                task=command.task_id,
                attempt=command.attempt,
                needed=needed,
                capacity=self.capacity,
            )
            return outcomes.Refusal(
                reasons.NO_CAPACITY, f"{needed} would be needed"
            )
        return None

    def _carry_out(self, command: announcement.Command, now: float) -> None:
        kinds = announcement.CommandKind
        if command.kind == kinds.START:
            self._start(command, now)
            return
        name = announcement.attempt_name(command.task_id, command.attempt)
        held = self.held[name]
        if not held.is_live:
            return
        if command.kind == kinds.THROTTLE:
            held.throttle = command.throttle
            self.record.write(
                "throttled", task=command.task_id, share=command.throttle
            )
        elif command.kind == kinds.EVICT:
            state = announcement.ReportedState.CHECKPOINTED
            self.end(held, state, "evicted", now)
        else:
            state = announcement.ReportedState.STOPPED
            self.end(held, state, "stopped", now)

    def _start(self, command: announcement.Command, now: float) -> None:
        until = self.anchors[command.anchor] + command.lease_seconds
        held = attempt.Attempt(command, until, now)
        held.fails = self.fail_starts
        name = announcement.attempt_name(command.task_id, command.attempt)
        self.held[name] = held
        self._bar(command)
        self.record.write(
            "task_start",
            task=command.task_id,
            attempt=command.attempt,
            epoch=command.epoch,
            service=command.service,
            size=command.size,
            progress=held.progress,
        )

    def end(
        self,
        held: attempt.Attempt,
        state: announcement.ReportedState,
        detail: str,
        now: float,
    ) -> None:
        """Ends an attempt; its end is reported until acknowledged.

        No work is done after the lease has ended, so the record tells how
        long ago that was.
        """
        held.state = state
        held.detail = detail
        self.record.write(
            "task_end",
            task=held.start.task_id,
            attempt=held.start.attempt,
            state=state,
            progress=held.progress,
            idle_seconds=max(0.0, now - held.lease_until),
            detail=detail,
        )

    def step(self, now: float) -> bool:
        """Does a step of work of each attempt whose lease still holds.

        Returns:
            Whether an attempt ended.
        """
        ended = False
        for held in self.held.values():
            if held.is_live:
                self._step_one(held, now)
                ended = ended or not held.is_live
        self._note_use()
        return ended

    def _note_use(self) -> None:
        """Records when its tasks begin or cease to use more than there is."""
        total = resources.ZERO
        for held in self.held.values():
            total = total.plus(self._usage(held))
        fits = total.fits_in(self.capacity)
        if fits != self._fits:
            self._fits = fits
            event = "use_within" if fits else "use_over"
            self.record.write(event, usage=total)

    def _behaviour(self, held: attempt.Attempt) -> behaviours.Behaviour:
        name = held.start.template
        return self.behaviours.get(name, behaviours.AS_DECLARED)

    def _usage(self, held: attempt.Attempt) -> resources.Resources:
        if not held.is_live:
            return resources.ZERO
        shown = self._behaviour(held)
        return behaviours.usage(held.start.size, held.throttle, shown)

    def _slowdown(self, held: attempt.Attempt) -> float:
        """Returns the slowdown of a service; 0.0 if it is not measured."""
        if not held.start.service or not self.behaviours:
            return 0.0
        return behaviours.slowdown(
            self._behaviour(other)
            for other in self.held.values()
            if other.is_live
        )

    def _step_one(self, held: attempt.Attempt, now: float) -> None:
        states = announcement.ReportedState
        if now >= held.lease_until:
            self.end(held, states.CHECKPOINTED, LEASE_ENDED, now)
            return
        self.record.write(
            "task_step", task=held.start.task_id, attempt=held.start.attempt
        )
        # A process that was stopped for a while did no work meanwhile.
        elapsed = min(now - held.stepped_at, 2 * STEP_SECONDS)
        held.stepped_at = now
        if held.fails:
            self.end(held, states.FAILED, "every start fails here", now)
        elif not held.start.service:
            done = elapsed * self.speed * held.throttle
            needed = held.start.run_seconds * self._behaviour(held).run_ratio
            held.progress += done / max(needed, STEP_SECONDS)
            if held.progress >= 1.0:
                held.progress = 1.0
                self.end(held, states.FINISHED, "", now)

    def checkpoint_all(self, now: float) -> None:
        """Checkpoints and ends every attempt that runs."""
        for held in self.held.values():
            if held.is_live:
                state = announcement.ReportedState.CHECKPOINTED
                self.end(held, state, "worker is leaving", now)

    def serves(self, customer: str, service: str, now: float) -> bool:
        """Tells whether a service runs here under a lease that holds."""
        return any(
            held.start.service
            and held.is_live
            and held.lease_until > now
            and (held.start.customer, held.start.template)
            == (customer, service)
            for held in self.held.values()
        )

    def reports(self) -> tuple[announcement.TaskReport, ...]:
        """Returns the reports of all attempts."""
        return tuple(
            held.report(self._usage(held), self._slowdown(held))
            for held in self.held.values()
        )
