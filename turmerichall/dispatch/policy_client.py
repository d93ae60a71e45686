"""Protocol of the client that asks a queue's policy for tickets."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from turmerichall.queues import change as changes

__all__ = ["PolicyClient", "StepName"]

# Id of the job, number of the occurrence, and number of the step.
StepName = tuple[str, int, int]


class PolicyClient(Protocol):
    """Client of the service that holds the policies of all queues.

    A policy decides which workers may run the steps of a queue.  A ticket is
    the permission for one step on one worker, and is sent with each start.
    """

    async def ask(
        self, step: StepName, workers: Sequence[str], timeout_seconds: float
    ) -> Mapping[str, str] | None:
        """Ask which of the given workers may run a step.

        Args:
            step: The step.
            workers: Names of the workers.
            timeout_seconds: Time to wait for an answer.

        Returns:
            Tickets of the workers that may run the step, by name of the worker;
            None without an answer.
        """

    def close(self) -> None:
        """Close the connections."""


def step_of(task: changes.TaskName) -> StepName:
    """Return the step of a task.

    Examples:
        >>> step_of(changes.TaskName("a7", 0, 1, 17))
        ('a7', 0, 1)
    """
    return task[:3]
