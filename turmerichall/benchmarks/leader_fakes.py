"""Timers, and fakes of what a leader calls, for a benchmark of decisions."""

import collections
from collections.abc import Coroutine, Iterator, Sequence
import contextlib
import functools
import inspect
import itertools
import time
from typing import Any

from turmerichall.dispatch import end_commits
from turmerichall.dispatch import worker_client
from turmerichall.queues import change as changes
from turmerichall.queues import state as states

__all__ = [
    "Client",
    "EndCommits",
    "NullLog",
    "Order",
    "Replica",
    "Timers",
    "finish",
]

# Kind of an order, task, number of the run, and worker or pace.
Order = tuple[str, changes.TaskName, int, str | int]


class Timers:
    """Processor time of parts, without that of the parts that they call."""

    def __init__(self) -> None:
        self.seconds: dict[str, float] = collections.defaultdict(float)
        self._stack: list[str] = []
        self._since = 0.0

    @contextlib.contextmanager
    def part(self, name: str) -> Iterator[None]:
        """Count the time of a block for a part."""
        self._switch()
        self._stack.append(name)
        try:
            yield
        finally:
            self._switch()
            self._stack.pop()

    def _switch(self) -> None:
        now = time.process_time()
        if self._stack:
            self.seconds[self._stack[-1]] += now - self._since
        self._since = now

    def wrap(self, owner: object, method: str, name: str) -> None:
        """Count the time of a method for a part."""
        function = getattr(owner, method)

        @functools.wraps(function)
        def call(*args: Any, **kwargs: Any) -> Any:
            with self.part(name):
                return function(*args, **kwargs)

        @functools.wraps(function)
        async def call_async(*args: Any, **kwargs: Any) -> Any:
            with self.part(name):
                return await function(*args, **kwargs)

        is_async = inspect.iscoroutinefunction(function)
        setattr(owner, method, call_async if is_async else call)


def finish(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Return the result of a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("a fake waited")


class NullLog:
    """A log that drops its lines."""

    def info(self, message: str, **fields: object) -> None:
        """Drop a message."""

    warning = error = info


class Replica:
    """A replica that commits at once."""

    def __init__(self, queue_state: states.QueueState):
        self.queue_state = queue_state
        self._index = itertools.count(1)

    def seconds_since_quorum(self) -> float:
        """See `agreement.replica.Replica`."""
        return 0.0

    def apply(self, change: changes.Change) -> None:
        """Apply a change as if it were committed."""
        self.queue_state.apply(next(self._index), changes.encode(change))

    async def commit(
        self, change: changes.Change, timeout_seconds: float = 0.0
    ) -> None:
        """See `leadership.Leadership.commit`, which needs trio's clock."""
        del timeout_seconds
        self.apply(change)


class EndCommits:
    """Commits the ends of runs at once; see `end_commits.EndCommits`."""

    def __init__(self, replica: Replica):
        self.replica = replica

    async def commit(
        self,
        rows: Sequence[changes.EndedRun],
        action: end_commits.Action | None = None,
    ) -> None:
        """Commit ends in a batch of their own."""
        batch = end_commits.Batch(self.replica.queue_state)
        batch.add(rows, action)
        self.replica.apply(changes.EndRuns(tuple(rows)))
        batch.finish()


class Client:
    """Orders to a worker, which carries them out at once."""

    def __init__(self, orders: list[Order]):
        self._orders = orders

    async def pace(
        self, order: worker_client.Order, percent: int, token: int
    ) -> worker_client.OrderResult:
        """See `worker_client.WorkerClient`."""
        del token
        self._orders.append(("pace", order.task, order.run, percent))
        return worker_client.OrderResult(worker_client.Verdict.DONE)
