"""From a request to its outcome: admission, claim, attempts and retries."""

import random
from collections.abc import Callable

import trio

from turmerichall import outcomes
from turmerichall.gateway import admission as admissions
from turmerichall.gateway import claims as claiming
from turmerichall.gateway import exchange as exchanges
from turmerichall.gateway import fleet as fleets
from turmerichall.gateway import health as healths
from turmerichall.gateway import claim_store as keeper
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import pool as pools
from turmerichall.gateway import request as requests
from turmerichall.gateway import retries

__all__ = ["Dispatcher", "Ended"]

MEAN_WEIGHT = 0.05

_SERVER_FAULTS = frozenset(
    {
        outcomes.UnknownReason.CONNECTION_LOST,
        outcomes.UnknownReason.SILENT,
        outcomes.UnknownReason.TRUNCATED,
        outcomes.UnknownReason.WRONG_REQUEST_ID,
    }
)

Ended = exchanges.Ended | claiming.Duplicate
NoteRetry = Callable[[outcomes.RetryReason], None]


class Dispatcher:
    """Carries requests out at backend servers.

    Attributes:
        fleet: Backend servers as this instance uses them.
        claims: Claims of requests that must run at most once.
        admission: Hands out slots.
        budget: Bounds retries.
        running: Exchanges under way.
        mean_seconds: Running mean until the first byte, by service.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        claims: claiming.Claims,
        limits: limits_module.Limits,
        note_retry: NoteRetry,
        generator: random.Random,
    ):
        self.fleet = fleet
        self.claims = claims
        self.limits = limits
        self.note_retry = note_retry
        self.random = generator
        self.admission = admissions.Admission(fleet, limits)
        self.budget = retries.Budget(limits.retry_ratio)
        self.running: set[exchanges.Exchange] = set()
        self.mean_seconds: dict[tuple[str, str], float] = {}

    async def run(self, request: requests.Request) -> Ended:
        """Runs a request until it has an answer or is given up.

        Args:
            request: The request.

        Returns:
            An exchange whose answer has begun, which must be given to `close`;
            or why there is none.
        """
        refusal = self.admission.enter(request)
        if refusal is not None:
            return refusal
        ended: Ended | None = None
        try:
            self.budget.note_first_attempt()
            slot = await self.admission.slot(request)
            if isinstance(slot, outcomes.Refusal):
                ended = slot
            elif request.idempotent:
                ended = await self._attempts(request, slot)
            else:
                ended = await self._run_once(request, slot)
        finally:
            if not isinstance(ended, exchanges.Exchange):
                self.admission.leave(request)
        return ended

    async def _run_once(
        self, request: requests.Request, slot: pools.Slot
    ) -> Ended:
        """Runs a request that is not idempotent, if its claim is granted."""
        taken_at = trio.current_time()
        claim = None
        try:
            claim = await self.claims.make(request.request_id.decode())
        finally:
            if not isinstance(claim, claiming.Claim):
                slot.pool.release(slot)
                held = trio.current_time() - taken_at
                self.admission.release(request, held)
        if not isinstance(claim, claiming.Claim):
            return claim
        state: keeper.State | None = keeper.State.UNKNOWN
        try:
            ended = await self._attempts(request, slot)
            if isinstance(ended, exchanges.Exchange):
                state = keeper.State.RAN
            elif isinstance(ended, outcomes.Refusal):
                state = None
        finally:
            self.claims.settle(claim, state)
        return ended

    async def _attempts(
        self, request: requests.Request, slot: pools.Slot
    ) -> exchanges.Ended:
        tried: frozenset[str] = frozenset()
        may_have_run: outcomes.Unknown | None = None
        for attempt in range(1, self.limits.attempts + 1):
            ended = await self._attempt(request, slot)
            reason = retries.reason_to_retry(request, ended)
            if reason is None or attempt == self.limits.attempts:
                break
            if not self.budget.take():
                break
            if isinstance(ended, exchanges.Exchange):
                may_have_run = _failed_answer(ended)
                self._end(ended)
            elif isinstance(ended, outcomes.Unknown):
                may_have_run = ended
            self.note_retry(reason)
            tried |= {slot.pool.told.name}
            await trio.sleep(retries.backoff_seconds(attempt, self.random))
            found = await self.admission.slot(request, tried)
            if isinstance(found, outcomes.Refusal):
                ended = found
                break
            slot = found
        if may_have_run and isinstance(ended, outcomes.Refusal):
            return may_have_run
        return ended

    async def _attempt(
        self, request: requests.Request, slot: pools.Slot
    ) -> exchanges.Ended:
        exchange = exchanges.Exchange(slot, request)
        self.running.add(exchange)
        ended: exchanges.Ended | None = None
        try:
            ended = await exchange.begin()
            self._learn(exchange, ended)
        finally:
            slot.pool.health.probing = False
            if ended is not exchange:
                self.running.discard(exchange)
                held = trio.current_time() - exchange.began_at
                self.admission.release(request, held)
        if isinstance(ended, exchanges.Exchange) and ended.whole:
            self._end(ended)
        return ended

    def _learn(
        self, exchange: exchanges.Exchange, ended: exchanges.Ended
    ) -> None:
        now = trio.current_time()
        health = exchange.pool.health
        if isinstance(ended, exchanges.Exchange):
            if ended.status >= retries.SERVER_ERROR:
                health.failed(now)
            else:
                health.succeeded(self._ratio(exchange), now)
        elif isinstance(ended, outcomes.Unknown):
            if ended.reason in _SERVER_FAULTS:
                health.failed(now)
            elif ended.reason == outcomes.UnknownReason.DEADLINE:
                health.slowed(self._ratio(exchange))
        elif ended.reason == outcomes.RefusalReason.CONNECT_FAILED:
            health.failed(now)
        elif ended.reason == outcomes.RefusalReason.BACKEND_SERVER_REFUSED:
            health.full_until = now + healths.FULL_SECONDS

    def _ratio(self, exchange: exchanges.Exchange) -> float:
        """Returns the latency over the service's mean, and updates that."""
        answered_at = exchange.first_byte_at or trio.current_time()
        seconds = answered_at - exchange.began_at
        key = (exchange.request.customer, exchange.request.service)
        mean = self.mean_seconds.get(key, seconds)
        self.mean_seconds[key] = mean + (seconds - mean) * MEAN_WEIGHT
        ratio = seconds / max(mean, 1e-6)
        self.admission.concurrency.note(ratio, self.admission.in_flight)
        return ratio

    def close(self, exchange: exchanges.Exchange) -> None:
        """Frees what an answered request held."""
        self._end(exchange)
        self.admission.leave(exchange.request)

    def _end(self, exchange: exchanges.Exchange) -> None:
        """Frees the slot, at the latest when the caller has the answer."""
        if exchange not in self.running:
            return
        self.running.discard(exchange)
        exchange.close()
        held = trio.current_time() - exchange.began_at
        self.admission.release(exchange.request, held)


def _failed_answer(ended: exchanges.Exchange) -> outcomes.Unknown:
    return outcomes.Unknown(
        outcomes.UnknownReason.CONNECTION_LOST,
        f"{ended.pool.told.name} answered with status {ended.status}, and no"
        " other attempt succeeded",
    )
