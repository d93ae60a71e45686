"""Tests of the shares of a worker's limits and of loans between instances."""

from typing import Any

import hypothesis
import hypothesis.strategies as st
import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.backend_servers import announcement as announcements
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import loans
from turmerichall.gateway import pool as pools
from turmerichall.gateway import shares
from turmerichall.leases import lease

ZONES = ("z1", "z2", "z3")
MEMBERS = {f"i{n}": ZONES[n % 3] for n in range(9)}
ZONE_LISTS = st.lists(st.sampled_from(ZONES), min_size=1, max_size=12)


class TestDivide:

    @hypothesis.settings(derandomize=True)
    @hypothesis.given(ZONE_LISTS, st.integers(1, 64), st.text(max_size=5))
    def test_shares_add_up_to_the_limit(
        self, zones: list[str], limit: int, worker: str
    ) -> None:
        members = {f"i{n}": zone for n, zone in enumerate(zones)}
        divided = shares.divide(worker, "z1", limit, members)
        assert sum(divided.values()) == limit
        assert min(divided.values()) >= 0

    def test_every_instance_gets_slots_of_enough_workers(self) -> None:
        total: dict[str, int] = dict.fromkeys(MEMBERS, 0)
        for number in range(24):
            worker = f"w{number}"
            divided = shares.divide(worker, ZONES[number % 3], 8, MEMBERS)
            for name, share in divided.items():
                total[name] += share
        even_share = 24 * 8 / len(MEMBERS)
        assert min(total.values()) > even_share / 2


class TestMembershipChange:

    def test_share_shrinks_at_once_and_grows_after_a_delay(self) -> None:
        old_members = {name: MEMBERS[name] for name in list(MEMBERS)[:4]}
        shrinking = shares.Shares("i0", old_members)
        growing = shares.Shares("i8", old_members)
        for each in (shrinking, growing):
            each.update(MEMBERS, 100.0)
        new_shares = shares.divide("w", "z3", 64, MEMBERS)
        assert shrinking.share("w", "z3", 64).held == new_shares["i0"]
        assert growing.share("w", "z3", 64).held == 0
        growing.update(MEMBERS, 100.0 + shares.INCREASE_DELAY_SECONDS)
        assert growing.share("w", "z3", 64).held == new_shares["i8"]

    def test_restarted_instance_uses_its_share_with_the_first_list(
        self,
    ) -> None:
        restarted = shares.Shares("i0", {})
        assert restarted.share("w", "z1", 64).held == 0
        restarted.update(MEMBERS, 100.0)
        all_shares = shares.divide("w", "z1", 64, MEMBERS)
        assert restarted.share("w", "z1", 64).held == all_shares["i0"]

    def test_joining_instance_waits_for_its_share(self) -> None:
        old_members = {name: MEMBERS[name] for name in list(MEMBERS)[1:]}
        joining = shares.Shares("i0", {})
        joining.update(old_members, 100.0)
        joining.update(MEMBERS, 101.0)
        assert joining.share("w", "z1", 64).held == 0
        joining.update(MEMBERS, 101.0 + shares.INCREASE_DELAY_SECONDS)
        assert joining.share("w", "z1", 64).held > 0

    def test_delay_is_longer_than_a_loan(self) -> None:
        expired_after = lease.ended_after_seconds(loans.LOAN_SECONDS)
        assert shares.INCREASE_DELAY_SECONDS > expired_after + 3.0


class _FakeNetwork:
    """A network that calls the handlers of the other instance."""

    def __init__(self) -> None:
        self.name = "i"
        self.handlers: dict[str, Any] = {}
        self.other: _FakeNetwork = self
        self.is_reachable = True
        self.sent: list[bytes] = []

    def handle(self, kind: str, handler: Any) -> None:
        """Register a handler."""
        self.handlers[kind] = handler

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Call a handler of the other instance."""
        del instance, timeout_seconds
        if not self.is_reachable:
            return outcomes.Refusal(outcomes.RefusalReason.UNREACHABLE)
        reply = await self.other.handlers[kind]("i", body)
        assert isinstance(reply, bytes)
        return reply

    def send(self, instance: str, kind: str, body: bytes) -> bool:
        """Keep a one-way message."""
        del instance, kind
        self.sent.append(body)
        return True


def _pool(slots: int) -> pools.Pool:
    announcement = announcements.Announcement(
        "w", 1, 1, "z1", "r", "127.0.0.1:1", resources.Resources(1, 1)
    )
    pool = pools.Pool(announcement, limits_module.Limits())
    pool.slot_share = shares.Share.fully_reserved(slots)
    pool.connection_share = shares.Share.fully_reserved(slots)
    return pool


class _Pair:
    """A lender and a borrower of slots of one worker."""

    def __init__(self, lender_slots: int, borrower_slots: int):
        self.pools = (_pool(lender_slots), _pool(borrower_slots))
        self.networks = (_FakeNetwork(), _FakeNetwork())
        self.networks[1].other = self.networks[0]
        self.queue_is_empty = [True, True]
        self.loans = [
            loans.Loans(
                self.networks[n],
                lambda name, incarnation, n=n: self.pools[n],  # type: ignore[misc]
                lambda n=n: self.queue_is_empty[n],  # type: ignore[misc]
            )
            for n in range(2)
        ]
        self.loans[0].may_lend_from = 0.0

    async def borrow(self) -> int:
        """Borrow as many slots as the lender gives."""
        return await self.loans[1].borrow(self.pools[1], ["lender"], 8)

    def fill_all_slots(self, deadline: float) -> int:
        """Fill all slots of both instances and return how many there were."""
        now = trio.current_time()
        count = 0
        for pool in self.pools:
            while pool.acquire_slot(deadline, now) is not None:
                count += 1
        return count


class TestLoan:

    async def test_sum_never_exceeds_the_limit(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        pair = _Pair(6, 2)
        assert await pair.borrow() == 3
        assert sum(pool.max_connections() for pool in pair.pools) == 8
        assert pair.fill_all_slots(trio.current_time() + 5.0) == 8

    async def test_lender_uses_a_slot_only_after_the_borrower_has_stopped(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        pair = _Pair(6, 2)
        await pair.borrow()
        started_at = trio.current_time()
        for seconds in (0.0, loans.LOAN_SECONDS, loans.LOAN_SECONDS * 1.01):
            await trio.sleep(
                max(0.0, started_at + seconds - trio.current_time())
            )
            assert pair.pools[0].free_own_slots(trio.current_time()) == 3
        late = trio.current_time() + 0.1
        assert pair.pools[1].acquire_slot(late, trio.current_time())
        assert pair.pools[1].acquire_slot(late, trio.current_time())
        assert pair.pools[1].acquire_slot(late, trio.current_time()) is None
        await trio.sleep(loans.LOAN_SECONDS * 0.02)
        assert pair.pools[0].free_own_slots(trio.current_time()) == 6

    async def test_loan_is_not_used_beyond_its_expiry(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        pair = _Pair(6, 0)
        await pair.borrow()
        now = trio.current_time()
        late = now + loans.LOAN_SECONDS + 1.0
        assert pair.pools[1].acquire_slot(late, now) is None
        assert pair.pools[1].acquire_slot(now + 1.0, now) is not None

    @pytest.mark.parametrize("refusal", ["busy", "restarted", "unreachable"])
    async def test_nothing_is_lent(
        self, autojump_clock: trio.testing.MockClock, refusal: str
    ) -> None:
        del autojump_clock
        pair = _Pair(6, 2)
        pair.queue_is_empty[0] = refusal != "busy"
        pair.networks[1].is_reachable = refusal != "unreachable"
        if refusal == "restarted":
            pair.loans[0].may_lend_from = trio.current_time() + 1.0
        assert await pair.borrow() == 0
        assert pair.pools[0].free_own_slots(trio.current_time()) == 6

    async def test_unused_loan_is_returned(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        pair = _Pair(6, 2)
        await pair.borrow()
        await trio.sleep(loans.IDLE_LOAN_SECONDS + 0.1)
        pair.loans[1].return_unused(pair.pools[1], trio.current_time())
        for body in pair.networks[1].sent:
            await pair.networks[0].handlers[loans.RETURN_LOAN]("i", body)
        assert not pair.pools[1].free_loans
        assert pair.pools[0].free_own_slots(trio.current_time()) == 6
