"""Tests of who gets the next slot and who is refused at once."""

from collections.abc import Callable, Iterable

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.backend_servers import announcement
from turmerichall.customers import customer as customers
from turmerichall.gateway import admission
from turmerichall.gateway import concurrency_limit as concurrency
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
        order: Customers in the order in which they got a slot.
        refused: Reasons of refusals by customer.
    """

    def __init__(self, slots: int, **changed: int):
        told = announcement.Announcement(
            "w", 1, 1, "z1", "r", "127.0.0.1:1", resources.Resources(1, 1)
        )
        limits = limits_module.Limits(**changed)  # type: ignore[arg-type]
        self.pool = pools.Pool(told, limits)
        self.pool.slots = shares.Part.whole(slots)
        self.admission = admission.Admission(self, limits)
        self.order: list[str] = []
        self.refused: list[tuple[str, outcomes.Refusal]] = []

    def choose(
        self, request: requests.Request, tried: frozenset[str]
    ) -> pools.Slot | None:
        """Takes a slot of the only server."""
        del tried
        return self.pool.take_slot(request.deadline, trio.current_time())

    def names_for(self, request: requests.Request) -> frozenset[str]:
        """Returns the only server, or one that runs another service."""
        return frozenset({"w" if request.service == "s" else "other"})

    def in_flight_at(self, names: Iterable[str]) -> int:
        """Returns how many slots are filled."""
        del names
        return self.pool.in_flight

    async def hold(self, request: requests.Request, seconds: float) -> None:
        """Takes a slot and holds it."""
        slot = await self.admission.slot(request)
        if isinstance(slot, outcomes.Refusal):
            self.refused.append((request.customer, slot))
            return
        self.order.append(request.customer)
        try:
            await trio.sleep(seconds)
        finally:
            self.pool.release(slot)
            self.admission.release(request, seconds)


class TestOrder:

    async def test_urgent_first_and_customers_in_turn(
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
        assert server.order == expected


class TestOtherServers:

    async def test_line_for_one_server_does_not_hold_up_another(
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
            begun = trio.current_time()
            free = _request("else")._replace(service="elsewhere")
            slot = await server.admission.slot(free)
            assert isinstance(slot, pools.Slot)
            assert trio.current_time() == begun
            nursery.cancel_scope.cancel()


class TestRefusal:

    async def test_long_wait_is_refused_at_once(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        server = _Server(1)
        server.admission.usual_hold_seconds = 0.5
        async with trio.open_nursery() as nursery:
            for name in "abcde":
                nursery.start_soon(server.hold, _request(name), 0.5)
                await trio.testing.wait_all_tasks_blocked()
            begun = trio.current_time()
            await server.hold(_request("late"), 0.0)
            assert trio.current_time() == begun
        name, refusal = server.refused[0]
        assert (name, refusal.reason) == (
            "e",
            outcomes.RefusalReason.OVERLOADED,
        )
        assert (refusal.retry_after_seconds or 0.0) >= 1.0
        assert server.refused[1][0] == "late"

    async def test_more_urgent_takes_the_place_of_the_last(
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
        assert [name for name, _ in server.refused] == ["b", "d"]
        assert server.order == ["held", "c", "a"]

    async def test_wait_ends_with_the_deadline(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        server = _Server(0)
        begun = trio.current_time()
        await server.hold(_request(seconds=0.2), 0.0)
        assert trio.current_time() - begun == pytest.approx(0.2)
        assert server.admission.waiting == 0

    async def test_one_customer_cannot_take_all(self) -> None:
        server = _Server(8)
        found = [server.admission.enter(_request()) for _ in range(9)]
        assert found[:8] == [None] * 8
        assert found[8] is not None
        assert found[8].reason == outcomes.RefusalReason.CUSTOMER_LIMIT
        assert server.admission.enter(_request("other")) is None


class TestCancel:

    @pytest.mark.parametrize("cancelled_first", [True, False])
    async def test_slot_handed_to_a_cancelled_request_is_freed(
        self, autojump_clock: trio.testing.MockClock, cancelled_first: bool
    ) -> None:
        del autojump_clock
        server = _Server(1)
        held = await server.admission.slot(_request())
        assert isinstance(held, pools.Slot)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.hold, _request("x"), 1.0)
            await trio.testing.wait_all_tasks_blocked()
            if cancelled_first:
                nursery.cancel_scope.cancel()
            server.pool.release(held)
            server.admission.release(_request(), 0.1)
            nursery.cancel_scope.cancel()
        assert (server.pool.in_flight, server.admission.in_flight) == (0, 0)


class TestConcurrency:

    @pytest.mark.parametrize(
        ("ratio", "holds"),
        [
            (10.0, lambda limit: limit < 40),
            (1.0, lambda limit: limit == 64),
        ],
    )
    def test_limit_follows_latency(
        self, ratio: float, holds: Callable[[float], bool]
    ) -> None:
        made = concurrency.Concurrency(64)
        for _ in range(100):
            made.note(ratio, 64)
        assert holds(made.limit)

    def test_limit_recovers(self) -> None:
        made = concurrency.Concurrency(64)
        for ratio in [10.0] * 100 + [1.0] * 5000:
            made.note(ratio, 64)
        assert made.limit == 64


class TestStandingQueue:

    async def test_wait_is_short_once_the_queue_has_not_been_empty_for_long(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        server = _Server(2)
        waits: list[float] = []

        async def send(name: str) -> None:
            begun = trio.current_time()
            await server.hold(_request(name, NORMAL), 0.1)
            waits.append(trio.current_time() - begun - 0.1)

        async with trio.open_nursery() as nursery:
            for number in range(200):
                nursery.start_soon(send, str(number))
                await trio.sleep(0.025)
        limits = limits_module.Limits()
        late = waits[len(waits) // 2 :]
        assert max(late) <= 2 * limits.standing_queue_seconds
        assert server.refused
        assert len(server.order) >= 90
