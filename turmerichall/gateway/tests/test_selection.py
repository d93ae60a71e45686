"""Tests of which backend server gets a request."""

import random
from collections import Counter

import pytest
import trio

from turmerichall import resources
from turmerichall.backend_servers import announcement
from turmerichall.gateway import health
from turmerichall.gateway import limits as limits_module
from turmerichall.gateway import pool as pools
from turmerichall.gateway import selection


def _pool(name: str, zone: str = "z1") -> pools.Pool:
    told = announcement.Announcement(
        name, 1, 1, zone, "r", "127.0.0.1:1", resources.Resources(1, 1)
    )
    made = pools.Pool(told, limits_module.Limits())
    made.health.since = -100.0
    return made


def _choices(servers: list[pools.Pool], count: int = 600) -> Counter[str]:
    selector = selection.from_name("least_loaded", "z1", random.Random(7))
    now = trio.current_time()
    return Counter(
        selector.choose(servers, now).told.name for _ in range(count)
    )


class TestLeastLoaded:

    async def test_slow_server_gets_little(self) -> None:
        servers = [_pool(f"w{n}") for n in range(6)]
        for _ in range(50):
            servers[0].health.succeeded(10.0, trio.current_time())
        assert _choices(servers)["w0"] < 100 / 3

    async def test_own_zone_first_and_spill_over_by_load(self) -> None:
        near, far = _pool("near"), _pool("far", "z2")
        assert _choices([near, far]) == {"near": 600}
        near.in_flight = 5
        assert _choices([near, far]) == {"far": 600}

    async def test_new_server_starts_slowly(self) -> None:
        servers = [_pool("w0"), _pool("w1")]
        servers[0].health.since = trio.current_time()
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
        chosen = {selector.choose(servers, 0.0).told.name for _ in range(60)}
        assert len(chosen) == 3


def _failing(count: int) -> health.Health:
    made = health.Health(0.0)
    for _ in range(count):
        made.failed(1.0)
    return made


class TestEjection:

    @pytest.mark.parametrize(
        ("failing", "ejected"), [(0, 0), (1, 1), (2, 2), (6, 2)]
    )
    def test_floor_keeps_servers_in_use(
        self, failing: int, ejected: int
    ) -> None:
        healths = [_failing(20 if n < failing else 0) for n in range(6)]
        health.eject_worst(healths, 1.0)
        assert sum(each.ejected for each in healths) == ejected

    def test_ejected_server_is_probed_and_comes_back_slowly(self) -> None:
        made = _failing(20)
        made.eject(10.0)
        first = made.ejected_until
        assert not made.may_probe(first - 0.1)
        assert made.may_probe(first)
        made.probing = True
        made.failed(first)
        assert made.ejected_until - first > first - 10.0
        made.probing = True
        made.succeeded(1.0, 100.0)
        assert not made.ejected
        assert made.weight(100.0) < 0.2 < made.weight(111.0)

    def test_few_failures_eject_nothing(self) -> None:
        healths = [_failing(3), health.Health(0.0), health.Health(0.0)]
        health.eject_worst(healths, 1.0)
        assert not any(each.ejected for each in healths)
