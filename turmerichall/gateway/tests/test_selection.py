"""Tests of the choice of a backend server and of ejection."""

import random
from collections import Counter

import pytest
import trio

from turmerichall import resources
from turmerichall.backend_servers import announcement as announcements
from turmerichall.gateway import health
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import pool as pools
from turmerichall.gateway import selection


def _pool(name: str, zone: str = "z1") -> pools.Pool:
    announcement = announcements.Announcement(
        name, 1, 1, zone, "r", "127.0.0.1:1", resources.Resources(1, 1)
    )
    pool = pools.Pool(announcement, limits_module.Limits())
    pool.health.in_use_since = -100.0
    return pool


def _choices(servers: list[pools.Pool], count: int = 600) -> Counter[str]:
    selector = selection.from_name("least_loaded", "z1", random.Random(7))
    now = trio.current_time()
    return Counter(
        selector.choose(servers, now).announcement.name for _ in range(count)
    )


class TestLeastLoaded:

    async def test_slow_server_gets_few_requests(self) -> None:
        servers = [_pool(f"w{n}") for n in range(6)]
        for _ in range(50):
            servers[0].health.record_success(10.0, trio.current_time())
        assert _choices(servers)["w0"] < 100 / 3

    async def test_own_zone_is_preferred_until_it_is_loaded(self) -> None:
        near, far = _pool("near"), _pool("far", "z2")
        assert _choices([near, far]) == {"near": 600}
        near.in_flight = 5
        assert _choices([near, far]) == {"far": 600}

    async def test_new_server_gets_few_requests_at_first(self) -> None:
        servers = [_pool("w0"), _pool("w1")]
        servers[0].health.in_use_since = trio.current_time()
        for server in servers:
            server.in_flight = 1
        assert _choices(servers) == {"w1": 600}
        servers[1].in_flight = 30
        assert _choices(servers) == {"w0": 600}


class TestBaseline:

    @pytest.mark.parametrize("name", ["round_robin", "random"])
    async def test_baseline_uses_every_server(self, name: str) -> None:
        servers = [_pool(f"w{n}") for n in range(3)]
        selector = selection.from_name(name, "z1", random.Random(1))
        chosen = {
            selector.choose(servers, 0.0).announcement.name for _ in range(60)
        }
        assert len(chosen) == 3


def _failing_server(failures: int) -> health.Health:
    server = health.Health(0.0)
    for _ in range(failures):
        server.record_failure(1.0)
    return server


class TestEjection:

    @pytest.mark.parametrize(
        ("failing_count", "ejected_count"), [(0, 0), (1, 1), (2, 2), (6, 2)]
    )
    def test_most_servers_stay_in_use(
        self, failing_count: int, ejected_count: int
    ) -> None:
        healths = [
            _failing_server(20 if n < failing_count else 0) for n in range(6)
        ]
        health.eject_worst(healths, 1.0)
        assert sum(each.ejected for each in healths) == ejected_count

    def test_ejected_server_is_probed_and_readmitted_slowly(self) -> None:
        server = _failing_server(20)
        server.eject(10.0)
        first_end = server.ejected_until
        assert not server.may_probe(first_end - 0.1)
        assert server.may_probe(first_end)
        server.probing = True
        server.record_failure(first_end)
        assert server.ejected_until - first_end > first_end - 10.0
        server.probing = True
        server.record_success(1.0, 100.0)
        assert not server.ejected
        assert server.weight(100.0) < 0.2 < server.weight(111.0)

    def test_few_failures_eject_nothing(self) -> None:
        healths = [_failing_server(3), health.Health(0.0), health.Health(0.0)]
        health.eject_worst(healths, 1.0)
        assert not any(each.ejected for each in healths)
