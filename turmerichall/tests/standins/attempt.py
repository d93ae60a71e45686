"""One attempt of a task that a worker took, and its answer to a command."""

from typing import NamedTuple

from turmerichall import resources
from turmerichall.backend_servers import announcement

__all__ = ["Attempt", "CommandResult"]

_LIVE = (
    announcement.ReportedState.STARTING,
    announcement.ReportedState.RUNNING,
)


class CommandResult(NamedTuple):
    """A worker's answer to one command.

    Attributes:
        task_id: The task.
        attempt: The attempt.
        accepted: Whether the command was carried out.
        detail: The reason and a sentence if it was not.
    """

    task_id: str
    attempt: int
    accepted: bool
    detail: str = ""


class Attempt:
    """One attempt that a worker took.

    Attributes:
        start: The command that started it.
        lease_until: When its lease ends, trio time.
        state: Where it is.
        progress: Share of its run time that is done.
        throttle: Share of its processors that it keeps.
        stepped_at: When it last did some of its work, trio time.
        detail: Why it ended.
        fails: Whether it is bound to fail.
    """

    def __init__(
        self, start: announcement.Command, lease_until: float, now: float
    ):
        self.start = start
        self.lease_until = lease_until
        self.state = announcement.ReportedState.RUNNING
        self.progress = float(start.checkpoint or 0.0)
        self.throttle = start.throttle
        self.stepped_at = now
        self.detail = ""
        self.fails = False

    @property
    def is_live(self) -> bool:
        """Whether it has not ended."""
        return self.state in _LIVE

    def report(
        self, usage: resources.Resources, slowdown: float
    ) -> announcement.TaskReport:
        """Returns what an announcement tells of it."""
        return announcement.TaskReport(
            self.start.task_id,
            self.start.attempt,
            self.state,
            usage=usage,
            slowdown=slowdown,
            checkpoint="" if self.start.service else f"{self.progress:.4f}",
            detail=self.detail,
        )
