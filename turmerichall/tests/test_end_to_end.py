"""End-to-end tests with real processes."""

import pathlib
import signal
from collections.abc import AsyncIterator
from typing import Any

import httpcore
import msgspec
import pytest
import trio

from turmerichall import demo
from turmerichall.tests import local_cluster

WAIT_TIMEOUT_SECONDS = 90.0
POLL_SECONDS = 0.1
SERVED_REQUESTS = 40


class _Load:
    """A sender of idempotent requests to all daemons of a cluster.

    Attributes:
        cluster: The cluster.
        answered: Count of requests that ran, by the instance they were sent to.
        wrong: Bodies of requests that got another request's answer.
        sent: Count of requests sent.
    """

    def __init__(self, cluster: local_cluster.LocalCluster):
        self.cluster = cluster
        self.answered: dict[str, int] = {}
        self.wrong: list[str] = []
        self.sent = 0

    async def run(self) -> None:
        """Send requests to each daemon in turn until cancelled."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                for name in self.cluster.instances:
                    await self._send(pool, name)
                await trio.sleep(POLL_SECONDS)

    async def _send(
        self, pool: httpcore.AsyncConnectionPool, name: str
    ) -> None:
        self.sent += 1
        body = f"slot {self.sent}"
        address = self.cluster.instances[name].callers
        try:
            with trio.fail_after(5.0):
                response = await pool.request(
                    "POST",
                    f"http://{address}/v1/requests/ikengwu/offers",
                    headers=[("Turmerichall-Idempotent", "true")],
                    content=body.encode(),
                )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return
        except trio.TooSlowError:
            return
        if response.status == 200:
            self.answered[name] = self.answered.get(name, 0) + 1
            if body.encode() not in response.content:
                self.wrong.append(body)

    async def wait_served(self, *names: str) -> None:
        """Wait until each named daemon has served `SERVED_REQUESTS` more."""
        initial = dict(self.answered)
        with trio.fail_after(WAIT_TIMEOUT_SECONDS):
            for name in names:
                target = initial.get(name, 0) + SERVED_REQUESTS
                while self.answered.get(name, 0) < target:
                    await trio.sleep(POLL_SECONDS)


@pytest.fixture(name="cluster")
async def _cluster(
    tmp_path: pathlib.Path,
) -> AsyncIterator[local_cluster.LocalCluster]:
    cluster = local_cluster.LocalCluster(tmp_path)
    try:
        yield cluster
    finally:
        cluster.kill_all()


async def _template_versions(
    cluster: local_cluster.LocalCluster, name: str
) -> dict[str, int]:
    """Return the version of each template that a daemon has applied."""
    address = cluster.instances[name].operators
    exit_code, output = await cluster.run_cli(
        *("--server", address, "--format", "json", "template", "list")
    )
    assert exit_code == 0, output
    document: Any = msgspec.json.decode(output)
    return {entry["name"]: entry["version"] for entry in document["items"]}


class TestDemo:

    async def test_every_step_succeeds(
        self, cluster: local_cluster.LocalCluster
    ) -> None:
        await demo.Demo(cluster).run()


class TestKilledDaemon:

    @pytest.mark.parametrize("victim", ["i1", "i2", "i3"])
    async def test_others_serve_and_it_catches_up_after_restart(
        self,
        cluster: local_cluster.LocalCluster,
        nursery: trio.Nursery,
        victim: str,
    ) -> None:
        demonstration = demo.Demo(cluster)
        await cluster.start()
        await demonstration.publish()
        load = _Load(cluster)
        nursery.start_soon(load.run)
        await load.wait_served("i1", "i2", "i3")
        await cluster.stop(victim, signal.SIGKILL)
        others = [name for name in cluster.instances if name != victim]
        await load.wait_served(*others)
        await demonstration.command(
            *("template", "revise", "roster", "--base_version", "1"),
            *("--run_seconds", "3"),
        )
        cluster.start_daemon(victim)
        await cluster.wait_ready(victim)
        await load.wait_served("i1", "i2", "i3")
        for name in cluster.instances:
            versions = await _template_versions(cluster, name)
            assert versions == {"offers": 1, "roster": 2}
        assert not load.wrong
