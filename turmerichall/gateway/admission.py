"""Admission control: queueing for slots, and early refusal under overload."""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from typing import Protocol

import trio

from turmerichall import outcomes
from turmerichall.customers import customer as customers
from turmerichall.gateway import concurrency_limit
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import pool as pools
from turmerichall.gateway import request as requests
from turmerichall.gateway import request_queue

__all__ = ["Admission", "Servers"]

URGENCY_ORDER = (
    customers.Urgency.URGENT,
    customers.Urgency.NORMAL,
    customers.Urgency.DEFERRABLE,
)
HOLD_TIME_WEIGHT = 0.05
MIN_RETRY_AFTER_SECONDS = 1.0
# When the wait of a queued request is estimated, more urgent requests are
# assumed to leave at least this fraction of the released slots to others.
MIN_RATE_RATIO = 0.05


class Servers(Protocol):
    """Backend servers that requests compete for, such as `fleet.Fleet`."""

    def acquire_slot(
        self, request: requests.Request, tried: frozenset[str]
    ) -> pools.Slot | outcomes.Refusal | None:
        """Acquire a slot for a request; see `fleet.Fleet.acquire_slot`."""

    def eligible_servers(self, request: requests.Request) -> frozenset[str]:
        """Return the names of the servers that may run a request."""

    def in_flight_on(self, servers: Iterable[str]) -> int:
        """Return how many requests this instance has in flight on `servers`."""


class Admission:
    """Admission control, by urgency and with round robin among customers.

    Attributes:
        servers: Backend servers that requests compete for.
        concurrency_limit: Adaptive limit of `in_flight`.
        in_flight: Number of requests that hold a slot.
        queues: Queued requests by urgency.
        queued_count: Number of queued requests.
        count_by_customer: Number of requests of each customer, queued or in
            flight.
        hold_seconds_by_service: Moving average of how long a request holds its
            slot, by customer and service.
        mean_hold_seconds: Moving average over all services, used for services
            not seen before.
        request_queued: Event that is set when a request is queued.
        slot_rates: Rate at which requests acquire slots, by urgency.
        last_empty_at: When the queues were last empty, trio time.

    References:
        Controlled delay: K. Nichols and V. Jacobson, ACM Queue 10(5), 2012.
    """

    def __init__(self, servers: Servers, limits: limits_module.Limits):
        self.servers = servers
        self.limits = limits
        self.concurrency_limit = concurrency_limit.ConcurrencyLimit(
            limits.concurrency
        )
        self.in_flight = 0
        self.queues = {
            urgency: request_queue.FairQueue(OrderedDict())
            for urgency in URGENCY_ORDER
        }
        self.queued_count = 0
        self.count_by_customer: Counter[str] = Counter()
        self.hold_seconds_by_service: dict[tuple[str, str], float] = {}
        self.mean_hold_seconds = 0.0
        self.request_queued = trio.Event()
        self.slot_rates = {
            urgency: request_queue.SlotRate() for urgency in URGENCY_ORDER
        }
        self.last_empty_at = trio.current_time()

    def register(self, request: requests.Request) -> outcomes.Refusal | None:
        """Count a request for its customer, or refuse it at the limit.

        The limit applies to the customer's requests on this instance, queued or
        in flight.
        """
        if self.count_by_customer[request.customer] >= request.max_requests:
            return outcomes.Refusal(
                outcomes.RefusalReason.CUSTOMER_LIMIT,
                f"customer {request.customer} has {request.max_requests}"
                " requests in flight here",
                MIN_RETRY_AFTER_SECONDS,
            )
        self.count_by_customer[request.customer] += 1
        return None

    def unregister(self, request: requests.Request) -> None:
        """Stop counting a request for its customer."""
        self.count_by_customer[request.customer] -= 1
        if not self.count_by_customer[request.customer]:
            del self.count_by_customer[request.customer]

    async def acquire_slot(
        self, request: requests.Request, tried: frozenset[str] = frozenset()
    ) -> pools.Slot | outcomes.Refusal:
        """Acquire a slot, or wait for one unless the wait is likely too long.

        Args:
            request: The request.
            tried: Backend servers to avoid if others run the service.

        Returns:
            The slot, or why there is none.
        """
        if not self.queued_count or self._may_skip_queue(request):
            acquired = self._try_acquire(request, tried)
            if acquired is not None:
                return acquired
        refusal = self._early_refusal(request)
        if refusal is not None:
            return refusal
        servers = self.servers.eligible_servers(request)
        return await self._enqueue_and_wait(
            request_queue.QueuedRequest(request, tried, servers)
        )

    def _may_skip_queue(self, request: requests.Request) -> bool:
        servers = self.servers.eligible_servers(request)
        return self._count_ahead(request.urgency, servers) == 0

    def _count_ahead(
        self, urgency: customers.Urgency, servers: frozenset[str]
    ) -> int:
        """Count the queued requests that precede a request of this urgency.

        These are the requests of the same or a higher urgency that may run on
        at least one of `servers`.
        """
        return sum(
            not queued.servers.isdisjoint(servers)
            for each in URGENCY_ORDER[: URGENCY_ORDER.index(urgency) + 1]
            for queued in self.queues[each].round_robin()
        )

    def _try_acquire(
        self, request: requests.Request, tried: frozenset[str]
    ) -> pools.Slot | outcomes.Refusal | None:
        if self.in_flight >= self.concurrency_limit.limit:
            return None
        acquired = self.servers.acquire_slot(request, tried)
        if isinstance(acquired, pools.Slot):
            self.in_flight += 1
            self.slot_rates[request.urgency].record(trio.current_time())
        return acquired

    def slot_released(
        self, request: requests.Request, held_seconds: float
    ) -> None:
        """Record that a request released its slot, and assign free slots."""
        self.in_flight -= 1
        key = (request.customer, request.service)
        mean = self.hold_seconds_by_service.get(key, held_seconds)
        self.hold_seconds_by_service[key] = (
            mean + (held_seconds - mean) * HOLD_TIME_WEIGHT
        )
        difference = held_seconds - self.mean_hold_seconds
        self.mean_hold_seconds += difference * HOLD_TIME_WEIGHT
        self.assign_free_slots()

    def assign_free_slots(self) -> None:
        """Assign free slots to queued requests."""
        if not self.queued_count:
            return
        without_free_slot: set[tuple[str, str]] = set()
        for urgency in URGENCY_ORDER:
            for queued in list(self.queues[urgency].round_robin()):
                request = queued.request
                key = (request.customer, request.service)
                if key in without_free_slot:
                    continue
                acquired = self._try_acquire(request, queued.tried)
                if acquired is None:
                    without_free_slot.add(key)
                    continue
                self._dequeue(queued)
                queued.complete(acquired)

    async def _enqueue_and_wait(
        self, queued: request_queue.QueuedRequest
    ) -> pools.Slot | outcomes.Refusal:
        request = queued.request
        self.queues[request.urgency].add(queued)
        self.queued_count += 1
        self.request_queued.set()
        now = trio.current_time()
        wait_until = min(request.deadline, now + self.limits.queue_seconds)
        try:
            with trio.move_on_at(wait_until):
                await queued.done.wait()
        except trio.Cancelled:
            if isinstance(queued.result, pools.Slot):
                queued.result.pool.release_unused_slot(queued.result)
                self.in_flight -= 1
                self.assign_free_slots()
            raise
        finally:
            if queued.result is None:
                self._dequeue(queued)
        if queued.result is not None:
            return queued.result
        return outcomes.Refusal(
            outcomes.RefusalReason.OVERLOADED,
            "no slot became free in time",
            max(MIN_RETRY_AFTER_SECONDS, self._expected_wait_seconds(request)),
        )

    def queued_services(self) -> set[tuple[str, str]]:
        """Return the pairs of customer and service with queued requests."""
        return {
            (queued.request.customer, queued.request.service)
            for queue in self.queues.values()
            for queued in queue.round_robin()
        }

    def _dequeue(self, queued: request_queue.QueuedRequest) -> None:
        self.queues[queued.request.urgency].remove(queued)
        self.queued_count -= 1
        if not self.queued_count:
            self.last_empty_at = trio.current_time()

    def _expected_wait_seconds(self, request: requests.Request) -> float:
        """Estimate how long a request would wait behind those ahead of it.

        Slots are released at the rate at which requests end, and more urgent
        requests continue to acquire some of them.  Queued requests for other
        servers don't count.
        """
        now = trio.current_time()
        servers = self.servers.eligible_servers(request)
        ahead = self._count_ahead(request.urgency, servers)
        if not ahead:
            return 0.0
        key = (request.customer, request.service)
        hold_seconds = self.hold_seconds_by_service.get(
            key, self.mean_hold_seconds
        )
        released_per_second = max(1, self.servers.in_flight_on(servers)) / max(
            hold_seconds, 1e-6
        )
        more_urgent = URGENCY_ORDER[: URGENCY_ORDER.index(request.urgency)]
        acquired_per_second = sum(
            self.slot_rates[each].current(now) for each in more_urgent
        )
        return ahead / max(
            released_per_second - acquired_per_second,
            released_per_second * MIN_RATE_RATIO,
        )

    def _max_wait_seconds(self) -> float:
        """Return how long a request may wait for a slot now.

        The limit is lower for a standing queue, one that has not been empty for
        `queue_seconds`, than for a burst.
        """
        now = trio.current_time()
        if not self.queued_count:
            self.last_empty_at = now
        if now - self.last_empty_at > self.limits.queue_seconds:
            return self.limits.standing_queue_seconds
        return self.limits.queue_seconds

    def _early_refusal(
        self, request: requests.Request
    ) -> outcomes.Refusal | None:
        wait_seconds = self._expected_wait_seconds(request)
        remaining = request.remaining_seconds(trio.current_time())
        retry_after = max(MIN_RETRY_AFTER_SECONDS, wait_seconds)
        if wait_seconds > min(remaining, self._max_wait_seconds()):
            return outcomes.Refusal(
                outcomes.RefusalReason.OVERLOADED,
                f"the wait for a slot would be {wait_seconds:.1f} s",
                retry_after,
            )
        if self.queued_count < self.limits.queue_requests:
            return None
        if self._evict_less_urgent(request.urgency):
            return None
        return outcomes.Refusal(
            outcomes.RefusalReason.OVERLOADED,
            f"{self.queued_count} requests wait for a slot, the queue is full",
            retry_after,
        )

    def _evict_less_urgent(self, urgency: customers.Urgency) -> bool:
        """Evict a queued request that is less urgent, if there is one.

        It is the last request in the queue of the lowest urgency that has any.

        Args:
            urgency: Urgency of the request that needs the place.

        Returns:
            Whether a request was evicted.
        """
        for less_urgent in reversed(
            URGENCY_ORDER[URGENCY_ORDER.index(urgency) + 1 :]
        ):
            queue = self.queues[less_urgent]
            if queue.by_customer:
                *_, last = queue.round_robin()
                self._dequeue(last)
                last.complete(
                    outcomes.Refusal(
                        outcomes.RefusalReason.OVERLOADED,
                        "evicted from the queue by a more urgent request",
                        MIN_RETRY_AFTER_SECONDS,
                    )
                )
                return True
        return False
