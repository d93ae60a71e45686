"""Who ran on a worker at a past moment, for reports that arrive late."""

import bisect
from typing import NamedTuple

__all__ = ["History", "Presence"]

KEPT_SECONDS = 180.0


class Presence(NamedTuple):
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
        self.running: list[tuple[Presence, ...]] = []

    def append(self, at: float, running: tuple[Presence, ...]) -> None:
        """Adds who runs from `at` on; an earlier time counts as the last."""
        if self.times and at < self.times[-1]:
            at = self.times[-1]
        self.times.append(at)
        self.running.append(running)
        outdated = bisect.bisect_right(self.times, at - KEPT_SECONDS) - 1
        if outdated > len(self.times) // 2:
            del self.times[:outdated]
            del self.running[:outdated]

    def at(self, moment: float) -> tuple[Presence, ...]:
        """Returns who ran at a moment; nobody if it is too long ago.

        Examples:
            >>> past = History()
            >>> past.append(10.0, (Presence("j/0", 1, "t", 2.0),))
            >>> past.append(20.0, ())
            >>> [running.task_id for running in past.at(15.0)]
            ['j/0']
            >>> past.at(5.0), past.at(25.0)
            ((), ())
        """
        index = bisect.bisect_right(self.times, moment) - 1
        return self.running[index] if index >= 0 else ()
