"""Warning when a replica leads but its leader's work is not under way."""

from collections.abc import Callable

import trio

from turmerichall.agreement import replica as replicas
from turmerichall.peers import link
from turmerichall.telemetry import repeat_limit

__all__ = ["TermWatch"]

CHECK_INTERVAL_SECONDS = 1.0


class TermWatch:
    """Warns while a term of this replica goes on without the leader's work.

    Attributes:
        replica: This replica.
        is_work_under_way: Returns whether the leader's work is under way.
        log: Where to log.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        is_work_under_way: Callable[[], bool],
        log: link.Log,
    ):
        self.replica = replica
        self.is_work_under_way = is_work_under_way
        self.log = log
        self._limit = repeat_limit.RepeatLimit()

    async def run(self) -> None:
        """Check once a second, until cancelled."""
        idle_term = 0
        idle_since = 0.0
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            now = trio.current_time()
            term = self.replica.leader_term()
            if self.is_work_under_way():
                idle_term = 0
            elif term != idle_term:
                idle_term, idle_since = term, now
            elif term and self._limit.count(now):
                self.log.warning(
                    "leader's work is not under way",
                    term=term,
                    seconds=round(now - idle_since, 1),
                )
