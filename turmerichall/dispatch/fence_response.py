"""What a leader does after workers refused its fencing token.

A worker that has seen a higher token refuses every order.  Either another
leader exists, or the token is left from before the replicas lost their disks,
or the worker is faulty.  Only the replicas can tell: if a quorum confirms that
this replica still leads in its term, no newer leader gives orders.  Then it
resigns, since the token of the next term is higher.
"""

from collections.abc import Set

import trio

from turmerichall.agreement import replica as replicas
from turmerichall.peers import link

__all__ = ["FenceResponse"]

# Timeout of one try to confirm the leadership, and time between two tries.
BARRIER_SECONDS = 0.8
RETRY_SECONDS = 0.3
# Pause before the second resignation; doubled for each further one.
FIRST_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 30.0
# Time after a resignation until the next one counts as the first again.
CALM_SECONDS = 300.0
# Time within which a worker that fences twice is kept out of use.
REPEAT_SECONDS = 60.0


class FenceResponse:
    """The answer of one replica to fences, over all terms that it leads.

    Attributes:
        replica: The replica.
    """

    def __init__(self, replica: replicas.Replica, log: link.Log):
        self.replica = replica
        self._log = log
        # Times of the latest fences of each worker, in trio time.
        self._fenced_at: dict[str, list[float]] = {}
        self._resigned_at = -float("inf")
        self._pause_seconds = 0.0

    async def respond(
        self, term: int, fencers: Set[str], workers: Set[str]
    ) -> frozenset[str]:
        """Wait until the work of a term may go on, or the term has ended.

        The leader must give no orders until this returns.  If no quorum
        confirms the leadership, this lasts until another term begins.

        Args:
            term: The term in which this replica was fenced.
            fencers: Ids of the workers that fenced it.
            workers: Ids of all workers that are in use in this term.

        Returns:
            Ids of workers to keep out of use for the rest of the term; empty
            if the term has ended.
        """
        if not await self._is_confirmed(term):
            return frozenset()
        now = trio.current_time()
        self._record(fencers, now)
        repeating = frozenset(
            worker for worker in fencers if len(self._fenced_at[worker]) > 1
        )
        # If no worker would be left, the term is too low for all of them.
        if repeating == fencers and workers - repeating:
            for worker in sorted(repeating):
                self._log.error(
                    "worker is kept out of use: it obeys a newer term than that"
                    " of the leader, which a quorum confirms",
                    worker=worker,
                    term=term,
                )
            return repeating
        await self._resign(term, fencers, now)
        return frozenset()

    async def _is_confirmed(self, term: int) -> bool:
        """Wait until a quorum confirms the leadership, or it is lost."""
        replica = self.replica
        while replica.leader_term() == term:
            if await replica.barrier(BARRIER_SECONDS) is None:
                # Another leader may have answered the barrier.
                return replica.leader_term() == term
            await replica.state.role_changed.wait(
                trio.current_time() + RETRY_SECONDS
            )
        return False

    def _record(self, fencers: Set[str], now: float) -> None:
        recent = {
            worker: [at for at in times if at > now - REPEAT_SECONDS]
            for worker, times in self._fenced_at.items()
        }
        self._fenced_at = {
            each: times for each, times in recent.items() if times
        }
        for worker in fencers:
            self._fenced_at.setdefault(worker, []).append(now)

    async def _resign(self, term: int, fencers: Set[str], now: float) -> None:
        replica = self.replica
        if now > self._resigned_at + CALM_SECONDS:
            self._pause_seconds = 0.0
        self._log.warning(
            "leader resigns: workers obey a newer term",
            term=term,
            workers=sorted(fencers),
            pause_seconds=self._pause_seconds,
        )
        await replica.state.role_changed.wait_for(
            lambda: replica.leader_term() != term, now + self._pause_seconds
        )
        replica.resign(term)
        self._resigned_at = trio.current_time()
        self._pause_seconds = min(
            max(2 * self._pause_seconds, FIRST_PAUSE_SECONDS), MAX_PAUSE_SECONDS
        )
