"""Tests that what another program sends ends no replica.

In an incident, each leader ended at a heartbeat, or at a record that an earlier
heartbeat had left in the log, also after a restart on its data folder.
"""

from collections.abc import AsyncIterator
import contextlib
import json

import trio
import trio.testing

from turmerichall.agreement.tests import cluster as clusters
from turmerichall.dispatch import leader_api as leader_apis
from turmerichall.dispatch import replica_daemon
from turmerichall.dispatch.tests import fakes
from turmerichall.http1 import message
from turmerichall.platform import control_requests
from turmerichall.platform import http_worker_client
from turmerichall.queues import change as changes
from turmerichall.queues import state as states
from turmerichall.telemetry import lightweight_metrics

OWN_ADDRESS = "127.0.0.1:8166"
UNUSABLE = {
    "address": ("10.0.0..9:8080", f"10.0.0.9:{'8' * 4400}", "a" * 70 + ":80"),
    "capacity": ({"cpu": 1.6e30, "mem_mb": 32768, "gpu": 0},),
    "labels": (["a", "r" * 4_200_000],),
    "machine": ("m" * 4_200_000,),
}

# Tests that name the fixture as an argument run on its clock.
# pylint: disable=unused-argument


class Site:
    """Three replicas with leader APIs on data folders that outlive them.

    Attributes:
        cluster: The replicas.
        leader_apis: Leader APIs by name of the replica.
    """

    def __init__(self, cluster: clusters.Cluster):
        self.cluster = cluster
        self.leader_apis: dict[str, leader_apis.LeaderApi] = {}
        self._scopes: dict[str, trio.CancelScope] = {}

    async def start(self) -> None:
        """Start all replicas on their data folders."""
        for name in self.cluster.names:
            replica = await self.cluster.start(name)
            machine = self.cluster.machines[name]
            assert isinstance(machine, states.QueueState)
            leader_api = self.leader_apis[name] = leader_apis.LeaderApi(
                replica,
                machine,
                http_worker_client.HttpWorkerClient,
                self.cluster.logs[name],
                lightweight_metrics.MetricsRegistry(),
            )
            self._scopes[name] = scope = trio.CancelScope()
            self.cluster.nursery.start_soon(self._run, leader_api, scope)

    async def _run(
        self, leader_api: leader_apis.LeaderApi, scope: trio.CancelScope
    ) -> None:
        with scope:
            await leader_api.run()

    async def restart(self) -> None:
        """Kill all replicas, and start them on their data folders."""
        for name in self.cluster.names:
            self._scopes[name].cancel()
            self.cluster.kill(name)
        await self.start()

    async def leader(self) -> leader_apis.LeaderApi:
        """Wait until a replica does the leader's work; return its API."""
        await self.cluster.wait_for_leader()
        working: list[leader_apis.LeaderApi] = []
        while not working:
            await trio.sleep(0.05)
            working = [
                each
                for each in self.leader_apis.values()
                if each.leadership is not None
            ]
        return working[0]

    async def configure(self, version: int) -> None:
        """Send a configuration until it is acknowledged, for 12 s."""
        configuration = fakes.CONFIGURATION._replace(version=version)
        with trio.fail_after(12.0):
            while True:
                leader_api = await self.leader()
                if await leader_api.configure(configuration, b"{}") is None:
                    return
                await trio.sleep(0.1)

    async def heartbeat(self, **fields: object) -> int:
        """Send a heartbeat to the leader; return the status of the answer."""
        document = {
            "service": "desk",
            "address": "10.0.0.9:8080",
            "machine": "m-1",
            "zone": "hall",
            "state": "ready",
            "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
            "labels": ["a", "r1-3"],
            **fields,
        }
        leader_api = await self.leader()
        answer = await control_requests.handle(
            leader_api,
            message.Request(
                "POST",
                "/v1/instances/i-9099other/heartbeat",
                {},
                json.dumps(document).encode(),
            ),
            OWN_ADDRESS,
            fakes.RecordingLog(),
        )
        assert isinstance(answer, message.Response)
        return answer.status

    def term(self) -> int:
        """Return the newest term of all replicas."""
        replicas = self.cluster.replicas.values()
        return max(each.state.term for each in replicas)


@contextlib.asynccontextmanager
async def _site() -> AsyncIterator[Site]:
    async with trio.open_nursery() as nursery:
        cluster = clusters.Cluster(
            nursery,
            timing=replica_daemon.TIMING,
            machine=states.QueueState,
            log=fakes.RecordingLog,
        )
        site = Site(cluster)
        await site.start()
        await site.configure(1)
        yield site
        nursery.cancel_scope.cancel()


class TestHeartbeatsOfAnotherWriter:

    async def test_end_no_replica(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        async with _site() as site:
            term = site.term()
            for field, values in UNUSABLE.items():
                for value in values:
                    assert await site.heartbeat(**{field: value}) == 400
                    await trio.sleep(1.1)
            # Without a usable time of its start, its lives can't be told apart.
            assert await site.heartbeat(born=1.6e30) == 200
            await site.configure(2)
            assert site.term() == term


class TestUnusableRecordInTheLog:

    async def test_ends_no_replica_that_loads_it(
        self, mocked_clocks: trio.testing.MockClock
    ) -> None:
        async with _site() as site:
            record = fakes.FakeWorker("i-9099other").record._replace(
                address="10.0.0..9:8080"
            )
            leader_api = await site.leader()
            change = changes.encode(changes.RegisterWorker(record))
            await leader_api.replica.propose(change)
            for version in (2, 3):
                await site.restart()
                await site.configure(version)
                await trio.sleep(3.0)
            term = site.term()
            await trio.sleep(20.0)
            assert site.term() == term
            leader_api = await site.leader()
            assert record.id not in leader_api.queue_state.workers
