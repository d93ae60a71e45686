"""Tests of instances without a disk that pass the log on to others."""

import pytest
import trio
import trio.testing

from turmerichall.agreement import fan_out
from turmerichall.agreement import message
from turmerichall.agreement import replica_state
from turmerichall.agreement import sources
from turmerichall.agreement.tests import cluster

Clock = trio.testing.MockClock
# The first follows a replica, the second the first, the others the second.
CHAIN = ["w", "x", "y", "z"]
SMALL = replica_state.Timing(
    snapshot_entries=40, retained_entries=10, part_bytes=64, batch_bytes=256
)


def _source(made: cluster.Cluster, name: str) -> str:
    return made.replicas[name].stream_follower.source


async def _started(nursery: trio.Nursery) -> cluster.Cluster:
    """Starts three replicas and a chain, and waits until it is followed."""
    made = cluster.Cluster(nursery, timing=SMALL)
    made.zones.update(dict.fromkeys(CHAIN, "o"))
    await made.start_all()
    leader = await made.leader()
    await made.put(leader, "k=0")
    for name in CHAIN:
        await made.start(name, disk=False)
    await made.until(lambda: _follows_tree(made) and _has_no_backoff(made))
    await made.settled("k=0")
    return made


def _follows_tree(made: cluster.Cluster) -> bool:
    replicas = sorted(set(made.names) - set(made.leaders()))
    tree = fan_out.parents(replicas, CHAIN, made.zones)
    return all(_source(made, name) == tree[name] for name in CHAIN)


def _has_no_backoff(made: cluster.Cluster) -> bool:
    return not any(
        made.replicas[name].stream_follower.sources.backoffs for name in CHAIN
    )


async def _writes(made: cluster.Cluster, rest: str, seconds: float) -> None:
    """Writes, and checks that instances have it in time and in order."""
    writer = await made.leader(set(made.names) & set(made.replicas))
    for number in range(30):
        await made.put(writer, f"k={number}")
    await made.until(
        lambda: all(made.values(name)["k"] == "29" for name in rest), seconds
    )
    _check_order(made, writer)


def _check_order(made: cluster.Cluster, writer: str) -> None:
    """Checks that nothing was skipped, repeated, reordered or reverted."""
    whole = made.applied(writer)
    for name in set(CHAIN) & set(made.replicas):
        applied = made.applied(name)
        assert applied == whole[: len(applied)]


class TestFaults:

    @pytest.mark.parametrize(
        ("fault", "rest", "seconds"),
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
    async def test_others_are_followed_in_time(
        self,
        nursery: trio.Nursery,
        autojump_clock: Clock,
        fault: str,
        rest: str,
        seconds: float,
    ) -> None:
        made = await _started(nursery)
        _break(made, *fault.split())
        await _writes(made, rest, seconds)
        # Sources that failed are tried again, and delay nothing for longer.
        await trio.sleep(7.0)
        await _writes(made, rest, seconds)
        for name in set(made.zones) - set(made.replicas):
            await made.start(name, disk=False)
        made.hub.heal()
        if fault.split()[0] not in ("cycle", "lead", "answer"):
            await made.until(lambda: _follows_tree(made), 200.0)
        await _writes(made, "wxyz", 3.0)

    async def test_quiet_tree_stays_as_it_is(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made = await _started(nursery)
        for _ in range(300):
            await trio.sleep(0.1)
            assert made.replicas["z"].state.lag_seconds() < 3.5
            assert _follows_tree(made)
        _break(made, "freeze", "x")
        await trio.sleep(200.0)
        avoided = made.replicas["y"].stream_follower.sources.backoffs["x"]
        assert avoided.seconds == sources.MAX_BACKOFF_SECONDS

    async def test_one_that_catches_up_does_not_pass_for_fresh(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made = await _started(nursery)
        await _writes(made, "wxyz", 3.0)
        goal = made.replicas["w"].status().applied
        late = (await made.start("v", disk=False)).state
        lags = []
        while late.applied < goal:
            await late.applied_advanced.wait()
            lags.append(late.lag_seconds())
        assert len(lags) > 1 and set(lags[:-1]) == {float("inf")}

    async def test_one_that_knows_only_relays_finds_the_replicas(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made = await _started(nursery)
        assert made.replicas["w"].stream_follower.relay_buffer.base_index > 0
        made.addresses = {"w": "w:1", "v": "v:1"}
        for name in ("u", "v"):
            await made.start(name, disk=False)
        await made.settled("k=0")

    async def test_cut_off_zone_keeps_its_state_and_catches_up(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made = await _started(nursery)
        for name in CHAIN:
            made.hub.isolate(name, set(made.names))
        await _writes(made, "", 1.0)
        assert {made.values(name)["k"] for name in CHAIN} == {"0"}
        await trio.sleep(60.0)
        assert await made.replicas["z"].barrier(1.0) is not None
        made.hub.heal()
        # Longer than a snapshot reaches back.
        await _writes(made, "wxyz", 6.0)

    async def test_read_behind_a_starved_relay_is_fresh(
        self, nursery: trio.Nursery, autojump_clock: Clock
    ) -> None:
        made = await _started(nursery)
        _break(made, "starve", "x")
        await made.put(made.leaders()[0], "k=new")
        assert made.values("y")["k"] == "0"
        assert await made.replicas["y"].barrier(8.0) is None
        assert made.values("y")["k"] == "new"


def _break(made: cluster.Cluster, fault: str, *names: str) -> None:
    """Brings a fault about."""
    everyone = set(made.replicas)
    if fault == "kill":
        for name in names:
            made.kill(name)
    elif fault == "freeze":
        for name in names:
            made.hub.isolate(name, everyone)
    elif fault == "silence":
        made.hub.isolate(names[0], set(names))
    elif fault == "starve":
        made.hub.isolate(names[0], everyone - {"y", "z"})
    elif fault == "cycle":
        # So listed, w is to follow x, which follows w.
        zones = {"x": "1", "o": "2", "p": "3", "q": "4", "w": "5"}
        made.replicas["w"].stream_follower.sources.zones = lambda: zones
    elif fault == "answer":
        _answer_always(made, names[0], int(names[1]))
    elif fault == "lead":
        made.kill(made.leaders()[0])


def _answer_always(made: cluster.Cluster, name: str, commit: int) -> None:
    """Lets an instance claim to be fresh, and give only old entries."""
    old = made.replicas[name].stream_follower.relay_buffer.entries[0]
    members = made.replicas[name].status().members
    reply = message.FollowReply("", 1, commit, members, (old,), False, 0.0, 0)

    async def on_follow(_: str, __: bytes) -> bytes:
        return message.encode(reply)

    made.hub.networks[name].handlers["follow"] = on_follow


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
