"""Who ran on a worker at a past moment, for reports that arrive late."""

import bisect
from typing import NamedTuple

__all__ = ["History", "RunningTask"]

RETENTION_SECONDS = 180.0


class RunningTask(NamedTuple):
    """One running task as it counts for its neighbours.

    Attributes:
        task_id: The task.
        attempt: The attempt.
        template: Its template.
        use: Processors that it is expected to use.
    """

    task_id: str
    attempt: int
    template: str
    use: float


class History:
    """The tasks that ran on one worker during the last minutes."""

    def __init__(self) -> None:
        self.times: list[float] = []
        self.running: list[tuple[RunningTask, ...]] = []

    def append(self, at: float, running: tuple[RunningTask, ...]) -> None:
        """Adds who runs from `at` on; an earlier time counts as the last."""
        if self.times and at < self.times[-1]:
            at = self.times[-1]
        self.times.append(at)
        self.running.append(running)
        outdated = bisect.bisect_right(self.times, at - RETENTION_SECONDS) - 1
        if outdated > len(self.times) // 2:
            del self.times[:outdated]
            del self.running[:outdated]

    def running_at(self, moment: float) -> tuple[RunningTask, ...]:
        """Returns who ran at a moment; nobody if it is too long ago.

        Examples:
            >>> past = History()
            >>> past.append(10.0, (RunningTask("j/0", 1, "t", 2.0),))
            >>> past.append(20.0, ())
            >>> [running.task_id for running in past.running_at(15.0)]
            ['j/0']
            >>> past.running_at(5.0), past.running_at(25.0)
            ((), ())
        """
        index = bisect.bisect_right(self.times, moment) - 1
        return self.running[index] if index >= 0 else ()
