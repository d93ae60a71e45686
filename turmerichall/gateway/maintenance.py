"""Periodic maintenance of connections, loans and claims.

If nothing arrives for an exchange for too long, the backend server is asked
over a new connection whether it runs the request.  If it doesn't confirm that,
the exchange's connection is considered silent: the exchange is aborted, and
connections that were idle at that time are closed.
"""

import trio

from turmerichall.gateway import claims as claims_module
from turmerichall.gateway import dispatcher as dispatchers
from turmerichall.gateway import exchange as exchanges
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import loans as lending
from turmerichall.gateway import request_telemetry
from turmerichall.gateway import shares as sharing
from turmerichall.gateway import status_query

__all__ = ["Maintenance"]

PERIOD_SECONDS = 0.1
# A server is queried about an exchange only after nothing has arrived for this
# multiple of the mean latency of the service, so that the servers of slow
# services aren't queried all the time.
SLOW_SERVICE_FACTOR = 4.0


class Maintenance:
    """Periodic maintenance of one entry instance.

    Attributes:
        dispatcher: Dispatcher whose exchanges are checked.
        claims: Claims whose settlements are sent.
        loans: Loans of slots between instances.
        shares: Shares of the workers' limits.
        telemetry: Metrics and logs of the request path.
        queried_at: When the backend server was last queried about each overdue
            exchange, trio time.
    """

    def __init__(
        self,
        dispatcher: dispatchers.Dispatcher,
        claims: claims_module.Claims,
        loans: lending.Loans,
        shares: sharing.Shares,
        limits: limits_module.Limits,
        telemetry: request_telemetry.RequestTelemetry,
    ):
        self.dispatcher = dispatcher
        self.claims = claims
        self.loans = loans
        self.shares = shares
        self.limits = limits
        self.telemetry = telemetry
        self.queried_at: dict[exchanges.Exchange, float] = {}

    async def run(self) -> None:
        """Run rounds of maintenance until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.borrow_on_demand)
            while True:
                self.run_pass(nursery)
                await trio.sleep(PERIOD_SECONDS)

    def run_pass(self, nursery: trio.Nursery) -> None:
        """Do one round of maintenance."""
        now = trio.current_time()
        self.claims.flush()
        self.dispatcher.fleet.close_unneeded_connections(now)
        for pool in self.dispatcher.fleet.pools.values():
            if pool.free_loans:
                self.loans.return_unused(pool, now)
        for exchange in self.overdue_exchanges(now):
            self.queried_at[exchange] = now
            nursery.start_soon(self.check_exchange, exchange)
        self.dispatcher.admission.assign_free_slots()

    def overdue_exchanges(self, now: float) -> list[exchanges.Exchange]:
        """Return exchanges for which nothing arrived for too long.

        Exchanges whose server was queried recently are left out.
        """
        active = self.dispatcher.active_exchanges
        self.queried_at = {
            exchange: at
            for exchange, at in self.queried_at.items()
            if exchange in active
        }
        return [
            exchange
            for exchange in active
            if exchange.read_wait_seconds(now)
            > self.silence_timeout_seconds(exchange)
            and now - self.queried_at.get(exchange, -float("inf"))
            > self.silence_timeout_seconds(exchange)
        ]

    def silence_timeout_seconds(self, exchange: exchanges.Exchange) -> float:
        """Return how long nothing may arrive before the server is queried."""
        key = (exchange.request.customer, exchange.request.service)
        mean = self.dispatcher.mean_latency_seconds.get(key, 0.0)
        return max(self.limits.silent_seconds, SLOW_SERVICE_FACTOR * mean)

    async def check_exchange(self, exchange: exchanges.Exchange) -> None:
        """Query the status of an overdue exchange; abort it if it is silent."""
        queried_at = trio.current_time()
        status = await status_query.query(exchange.pool, exchange.request)
        if status in (
            status_query.RequestStatus.RUNNING,
            status_query.RequestStatus.NOT_ASKED,
        ):
            return
        if exchange not in self.dispatcher.active_exchanges:
            return
        if exchange.read_wait_seconds(trio.current_time()) == 0.0:
            return
        exchange.abort_as_silent(status == status_query.RequestStatus.NO_ANSWER)
        exchange.pool.close_idle_connections(queried_at)
        self.telemetry.record_silent_connection(
            exchange.request.request_id, exchange.pool.announcement.name
        )

    async def borrow_on_demand(self) -> None:
        """Borrow slots whenever a request is queued, until cancelled."""
        admission = self.dispatcher.admission
        while True:
            await admission.request_queued.wait()
            admission.request_queued = trio.Event()
            for customer, service in admission.queued_services():
                await self._borrow_for(customer, service)
            if admission.queued_count:
                await trio.sleep(PERIOD_SECONDS)
                admission.request_queued.set()

    async def _borrow_for(self, customer: str, service: str) -> None:
        admission = self.dispatcher.admission
        now = trio.current_time()
        for pool in self.dispatcher.fleet.pools_serving(customer, service, now):
            if not admission.queued_count:
                return
            lenders = self.shares.other_holders(pool.announcement)
            borrowed = await self.loans.borrow(
                pool, lenders, admission.queued_count
            )
            if borrowed:
                self.telemetry.record_borrowed_slots(borrowed)
                admission.assign_free_slots()
