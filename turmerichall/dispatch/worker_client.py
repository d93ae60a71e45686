"""How the leader reaches a worker, whatever protocol the worker speaks."""

import enum
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from turmerichall.queues import change as changes

__all__ = [
    "Heartbeat",
    "Order",
    "OrderResult",
    "PollFailure",
    "RunEnd",
    "RunningTask",
    "Verdict",
    "WorkerClient",
    "WorkerStatus",
]


class Verdict(enum.Enum):
    """What a worker made of an order."""

    DONE = "done"
    # A holder of a newer term gave it orders.
    FENCED = "fenced"
    # A run that is not lower was stopped or ended there.
    OUTDATED = "outdated"
    # The deadline of the order had passed.
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    MALFORMED = "malformed"
    # The worker is unwell or busy and did nothing.
    UNWELL = "unwell"
    # Another life of the worker answers at this address.
    REPLACED = "replaced"
    # No answer; the order may be carried out, also later.
    UNANSWERED = "unanswered"
    # The order can't have reached the worker.
    UNSENT = "unsent"


class Order(NamedTuple):
    """One run of a task, with what a worker needs to begin it.

    Attributes:
        task: The task.
        run: Number of the start.
        spec: Text for the task.
        checkpoint: Saved progress to resume from, or empty.
        ticket: Leave of the queue's policy, or empty.
    """

    task: changes.TaskName
    run: int
    spec: str = ""
    checkpoint: str = ""
    ticket: str = ""


class OrderResult(NamedTuple):
    """What became of an order.

    Attributes:
        verdict: What the worker made of it.
        clock_ms: The worker's clock, if it told it.
    """

    verdict: Verdict
    clock_ms: int | None = None


class RunningTask(NamedTuple):
    """One run that a worker lists as under way.

    Attributes:
        task: The task; None if its name can't be read.
        name: Its name as the worker lists it.
        run: Number of the start.
        checkpoint: Saved progress, or empty.
        progress_percent: How far it is; of a lasting task 100 once at work.
        recent_load: Tail latency in ms of a lasting task, processor use in
            thousandths of a core of any other, over the last half second.
    """

    task: changes.TaskName | None
    name: str
    run: int
    checkpoint: str
    progress_percent: int
    recent_load: int


class RunEnd(NamedTuple):
    """One end that a worker lists until it is acknowledged.

    Attributes:
        sequence: Number of the end in this life of the worker, from 1.
        ended: What ended and how; None if its name can't be read.
    """

    sequence: int
    ended: changes.EndedRun | None


class WorkerStatus(NamedTuple):
    """What a worker tells when it is looked at.

    Attributes:
        clock_ms: Its clock.
        running: What runs there.
        ends: Ends that were not acknowledged, in order.
        complete: Whether `ends` holds all of them.
    """

    clock_ms: int
    running: Sequence[RunningTask]
    ends: Sequence[RunEnd]
    complete: bool


class PollFailure(NamedTuple):
    """A look that brought nothing.

    Attributes:
        verdict: Why.
    """

    verdict: Verdict


class Heartbeat(NamedTuple):
    """What a worker tells about itself.

    Attributes:
        worker: The worker.
        draining: Whether it is about to leave.
        sequence: Grows with each heartbeat of this life.
        clock_ms: Its clock, or -1.
    """

    worker: changes.WorkerRecord
    draining: bool
    sequence: int
    clock_ms: int = -1


class WorkerClient(Protocol):
    """Orders to one life of one worker."""

    async def start(
        self, order: Order, token: int, deadline_ms: int
    ) -> OrderResult:
        """Starts a run, unless the worker's clock is past a time."""

    async def stop(self, order: Order, token: int) -> OrderResult:
        """Stops a run, and fences it if it is not there yet."""

    async def pace(self, order: Order, percent: int, token: int) -> OrderResult:
        """Lets a run work at a share of its speed."""

    async def poll(
        self,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> WorkerStatus | PollFailure:
        """Renews the lease until a time on the worker's clock, and looks."""

    def close(self) -> None:
        """Gives up the connections."""
