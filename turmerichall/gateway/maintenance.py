"""Upkeep of the request path: silent connections, idle ones and loans.

An exchange on which nothing arrives is asked about over a new connection.  If
the backend server doesn't say that the request runs there, the connection is
taken to be silent: the exchange ends, and connections that were idle at the
time are not used again.
"""

import trio

from turmerichall.gateway import claims as claiming
from turmerichall.gateway import dispatcher as dispatchers
from turmerichall.gateway import exchange as exchanges
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import loans as lending
from turmerichall.gateway import request_telemetry as observing
from turmerichall.gateway import status_query as probe
from turmerichall.gateway import shares as sharing

__all__ = ["Watch"]

PERIOD_SECONDS = 0.1
# A service that usually takes long to answer is left quiet for this multiple
# of its mean.
SLOW_SERVICE_FACTOR = 4.0


class Watch:
    """Runs the upkeep of one entry instance.

    Attributes:
        dispatcher: Whose exchanges are watched.
        claims: Whose settlements are sent.
        loans: Lends and borrows slots.
        shares: Parts of the workers' limits.
        observation: Counts and logs what is found.
        asked: When each quiet exchange was last asked about, trio time.
    """

    def __init__(
        self,
        dispatcher: dispatchers.Dispatcher,
        claims: claiming.Claims,
        loans: lending.Loans,
        shares: sharing.Shares,
        limits: limits_module.Limits,
        observation: observing.Observation,
    ):
        self.dispatcher = dispatcher
        self.claims = claims
        self.loans = loans
        self.shares = shares
        self.limits = limits
        self.observation = observation
        self.asked: dict[exchanges.Exchange, float] = {}

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.borrow_when_starved)
            while True:
                self.step(nursery)
                await trio.sleep(PERIOD_SECONDS)

    def step(self, nursery: trio.Nursery) -> None:
        """Does what is due."""
        now = trio.current_time()
        self.claims.flush()
        self.dispatcher.fleet.sweep(now)
        for pool in self.dispatcher.fleet.pools.values():
            if pool.loans:
                self.loans.give_back_idle(pool, now)
        for exchange in self.quiet(now):
            self.asked[exchange] = now
            nursery.start_soon(self.ask, exchange)
        self.dispatcher.admission.hand_out()

    def quiet(self, now: float) -> list[exchanges.Exchange]:
        """Returns exchanges that have been quiet for too long since asked."""
        running = self.dispatcher.running
        self.asked = {
            exchange: at
            for exchange, at in self.asked.items()
            if exchange in running
        }
        return [
            exchange
            for exchange in running
            if exchange.quiet_seconds(now) > self.patience(exchange)
            and now - self.asked.get(exchange, -float("inf"))
            > self.patience(exchange)
        ]

    def patience(self, exchange: exchanges.Exchange) -> float:
        """Returns how long an exchange may stay quiet, in seconds."""
        key = (exchange.request.customer, exchange.request.service)
        mean = self.dispatcher.mean_seconds.get(key, 0.0)
        return max(self.limits.silent_seconds, SLOW_SERVICE_FACTOR * mean)

    async def ask(self, exchange: exchanges.Exchange) -> None:
        """Asks the backend server about a quiet exchange."""
        asked_at = trio.current_time()
        found = await probe.ask(exchange.pool, exchange.request)
        if found in (probe.Finding.RUNS, probe.Finding.NOT_ASKED):
            return
        if exchange not in self.dispatcher.running:
            return
        if exchange.quiet_seconds(trio.current_time()) == 0.0:
            return
        exchange.give_up_as_silent(found == probe.Finding.NO_ANSWER)
        exchange.pool.discard_idle(asked_at)
        self.observation.silent(
            exchange.request.request_id, exchange.pool.told.name
        )

    async def borrow_when_starved(self) -> None:
        """Borrows slots whenever a request has to wait, until cancelled."""
        admission = self.dispatcher.admission
        while True:
            await admission.starved.wait()
            admission.starved = trio.Event()
            for customer, service in admission.waiting_services():
                await self._borrow_for(customer, service)
            if admission.waiting:
                await trio.sleep(PERIOD_SECONDS)
                admission.starved.set()

    async def _borrow_for(self, customer: str, service: str) -> None:
        admission = self.dispatcher.admission
        now = trio.current_time()
        for pool in self.dispatcher.fleet.serving(customer, service, now):
            if not admission.waiting:
                return
            lenders = self.shares.others(pool.told)
            lent = await self.loans.borrow(pool, lenders, admission.waiting)
            if lent:
                self.observation.borrowed(lent)
                admission.hand_out()
