"""Protocol of the client that sends a leader's orders to a worker.

The leader's code depends only on this interface, not on the wire protocol of
workers.
"""

import enum
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from turmerichall.queues import change as changes

__all__ = [
    "Heartbeat",
    "MakeClient",
    "Order",
    "OrderResult",
    "PollFailure",
    "RunEnd",
    "RunningTask",
    "UNKNOWN_RUN",
    "Verdict",
    "WorkerClient",
    "WorkerStatus",
]


class Verdict(enum.Enum):
    """Result of a poll of a worker or of an order, such as to start a run."""

    DONE = "done"
    # The worker has accepted a newer term, whose fencing token is higher.
    FENCED = "fenced"
    # The same or a later run of the task was stopped or ended there.
    OUTDATED = "outdated"
    # The deadline of the order had passed.
    LATE = "late"
    NO_ROOM = "no_room"
    # The worker did not accept the ticket.
    NO_TICKET = "no_ticket"
    MALFORMED = "malformed"
    # The worker is unhealthy or overloaded, and did nothing.
    UNWELL = "unwell"
    # Another incarnation of the worker answers at this address.  If it has the
    # same name, only a poll tells so, and other orders are carried out by it.
    REPLACED = "replaced"
    # No answer; the order may still be carried out, now or later.
    UNANSWERED = "unanswered"
    # The order can't have reached the worker.
    UNSENT = "unsent"


class Order(NamedTuple):
    """The run to which an order applies, with the data that a start needs.

    Attributes:
        task: The task.
        run: Number of the run.
        spec: Text that is passed to the task.
        checkpoint: Saved progress from which to resume, or empty.
        ticket: Ticket by which the queue's policy permits the worker to run the
            task; empty if there is none.
    """

    task: changes.TaskName
    run: int
    spec: str = ""
    checkpoint: str = ""
    ticket: str = ""


class OrderResult(NamedTuple):
    """Answer to an order.

    Attributes:
        verdict: Result of the order.
        clock_ms: Reading of the worker's clock, if the answer contains one.
        may_be_pending: Whether the order was sent before without an answer, and
            so may be carried out besides, now or later.
    """

    verdict: Verdict
    clock_ms: int | None = None
    may_be_pending: bool = False


# Number of a listed run whose number can't be parsed.
UNKNOWN_RUN = 0


class RunningTask(NamedTuple):
    """A run that a worker lists as running.

    Attributes:
        task: The task; None if its name can't be parsed.
        name: Name of the task as listed by the worker.
        run: Number of the run, or `UNKNOWN_RUN`.
        checkpoint: Saved progress, or empty.
        progress_percent: Progress in percent; 100 for a long-running task that
            serves requests.
        recent_load: Measurement over the last half second: tail latency in ms
            for a long-running task, processor use in thousandths of a core for
            any other.
    """

    task: changes.TaskName | None
    name: str
    run: int
    checkpoint: str
    progress_percent: int
    recent_load: int


class RunEnd(NamedTuple):
    """The end of a run, which a worker lists until it is acknowledged.

    Attributes:
        sequence: Number of the end in this incarnation of the worker, from 1.
        ended: The run and its ending; None if the worker's row can't be parsed.
    """

    sequence: int
    ended: changes.EndedRun | None


class WorkerStatus(NamedTuple):
    """Status of a worker, as returned by a poll.

    Attributes:
        clock_ms: Reading of the worker's clock.
        running: Runs that are running.
        ends: Ends of runs that were not acknowledged yet, in order.
        complete: Whether `ends` contains all such ends; a worker lists only a
            limited number.
        born_ms: Time of the answering incarnation's start, in ms since 1970; 0
            if unknown.
    """

    clock_ms: int
    running: Sequence[RunningTask]
    ends: Sequence[RunEnd]
    complete: bool
    born_ms: int = 0


class PollFailure(NamedTuple):
    """A poll that returned no status.

    Attributes:
        verdict: Reason of the failure.
    """

    verdict: Verdict


class Heartbeat(NamedTuple):
    """Heartbeat of a worker.

    Attributes:
        worker: The worker.
        draining: Whether the worker is about to leave.
        sequence: Number that grows with each heartbeat of an incarnation.
        clock_ms: Reading of the worker's clock, or -1 if it is missing.  Leases
            go by answers of the worker alone, since anybody may send this.
        cold_ms: Time for which the worker remains slow after its start, in ms.
    """

    worker: changes.WorkerRecord
    draining: bool
    sequence: int
    clock_ms: int = -1
    cold_ms: int = 0


class WorkerClient(Protocol):
    """Client of one incarnation of a worker.

    Every call carries the leader's fencing token, its term.
    """

    async def start(
        self, order: Order, token: int, deadline_ms: int
    ) -> OrderResult:
        """Start a run, unless its deadline on the worker's clock has passed."""

    async def stop(self, order: Order, token: int) -> OrderResult:
        """Stop a run; a start of it that arrives later is refused."""

    async def pace(self, order: Order, percent: int, token: int) -> OrderResult:
        """Set the pace of a run, as a percentage of its full speed."""

    async def poll(
        self,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> WorkerStatus | PollFailure:
        """Renew the lease and return the worker's status.

        Args:
            token: The leader's fencing token.
            acknowledged: Ends up to this sequence number are acknowledged.
            deadline_ms: New end of the lease on the worker's clock; None to
                leave the lease as it is.
            wait_ms: Maximum time for which the worker waits for a new end
                before it answers.
        """

    def close(self) -> None:
        """Close the connections."""


# Makes a client of an incarnation of a worker.
MakeClient = Callable[[changes.WorkerRecord], WorkerClient]
