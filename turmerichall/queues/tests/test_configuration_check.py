"""Tests of the checks and the comparison of configurations."""

import time
from typing import Any

import pytest

from turmerichall.http1 import server
from turmerichall.queues import configuration as configurations
from turmerichall.queues import configuration_check
from turmerichall.queues import configuration_difference

SERVICE = configurations.Service("desk")
QUEUE = configurations.Queue("q", "a.example", "/jobs/", "desk", max_attempts=2)
CLEAN = configurations.Configuration(1, (QUEUE,), (SERVICE,))


def _found(
    configuration: configurations.Configuration, *hosts: str
) -> list[tuple[str, str]]:
    return [
        (finding.severity.value, finding.place)
        for finding in configuration_check.check(configuration, hosts)
    ]


class TestCheck:

    @pytest.mark.parametrize(
        ("fields", "severity", "field"),
        [
            ({"service": "none"}, "error", ".service"),
            ({"timeout_ms": 0}, "error", ".timeout_ms"),
            ({"path_prefix": "/jobs/"}, "error", ""),
            ({"host": "a.example:80"}, "warning", ".host"),
            ({"host": "a example"}, "warning", ".host"),
            ({"path_prefix": "/a?b"}, "warning", ".path_prefix"),
            ({"path_prefix": "/a#b"}, "warning", ".path_prefix"),
            ({"path_prefix": "/a b"}, "warning", ".path_prefix"),
            ({"path_prefix": "/\u00e9"}, "warning", ".path_prefix"),
            ({"path_prefix": "/" + "a" * 16384}, "warning", ".path_prefix"),
            ({"timeout_ms": 999}, "warning", ".timeout_ms"),
            ({"max_attempts": 4}, "warning", ".max_attempts"),
            ({"stretch": 0.0}, "warning", ".max_attempts"),
        ],
    )
    def test_route_is_reported_with_its_place(
        self, fields: dict[str, Any], severity: str, field: str
    ) -> None:
        other = QUEUE._replace(**{"path_prefix": "/other/", **fields})
        configuration = CLEAN._replace(queues=(QUEUE, other))
        assert _found(configuration) == [(severity, f"routes[1]{field}")]

    @pytest.mark.parametrize(
        "fields",
        [
            {"path_prefix": "/"},
            {"path_prefix": "/a%20b/~c"},
            {"host": "10.0.0.1"},
            {"max_attempts": 3},
            {"max_attempts": 1, "stretch": 0.1},
            {"timeout_ms": 1000},
        ],
    )
    def test_route_that_works_is_not_reported(
        self, fields: dict[str, Any]
    ) -> None:
        queue = QUEUE._replace(**fields)
        assert not _found(CLEAN._replace(queues=(queue,)))

    @pytest.mark.parametrize(
        ("limits", "place"),
        [
            (server.Limits(body_bytes=4096), "limits.max_body_bytes"),
            (server.Limits(request_seconds=0), "limits.header_timeout_ms"),
            (server.Limits(idle_seconds=-1), "limits.idle_timeout_ms"),
            (server.Limits(header_bytes=15), "routes[0].path_prefix"),
        ],
    )
    def test_contradictory_limit_is_reported(
        self, limits: server.Limits, place: str
    ) -> None:
        assert _found(CLEAN._replace(limits=limits)) == [("warning", place)]

    def test_services_and_spellings_of_hosts(self) -> None:
        services = (SERVICE, configurations.Service("idle"), SERVICE)
        other = QUEUE._replace(path_prefix="/other/")
        configuration = CLEAN._replace(queues=(QUEUE, other), services=services)
        assert _found(configuration, "a.example", "A.example") == [
            ("warning", "routes[1].host"),
            ("warning", "services[1].name"),
            ("warning", "services[2].name"),
        ]

    # The second case fails if each route is compared with every other.
    @pytest.mark.parametrize("count", [1400, 14_000])
    def test_many_routes_take_less_than_a_second(self, count: int) -> None:
        queues = tuple(
            QUEUE._replace(path_prefix=f"/{number}/", max_attempts=9)
            for number in range(count)
        )
        configuration = CLEAN._replace(queues=queues)
        hosts = ["a.example", "A.example"] * (count // 2)
        began_at = time.process_time()
        findings = _found(configuration, *hosts)
        configuration_difference.compare(CLEAN, configuration)
        assert time.process_time() - began_at < 1
        assert len(findings) == count + 1


class TestCompare:

    def test_entries_that_were_added_removed_and_changed(self) -> None:
        advised = QUEUE._replace(
            path_prefix="/b/", advice=configurations.Advice(5)
        )
        before = CLEAN._replace(queues=(QUEUE, advised))
        after = configurations.Configuration(
            9,
            (advised._replace(priority=0), QUEUE._replace(host="b")),
            (SERVICE._replace(standby=True),),
            server.Limits(body_bytes=7),
        )
        found = configuration_difference.compare(before, after)
        assert [(each.change.value, each.key) for each in found] == [
            ("changed", "a.example/b/"),
            ("removed", "a.example/jobs/"),
            ("added", "b/jobs/"),
            ("changed", "desk"),
            ("changed", "body_bytes"),
        ]
        assert found[0].fields == (("priority", 1, 0),)
        reversed_order = before._replace(version=5, queues=(advised, QUEUE))
        assert not configuration_difference.compare(before, reversed_order)
