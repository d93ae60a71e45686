"""Tests of the order in which slots are assigned and of early refusals."""

from collections.abc import Callable, Iterable

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.backend_servers import announcement as announcements
from turmerichall.customers import customer as customers
from turmerichall.gateway import admission
from turmerichall.gateway import concurrency_limit
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import pool as pools
from turmerichall.gateway import request as requests
from turmerichall.gateway import shares

URGENT = customers.Urgency.URGENT
NORMAL = customers.Urgency.NORMAL
DEFERRABLE = customers.Urgency.DEFERRABLE


def _request(
    customer: str = "c",
    urgency: customers.Urgency = URGENT,
    seconds: float = 10.0,
) -> requests.Request:
    deadline = trio.current_time() + seconds
    return requests.Request(customer, "s", b"r", True, urgency, 8, deadline)


class _Server:
    """One backend server with a few slots, and requests that hold them.

    Attributes:
        served_customers: Customers in the order in which they got a slot.
        refusals: Customers and refusals of refused requests.
        next_is_probe: Whether the next request to get a slot is a probe.
    """

    def __init__(self, slots: int, **changed: int):
        announcement = announcements.Announcement(
            "w", 1, 1, "z1", "r", "127.0.0.1:1", resources.Resources(1, 1)
        )
        limits = limits_module.Limits(**changed)  # type: ignore[arg-type]
        self.pool = pools.Pool(announcement, limits)
        self.pool.slot_share = shares.Share.fully_reserved(slots)
        self.admission = admission.Admission(self, limits)
        self.served_customers: list[str] = []
        self.refusals: list[tuple[str, outcomes.Refusal]] = []
        self.next_is_probe = False

    def acquire_slot(
        self, request: requests.Request, tried: frozenset[str]
    ) -> pools.Slot | None:
        """Acquire a slot of the only server."""
        del tried
        slot = self.pool.acquire_slot(request.deadline, trio.current_time())
        if slot is None or not self.next_is_probe:
            return slot
        self.next_is_probe = False
        self.pool.health.probing = True
        return slot._replace(probe=True)

    def eligible_servers(self, request: requests.Request) -> frozenset[str]:
        """Return the only server, or another one for other services."""
        return frozenset({"w" if request.service == "s" else "other"})

    def in_flight_on(self, names: Iterable[str]) -> int:
        """Return how many slots are in use."""
        del names
        return self.pool.in_flight

    async def hold(self, request: requests.Request, seconds: float) -> None:
        """Acquire a slot and hold it."""
        slot = await self.admission.acquire_slot(request)
        if isinstance(slot, outcomes.Refusal):
            self.refusals.append((request.customer, slot))
            return
        self.served_customers.append(request.customer)
        try:
            await trio.sleep(seconds)
        finally:
            self.pool.release_slot(slot)
            self.admission.slot_released(request, seconds)


class TestOrder:

    async def test_urgent_requests_first_then_customers_round_robin(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        server = _Server(1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.hold, _request("first"), 0.1)
            await trio.testing.wait_all_tasks_blocked()
            arrivals = [
                ("deferrable", DEFERRABLE),
                ("a", NORMAL),
                ("a", NORMAL),
                ("a", NORMAL),
                ("b", NORMAL),
                ("urgent", URGENT),
            ]
            for name, urgency in arrivals:
                request = _request(name, urgency)
                nursery.start_soon(server.hold, request, 0.01)
                await trio.testing.wait_all_tasks_blocked()
        expected = ["first", "urgent", "a", "b", "a", "a", "deferrable"]
        assert server.served_customers == expected


class TestOtherService:

    async def test_queue_for_one_server_does_not_delay_another(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        server = _Server(1)
        other = _Server(1)
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(server.hold, _request(), 0.1)
                await trio.testing.wait_all_tasks_blocked()
            server.pool = other.pool
            started_at = trio.current_time()
            free = _request("else")._replace(service="elsewhere")
            slot = await server.admission.acquire_slot(free)
            assert isinstance(slot, pools.Slot)
            assert trio.current_time() == started_at
            nursery.cancel_scope.cancel()


class TestRefusal:

    async def test_long_wait_is_refused_at_once(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        server = _Server(1)
        server.admission.mean_hold_seconds = 0.5
        async with trio.open_nursery() as nursery:
            for name in "abcde":
                nursery.start_soon(server.hold, _request(name), 0.5)
                await trio.testing.wait_all_tasks_blocked()
            started_at = trio.current_time()
            await server.hold(_request("late"), 0.0)
            assert trio.current_time() == started_at
        name, refusal = server.refusals[0]
        assert (name, refusal.reason) == (
            "e",
            outcomes.RefusalReason.OVERLOADED,
        )
        assert (refusal.retry_after_seconds or 0.0) >= 1.0
        assert server.refusals[1][0] == "late"

    async def test_more_urgent_request_evicts_the_last_one(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        server = _Server(1, queue_requests=2)
        async with trio.open_nursery() as nursery:
            for name, urgency in [
                ("held", URGENT),
                ("a", NORMAL),
                ("b", DEFERRABLE),
                ("c", URGENT),
                ("d", NORMAL),
            ]:
                request = _request(name, urgency)
                nursery.start_soon(server.hold, request, 0.1)
                await trio.testing.wait_all_tasks_blocked()
        assert [name for name, _ in server.refusals] == ["b", "d"]
        assert server.served_customers == ["held", "c", "a"]

    async def test_wait_ends_with_the_deadline(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        server = _Server(0)
        started_at = trio.current_time()
        await server.hold(_request(seconds=0.2), 0.0)
        assert trio.current_time() - started_at == pytest.approx(0.2)
        assert server.admission.queued_count == 0

    async def test_customer_limit_is_enforced(self) -> None:
        server = _Server(8)
        results = [server.admission.register(_request()) for _ in range(9)]
        assert results[:8] == [None] * 8
        assert results[8] is not None
        assert results[8].reason == outcomes.RefusalReason.CUSTOMER_LIMIT
        assert server.admission.register(_request("other")) is None


class TestCancel:

    @pytest.mark.parametrize("cancelled_first", [True, False])
    async def test_slot_assigned_to_a_cancelled_request_is_released(
        self, autojump_clock: trio.testing.MockClock, cancelled_first: bool
    ) -> None:
        del autojump_clock
        server = _Server(1)
        slot = await server.admission.acquire_slot(_request())
        assert isinstance(slot, pools.Slot)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.hold, _request("x"), 1.0)
            await trio.testing.wait_all_tasks_blocked()
            if cancelled_first:
                nursery.cancel_scope.cancel()
            server.pool.release_slot(slot)
            server.admission.slot_released(_request(), 0.1)
            nursery.cancel_scope.cancel()
        assert (server.pool.in_flight, server.admission.in_flight) == (0, 0)

    # The server counted as being probed from then on, and got no work until it
    # was restarted.
    async def test_probe_of_a_cancelled_request_can_be_repeated(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        server = _Server(1)
        health = server.pool.health
        slot = await server.admission.acquire_slot(_request())
        assert isinstance(slot, pools.Slot)
        health.eject(trio.current_time())
        # Past the end of the ejection.
        await trio.sleep(10.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.hold, _request("x"), 1.0)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
            server.next_is_probe = True
            server.pool.release_slot(slot)
            server.admission.slot_released(_request(), 0.1)
            assert health.probing
        assert health.may_probe(trio.current_time())
        assert server.pool.in_flight == 0

    async def test_cancelled_request_does_not_end_the_probe_of_another(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        server = _Server(2)
        health = server.pool.health
        slots = [await server.admission.acquire_slot(_request()) for _ in "ab"]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.hold, _request("x"), 1.0)
            await trio.testing.wait_all_tasks_blocked()
            assert isinstance(slots[0], pools.Slot)
            nursery.cancel_scope.cancel()
            server.pool.release_slot(slots[0])
            server.admission.slot_released(_request(), 0.1)
            # The server is ejected and probed by another request before the
            # cancelled one releases its slot.
            health.eject(trio.current_time())
            health.probing = True
        assert health.probing


class TestConcurrency:

    @pytest.mark.parametrize(
        ("latency_ratio", "holds"),
        [
            (10.0, lambda limit: limit < 40),
            (1.0, lambda limit: limit == 64),
        ],
    )
    def test_limit_decreases_with_high_latency(
        self, latency_ratio: float, holds: Callable[[float], bool]
    ) -> None:
        limit = concurrency_limit.ConcurrencyLimit(64)
        for _ in range(100):
            limit.record(latency_ratio, 64)
        assert holds(limit.limit)

    def test_limit_recovers(self) -> None:
        limit = concurrency_limit.ConcurrencyLimit(64)
        for latency_ratio in [10.0] * 100 + [1.0] * 5000:
            limit.record(latency_ratio, 64)
        assert limit.limit == 64


class TestStandingQueue:

    async def test_wait_is_shorter_in_a_standing_queue(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        server = _Server(2)
        waits: list[float] = []

        async def send(name: str) -> None:
            started_at = trio.current_time()
            await server.hold(_request(name, NORMAL), 0.1)
            waits.append(trio.current_time() - started_at - 0.1)

        async with trio.open_nursery() as nursery:
            for number in range(200):
                nursery.start_soon(send, str(number))
                await trio.sleep(0.025)
        limits = limits_module.Limits()
        late = waits[len(waits) // 2 :]
        assert max(late) <= 2 * limits.standing_queue_seconds
        assert server.refusals
        assert len(server.served_customers) >= 90
