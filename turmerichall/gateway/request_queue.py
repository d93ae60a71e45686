"""Requests that wait for a slot, and how fast each urgency takes slots."""

import math
from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import NamedTuple

import trio

from turmerichall import outcomes
from turmerichall.gateway import pool as pools
from turmerichall.gateway import request as requests

__all__ = ["Line", "Rate", "Waiting"]

RATE_WINDOW_SECONDS = 0.5


class Waiting:
    """A request that waits for a slot.

    Attributes:
        request: The request.
        tried: Backend servers to avoid.
        servers: Backend servers that may run it.
        result: The slot or refusal, once there is one.
        woken: Set together with `result`.
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
        self.woken = trio.Event()

    def end(self, result: pools.Slot | outcomes.Refusal) -> None:
        """Wakes the request with what came of its wait."""
        self.result = result
        self.woken.set()


class Line(NamedTuple):
    """The waiting requests of one urgency.

    Attributes:
        by_customer: Waiting requests of each customer, who take turns.
    """

    by_customer: OrderedDict[str, deque[Waiting]]

    def __len__(self) -> int:
        return sum(map(len, self.by_customer.values()))

    def in_turn(self) -> Iterator[Waiting]:
        """Yields the first of each customer, then the second, and so on."""
        lines = [list(line) for line in self.by_customer.values()]
        for place in range(max(map(len, lines), default=0)):
            for line in lines:
                if place < len(line):
                    yield line[place]

    def add(self, waiting: Waiting) -> None:
        """Adds a request at the end of its customer's line."""
        name = waiting.request.customer
        self.by_customer.setdefault(name, deque()).append(waiting)

    def remove(self, waiting: Waiting) -> None:
        """Takes a request out; its customer then goes behind the others."""
        name = waiting.request.customer
        line = self.by_customer[name]
        line.remove(waiting)
        if line:
            self.by_customer.move_to_end(name)
        else:
            del self.by_customer[name]


class Rate:
    """How many slots a second the requests of one urgency take.

    Attributes:
        per_second: Rate over the last whole window.
    """

    def __init__(self) -> None:
        self.per_second = 0.0
        self._count = 0
        self._began_at = -math.inf

    def note(self, now: float) -> None:
        """Adds a slot taken."""
        self._roll(now)
        self._count += 1

    def read(self, now: float) -> float:
        """Returns the rate, in slots a second."""
        self._roll(now)
        return self.per_second

    def _roll(self, now: float) -> None:
        passed = now - self._began_at
        if passed >= RATE_WINDOW_SECONDS:
            whole = passed < 2 * RATE_WINDOW_SECONDS
            self.per_second = self._count / passed if whole else 0.0
            self._count = 0
            self._began_at = now
