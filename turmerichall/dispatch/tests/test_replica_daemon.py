"""Tests of the daemon of a replica."""

import pathlib
import re

import pytest

from turmerichall.dispatch import replica_daemon
from turmerichall.settings import queue_settings

ADDRESS = "127.0.0.1:7480"


@pytest.fixture(name="daemon")
def _daemon(tmp_path: pathlib.Path) -> replica_daemon.ReplicaDaemon:
    settings = queue_settings.QueueSettings(
        queue_settings.Instance("i1", "z1", "replica", str(tmp_path)),
        queue_settings.Listen(peers=ADDRESS, control="127.0.0.1:0"),
        queue_settings.Replicas(("127.0.0.1",), 7480, "k", bootstrap=True),
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
            "quorum_age_seconds",
            "stopped",
            "term",
            "voters",
        ]
