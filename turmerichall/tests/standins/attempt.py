"""An attempt of a task on a stand-in worker, and the result of a command."""

from typing import NamedTuple

from turmerichall import resources
from turmerichall.backend_servers import announcement

__all__ = ["Attempt", "CommandResult"]

_LIVE = (
    announcement.ReportedState.STARTING,
    announcement.ReportedState.RUNNING,
)


class CommandResult(NamedTuple):
    """A worker's reply to one command.

    Attributes:
        task_id: Id of the task.
        attempt: Number of the attempt.
        accepted: Whether the command was executed.
        detail: Reason and explanation if the command was refused, or empty.
    """

    task_id: str
    attempt: int
    accepted: bool
    detail: str = ""


class Attempt:
    """One attempt of a task, whose run is simulated.

    Attributes:
        start_command: The command that started the attempt.
        lease_expires_at: When its lease expires, in trio time.
        state: Its state, as reported in announcements.
        progress: Fraction of its run time that is done.
        throttle: Fraction of its processors that it may use.
        last_step_at: When its progress was last advanced, in trio time.
        detail: Why it ended, or empty.
        will_fail: Whether it fails at its next step.
    """

    def __init__(
        self,
        start_command: announcement.Command,
        lease_expires_at: float,
        now: float,
    ):
        self.start_command = start_command
        self.lease_expires_at = lease_expires_at
        self.state = announcement.ReportedState.RUNNING
        self.progress = float(start_command.checkpoint or 0.0)
        self.throttle = start_command.throttle
        self.last_step_at = now
        self.detail = ""
        self.will_fail = False

    @property
    def is_live(self) -> bool:
        """Whether the attempt has not ended."""
        return self.state in _LIVE

    def report(
        self, usage: resources.Resources, slowdown: float
    ) -> announcement.TaskReport:
        """Return the report about the attempt for an announcement."""
        return announcement.TaskReport(
            self.start_command.task_id,
            self.start_command.attempt,
            self.state,
            usage=usage,
            slowdown=slowdown,
            checkpoint=(
                "" if self.start_command.service else f"{self.progress:.4f}"
            ),
            detail=self.detail,
        )
