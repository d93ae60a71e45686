"""Tests of which data must be durable before it is acknowledged."""

import random

import pytest
import trio
import trio.testing

from turmerichall import outcomes
from turmerichall.agreement import applier
from turmerichall.agreement import entry_log
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.agreement import proposer
from turmerichall.agreement import replica_state
from turmerichall.agreement import replication
from turmerichall.agreement.tests import cluster as clusters
from turmerichall.storage import journal
from turmerichall.storage.tests import memory_files

Clock = trio.testing.MockClock
SLOW_SYNC_SECONDS = 1.0


async def _start_cluster(nursery: trio.Nursery) -> tuple[clusters.Cluster, str]:
    cluster = clusters.Cluster(nursery)
    await cluster.start_all()
    leader = await cluster.wait_for_leader()
    await cluster.put(leader, "ready=1")
    await cluster.wait_until_applied("ready=1")
    return cluster, leader


async def _restart_only(cluster: clusters.Cluster, names: list[str]) -> None:
    """Kill all instances as a power cut does, and restart some."""
    for name in list(cluster.replicas):
        cluster.kill(name)
    cluster.hub.heal()
    for name in names:
        await cluster.start(name)
    await cluster.wait_for_leader()


class TestPowerCut:

    async def test_followers_sync_before_they_acknowledge(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        followers = [name for name in cluster.names if name != leader]
        for name in followers:
            cluster.files[name].sync_seconds = SLOW_SYNC_SECONDS
        await cluster.put(leader, "k=1")
        await _restart_only(cluster, followers)
        await cluster.wait_until_applied("k=1")

    async def test_leader_syncs_before_it_counts_its_own_entry(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        lagging = [name for name in cluster.names if name != leader][0]
        cluster.files[leader].sync_seconds = SLOW_SYNC_SECONDS
        cluster.hub.isolate(lagging, set(cluster.names))
        await cluster.put(leader, "k=1")
        await _restart_only(cluster, [leader, lagging])
        await cluster.wait_until_applied("k=1")


class _Voter:
    """Sends vote requests to the only replica that is left."""

    def __init__(self, cluster: clusters.Cluster, name: str):
        self.cluster = cluster
        self.name = name
        self.network = clusters.MemoryNetwork("x", cluster.hub, {})
        cluster.hub.networks["x"] = self.network

    async def ask(self, candidate: str, term: int, behind: int = 0) -> bool:
        """Request a vote and return whether it was granted.

        Args:
            candidate: Name and identity of the candidate.
            term: Term that the candidate wants to lead.
            behind: Number of entries that the candidate lacks.
        """
        state = self.cluster.replicas[self.name].state
        last_term, last_index = state.last_term_and_index()
        request = message.Vote(
            state.cluster,
            term,
            candidate,
            candidate,
            state.identity,
            last_index - behind,
            last_term,
            pre_vote=False,
        )
        answer = await self.network.call(
            self.name, "vote", message.encode(request), 60.0
        )
        assert not isinstance(answer, outcomes.Refusal)
        return message.decode(answer, message.VoteReply).granted


async def _lone_voter(nursery: trio.Nursery) -> _Voter:
    cluster, leader = await _start_cluster(nursery)
    left, other = [name for name in cluster.names if name != leader]
    cluster.kill(leader)
    cluster.kill(other)
    await trio.sleep(cluster.timing.election_seconds)
    return _Voter(cluster, left)


class TestVotes:

    async def test_vote_survives_a_kill_right_after_it_was_granted(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        voter = await _lone_voter(nursery)
        cluster = voter.cluster
        cluster.files[voter.name].sync_seconds = SLOW_SYNC_SECONDS
        assert await voter.ask("one", 100)
        cluster.kill(voter.name)
        await cluster.start(voter.name)
        assert not await voter.ask("two", 100)
        assert await voter.ask("one", 100)

    async def test_no_vote_for_a_shorter_log(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        voter = await _lone_voter(nursery)
        assert not await voter.ask("one", 100, behind=1)
        assert await voter.ask("one", 100)


def _leading(matched: int) -> replication.Replication:
    """Return a leader whose term begins at entry 3, with two followers.

    Args:
        matched: Index up to which the followers have the leader's entries.
    """
    state = replica_state.ReplicaState(
        "a",
        clusters.MemoryNetwork("a", None, {}),  # type: ignore[arg-type]
        clusters.KeyValueMachine(),
        clusters.NullLog(),
        replica_state.Timing(),
        random.Random(1),
    )
    files = memory_files.MemoryFiles()
    state.opened_log = entry_log.EntryLog(journal.Journal(files))
    state.role = replica_state.Role.LEADER
    members = tuple(member.Member(name, name, "") for name in "abc")
    data = message.encode_members(members)
    kinds = message.EntryKind
    state.raft_log.append(message.Entry(1, 1, kinds.MEMBERS, data))
    state.raft_log.append(message.Entry(2, 2, kinds.CHANGE, b"k=1"))
    state.raft_log.save_vote(entry_log.VoteState(4))
    state.raft_log.append(message.Entry(3, 4, kinds.TERM_START, b""))
    leading = replication.Replication(state)
    leading.term_start = 3
    for name in "bc":
        progress = replica_state.Progress(4, 0.0)
        progress.match = matched
        progress.acked_round = 9
        state.progress[name] = progress
    return leading


class TestCommit:

    @pytest.mark.parametrize(("matched", "commit"), [(2, 0), (3, 3)])
    def test_older_terms_commit_only_with_the_current_term(
        self, matched: int, commit: int
    ) -> None:
        leading = _leading(matched)
        leading.advance_commit()
        assert leading.state.commit == commit

    @pytest.mark.parametrize("matched", [2, 3])
    async def test_barrier_waits_for_an_entry_of_the_current_term(
        self, autojump_clock: Clock, matched: int
    ) -> None:
        leading = _leading(matched)
        leading.advance_commit()
        own_proposer = proposer.Proposer(
            leading.state,
            applier.Applier(leading.state),
            leading,
            None,  # type: ignore[arg-type]
        )
        body = message.encode(message.Barrier(1.0))
        answer = await own_proposer.on_barrier("x", body)
        outcome = message.decode(answer, message.Outcome)
        confirmed = outcome.kind == message.OutcomeKind.RESULT
        assert confirmed == (matched == 3)


class TestLoad:

    async def test_later_entry_replaces_conflicting_entries(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        written = journal.Journal(memory_files.MemoryFiles())
        nursery.start_soon(written.run)
        raft_log = entry_log.EntryLog(written)
        change = message.EntryKind.CHANGE
        for index in (1, 2, 3):
            raft_log.append(message.Entry(index, 1, change, b"k=1"))
        raft_log.truncate_from(2)
        await written.wait_durable(
            raft_log.append(message.Entry(2, 2, change, b"k=2"))
        )
        loaded = entry_log.EntryLog(journal.Journal(written.files))
        loaded.load(None)
        assert loaded.entries == raft_log.entries


class TestDivergence:

    @pytest.mark.parametrize("faulty", ["leader", "follower", "observer"])
    async def test_diverged_state_is_detected(
        self, nursery: trio.Nursery, autojump_clock: Clock, faulty: str
    ) -> None:
        cluster, leader = await _start_cluster(nursery)
        await cluster.start("z", disk=False)
        await cluster.wait_until_applied("ready=1")
        follower = [name for name in cluster.names if name != leader][0]
        names = {"leader": leader, "follower": follower, "observer": "z"}
        machine = cluster.machines[names[faulty]]
        assert isinstance(machine, clusters.KeyValueMachine)
        await cluster.put(leader, "k=1")
        assert all(
            each.status().diverged_at == 0 for each in cluster.replicas.values()
        )
        machine.fault = b"differs"
        await cluster.put(leader, "k=2")
        await cluster.wait_until(
            lambda: any(
                each.status().diverged_at > 0
                for each in cluster.replicas.values()
            )
        )
