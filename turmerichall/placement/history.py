"""Recent history of the tasks on a worker.

It shows which tasks ran when the measurement of a late usage report was taken.
"""

import bisect
from typing import NamedTuple

__all__ = ["History", "RunningTask"]

RETENTION_SECONDS = 180.0


class RunningTask(NamedTuple):
    """A task that ran on a worker, with its expected use of processors.

    Attributes:
        task_id: Id of the task.
        attempt: Number of the attempt.
        template: Name of its template.
        use: Number of processors that it was expected to use.
    """

    task_id: str
    attempt: int
    template: str
    use: float


class History:
    """Tasks that ran on one worker during the last `RETENTION_SECONDS`."""

    def __init__(self) -> None:
        self.times: list[float] = []
        self.running: list[tuple[RunningTask, ...]] = []

    def append(self, at: float, running: tuple[RunningTask, ...]) -> None:
        """Record which tasks run on the worker from the time `at` on.

        If `at` is before the last recorded time, that time is used instead.
        """
        if self.times and at < self.times[-1]:
            at = self.times[-1]
        self.times.append(at)
        self.running.append(running)
        outdated = bisect.bisect_right(self.times, at - RETENTION_SECONDS) - 1
        if outdated > len(self.times) // 2:
            del self.times[:outdated]
            del self.running[:outdated]

    def running_at(self, moment: float) -> tuple[RunningTask, ...]:
        """Return the tasks that ran at a time; none if it precedes the history.

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
