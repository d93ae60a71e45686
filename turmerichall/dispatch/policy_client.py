"""How the leader asks the policy of a queue which workers may run a step."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from turmerichall.queues import change as changes

__all__ = ["PolicyClient", "StepName"]

# Job, occurrence and step.
StepName = tuple[str, int, int]


class PolicyClient(Protocol):
    """Asks the service that knows the policies of all queues."""

    async def ask(
        self, step: StepName, workers: Sequence[str], timeout_seconds: float
    ) -> Mapping[str, str] | None:
        """Asks which of some workers may run a step.

        Args:
            step: The step.
            workers: Ids of workers.
            timeout_seconds: How long to wait.

        Returns:
            A ticket for each worker that may, by id; None without an answer.
        """

    def close(self) -> None:
        """Gives up the connections."""


def step_of(task: changes.TaskName) -> StepName:
    """Returns the step of a task.

    Examples:
        >>> step_of(changes.TaskName("a7", 0, 1, 17))
        ('a7', 0, 1)
    """
    return task[:3]
