"""Tests of the daemon of a replica."""

import pathlib
import re

import pytest
import trio

from turmerichall.dispatch import replica_daemon
from turmerichall.settings import queue_settings

HOST = "127.0.0.1"


@pytest.fixture(name="daemon")
def _daemon(tmp_path: pathlib.Path) -> replica_daemon.ReplicaDaemon:
    settings = queue_settings.QueueSettings(
        queue_settings.Instance("i1", "z1", "replica", str(tmp_path)),
        queue_settings.Listen(peers=f"{HOST}:0", control=f"{HOST}:0"),
        queue_settings.Replicas((HOST,), 1, "k"),
    )
    return replica_daemon.ReplicaDaemon.from_config(settings)


class TestMetrics:

    async def test_show_the_replica(
        self, daemon: replica_daemon.ReplicaDaemon
    ) -> None:
        text = daemon.metrics_registry.exposition().decode()
        names = re.findall(r"^turmerichall_replica_(\w+) ", text, re.MULTILINE)
        assert sorted(names) == [
            "applied_index",
            "commit_index",
            "leader_work",
            "leads",
            "leads_current",
            "learners",
            "losses_borne",
            "quorum_age_seconds",
            "stopped",
            "term",
            "voters",
        ]


class TestTermWatch:

    async def test_runs(
        self,
        daemon: replica_daemon.ReplicaDaemon,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        started = trio.Event()

        async def run() -> None:
            started.set()

        monkeypatch.setattr(daemon.term_watch, "run", run)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(daemon.run)
            with trio.fail_after(10):
                await started.wait()
            nursery.cancel_scope.cancel()
