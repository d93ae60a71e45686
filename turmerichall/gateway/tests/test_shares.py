"""Tests of the parts of a worker's limits, and of loans between instances."""

from typing import Any

import hypothesis
import hypothesis.strategies as st
import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall import resources
from turmerichall.backend_servers import announcement
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import loans
from turmerichall.gateway import pool as pools
from turmerichall.gateway import shares
from turmerichall.leases import lease

ZONES = ("z1", "z2", "z3")
MEMBERS = {f"i{n}": ZONES[n % 3] for n in range(9)}
ZONE_LISTS = st.lists(st.sampled_from(ZONES), min_size=1, max_size=12)


class TestParts:

    @hypothesis.settings(derandomize=True)
    @hypothesis.given(ZONE_LISTS, st.integers(1, 64), st.text(max_size=5))
    def test_parts_sum_up_to_the_limit(
        self, zones: list[str], limit: int, worker: str
    ) -> None:
        members = {f"i{n}": zone for n, zone in enumerate(zones)}
        found = shares.parts(worker, "z1", limit, members)
        assert sum(found.values()) == limit
        assert min(found.values()) >= 0

    def test_every_instance_gets_slots_of_enough_workers(self) -> None:
        total: dict[str, int] = dict.fromkeys(MEMBERS, 0)
        for number in range(24):
            worker = f"w{number}"
            found = shares.parts(worker, ZONES[number % 3], 8, MEMBERS)
            for name, part in found.items():
                total[name] += part
        fair = 24 * 8 / len(MEMBERS)
        assert min(total.values()) > fair / 2


class TestMembersChange:

    def test_loser_gives_up_at_once_and_gainer_waits(self) -> None:
        fewer = {name: MEMBERS[name] for name in list(MEMBERS)[:4]}
        loser = shares.Shares("i0", fewer)
        gainer = shares.Shares("i8", fewer)
        for each in (loser, gainer):
            each.update(MEMBERS, 100.0)
        new = shares.parts("w", "z3", 64, MEMBERS)
        assert loser.part("w", "z3", 64).held == new["i0"]
        assert gainer.part("w", "z3", 64).held == 0
        gainer.update(MEMBERS, 100.0 + shares.GAIN_AFTER_SECONDS)
        assert gainer.part("w", "z3", 64).held == new["i8"]

    def test_restarted_instance_has_its_part_with_the_first_list(self) -> None:
        restarted = shares.Shares("i0", {})
        assert restarted.part("w", "z1", 64).held == 0
        restarted.update(MEMBERS, 100.0)
        whole = shares.parts("w", "z1", 64, MEMBERS)
        assert restarted.part("w", "z1", 64).held == whole["i0"]

    def test_joining_instance_waits_for_its_part(self) -> None:
        fewer = {name: MEMBERS[name] for name in list(MEMBERS)[1:]}
        joining = shares.Shares("i0", {})
        joining.update(fewer, 100.0)
        joining.update(MEMBERS, 101.0)
        assert joining.part("w", "z1", 64).held == 0
        joining.update(MEMBERS, 101.0 + shares.GAIN_AFTER_SECONDS)
        assert joining.part("w", "z1", 64).held > 0

    def test_waiting_outlasts_a_loan(self) -> None:
        lapsed = lease.ended_after_seconds(loans.LOAN_SECONDS)
        assert shares.GAIN_AFTER_SECONDS > lapsed + 3.0


class _Net:
    """Calls the handlers of the other instance."""

    def __init__(self) -> None:
        self.name = "i"
        self.handlers: dict[str, Any] = {}
        self.other: _Net = self
        self.is_up = True
        self.returned: list[bytes] = []

    def handle(self, kind: str, handler: Any) -> None:
        """Registers a handler."""
        self.handlers[kind] = handler

    async def call(
        self, instance: str, kind: str, body: bytes, timeout_seconds: float
    ) -> bytes | outcomes.Refusal:
        """Calls the other instance's handler."""
        del instance, timeout_seconds
        if not self.is_up:
            return outcomes.Refusal(outcomes.RefusalReason.UNREACHABLE)
        answer = await self.other.handlers[kind]("i", body)
        assert isinstance(answer, bytes)
        return answer

    def send(self, instance: str, kind: str, body: bytes) -> bool:
        """Keeps what is given back."""
        del instance, kind
        self.returned.append(body)
        return True


def _pool(slots: int) -> pools.Pool:
    told = announcement.Announcement(
        "w", 1, 1, "z1", "r", "127.0.0.1:1", resources.Resources(1, 1)
    )
    made = pools.Pool(told, limits_module.Limits())
    made.slots = shares.Part.whole(slots)
    made.connections = shares.Part.whole(slots)
    return made


class _Pair:
    """A lender and a borrower of slots of one worker."""

    def __init__(self, lender_slots: int, borrower_slots: int):
        self.pools = (_pool(lender_slots), _pool(borrower_slots))
        self.nets = (_Net(), _Net())
        self.nets[1].other = self.nets[0]
        self.idle = [True, True]
        self.loans = [
            loans.Loans(
                self.nets[n],
                lambda name, incarnation, n=n: self.pools[n],  # type: ignore[misc]
                lambda n=n: self.idle[n],  # type: ignore[misc]
            )
            for n in range(2)
        ]
        self.loans[0].lends_from = 0.0

    async def borrow(self) -> int:
        """Borrows what the lender gives."""
        return await self.loans[1].borrow(self.pools[1], ["lender"], 8)

    def free(self, deadline: float) -> int:
        """Returns how many slots can be filled by both together."""
        now = trio.current_time()
        count = 0
        for pool in self.pools:
            while pool.take_slot(deadline, now) is not None:
                count += 1
        return count


class TestLoan:

    async def test_sum_never_exceeds_the_limit(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        pair = _Pair(6, 2)
        assert await pair.borrow() == 3
        assert sum(pool.most_connections() for pool in pair.pools) == 8
        assert pair.free(trio.current_time() + 5.0) == 8

    async def test_lender_waits_until_the_borrower_has_stopped(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        pair = _Pair(6, 2)
        await pair.borrow()
        begun = trio.current_time()
        for seconds in (0.0, loans.LOAN_SECONDS, loans.LOAN_SECONDS * 1.01):
            await trio.sleep(max(0.0, begun + seconds - trio.current_time()))
            assert pair.pools[0].own_free(trio.current_time()) == 3
        late = trio.current_time() + 0.1
        assert pair.pools[1].take_slot(late, trio.current_time())
        assert pair.pools[1].take_slot(late, trio.current_time())
        assert pair.pools[1].take_slot(late, trio.current_time()) is None
        await trio.sleep(loans.LOAN_SECONDS * 0.02)
        assert pair.pools[0].own_free(trio.current_time()) == 6

    async def test_request_with_a_later_deadline_gets_no_loan(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        pair = _Pair(6, 0)
        await pair.borrow()
        now = trio.current_time()
        late = now + loans.LOAN_SECONDS + 1.0
        assert pair.pools[1].take_slot(late, now) is None
        assert pair.pools[1].take_slot(now + 1.0, now) is not None

    @pytest.mark.parametrize("refusal", ["busy", "restarted", "unreachable"])
    async def test_nothing_is_lent(
        self, autojump_clock: trio.testing.MockClock, refusal: str
    ) -> None:
        del autojump_clock
        pair = _Pair(6, 2)
        pair.idle[0] = refusal != "busy"
        pair.nets[1].is_up = refusal != "unreachable"
        if refusal == "restarted":
            pair.loans[0].lends_from = trio.current_time() + 1.0
        assert await pair.borrow() == 0
        assert pair.pools[0].own_free(trio.current_time()) == 6

    async def test_unused_loan_goes_back(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        del autojump_clock
        pair = _Pair(6, 2)
        await pair.borrow()
        await trio.sleep(loans.IDLE_LOAN_SECONDS + 0.1)
        pair.loans[1].give_back_idle(pair.pools[1], trio.current_time())
        for body in pair.nets[1].returned:
            await pair.nets[0].handlers[loans.GIVE_BACK]("i", body)
        assert not pair.pools[1].loans
        assert pair.pools[0].own_free(trio.current_time()) == 6
