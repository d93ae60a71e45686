"""Sound messages of the platform, from which fuzzers make hostile ones."""

from typing import Any

__all__ = [
    "ANSWER_KINDS",
    "HOST",
    "PATH_PREFIX",
    "SERVICE",
    "configuration",
    "control_path",
    "heartbeat",
    "job",
    "poll_answer",
]

HOST = "fuzz.example"
PATH_PREFIX = "/jobs/"
SERVICE = "desk"
# Answers of a server that are no answer to a call, as bytes of HTTP.
ANSWER_KINDS = (
    b"HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\n"
    b"upgrade: h2c\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}" * 2,
    b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999\r\n\r\n{}",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    + b"10000\r\n"
    + b"x" * 65536
    + b"\r\n",
    b"HTTP/1.1 200 OK\r\n" + b"x: y\r\n" * 10_000,
    b"hello",
    b"",
)


def control_path(verb: str, name: str = "") -> str:
    """Return the path of a request of a worker or an operator.

    Args:
        verb: `heartbeat`, `deregister`, `begin`, `finish` or `replace`.
        name: Id of the worker, or name of the zone.
    """
    if verb in ("heartbeat", "deregister"):
        return f"/v1/instances/{name}/{verb}"
    if verb in ("begin", "finish"):
        return f"/v1/evacuation/{name}/{verb}"
    return f"/v1/config/{verb}"


def heartbeat(
    address: str, machine: str, sequence: int, clock_ms: int, service: str
) -> dict[str, Any]:
    """Return a heartbeat of a worker of the zone `z`."""
    return {
        "service": service,
        "address": address,
        "machine": machine,
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 8000, "mem_mb": 64000, "gpu": 0},
        "labels": ["a", "r1"],
        "clock_ms": clock_ms,
        "born": 1_700_000_000_000,
        "seq": sequence,
        "cold_remaining_ms": 0,
    }


def poll_answer(clock_ms: int) -> dict[str, Any]:
    """Return an answer to a poll, with two running and two ended runs."""
    return {
        "clock_ms": clock_ms,
        "born": 1_700_000_000_000,
        "running": [
            ["5c0e.0.0.0", 1, "checkpoint", 50, 900],
            ["5c0e.0.0.1", 2, "", 0, 20],
        ],
        "ended_runs": [
            [1, "5c0e.0.0.2", 1, "done", ""],
            [2, "5c0e.0.0.3", 1, "failed", "checkpoint"],
        ],
    }


def job() -> dict[str, Any]:
    """Return a job of two steps."""
    return {
        "spec": "run 0.2",
        "start_at_ms": 0,
        "interval_ms": 1000,
        "repeat_count": 0,
        "steps": [
            {"count": 2, "cpu": 500, "mem_mb": 100, "est_duration_ms": 200},
            {
                "count": 1,
                "cpu": 500,
                "gpu": 0,
                "after": [0],
                "checkpoints": True,
                "gang": False,
                "required_label": "",
                "max_per_server": 0,
                "image": "a",
                "target_ms": 0,
            },
        ],
    }


def configuration(version: int) -> dict[str, Any]:
    """Return a configuration with one queue."""
    return {
        "version": version,
        "routes": [
            {
                "name": "q",
                "host": HOST,
                "path_prefix": PATH_PREFIX,
                "service": SERVICE,
                "priority": 1,
                "max_attempts": 3,
                "stretch": 2.0,
                "target_latency_ms": 1000,
                "timeout_ms": 3000,
            }
        ],
        "services": [{"name": SERVICE, "max_conns": 64}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
