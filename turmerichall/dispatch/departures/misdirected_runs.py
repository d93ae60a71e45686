"""Decision what the next incarnation of a worker did with misdirected starts.

Answers starts that are sent again while a worker restarts under its name: the
next incarnation carries them out, and their tasks were started again although
the runs went on there, or had ended as done.

`start_fence.StartFence` calls it once the runs are stopped in the incarnation
that answers now.
"""

from collections.abc import Iterable
from typing import NamedTuple

from turmerichall.dispatch import run_state
from turmerichall.dispatch import worker_client
from turmerichall.queues import change as changes

__all__ = ["MisdirectedRuns", "find_misdirected", "is_same_incarnation"]


class MisdirectedRuns(NamedTuple):
    """Runs that the next incarnation of a worker has begun.

    Attributes:
        running: Runs that it still lists as running.
        ended: Ends of runs that it lists.
    """

    running: list[changes.TaskName]
    ended: list[changes.EndedRun]


def find_misdirected(
    status: worker_client.WorkerStatus, runs: Iterable[run_state.Run]
) -> MisdirectedRuns:
    """Return which runs of an earlier incarnation a worker lists.

    A listed task whose run number can't be read counts as the expected run.

    Args:
        status: The answer of the incarnation that follows.
        runs: Runs whose starts were sent to the earlier one.
    """
    numbers = {run.task: run.number for run in runs}
    running = [
        row.task
        for row in status.running
        if row.task is not None
        and row.task in numbers
        and row.run in (numbers[row.task], worker_client.UNKNOWN_RUN)
    ]
    ended = [
        end.ended
        for end in status.ends
        if end.ended is not None
        and numbers.get(end.ended.task) == end.ended.run
    ]
    return MisdirectedRuns(running, ended)


def is_same_incarnation(
    before: worker_client.WorkerStatus, after: worker_client.WorkerStatus
) -> bool:
    """Return whether two answers in a row may be those of one incarnation."""
    return before.born_ms == after.born_ms and before.clock_ms <= after.clock_ms
