"""Execution of a request: admission, claim, attempts and retries."""

import random
from collections.abc import Callable

import trio

from turmerichall import outcomes
from turmerichall.gateway import admission as admissions
from turmerichall.gateway import claim_store
from turmerichall.gateway import claims as claims_module
from turmerichall.gateway import exchange as exchanges
from turmerichall.gateway import fleet as fleets
from turmerichall.gateway import health as healths
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import pool as pools
from turmerichall.gateway import request as requests
from turmerichall.gateway import retries

__all__ = ["Dispatcher", "Result"]

LATENCY_WEIGHT = 0.05

_SERVER_FAILURES = frozenset(
    {
        outcomes.UnknownReason.CONNECTION_LOST,
        outcomes.UnknownReason.SILENT,
        outcomes.UnknownReason.TRUNCATED,
        outcomes.UnknownReason.WRONG_REQUEST_ID,
    }
)

Result = exchanges.Result | claims_module.Duplicate
OnRetry = Callable[[outcomes.RetryReason], None]


class Dispatcher:
    """Execution of requests on backend servers.

    Attributes:
        fleet: Backend servers as this instance uses them.
        claims: Claims of requests that must run at most once.
        admission: Admission control, which assigns slots.
        retry_budget: Limits retries.
        active_exchanges: Exchanges in progress.
        mean_latency_seconds: Moving average of the time until the head of the
            response, by customer and service.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        claims: claims_module.Claims,
        limits: limits_module.Limits,
        on_retry: OnRetry,
        generator: random.Random,
    ):
        self.fleet = fleet
        self.claims = claims
        self.limits = limits
        self.on_retry = on_retry
        self.random = generator
        self.admission = admissions.Admission(fleet, limits)
        self.retry_budget = retries.RetryBudget(limits.retry_ratio)
        self.active_exchanges: set[exchanges.Exchange] = set()
        self.mean_latency_seconds: dict[tuple[str, str], float] = {}

    async def run(self, request: requests.Request) -> Result:
        """Run a request until it has a response or is given up.

        Args:
            request: The request.

        Returns:
            An exchange whose response has started and which must be passed to
            `close`; or why there is no response.
        """
        refusal = self.admission.register(request)
        if refusal is not None:
            return refusal
        result: Result | None = None
        try:
            self.retry_budget.record_first_attempt()
            slot = await self.admission.acquire_slot(request)
            if isinstance(slot, outcomes.Refusal):
                result = slot
            elif request.idempotent:
                result = await self._run_attempts(request, slot)
            else:
                result = await self._run_at_most_once(request, slot)
        finally:
            if not isinstance(result, exchanges.Exchange):
                self.admission.unregister(request)
        return result

    async def _run_at_most_once(
        self, request: requests.Request, slot: pools.Slot
    ) -> Result:
        """Run a request that is not idempotent, if its claim is granted."""
        acquired_at = trio.current_time()
        claim = None
        try:
            claim = await self.claims.acquire(request.request_id.decode())
        finally:
            if not isinstance(claim, claims_module.Claim):
                slot.pool.release_unused_slot(slot)
                held_seconds = trio.current_time() - acquired_at
                self.admission.slot_released(request, held_seconds)
        if not isinstance(claim, claims_module.Claim):
            return claim
        state: claim_store.ClaimState | None = claim_store.ClaimState.UNKNOWN
        try:
            result = await self._run_attempts(request, slot)
            if isinstance(result, exchanges.Exchange):
                state = claim_store.ClaimState.RAN
            elif isinstance(result, outcomes.Refusal):
                state = None
        finally:
            self.claims.settle(claim, state)
        return result

    async def _run_attempts(
        self, request: requests.Request, slot: pools.Slot
    ) -> exchanges.Result:
        tried: frozenset[str] = frozenset()
        may_have_run: outcomes.Unknown | None = None
        for attempt in range(1, self.limits.attempts + 1):
            result = await self._run_attempt(request, slot)
            reason = retries.retry_reason(request, result)
            if reason is None or attempt == self.limits.attempts:
                break
            if not self.retry_budget.try_acquire():
                break
            if isinstance(result, exchanges.Exchange):
                may_have_run = _server_error(result)
                self._release(result)
            elif isinstance(result, outcomes.Unknown):
                may_have_run = result
            self.on_retry(reason)
            tried |= {slot.pool.announcement.name}
            await trio.sleep(retries.backoff_seconds(attempt, self.random))
            next_slot = await self.admission.acquire_slot(request, tried)
            if isinstance(next_slot, outcomes.Refusal):
                result = next_slot
                break
            slot = next_slot
        if may_have_run and isinstance(result, outcomes.Refusal):
            return may_have_run
        return result

    async def _run_attempt(
        self, request: requests.Request, slot: pools.Slot
    ) -> exchanges.Result:
        exchange = exchanges.Exchange(slot, request)
        self.active_exchanges.add(exchange)
        result: exchanges.Result | None = None
        try:
            result = await exchange.start()
            self._record_result(exchange, result)
        finally:
            slot.pool.health.probing = False
            if result is not exchange:
                self.active_exchanges.discard(exchange)
                held_seconds = trio.current_time() - exchange.started_at
                self.admission.slot_released(request, held_seconds)
        if isinstance(result, exchanges.Exchange) and result.complete:
            self._release(result)
        return result

    def _record_result(
        self, exchange: exchanges.Exchange, result: exchanges.Result
    ) -> None:
        now = trio.current_time()
        health = exchange.pool.health
        if isinstance(result, exchanges.Exchange):
            if result.status >= retries.SERVER_ERROR:
                health.record_failure(now)
            else:
                health.record_success(self._update_latency_ratio(exchange), now)
        elif isinstance(result, outcomes.Unknown):
            if result.reason in _SERVER_FAILURES:
                health.record_failure(now)
            elif result.reason == outcomes.UnknownReason.DEADLINE:
                health.record_latency(self._update_latency_ratio(exchange))
        elif result.reason == outcomes.RefusalReason.CONNECT_FAILED:
            health.record_failure(now)
        elif result.reason == outcomes.RefusalReason.BACKEND_SERVER_REFUSED:
            health.full_until = now + healths.FULL_AFTER_REFUSAL_SECONDS

    def _update_latency_ratio(self, exchange: exchanges.Exchange) -> float:
        """Return the latency of an exchange, relative to the service's mean.

        Also update that mean and the concurrency limit.  If no response
        arrived, the time since the exchange started counts as the latency.
        """
        responded_at = exchange.head_received_at or trio.current_time()
        seconds = responded_at - exchange.started_at
        key = (exchange.request.customer, exchange.request.service)
        mean = self.mean_latency_seconds.get(key, seconds)
        self.mean_latency_seconds[key] = (
            mean + (seconds - mean) * LATENCY_WEIGHT
        )
        ratio = seconds / max(mean, 1e-6)
        self.admission.concurrency_limit.record(ratio, self.admission.in_flight)
        return ratio

    def close(self, exchange: exchanges.Exchange) -> None:
        """Release the slot of an answered request, and unregister it."""
        self._release(exchange)
        self.admission.unregister(exchange.request)

    def _release(self, exchange: exchanges.Exchange) -> None:
        """Release the slot of an exchange, if it still holds one."""
        if exchange not in self.active_exchanges:
            return
        self.active_exchanges.discard(exchange)
        exchange.close()
        held_seconds = trio.current_time() - exchange.started_at
        self.admission.slot_released(exchange.request, held_seconds)


def _server_error(result: exchanges.Exchange) -> outcomes.Unknown:
    return outcomes.Unknown(
        outcomes.UnknownReason.CONNECTION_LOST,
        f"{result.pool.announcement.name} answered with status {result.status},"
        " and no other attempt succeeded",
    )
