"""Queues of requests that wait for a slot, and rates of acquiring slots."""

import math
from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import NamedTuple

import trio

from turmerichall import outcomes
from turmerichall.gateway import pool as pools
from turmerichall.gateway import request as requests

__all__ = ["FairQueue", "QueuedRequest", "SlotRate"]

RATE_WINDOW_SECONDS = 0.5


class QueuedRequest:
    """A request that waits for a slot.

    Attributes:
        request: The request.
        tried: Backend servers to avoid if others run the service.
        servers: Backend servers that may run it.
        result: The slot or a refusal; None while it waits.
        done: Set together with `result`.
    """

    def __init__(
        self,
        request: requests.Request,
        tried: frozenset[str],
        servers: frozenset[str],
    ):
        self.request = request
        self.tried = tried
        self.servers = servers
        self.result: pools.Slot | outcomes.Refusal | None = None
        self.done = trio.Event()

    def complete(self, result: pools.Slot | outcomes.Refusal) -> None:
        """Set the result and wake up the waiting request."""
        self.result = result
        self.done.set()


class FairQueue(NamedTuple):
    """Queued requests of one urgency, with round robin among customers.

    Attributes:
        by_customer: Queued requests of each customer; the customer whose turn
            is next comes first.
    """

    by_customer: OrderedDict[str, deque[QueuedRequest]]

    def __len__(self) -> int:
        return sum(map(len, self.by_customer.values()))

    def round_robin(self) -> Iterator[QueuedRequest]:
        """Yield the first request of each customer, then the second, etc."""
        queues = [list(queue) for queue in self.by_customer.values()]
        for position in range(max(map(len, queues), default=0)):
            for queue in queues:
                if position < len(queue):
                    yield queue[position]

    def add(self, queued: QueuedRequest) -> None:
        """Add a request at the end of its customer's queue."""
        customer = queued.request.customer
        self.by_customer.setdefault(customer, deque()).append(queued)

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request, and move its customer behind all others."""
        customer = queued.request.customer
        queue = self.by_customer[customer]
        queue.remove(queued)
        if queue:
            self.by_customer.move_to_end(customer)
        else:
            del self.by_customer[customer]


class SlotRate:
    """Rate at which the requests of one urgency acquire slots.

    Attributes:
        per_second: Slots per second in the last complete window of at least
            `RATE_WINDOW_SECONDS`.
    """

    def __init__(self) -> None:
        self.per_second = 0.0
        self._count = 0
        self._window_started_at = -math.inf

    def record(self, now: float) -> None:
        """Record that a slot was acquired."""
        self._roll_window(now)
        self._count += 1

    def current(self, now: float) -> float:
        """Return the rate, in slots per second."""
        self._roll_window(now)
        return self.per_second

    def _roll_window(self, now: float) -> None:
        elapsed = now - self._window_started_at
        if elapsed >= RATE_WINDOW_SECONDS:
            is_recent = elapsed < 2 * RATE_WINDOW_SECONDS
            self.per_second = self._count / elapsed if is_recent else 0.0
            self._count = 0
            self._window_started_at = now
