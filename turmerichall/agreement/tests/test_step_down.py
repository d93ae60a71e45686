"""Tests of requests that wait at a leader when it loses its leadership."""

import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.agreement.tests import cluster as clusters

Clock = trio.testing.MockClock
TIMEOUT_SECONDS = 120.0


class TestWaitingRequests:

    # The wait for the acknowledgements of the others was not woken when the
    # leader stepped down, and lasted until the timeout.
    async def test_a_barrier_ends_soon_after_the_leader_steps_down(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster = clusters.Cluster(nursery)
        await cluster.start_all()
        leader = await cluster.wait_for_leader()
        await cluster.put(leader, "k=1")
        cluster.hub.isolate(leader, set(cluster.names))
        replica = cluster.replicas[leader]
        began_at = trio.current_time()
        answer = await replica.barrier(TIMEOUT_SECONDS)
        assert isinstance(answer, outcomes.Refusal)
        timing = cluster.timing
        # It steps down after an election timeout; an isolated instance refuses
        # once that has passed twice, with the jitter.
        longest = timing.election_seconds + timing.election_jitter_seconds
        assert trio.current_time() - began_at < 3 * longest + 1.0
