"""Slots that live entry instances lend each other for a short term.

An instance whose part of a worker is idle lends half of it.  A loan covers one
slot and one connection and lapses by itself.  The borrower counts its term
from before it asked, the lender from when it granted, lengthened for drift; so
the lender never uses the slot again before the borrower stopped.  A borrower
uses a loan only for a request whose deadline lies within the term.
"""

import itertools
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec
import trio

from turmerichall import outcomes
from turmerichall.gateway import peer_calls
from turmerichall.gateway import pool as pools
from turmerichall.leases import lease

__all__ = ["Ask", "LOAN_SECONDS", "Loans", "lendable"]

LOAN_SECONDS = 12.0
# Loans that were not used for this long are given back.
IDLE_LOAN_SECONDS = 1.0
CALL_SECONDS = 0.5
ASK_AGAIN_SECONDS = 0.25
MOST_ASKED = 4

BORROW = "gateway.borrow"
GIVE_BACK = "gateway.give_back"


class Ask(NamedTuple):
    """Asks for slots of a worker.

    Attributes:
        worker: Name of the worker.
        incarnation: Its incarnation.
        slots: How many slots would help.
    """

    worker: str
    incarnation: int
    slots: int


class Returned(NamedTuple):
    """Gives a loan back.

    Attributes:
        worker: Name of the worker.
        number: The lender's number of the loan.
    """

    worker: str
    number: int


def lendable(part: int) -> int:
    """Returns how much of a part may be lent; the rest never is.

    An instance that restarts forgot what it lent, and uses only the rest until
    every loan has lapsed.

    Examples:
        >>> lendable(3)
        1
    """
    return part // 2


class Loans:
    """Lends and borrows slots of one instance.

    Attributes:
        network: Calls to the other instances.
        find: Returns the pool of a worker's incarnation, or None.
        is_idle: Tells whether no request of this instance waits for a slot.
        lends_from: When this instance may lend, trio time: once whatever it
            lent before a restart has lapsed.
    """

    def __init__(
        self,
        network: peer_calls.Network,
        find: Callable[[str, int], pools.Pool | None],
        is_idle: Callable[[], bool],
    ):
        self.network = network
        self.find = find
        self.is_idle = is_idle
        # No number is used again after a restart, so that a late return of an
        # old loan doesn't end a new one.
        self.numbers = itertools.count(time.time_ns())
        held = lease.ended_after_seconds(LOAN_SECONDS)
        self.lends_from = trio.current_time() + held
        self.asked_at: dict[tuple[str, str], float] = {}
        network.handle(BORROW, self._lend)
        network.handle(GIVE_BACK, self._take_back)

    def has_settled(self) -> bool:
        """Tells whether loans from before a restart have all lapsed."""
        return trio.current_time() >= self.lends_from

    async def _lend(self, sender: str, body: bytes) -> bytes:
        del sender
        ask = msgspec.msgpack.decode(body, type=Ask)
        pool = self.find(ask.worker, ask.incarnation)
        numbers: list[int] = []
        if pool is not None and self.is_idle() and self.has_settled():
            numbers = self._lend_from(pool, ask.slots)
        return msgspec.msgpack.encode(numbers)

    def _lend_from(self, pool: pools.Pool, count: int) -> list[int]:
        now = trio.current_time()
        until = now + lease.ended_after_seconds(LOAN_SECONDS)
        free = pool.own_free(now, until)
        most = min(count, free, lendable(pool.slots.held) - len(pool.lent))
        numbers = list(itertools.islice(self.numbers, max(0, most)))
        for number in numbers:
            pool.lent[number] = until
        pool.trim()
        return numbers

    async def _take_back(self, sender: str, body: bytes) -> None:
        del sender
        returned = msgspec.msgpack.decode(body, type=Returned)
        pool = self.find(returned.worker, 0)
        if pool is not None:
            pool.lent.pop(returned.number, None)

    async def borrow(
        self, pool: pools.Pool, lenders: Iterable[str], count: int
    ) -> int:
        """Asks other instances in turn until one lends slots of a worker.

        Args:
            pool: The pool of the worker.
            lenders: Names of the other instances.
            count: How many slots would help.

        Returns:
            How many were lent.
        """
        ask = Ask(pool.told.name, pool.told.incarnation, min(count, MOST_ASKED))
        for lender in lenders:
            before = trio.current_time()
            key = (pool.told.name, lender)
            since = before - self.asked_at.get(key, -LOAN_SECONDS)
            if since < ASK_AGAIN_SECONDS:
                continue
            self.asked_at[key] = before
            answer = await self.network.call(
                lender, BORROW, msgspec.msgpack.encode(ask), CALL_SECONDS
            )
            if isinstance(answer, outcomes.Refusal):
                continue
            numbers = msgspec.msgpack.decode(answer, type=list[int])
            until = before + LOAN_SECONDS
            pool.loans += [
                pools.Loan(lender, number, until) for number in numbers
            ]
            if numbers:
                return len(numbers)
        return 0

    def give_back_idle(self, pool: pools.Pool, now: float) -> None:
        """Gives loans back that nobody uses or that end soon.

        Args:
            pool: The pool.
            now: Current time, trio clock.
        """
        unused = now - pool.loan_used_at > IDLE_LOAN_SECONDS
        for loan in list(pool.loans):
            if unused and self.is_idle() or loan.until <= now:
                pool.loans.remove(loan)
                pool.trim()
                returned = Returned(pool.told.name, loan.number)
                self.network.send(
                    loan.lender, GIVE_BACK, msgspec.msgpack.encode(returned)
                )
