"""Tests of what a leader sends to members that do not answer."""

import math

import pytest
import trio
import trio.testing

from turmerichall.agreement import message
from turmerichall.agreement import replica_state
from turmerichall.agreement import replication
from turmerichall.agreement.tests import cluster as clusters
from turmerichall.storage.tests import memory_files

Clock = trio.testing.MockClock
TIMING = replica_state.Timing()
CHANGE_BYTES = 1024
WRITE_PERIOD_SECONDS = 0.02
MEASURED_SECONDS = 10.0
# A call that is on its way when a fault begins has ended after this time.
SETTLE_SECONDS = TIMING.call_seconds + replication.RETRY_SECONDS
# Each change is longer than `CHANGE_BYTES`, because an entry has a header.
ENTRIES_PER_CALL = 8
SMALL_BATCHES = TIMING._replace(batch_bytes=ENTRIES_PER_CALL * CHANGE_BYTES)
# Two delays of the network, and some syncs of the member's journal.
ANSWER_SECONDS = 2 * clusters.MAX_DELAY_SECONDS + 5 * memory_files.SYNC_SECONDS
# The integer that is encoded in the most bytes.
WIDEST = 2**64 - 1


class Recorder:
    """Records the append requests that reach an instance.

    Attributes:
        sizes: Size of each request, in bytes.
        requests: The requests.
        matches: What the leader took for durable at the instance when each
            request arrived.
        lost: Number of further calls that the instance handles without the
            leader getting an answer.
        foreign: Whether requests are taken to be for a disk that the instance
            no longer has.
    """

    def __init__(self, cluster: clusters.Cluster, leader: str, name: str):
        self.sizes: list[int] = []
        self.requests: list[message.Append] = []
        self.matches: list[int] = []
        self.lost: float = 0
        self.foreign = False
        self.leader_state = cluster.replicas[leader].state
        self.identity = cluster.replicas[name].status().identity
        handlers = cluster.hub.networks[name].handlers
        self.handler = handlers["append"]
        handlers["append"] = self.on_append

    @property
    def progress(self) -> replica_state.Progress:
        """Progress of the instance, as the leader sees it."""
        return self.leader_state.progress[self.identity]

    async def on_append(self, sender: str, body: bytes) -> bytes | None:
        """Record a request and handle it, with the faults that are set."""
        request = message.decode(body, message.Append)
        self.sizes.append(len(body))
        self.requests.append(request)
        self.matches.append(self.progress.match)
        if self.foreign:
            request = request._replace(target_identity="earlier")
        answered = self.lost == 0
        self.lost = max(self.lost - 1, 0)
        answer = await self.handler(sender, message.encode(request))
        if not answered:
            await trio.sleep_forever()
        return answer


async def _start_cluster(
    nursery: trio.Nursery, timing: replica_state.Timing = TIMING
) -> tuple[clusters.Cluster, str, str]:
    """Return a cluster with the names of its leader and of a follower."""
    cluster = clusters.Cluster(nursery, timing=timing)
    await cluster.start_all()
    leader = await cluster.wait_for_leader()
    await cluster.put(leader, "ready=1")
    await cluster.wait_until_applied("ready=1")
    return cluster, leader, min(set(cluster.names) - {leader})


async def _write(cluster: clusters.Cluster, leader: str, seconds: float) -> str:
    """Write changes at a steady pace and return the last one."""
    end = trio.current_time() + seconds
    change = ""
    while trio.current_time() < end:
        change = f"k={trio.current_time()}".ljust(CHANGE_BYTES, "0")
        await cluster.put(leader, change)
        await trio.sleep(WRITE_PERIOD_SECONDS)
    return change


def _heartbeat_bytes(request: message.Append) -> int:
    """Return the size of a request without entries, its numbers the widest."""
    heartbeat = request._replace(
        term=WIDEST,
        previous_position=WIDEST,
        previous_term=WIDEST,
        entries=(),
        commit=WIDEST,
        applied=WIDEST,
        digest=WIDEST,
    )
    return len(message.encode(heartbeat))


class TestEntriesOfManyChanges:
    """Messages each with few entries cost a busy leader its processor."""

    async def test_are_sent_together_within_the_interval(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        timing = TIMING._replace(append_interval_seconds=0.2)
        cluster, leader, name = await _start_cluster(nursery, timing)
        recorder = Recorder(cluster, leader, name)
        async with trio.open_nursery() as writers:
            for _ in range(10):
                writers.start_soon(_write, cluster, leader, MEASURED_SECONDS)
        with_entries = [each for each in recorder.requests if each.entries]
        limit = MEASURED_SECONDS / timing.append_interval_seconds
        assert limit / 2 < len(with_entries) <= limit + 2

    async def test_a_change_after_a_pause_and_a_barrier_are_not_delayed(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        timing = TIMING._replace(append_interval_seconds=5.0)
        cluster, leader, _ = await _start_cluster(nursery, timing)
        await trio.sleep(timing.append_interval_seconds)
        began_at = trio.current_time()
        await cluster.put(leader, "k=1")
        assert await cluster.replicas[leader].barrier(1.0) is None
        assert trio.current_time() - began_at < 2 * ANSWER_SECONDS


class TestMemberThatDoesNotAnswer:

    # With the shortest time between two calls to such a member.
    @pytest.mark.parametrize(
        "fault, period_seconds",
        [
            ("disk full", replication.RETRY_SECONDS),
            ("disk replaced", replication.RETRY_SECONDS),
            ("answers lost", TIMING.call_seconds + replication.RETRY_SECONDS),
        ],
    )
    async def test_is_sent_no_entries(
        self,
        nursery: trio.Nursery,
        autojump_clock: Clock,
        fault: str,
        period_seconds: float,
    ) -> None:
        cluster, leader, name = await _start_cluster(nursery)
        recorder = Recorder(cluster, leader, name)
        cluster.files[name].full = fault == "disk full"
        recorder.foreign = fault == "disk replaced"
        recorder.lost = math.inf if fault == "answers lost" else 0
        await _write(cluster, leader, SETTLE_SECONDS)
        match = recorder.progress.match
        recorder.sizes.clear()
        await _write(cluster, leader, MEASURED_SECONDS)
        calls = math.ceil(MEASURED_SECONDS / period_seconds) + 1
        heartbeat_bytes = _heartbeat_bytes(recorder.requests[-1])
        assert 0 < sum(recorder.sizes) <= calls * heartbeat_bytes
        assert recorder.progress.match == match


class TestMemberThatAnswersAgain:

    async def test_one_lost_call_delays_entries_by_its_timeout_only(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader, name = await _start_cluster(nursery)
        recorder = Recorder(cluster, leader, name)
        recorder.lost = 1
        lost_at = trio.current_time()
        change = await _write(cluster, leader, TIMING.call_seconds)
        last = recorder.leader_state.raft_log.last_index
        await cluster.wait_until(lambda: recorder.progress.match >= last)
        # Well under the time to the next heartbeat.
        limit = SETTLE_SECONDS + 2 * TIMING.commit_delay_seconds
        assert trio.current_time() - lost_at < limit
        await cluster.wait_until_applied(change)

    async def test_is_sent_all_entries_in_successive_calls(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader, name = await _start_cluster(nursery, SMALL_BATCHES)
        recorder = Recorder(cluster, leader, name)
        recorder.foreign = True
        change = await _write(cluster, leader, SETTLE_SECONDS)
        probe = len(recorder.requests)
        last = recorder.leader_state.raft_log.last_index
        recorder.foreign = False
        await cluster.wait_until(lambda: len(recorder.requests) > probe)
        probed_at = trio.current_time()
        await cluster.wait_until(lambda: recorder.progress.match >= last)
        # All entries, if the follower had none, and the probe.
        calls = math.ceil(last / (ENTRIES_PER_CALL - 1)) + 1
        assert trio.current_time() - probed_at < calls * ANSWER_SECONDS
        await cluster.wait_until_applied(change)

    async def test_matches_no_more_than_the_entries_it_was_asked_about(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader, name = await _start_cluster(nursery)
        recorder = Recorder(cluster, leader, name)
        recorder.foreign = True
        await _write(cluster, leader, SETTLE_SECONDS)
        probe = len(recorder.requests)
        recorder.foreign = False
        await cluster.wait_until(lambda: len(recorder.requests) > probe + 1)
        before, asked = recorder.matches[probe], recorder.requests[probe]
        assert asked.entries == ()
        assert recorder.matches[probe + 1] == asked.previous_position == before
        assert recorder.requests[probe + 1].entries != ()

    async def test_learner_catches_up_though_calls_were_lost(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader, _ = await _start_cluster(nursery, SMALL_BATCHES)
        change = await _write(cluster, leader, TIMING.call_seconds)
        added = await cluster.start("d")
        recorder = Recorder(cluster, leader, "d")
        recorder.lost = 3
        await cluster.replicas[leader].change_members(clusters.ADD, "d", "d:1")
        last = recorder.leader_state.raft_log.last_index
        await cluster.wait_until(lambda: added.state.applied >= last)
        await cluster.wait_until(added.state.is_voter)
        await cluster.wait_until_applied(change)
        assert recorder.lost == 0
