"""Slots that entry instances lend each other for a short time.

An instance that doesn't use its share of a worker lends up to half of it.  A
loan covers one slot and one connection and expires by itself.  The borrower
counts the loan's duration from before it asked; the lender counts it from when
it granted the loan, and adds the possible clock drift.  So the lender never
uses the slot again before the borrower has stopped.  A borrower uses a loan
only for requests whose deadline is before the loan expires.
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

__all__ = ["BorrowRequest", "LOAN_SECONDS", "Loans", "lendable"]

LOAN_SECONDS = 12.0
# Loans that were not used for this long are returned early.
IDLE_LOAN_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 0.5
ASK_INTERVAL_SECONDS = 0.25
MAX_SLOTS_PER_CALL = 4

BORROW = "gateway.borrow"
RETURN_LOAN = "gateway.give_back"


class BorrowRequest(NamedTuple):
    """Request to borrow slots of a worker.

    Attributes:
        worker: Name of the worker.
        incarnation: Its incarnation.
        slots: Number of slots wanted.
    """

    worker: str
    incarnation: int
    slots: int


class LoanReturn(NamedTuple):
    """Message that returns a loan before it expires.

    Attributes:
        worker: Name of the worker.
        number: Number that the lender gave the loan.
    """

    worker: str
    number: int


def lendable(share: int) -> int:
    """Return how many slots of a share may be lent.

    The rest is never lent: an instance that restarts has lost track of its
    loans and uses only the rest until all of them have expired.

    Examples:
        >>> lendable(3)
        1
    """
    return share // 2


class Loans:
    """The loans that one instance gives and takes.

    Attributes:
        network: Calls to the other instances.
        find_pool: Returns the pool of one incarnation of a worker; None if it
            is not known.
        queue_is_empty: Returns whether no request of this instance waits for a
            slot.
        may_lend_from: Trio time from which this instance may lend: when all
            loans that it granted before a restart have expired.
    """

    def __init__(
        self,
        network: peer_calls.Network,
        find_pool: Callable[[str, int], pools.Pool | None],
        queue_is_empty: Callable[[], bool],
    ):
        self.network = network
        self.find_pool = find_pool
        self.queue_is_empty = queue_is_empty
        # Numbers are not reused after a restart, so that the late return of an
        # old loan doesn't end a new one.
        self.loan_numbers = itertools.count(time.time_ns())
        old_loan_seconds = lease.ended_after_seconds(LOAN_SECONDS)
        self.may_lend_from = trio.current_time() + old_loan_seconds
        self.last_asked_at: dict[tuple[str, str], float] = {}
        network.handle(BORROW, self._handle_borrow)
        network.handle(RETURN_LOAN, self._handle_return)

    def old_loans_expired(self) -> bool:
        """Return whether all loans granted before a restart have expired."""
        return trio.current_time() >= self.may_lend_from

    async def _handle_borrow(self, sender: str, body: bytes) -> bytes:
        del sender
        request = msgspec.msgpack.decode(body, type=BorrowRequest)
        pool = self.find_pool(request.worker, request.incarnation)
        numbers: list[int] = []
        if (
            pool is not None
            and self.queue_is_empty()
            and self.old_loans_expired()
        ):
            numbers = self._lend(pool, request.slots)
        return msgspec.msgpack.encode(numbers)

    def _lend(self, pool: pools.Pool, count: int) -> list[int]:
        now = trio.current_time()
        expires_at = now + lease.ended_after_seconds(LOAN_SECONDS)
        free = pool.free_own_slots(now, expires_at)
        max_count = min(
            count,
            free,
            lendable(pool.slot_share.held) - len(pool.lent_until),
        )
        numbers = list(itertools.islice(self.loan_numbers, max(0, max_count)))
        for number in numbers:
            pool.lent_until[number] = expires_at
        pool.close_excess_connections()
        return numbers

    async def _handle_return(self, sender: str, body: bytes) -> None:
        del sender
        returned = msgspec.msgpack.decode(body, type=LoanReturn)
        pool = self.find_pool(returned.worker, 0)
        if pool is not None:
            pool.lent_until.pop(returned.number, None)

    async def borrow(
        self, pool: pools.Pool, lenders: Iterable[str], count: int
    ) -> int:
        """Ask other instances in turn until one lends slots of a worker.

        Args:
            pool: The pool of the worker.
            lenders: Names of the other instances, the first to ask first.
            count: Number of slots wanted; at most `MAX_SLOTS_PER_CALL` are
                borrowed.

        Returns:
            The number of slots lent.
        """
        request = BorrowRequest(
            pool.announcement.name,
            pool.announcement.incarnation,
            min(count, MAX_SLOTS_PER_CALL),
        )
        for lender in lenders:
            asked_at = trio.current_time()
            key = (pool.announcement.name, lender)
            since = asked_at - self.last_asked_at.get(key, -LOAN_SECONDS)
            if since < ASK_INTERVAL_SECONDS:
                continue
            self.last_asked_at[key] = asked_at
            reply = await self.network.call(
                lender,
                BORROW,
                msgspec.msgpack.encode(request),
                CALL_TIMEOUT_SECONDS,
            )
            if isinstance(reply, outcomes.Refusal):
                continue
            numbers = msgspec.msgpack.decode(reply, type=list[int])
            expires_at = asked_at + LOAN_SECONDS
            pool.free_loans += [
                pools.Loan(lender, number, expires_at) for number in numbers
            ]
            if numbers:
                return len(numbers)
        return 0

    def return_unused(self, pool: pools.Pool, now: float) -> None:
        """Give free borrowed slots back to their lenders.

        They are given back if their loan has expired, or if no borrowed slot
        was used for `IDLE_LOAN_SECONDS` and no request waits for a slot.

        Args:
            pool: The pool of the worker.
            now: Current time, trio clock.
        """
        unused = now - pool.loan_last_used_at > IDLE_LOAN_SECONDS
        for loan in list(pool.free_loans):
            if unused and self.queue_is_empty() or loan.expires_at <= now:
                pool.free_loans.remove(loan)
                pool.close_excess_connections()
                returned = LoanReturn(pool.announcement.name, loan.number)
                self.network.send(
                    loan.lender, RETURN_LOAN, msgspec.msgpack.encode(returned)
                )
