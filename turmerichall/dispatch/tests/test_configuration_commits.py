"""Tests of commits of configurations."""

import trio
import trio.testing

from turmerichall.dispatch import configuration_commits
from turmerichall.dispatch.tests import fakes
from turmerichall.dispatch.tests import test_leadership
from turmerichall.queues import change as changes
from turmerichall.queues import configuration as configurations
from turmerichall.queues import configuration_edits

BODY = b'{"version":%d,"routes":[%b]}'
ROUTE = b'{"host":"h","path_prefix":"/%d"}'


def _describe(version: int, count: int) -> configuration_edits.Described:
    queues = tuple(
        configurations.Queue(f"q{number}", "h", f"/{number}", "s")
        for number in range(count)
    )
    routes = b",".join(ROUTE % number for number in range(count))
    return configuration_edits.Described(
        configurations.Configuration(version, queues), BODY % (version, routes)
    )


async def _commit(
    cluster: fakes.FakeCluster,
    new: configuration_edits.Described,
    may_revise: bool = True,
) -> None:
    leadership = cluster.leader_api.leadership
    assert leadership is not None
    failed = await configuration_commits.commit(leadership, new, may_revise)
    assert failed is None
    assert cluster.queue_state.document == new.document


def _kinds(cluster: fakes.FakeCluster) -> list[type]:
    return [
        type(change)
        for change in cluster.replica.changes
        if isinstance(
            change,
            changes.SetConfiguration | configuration_edits.ReviseConfiguration,
        )
    ]


class TestCommit:

    async def test_sends_what_differs_if_all_replicas_know_it(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster()

        async def script() -> None:
            await _commit(cluster, _describe(10, 50))
            # A replica of an earlier release would end at such a change.
            await _commit(cluster, _describe(11, 51), may_revise=False)
            await _commit(cluster, _describe(12, 52))

        await test_leadership.run_script(cluster, script)
        assert _kinds(cluster)[-3:] == [
            changes.SetConfiguration,
            changes.SetConfiguration,
            configuration_edits.ReviseConfiguration,
        ]

    # The edits apply to a version that is not in force any more.
    async def test_is_sent_whole_after_another_version(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        cluster = fakes.FakeCluster()

        async def script() -> None:
            await _commit(cluster, _describe(10, 50))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_commit, cluster, _describe(12, 52))
                await trio.sleep(0.005)
                other = changes.SetConfiguration(*_describe(11, 10))
                cluster.replica.apply(other)

        await test_leadership.run_script(cluster, script)
        assert _kinds(cluster)[-2:] == [
            configuration_edits.ReviseConfiguration,
            changes.SetConfiguration,
        ]
        assert len(cluster.queue_state.configuration.queues) == 52
