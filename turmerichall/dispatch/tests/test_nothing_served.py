"""Tests that metrics and logs tell apart the reasons why nothing is served.

In an incident, two replicas of three were out of consensus and the third was
alone; in another, a leader was elected and its work never began.  Both looked
the same from outside.
"""

from collections.abc import AsyncIterator
import contextlib
import pathlib
import re

import pytest
import trio
import trio.testing

from turmerichall.agreement import replica_state
from turmerichall.agreement.tests import cluster as clusters
from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.dispatch import replica_daemon
from turmerichall.dispatch import replica_gauges
from turmerichall.dispatch import term_watch
from turmerichall.dispatch.tests import fakes
from turmerichall.queues import change as changes
from turmerichall.queues import state as states
from turmerichall.storage.tests import memory_files
from turmerichall.telemetry import lightweight_metrics

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument

PREFIX = lightweight_metrics.PREFIX + "replica_"
CHANGE = changes.encode(changes.SetConfiguration(fakes.CONFIGURATION, b"{}"))
# Time for which nothing was served in the incident.
OUTAGE_SECONDS = 26.0
SLOW_SYNC_SECONDS = 20.0
LOG_INTERVAL_SECONDS = 5.0
CURRENT = "leader's state is current"
FOLLOWING = "following leader"
NOT_BEGUN = "leader's work is not under way"
NOT_CURRENT = "leader's state is not current"
NOT_WON = ("pre-vote not won", "election not won")
SILENCE = "no leader heard"

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "OPERATIONS.md"

Fields = dict[str, object]


def _no_client(_: changes.WorkerRecord) -> fakes.FakeWorker:
    raise AssertionError("no worker is registered")


class Site:
    """Three replicas with leader APIs and metrics, as in their daemons.

    Attributes:
        cluster: The replicas.
        registries: Metrics by name of the replica.
    """

    def __init__(self, cluster: clusters.Cluster):
        self.cluster = cluster
        self.registries: dict[str, lightweight_metrics.MetricsRegistry] = {}

    async def start(self, name: str, begins_work: bool) -> None:
        """Start a replica with its leader API, which may be without effect."""
        replica = await self.cluster.start(name)
        machine = self.cluster.machines[name]
        assert isinstance(machine, states.QueueState)
        log = self.cluster.logs[name]
        registry = self.registries[name] = lightweight_metrics.MetricsRegistry()
        leader_api = leader_apis.LeaderApi(
            replica, machine, _no_client, log, registry
        )

        def is_under_way() -> bool:
            return leader_api.leadership is not None

        replica_gauges.register(registry, replica, is_under_way)
        watch = term_watch.TermWatch(replica, is_under_way, log)
        self.cluster.nursery.start_soon(watch.run)
        if begins_work:
            self.cluster.nursery.start_soon(leader_api.run)

    def gauges(self, name: str) -> dict[str, float]:
        """Return the gauges of a replica as they are scraped."""
        rows = self.registries[name].exposition().decode().splitlines()
        pairs = [row.split() for row in rows if row.startswith(PREFIX)]
        return {row[0].removeprefix(PREFIX): float(row[1]) for row in pairs}

    def logged(self, name: str, *messages: str) -> list[Fields]:
        """Return the fields of a replica's lines with one of some messages."""
        log = self.cluster.logs[name]
        assert isinstance(log, fakes.RecordingLog)
        return [fields for message, fields in log.lines if message in messages]

    def forget_lines(self) -> None:
        """Forget all lines that were logged so far."""
        for log in self.cluster.logs.values():
            assert isinstance(log, fakes.RecordingLog)
            log.lines.clear()

    def others(self, name: str) -> list[str]:
        return [other for other in self.cluster.names if other != name]

    async def fail_disk(self, name: str, writer: str) -> None:
        """Fill the disk of a replica, and wait until it is stopped."""
        self.cluster.files[name].full = True
        await self.cluster.replicas[writer].propose(CHANGE, 1.0)
        failed = self.cluster.replicas[name]
        await self.cluster.wait_until(lambda: failed.status().stopped != "")


@contextlib.asynccontextmanager
async def _site(begins_work: bool = True) -> AsyncIterator[Site]:
    """Run three replicas, one of which leads."""
    async with trio.open_nursery() as nursery:
        cluster = clusters.Cluster(
            nursery,
            timing=replica_daemon.TIMING,
            machine=states.QueueState,
            log=fakes.RecordingLog,
        )
        site = Site(cluster)
        for name in cluster.names:
            await site.start(name, begins_work)
        leader = await cluster.wait_for_leader()
        await cluster.put_bytes(leader, CHANGE)
        while begins_work and not site.gauges(leader)["leader_work"]:
            await trio.sleep(0.1)
            await cluster.put_bytes(leader, CHANGE)
        yield site
        nursery.cancel_scope.cancel()


class TestServing:

    async def test_leader_and_followers(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        async with _site() as site:
            leader = await site.cluster.wait_for_leader()
            status = site.cluster.replicas[leader].status()
            shown = site.gauges(leader)
            content = site.cluster.files[leader].content
            used = len(content["log"]) + len(content["snapshot"])
            assert 0.0 <= shown.pop("quorum_age_seconds") < 1.0
            assert shown == {
                "term": status.term,
                "commit_index": status.commit,
                "applied_index": status.applied,
                "leads": 1,
                "leads_current": 1,
                "leader_work": 1,
                "stopped": 0,
                "voters": 3,
                "log_bytes": len(content["log"]),
                "snapshot_bytes": len(content["snapshot"]),
                "disk_peak_bytes": 2 * used,
                "disk_pressure": 0,
                "learners": 0,
                "losses_borne": 1,
            }
            assert status.term > 0 and status.commit > 1
            for name in site.others(leader):
                shown = site.gauges(name)
                assert shown["term"] == status.term
                assert not shown["leads"] and not shown["leader_work"]

    async def test_leader_and_followers_log_their_beliefs_once(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        async with _site() as site:
            leader = await site.cluster.wait_for_leader()
            await trio.sleep(OUTAGE_SECONDS)
            term = site.cluster.replicas[leader].status().term
            (line,) = site.logged(leader, CURRENT)
            assert line["term"] == term
            assert line["index"] == 2
            assert 0.0 < line["seconds"] < 1.0  # type: ignore[operator]
            for name in site.others(leader):
                lines = site.logged(name, FOLLOWING)
                assert lines == [{"leader": leader, "term": term}]
                assert not site.logged(name, CURRENT)
            for name in site.cluster.names:
                assert not site.logged(name, NOT_CURRENT, NOT_BEGUN, *NOT_WON)

    async def test_each_leader_is_logged_by_its_followers(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        async with _site() as site:
            old = await site.cluster.wait_for_leader()
            site.forget_lines()
            assert await site.cluster.replicas[old].transfer_leadership()
            new = await site.cluster.wait_for_leader()
            await trio.sleep(OUTAGE_SECONDS)
            term = site.cluster.replicas[new].status().term
            for name in site.others(new):
                lines = site.logged(name, FOLLOWING)
                assert lines == [{"leader": new, "term": term}]
            assert len(site.logged(new, CURRENT)) == 1

    async def test_age_is_finite_before_a_first_contact(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        async with trio.open_nursery() as nursery:
            cluster = clusters.Cluster(
                nursery, machine=states.QueueState, log=fakes.RecordingLog
            )
            site = Site(cluster)
            await site.start("b", True)
            age = cluster.replicas["b"].seconds_since_quorum()
            assert age == float("inf")
            shown = site.gauges("b")
            assert shown["quorum_age_seconds"] == 86_400.0
            assert shown["voters"] == 0
            nursery.cancel_scope.cancel()


class TestNothingServed:

    async def test_two_are_out_of_consensus_and_the_third_is_alone(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        async with _site() as site:
            leader = await site.cluster.wait_for_leader()
            first, last = site.others(leader)
            await site.fail_disk(first, leader)
            assert [site.gauges(n)["stopped"] for n in (first, leader)] == [
                1,
                0,
            ]
            await site.fail_disk(leader, leader)
            await trio.sleep(OUTAGE_SECONDS)
            for name in (first, leader):
                assert site.gauges(name)["stopped"] == 1
            shown = site.gauges(last)
            assert not shown["stopped"] and not shown["leads"]
            assert shown["quorum_age_seconds"] > OUTAGE_SECONDS
            assert shown["voters"] == 3
            for name in (first, leader):
                assert len(site.logged(name, "replica stopped")) == 1
            (line,) = site.logged(last, SILENCE)
            assert line["last_leader"] == leader
            timing = replica_daemon.TIMING
            assert line["seconds"] == pytest.approx(
                timing.election_seconds + timing.election_jitter_seconds / 2,
                abs=timing.election_jitter_seconds / 2 + 0.01,
            )
            lines = site.logged(last, *NOT_WON)
            assert 4 <= len(lines) <= 1 + OUTAGE_SECONDS / LOG_INTERVAL_SECONDS
            assert lines[-1]["granted"] == 1 and lines[-1]["needed"] == 2
            stopped = {first: "stopped", leader: "stopped"}
            assert lines[-1]["unanswered"] == stopped
            assert lines[0]["attempts"] == 1
            assert lines[-1]["attempts"] > 1  # type: ignore[operator]

    async def test_leader_without_a_commit(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        async with _site() as site:
            leader = await site.cluster.wait_for_leader()
            name = await _elect_without_a_commit(site, leader)
            shown = site.gauges(name)
            assert shown["leads"] and not shown["leads_current"]
            assert not shown["leader_work"] and not shown["stopped"]
            assert shown["quorum_age_seconds"] < 1.0
            assert not site.gauges(leader)["leads"]
            # Logged 2 and 7 s after the election.
            lines = site.logged(name, NOT_CURRENT)
            seconds = [line.pop("seconds") for line in lines]
            assert seconds == pytest.approx([2.0, 7.0], abs=0.05)
            state = site.cluster.replicas[name].state
            assert lines[0] == {
                "term": state.term,
                "commit": state.commit,
                "applied": state.applied,
                "term_start": state.commit + 1,
                "voters": 3,
                "answered": [leader],
            }
            assert not site.logged(name, NOT_BEGUN, CURRENT)
            await trio.sleep(SLOW_SYNC_SECONDS)
            (line,) = site.logged(name, CURRENT)
            assert line["seconds"] == pytest.approx(SLOW_SYNC_SECONDS, abs=0.1)

    async def test_leader_whose_work_has_not_begun(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        async with _site(begins_work=False) as site:
            leader = await site.cluster.wait_for_leader()
            await trio.sleep(OUTAGE_SECONDS)
            shown = site.gauges(leader)
            assert shown["leads"] and shown["leads_current"]
            assert not shown["leader_work"]
            assert shown["quorum_age_seconds"] < 1.0
            lines = site.logged(leader, NOT_BEGUN)
            assert len(lines) == OUTAGE_SECONDS // LOG_INTERVAL_SECONDS
            assert lines[0]["term"] == shown["term"]
            assert lines[0]["seconds"] == 1.0
            assert not site.logged(leader, NOT_CURRENT, *NOT_WON)
            assert len(site.logged(leader, CURRENT)) == 1


async def _elect_without_a_commit(site: Site, leader: str) -> str:
    """Transfer leadership to a replica whose disk gets too slow to commit.

    The third replica is killed, so that a commit needs both disks.

    Returns:
        The name of the new leader.
    """
    cluster = site.cluster
    killed, name = site.others(leader)
    cluster.kill(killed)
    await trio.sleep(2 * replica_daemon.TIMING.election_seconds)
    cluster.nursery.start_soon(_slow_down_candidate, cluster, name)
    assert await cluster.replicas[leader].transfer_leadership()
    await cluster.wait_until(lambda: cluster.leaders() == [name])
    await trio.sleep(SLOW_SYNC_SECONDS / 2)
    return name


async def _slow_down_candidate(cluster: clusters.Cluster, name: str) -> None:
    """Slow a candidate's disk after the write of its own vote has begun."""
    state = cluster.replicas[name].state
    while state.role != replica_state.Role.CANDIDATE:
        await trio.sleep(memory_files.SYNC_SECONDS / 4)
    cluster.files[name].sync_seconds = SLOW_SYNC_SECONDS


class TestPage:

    async def test_names_these_lines_and_gauges(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        text = PAGE.read_text(encoding="utf-8")
        section = text.split(". Nothing is served\n")[1].split("\n## ")[0]
        for message in (CURRENT, FOLLOWING, NOT_BEGUN, NOT_CURRENT, *NOT_WON):
            assert message in section
        assert SILENCE in section
        rows = re.findall(r"^\|[^|]+\|([^|]+)\|", section, re.MULTILINE)
        named = set(re.findall(r"`(\w+)`", "".join(rows)))
        async with _site() as site:
            shown = set(site.gauges(site.cluster.names[0]))
        assert named and named <= shown
        told_apart = {"stopped", "leads", "leads_current", "leader_work"}
        assert told_apart <= named
