"""Which request gets the next slot, and which is refused at once."""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from typing import Protocol

import trio

from turmerichall import outcomes
from turmerichall.customers import customer as customers
from turmerichall.gateway import concurrency_limit as concurrency
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import pool as pools
from turmerichall.gateway import request as requests
from turmerichall.gateway import request_queue as lines

__all__ = ["Admission", "Servers"]

ORDER = (
    customers.Urgency.URGENT,
    customers.Urgency.NORMAL,
    customers.Urgency.DEFERRABLE,
)
HOLD_WEIGHT = 0.05
LEAST_RETRY_AFTER_SECONDS = 1.0
# Share of the slots that a line is taken to get at least.
LEAST_SHARE = 0.05


class Servers(Protocol):
    """Backend servers that requests compete for; `fleet.Fleet` is one."""

    def choose(
        self, request: requests.Request, tried: frozenset[str]
    ) -> pools.Slot | outcomes.Refusal | None:
        """Takes a slot; None if all suitable ones are filled."""

    def names_for(self, request: requests.Request) -> frozenset[str]:
        """Returns the names of the servers that may run a request."""

    def in_flight_at(self, names: Iterable[str]) -> int:
        """Returns how many slots of this instance are filled at servers."""


class Admission:
    """Hands out slots by urgency, with customers of one urgency in turn.

    Attributes:
        servers: Backend servers that requests compete for.
        concurrency: The adaptive limit.
        in_flight: Requests that hold a slot.
        lines: Waiting requests by urgency.
        waiting: How many there are.
        of_customer: Requests of each customer, waiting or in flight.
        hold_seconds: Running mean of how long a request holds its slot, by
            customer and service.
        usual_hold_seconds: The same over all, for those not seen before.
        starved: Set when a request begins to wait.
        rates: Slots that requests of each urgency take.
        empty_at: When no request waited last, trio time.

    References:
        Controlled delay: K. Nichols and V. Jacobson, ACM Queue 10(5), 2012.
    """

    def __init__(self, servers: Servers, limits: limits_module.Limits):
        self.servers = servers
        self.limits = limits
        self.concurrency = concurrency.Concurrency(limits.concurrency)
        self.in_flight = 0
        self.lines = {urgency: lines.Line(OrderedDict()) for urgency in ORDER}
        self.waiting = 0
        self.of_customer: Counter[str] = Counter()
        self.hold_seconds: dict[tuple[str, str], float] = {}
        self.usual_hold_seconds = 0.0
        self.starved = trio.Event()
        self.rates = {urgency: lines.Rate() for urgency in ORDER}
        self.empty_at = trio.current_time()

    def enter(self, request: requests.Request) -> outcomes.Refusal | None:
        """Counts a request in, unless its customer has too many."""
        if self.of_customer[request.customer] >= request.max_requests:
            return outcomes.Refusal(
                outcomes.RefusalReason.CUSTOMER_LIMIT,
                f"customer {request.customer} has {request.max_requests}"
                " requests in flight here",
                LEAST_RETRY_AFTER_SECONDS,
            )
        self.of_customer[request.customer] += 1
        return None

    def leave(self, request: requests.Request) -> None:
        """Counts a request out."""
        self.of_customer[request.customer] -= 1
        if not self.of_customer[request.customer]:
            del self.of_customer[request.customer]

    async def slot(
        self, request: requests.Request, tried: frozenset[str] = frozenset()
    ) -> pools.Slot | outcomes.Refusal:
        """Takes a slot, after waiting for one if that can still help.

        Args:
            request: The request.
            tried: Backend servers to avoid if others run the service.

        Returns:
            The slot, or why there is none.
        """
        if not self.waiting or self._goes_first(request):
            found = self._take(request, tried)
            if found is not None:
                return found
        refusal = self._refuse_at_once(request)
        if refusal is not None:
            return refusal
        names = self.servers.names_for(request)
        return await self._wait(lines.Waiting(request, tried, names))

    def _goes_first(self, request: requests.Request) -> bool:
        names = self.servers.names_for(request)
        return self._ahead(request.urgency, names) == 0

    def _ahead(self, urgency: customers.Urgency, names: frozenset[str]) -> int:
        """Counts the waiting requests that get a slot of some servers first."""
        return sum(
            not waiting.servers.isdisjoint(names)
            for each in ORDER[: ORDER.index(urgency) + 1]
            for waiting in self.lines[each].in_turn()
        )

    def _take(
        self, request: requests.Request, tried: frozenset[str]
    ) -> pools.Slot | outcomes.Refusal | None:
        if self.in_flight >= self.concurrency.limit:
            return None
        found = self.servers.choose(request, tried)
        if isinstance(found, pools.Slot):
            self.in_flight += 1
            self.rates[request.urgency].note(trio.current_time())
        return found

    def release(self, request: requests.Request, held_seconds: float) -> None:
        """Notes that a request freed its slot, and hands it on."""
        self.in_flight -= 1
        key = (request.customer, request.service)
        mean = self.hold_seconds.get(key, held_seconds)
        self.hold_seconds[key] = mean + (held_seconds - mean) * HOLD_WEIGHT
        change = held_seconds - self.usual_hold_seconds
        self.usual_hold_seconds += change * HOLD_WEIGHT
        self.hand_out()

    def hand_out(self) -> None:
        """Gives free slots to those who wait."""
        if not self.waiting:
            return
        without_room: set[tuple[str, str]] = set()
        for urgency in ORDER:
            for waiting in list(self.lines[urgency].in_turn()):
                request = waiting.request
                key = (request.customer, request.service)
                if key in without_room:
                    continue
                found = self._take(request, waiting.tried)
                if found is None:
                    without_room.add(key)
                    continue
                self._remove(waiting)
                waiting.end(found)

    async def _wait(
        self, waiting: lines.Waiting
    ) -> pools.Slot | outcomes.Refusal:
        request = waiting.request
        self.lines[request.urgency].add(waiting)
        self.waiting += 1
        self.starved.set()
        now = trio.current_time()
        until = min(request.deadline, now + self.limits.queue_seconds)
        try:
            with trio.move_on_at(until):
                await waiting.woken.wait()
        except trio.Cancelled:
            if isinstance(waiting.result, pools.Slot):
                waiting.result.pool.release(waiting.result)
                self.in_flight -= 1
                self.hand_out()
            raise
        finally:
            if waiting.result is None:
                self._remove(waiting)
        if waiting.result is not None:
            return waiting.result
        return outcomes.Refusal(
            outcomes.RefusalReason.OVERLOADED,
            "no slot became free in time",
            max(LEAST_RETRY_AFTER_SECONDS, self._wait_seconds(request)),
        )

    def waiting_services(self) -> set[tuple[str, str]]:
        """Returns customer and service of the requests that wait."""
        return {
            (waiting.request.customer, waiting.request.service)
            for line in self.lines.values()
            for waiting in line.in_turn()
        }

    def _remove(self, waiting: lines.Waiting) -> None:
        self.lines[waiting.request.urgency].remove(waiting)
        self.waiting -= 1
        if not self.waiting:
            self.empty_at = trio.current_time()

    def _wait_seconds(self, request: requests.Request) -> float:
        """Returns how long a request would wait behind those before it.

        Slots become free at the rate at which requests end; more urgent
        requests go on taking theirs.  Requests for other servers don't count.
        """
        now = trio.current_time()
        names = self.servers.names_for(request)
        ahead = self._ahead(request.urgency, names)
        if not ahead:
            return 0.0
        key = (request.customer, request.service)
        hold = self.hold_seconds.get(key, self.usual_hold_seconds)
        freed = max(1, self.servers.in_flight_at(names)) / max(hold, 1e-6)
        higher = ORDER[: ORDER.index(request.urgency)]
        taken = sum(self.rates[each].read(now) for each in higher)
        return ahead / max(freed - taken, freed * LEAST_SHARE)

    def _most_wait_seconds(self) -> float:
        """Returns how long a request may wait for a slot now.

        A queue that has not been empty for long is no burst any more.
        """
        now = trio.current_time()
        if not self.waiting:
            self.empty_at = now
        if now - self.empty_at > self.limits.queue_seconds:
            return self.limits.standing_queue_seconds
        return self.limits.queue_seconds

    def _refuse_at_once(
        self, request: requests.Request
    ) -> outcomes.Refusal | None:
        expected = self._wait_seconds(request)
        remaining = request.remaining_seconds(trio.current_time())
        retry_after = max(LEAST_RETRY_AFTER_SECONDS, expected)
        if expected > min(remaining, self._most_wait_seconds()):
            return outcomes.Refusal(
                outcomes.RefusalReason.OVERLOADED,
                f"the wait for a slot would be {expected:.1f} s",
                retry_after,
            )
        if self.waiting < self.limits.queue_requests:
            return None
        if self._displace(request.urgency):
            return None
        return outcomes.Refusal(
            outcomes.RefusalReason.OVERLOADED,
            f"{self.waiting} requests wait for a slot",
            retry_after,
        )

    def _displace(self, urgency: customers.Urgency) -> bool:
        """Refuses the last waiting request that is less urgent, if any."""
        for lower in reversed(ORDER[ORDER.index(urgency) + 1 :]):
            line = self.lines[lower]
            if line.by_customer:
                *_, last = line.in_turn()
                self._remove(last)
                last.end(
                    outcomes.Refusal(
                        outcomes.RefusalReason.OVERLOADED,
                        "more urgent requests took the place in the queue",
                        LEAST_RETRY_AFTER_SECONDS,
                    )
                )
                return True
        return False
