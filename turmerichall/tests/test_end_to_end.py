"""Tests of the whole path with real processes."""

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

PATIENCE_SECONDS = 90.0
POLL_SECONDS = 0.1
SERVED_WHILE_KILLED = 40


class _Load:
    """Sends idempotent requests to the daemons that run.

    Attributes:
        cluster: The processes.
        answered: Requests that ran, by instance that they were sent to.
        wrong: Answers that were not those of their requests.
    """

    def __init__(self, cluster: local_cluster.LocalCluster):
        self.cluster = cluster
        self.answered: dict[str, int] = {}
        self.wrong: list[str] = []
        self.sent = 0

    async def run(self) -> None:
        """Sends requests to each daemon in turn until cancelled."""
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
        """Waits until each daemon served a number of requests more."""
        before = dict(self.answered)
        with trio.fail_after(PATIENCE_SECONDS):
            for name in names:
                wanted = before.get(name, 0) + SERVED_WHILE_KILLED
                while self.answered.get(name, 0) < wanted:
                    await trio.sleep(POLL_SECONDS)


@pytest.fixture(name="cluster")
async def _cluster(
    tmp_path: pathlib.Path,
) -> AsyncIterator[local_cluster.LocalCluster]:
    made = local_cluster.LocalCluster(tmp_path)
    try:
        yield made
    finally:
        made.kill_all()


async def _versions(
    cluster: local_cluster.LocalCluster, name: str
) -> dict[str, int]:
    """Returns versions of the templates as one daemon has them applied."""
    address = cluster.instances[name].operators
    code, text = await cluster.run_cli(
        *("--server", address, "--format", "json", "template", "list")
    )
    assert code == 0, text
    document: Any = msgspec.json.decode(text)
    return {entry["name"]: entry["version"] for entry in document["items"]}


class TestDemo:

    async def test_every_step_does_what_it_should(
        self, cluster: local_cluster.LocalCluster
    ) -> None:
        await demo.Demo(cluster).run()


class TestKilledDaemon:

    @pytest.mark.parametrize("victim", ["i1", "i2", "i3"])
    async def test_others_serve_and_it_comes_back_with_every_change(
        self,
        cluster: local_cluster.LocalCluster,
        nursery: trio.Nursery,
        victim: str,
    ) -> None:
        shown = demo.Demo(cluster)
        await cluster.start()
        await shown.publish()
        load = _Load(cluster)
        nursery.start_soon(load.run)
        await load.wait_served("i1", "i2", "i3")
        await cluster.stop(victim, signal.SIGKILL)
        others = [name for name in cluster.instances if name != victim]
        await load.wait_served(*others)
        await shown.command(
            *("template", "revise", "roster", "--base_version", "1"),
            *("--run_seconds", "3"),
        )
        cluster.start_daemon(victim)
        await cluster.wait_ready(victim)
        await load.wait_served("i1", "i2", "i3")
        for name in cluster.instances:
            versions = await _versions(cluster, name)
            assert versions == {"offers": 1, "roster": 2}
        assert not load.wrong
