"""Tests of diskless instances that relay the log to others."""

import pytest
import trio
import trio.testing

from turmerichall.agreement import fan_out
from turmerichall.agreement import message
from turmerichall.agreement import replica_state
from turmerichall.agreement import sources
from turmerichall.agreement.tests import cluster as clusters

Clock = trio.testing.MockClock
# In the fan-out tree, w follows a replica, x follows w, y and z follow x.
CHAIN = ["w", "x", "y", "z"]
SMALL_LIMITS = replica_state.Timing(
    snapshot_entries=40, retained_entries=10, part_bytes=64, batch_bytes=256
)


def _source(cluster: clusters.Cluster, name: str) -> str:
    return cluster.replicas[name].stream_follower.source


async def _start_cluster(nursery: trio.Nursery) -> clusters.Cluster:
    """Start three replicas and diskless instances that relay to each other.

    Waits until all follow their parents in the fan-out tree.
    """
    cluster = clusters.Cluster(nursery, timing=SMALL_LIMITS)
    cluster.zones.update(dict.fromkeys(CHAIN, "o"))
    await cluster.start_all()
    leader = await cluster.wait_for_leader()
    await cluster.put(leader, "k=0")
    for name in CHAIN:
        await cluster.start(name, disk=False)
    await cluster.wait_until(
        lambda: _follows_tree(cluster) and _has_no_backoff(cluster)
    )
    await cluster.wait_until_applied("k=0")
    return cluster


def _follows_tree(cluster: clusters.Cluster) -> bool:
    replicas = sorted(set(cluster.names) - set(cluster.leaders()))
    tree = fan_out.parents(replicas, CHAIN, cluster.zones)
    return all(_source(cluster, name) == tree[name] for name in CHAIN)


def _has_no_backoff(cluster: clusters.Cluster) -> bool:
    return not any(
        cluster.replicas[name].stream_follower.sources.backoffs
        for name in CHAIN
    )


async def _write_and_check(
    cluster: clusters.Cluster, names: str, seconds: float
) -> None:
    """Write changes, and check that instances apply them in time, in order.

    Args:
        cluster: The cluster.
        names: Names of the instances that must apply them.
        seconds: Time within which they must.
    """
    writer = await cluster.wait_for_leader(
        set(cluster.names) & set(cluster.replicas)
    )
    for number in range(30):
        await cluster.put(writer, f"k={number}")
    await cluster.wait_until(
        lambda: all(cluster.values(name)["k"] == "29" for name in names),
        seconds,
    )
    _check_order(cluster, writer)


def _check_order(cluster: clusters.Cluster, writer: str) -> None:
    """Check that no change was skipped, repeated, reordered or reverted."""
    whole = cluster.applied(writer)
    for name in set(CHAIN) & set(cluster.replicas):
        applied = cluster.applied(name)
        assert applied == whole[: len(applied)]


class TestFaults:

    @pytest.mark.parametrize(
        ("fault", "names", "seconds"),
        [
            ("none", "wxyz", 0.2),
            ("kill x", "wyz", 3.0),
            ("freeze x", "wyz", 3.0),
            ("silence x y", "wxyz", 3.0),
            ("kill w x", "yz", 3.0),
            ("freeze w x", "yz", 3.0),
            ("starve x", "wyz", 6.0),
            ("cycle", "wxyz", 6.0),
            ("answer x 1", "wyz", 3.0),
            ("answer x 9999", "wyz", 3.0),
            ("answer w 9999", "xyz", 3.0),
            ("lead", "wxyz", 3.0),
        ],
    )
    async def test_instances_switch_their_source_in_time(
        self,
        nursery: trio.Nursery,
        autojump_clock: Clock,
        fault: str,
        names: str,
        seconds: float,
    ) -> None:
        cluster = await _start_cluster(nursery)
        _break(cluster, *fault.split())
        await _write_and_check(cluster, names, seconds)
        # Failed sources are tried again after their back-off; that must not
        # delay changes beyond the limit.
        await trio.sleep(7.0)
        await _write_and_check(cluster, names, seconds)
        for name in set(cluster.zones) - set(cluster.replicas):
            await cluster.start(name, disk=False)
        cluster.hub.heal()
        if fault.split()[0] not in ("cycle", "lead", "answer"):
            await cluster.wait_until(lambda: _follows_tree(cluster), 200.0)
        await _write_and_check(cluster, "wxyz", 3.0)

    async def test_idle_tree_does_not_change(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster = await _start_cluster(nursery)
        for _ in range(300):
            await trio.sleep(0.1)
            assert cluster.replicas["z"].state.lag_seconds() < 3.5
            assert _follows_tree(cluster)
        _break(cluster, "freeze", "x")
        await trio.sleep(200.0)
        avoided = cluster.replicas["y"].stream_follower.sources.backoffs["x"]
        assert avoided.seconds == sources.MAX_BACKOFF_SECONDS

    async def test_lag_is_infinite_while_an_instance_catches_up(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster = await _start_cluster(nursery)
        await _write_and_check(cluster, "wxyz", 3.0)
        goal = cluster.replicas["w"].status().applied
        late = (await cluster.start("v", disk=False)).state
        lags = []
        while late.applied < goal:
            await late.applied_advanced.wait()
            lags.append(late.lag_seconds())
        assert len(lags) > 1 and set(lags[:-1]) == {float("inf")}

    async def test_instance_that_knows_only_relays_finds_the_replicas(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster = await _start_cluster(nursery)
        assert cluster.replicas["w"].stream_follower.relay_buffer.base_index > 0
        cluster.addresses = {"w": "w:1", "v": "v:1"}
        for name in ("u", "v"):
            await cluster.start(name, disk=False)
        await cluster.wait_until_applied("k=0")

    async def test_isolated_zone_keeps_its_state_and_catches_up(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster = await _start_cluster(nursery)
        for name in CHAIN:
            cluster.hub.isolate(name, set(cluster.names))
        await _write_and_check(cluster, "", 1.0)
        assert {cluster.values(name)["k"] for name in CHAIN} == {"0"}
        await trio.sleep(60.0)
        assert await cluster.replicas["z"].barrier(1.0) is not None
        cluster.hub.heal()
        # More entries than the replicas retain, so a snapshot is needed.
        await _write_and_check(cluster, "wxyz", 6.0)

    async def test_linearizable_read_through_an_isolated_relay(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        cluster = await _start_cluster(nursery)
        _break(cluster, "starve", "x")
        await cluster.put(cluster.leaders()[0], "k=new")
        assert cluster.values("y")["k"] == "0"
        assert await cluster.replicas["y"].barrier(8.0) is None
        assert cluster.values("y")["k"] == "new"


def _break(cluster: clusters.Cluster, fault: str, *names: str) -> None:
    """Inject a fault.

    Args:
        cluster: The cluster.
        fault: kill; freeze (isolate from all); silence (isolate from the other
            named instances); starve (isolate from all but its children);
            cycle (give w another tree, in which it follows its child); answer
            (always send the same old entry); lead (kill the leader).
        names: Instances concerned; for `answer`, then the commit index that
            the instance reports.
    """
    everyone = set(cluster.replicas)
    if fault == "kill":
        for name in names:
            cluster.kill(name)
    elif fault == "freeze":
        for name in names:
            cluster.hub.isolate(name, everyone)
    elif fault == "silence":
        cluster.hub.isolate(names[0], set(names))
    elif fault == "starve":
        cluster.hub.isolate(names[0], everyone - {"y", "z"})
    elif fault == "cycle":
        # In the tree of these zones, w follows x, which still follows w.
        zones = {"x": "1", "o": "2", "p": "3", "q": "4", "w": "5"}
        cluster.replicas["w"].stream_follower.sources.zones = lambda: zones
    elif fault == "answer":
        _answer_always(cluster, names[0], int(names[1]))
    elif fault == "lead":
        cluster.kill(cluster.leaders()[0])


def _answer_always(cluster: clusters.Cluster, name: str, commit: int) -> None:
    """Make an instance report no lag but send only one old entry."""
    old = cluster.replicas[name].stream_follower.relay_buffer.entries[0]
    members = cluster.replicas[name].status().members
    reply = message.FollowReply("", 1, commit, members, (old,), False, 0.0, 0)

    async def on_follow(_: str, __: bytes) -> bytes:
        return message.encode(reply)

    cluster.hub.networks[name].handlers["follow"] = on_follow


class TestTree:

    @pytest.mark.parametrize("replicas", [1, 2, 4])
    @pytest.mark.parametrize("size", [1, 2, 5])
    def test_streams_are_few_and_end_at_replicas(
        self, replicas: int, size: int
    ) -> None:
        names = [f"i{number:02}" for number in range(10 * size)]
        zones = {name: f"z{place % 10}" for place, name in enumerate(names)}
        own = names[:replicas]
        tree = fan_out.parents(own, names[replicas:], zones)
        assert sorted(tree) == names[replicas:]
        children = list(tree.values())
        assert max(children.count(name) for name in children) <= 3
        entering = [
            zones[name]
            for name, parent in tree.items()
            if zones[name] != zones[parent]
        ]
        assert sorted(entering) == sorted(set(zones.values()))[replicas:]
        for name in names[replicas:]:
            steps = 0
            while name in tree:
                name, steps = tree[name], steps + 1
            assert name in own and steps <= 8
