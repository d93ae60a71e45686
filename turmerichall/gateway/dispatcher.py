"""From an admitted request to its outcome: routing, attempts and retries."""

import trio

from turmerichall import outcomes
from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import directory as directories
from turmerichall.gateway import exchange
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import pool as pools
from turmerichall.gateway import request as requests

__all__ = ["Dispatcher"]


class Dispatcher:
    """Carries requests out at backend servers.

    Attributes:
        zone: Own availability zone.
        directory: What is known of backend servers.
        pools: Pool of each backend server by name.
    """

    def __init__(
        self,
        zone: str,
        directory: directories.Directory,
        limits: limits_module.Limits,
    ):
        self.zone = zone
        self.directory = directory
        self.limits = limits
        self.pools: dict[str, pools.Pool] = {}

    async def run(self, request: requests.Request) -> exchange.Ended:
        """Runs a request until it has an answer or is given up."""
        now = trio.current_time()
        told = self.directory.serving(request.customer, request.service, now)
        if not told:
            return outcomes.Refusal(
                outcomes.RefusalReason.NO_BACKEND_SERVER,
                f"no backend server runs {request.service} of"
                f" {request.customer}",
                1.0,
            )
        candidates = [pool for pool in map(self.pool, told) if pool.has_room()]
        if not candidates:
            return outcomes.Refusal(
                outcomes.RefusalReason.OVERLOADED, "all slots are filled", 1.0
            )
        pool = min(
            candidates,
            key=lambda one: (one.told.zone != self.zone, one.in_flight),
        )
        pool.in_flight += 1
        try:
            with trio.fail_at(request.deadline):
                ended = await exchange.begin(pool, request)
        except trio.TooSlowError:
            pool.in_flight -= 1
            return outcomes.Unknown(outcomes.UnknownReason.DEADLINE)
        except BaseException:
            pool.in_flight -= 1
            raise
        if not isinstance(ended, exchange.Answer):
            pool.in_flight -= 1
        return ended

    async def close(self, answer: exchange.Answer) -> None:
        """Frees what an answer held."""
        answer.pool.in_flight -= 1
        await answer.close()

    def pool(self, told: announcement.Announcement) -> pools.Pool:
        """Returns the pool of a backend server's current incarnation."""
        known = self.pools.get(told.name)
        if known is not None:
            before = (known.told.incarnation, known.told.address)
            if before == (told.incarnation, told.address):
                return known
            known.discard_idle(float("inf"))
        made = pools.Pool(told, self.limits)
        self.pools[told.name] = made
        return made
