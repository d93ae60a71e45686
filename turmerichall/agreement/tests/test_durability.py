"""Tests of what must be on disk before something is acknowledged."""

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
from turmerichall.agreement.tests import cluster
from turmerichall.storage import journal
from turmerichall.storage.tests import memory_files

Clock = trio.testing.MockClock
SLOW_SECONDS = 1.0


async def _started(nursery: trio.Nursery) -> tuple[cluster.Cluster, str]:
    made = cluster.Cluster(nursery)
    await made.start_all()
    leader = await made.leader()
    await made.put(leader, "ready=1")
    await made.settled("ready=1")
    return made, leader


async def _only(made: cluster.Cluster, names: list[str]) -> None:
    """Cuts the power of all, and starts some again."""
    for name in list(made.replicas):
        made.kill(name)
    made.hub.heal()
    for name in names:
        await made.start(name)
    await made.leader()


class TestPowerCut:

    async def test_followers_sync_before_they_acknowledge(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        followers = [name for name in made.names if name != leader]
        for name in followers:
            made.files[name].sync_seconds = SLOW_SECONDS
        await made.put(leader, "k=1")
        await _only(made, followers)
        await made.settled("k=1")

    async def test_leader_syncs_before_it_counts_itself(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made, leader = await _started(nursery)
        behind = [name for name in made.names if name != leader][0]
        made.files[leader].sync_seconds = SLOW_SECONDS
        made.hub.isolate(behind, set(made.names))
        await made.put(leader, "k=1")
        await _only(made, [leader, behind])
        await made.settled("k=1")


class _Voter:
    """Asks the one replica that is left for votes."""

    def __init__(self, made: cluster.Cluster, name: str):
        self.made = made
        self.name = name
        self.network = cluster.MemoryNetwork("x", made.hub, {})
        made.hub.networks["x"] = self.network

    async def ask(self, candidate: str, term: int, behind: int = 0) -> bool:
        """Returns whether the vote was granted.

        Args:
            candidate: Name and identity of the candidate.
            term: Term to be elected for.
            behind: How many entries the candidate lacks.
        """
        state = self.made.replicas[self.name].state
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
    made, leader = await _started(nursery)
    left, other = [name for name in made.names if name != leader]
    made.kill(leader)
    made.kill(other)
    await trio.sleep(made.timing.election_seconds)
    return _Voter(made, left)


class TestVotes:

    async def test_vote_survives_a_kill_right_after_it(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        voter = await _lone_voter(nursery)
        made = voter.made
        made.files[voter.name].sync_seconds = SLOW_SECONDS
        assert await voter.ask("one", 100)
        made.kill(voter.name)
        await made.start(voter.name)
        assert not await voter.ask("two", 100)
        assert await voter.ask("one", 100)

    async def test_no_vote_for_a_shorter_log(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        voter = await _lone_voter(nursery)
        assert not await voter.ask("one", 100, behind=1)
        assert await voter.ask("one", 100)


def _leading(matched: int) -> replication.Replication:
    """A leader whose term begins at entry 3, with two followers."""
    state = replica_state.ReplicaState(
        "a",
        cluster.MemoryNetwork("a", None, {}),  # type: ignore[arg-type]
        cluster.KeyValues(),
        cluster.Quiet(),
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
    def test_older_terms_commit_only_with_the_own_term(
        self, matched: int, commit: int
    ) -> None:
        leading = _leading(matched)
        leading.advance_commit()
        assert leading.state.commit == commit

    @pytest.mark.parametrize("matched", [2, 3])
    async def test_barrier_waits_for_an_entry_of_the_own_term(
        self, autojump_clock: Clock, matched: int
    ) -> None:
        leading = _leading(matched)
        leading.advance_commit()
        asked = proposer.Proposer(
            leading.state,
            applier.Applier(leading.state),
            leading,
            None,  # type: ignore[arg-type]
        )
        body = message.encode(message.Barrier(1.0))
        answer = await asked.on_barrier("x", body)
        outcome = message.decode(answer, message.Outcome)
        confirmed = outcome.kind == message.OutcomeKind.RESULT
        assert confirmed == (matched == 3)


class TestLoad:

    async def test_later_entry_replaces_what_it_conflicts_with(
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
    async def test_differing_state_is_seen(
        self, nursery: trio.Nursery, autojump_clock: Clock, faulty: str
    ) -> None:
        made, leader = await _started(nursery)
        await made.start("z", disk=False)
        await made.settled("ready=1")
        follower = [name for name in made.names if name != leader][0]
        names = {"leader": leader, "follower": follower, "observer": "z"}
        machine = made.machines[names[faulty]]
        assert isinstance(machine, cluster.KeyValues)
        await made.put(leader, "k=1")
        assert all(
            each.status().diverged_at == 0 for each in made.replicas.values()
        )
        machine.fault = b"differs"
        await made.put(leader, "k=2")
        await made.until(
            lambda: any(
                each.status().diverged_at > 0 for each in made.replicas.values()
            )
        )
