"""Request-path faults against real daemons and workers behind proxies."""

import pathlib
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

import httpcore
import msgspec
import pytest
import trio

from turmerichall.gateway import request_id as request_ids
from turmerichall.tests import harness as harnesses
from turmerichall.tests import load as loads
from turmerichall.tests.standins import proxy

PATH = f"/v1/requests/{loads.CUSTOMER}/{loads.SERVICE}"
REQUESTS_PER_WAVE = 60
LARGE_BYTES = 4_000_000
DEADLINE_MS = "4000"

Harness = harnesses.Harness


async def _send(
    address: str, sent_id: str, idempotent: bool
) -> tuple[int, dict[str, Any]]:
    """Send a request; status 0 if no complete response arrived."""
    headers = [
        ("Turmerichall-Request-Id", sent_id),
        ("Turmerichall-Idempotent", "true" if idempotent else "false"),
        ("Turmerichall-Deadline-Ms", DEADLINE_MS),
    ]
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            response = await pool.request(
                "POST",
                f"http://{address}{PATH}",
                headers=headers,
                content=sent_id.encode(),
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return 0, {}
    return response.status, msgspec.json.decode(response.content)


def _caller_addresses(harness: Harness) -> list[str]:
    return [instance.callers for instance in harness.instances.values()]


def _count_runs(harness: Harness) -> dict[str, int]:
    """Return how often each request was started by a worker."""
    counts: dict[str, int] = {}
    for name in harness.worker_names():
        for record in harness.read_trail(name):
            if record.event == "request_start":
                sent_id = record.fields["request"]
                counts[sent_id] = counts.get(sent_id, 0) + 1
    return counts


async def _set_workers(harness: Harness, **behaviour: Any) -> None:
    for name in harness.worker_names():
        await harness.set_worker_faults(name, behaviour)


def _set_links(harness: Harness, link_faults: proxy.LinkFaults) -> None:
    for name, link in harness.proxies.items():
        if name.startswith("worker:"):
            link.set_faults(link_faults)


async def reset_mid_request(harness: Harness) -> None:
    """Reset connections to workers while requests run."""
    await _set_workers(harness, slow_seconds=0.3)
    for _ in range(5):
        await trio.sleep(0.2)
        for name, link in harness.proxies.items():
            if name.startswith("worker:"):
                link.reset_connections()
    await _set_workers(harness)
    await harness.wait_served(20)


async def reset_mid_answer(harness: Harness) -> None:
    """Reset connections to workers in the middle of a response."""
    _set_links(harness, proxy.LinkFaults(reset_after_bytes=200))
    await trio.sleep(2.0)
    harness.heal()
    await harness.wait_served(20)


async def slow_server(harness: Harness) -> None:
    """Let one worker be slow; requests must still be served."""
    await harness.set_worker_faults("w1", {"slow_seconds": 1.0})
    await harness.wait_served(40)
    await harness.set_worker_faults("w1", {})


async def _send_without_reading(address: str) -> None:
    """Send a request for a large response and read no byte of it."""
    host, _, port = address.rpartition(":")
    head = (
        f"POST {PATH} HTTP/1.1\r\nHost: {address}\r\n"
        f"Turmerichall-Request-Id: {request_ids.make()}\r\n"
        "Turmerichall-Idempotent: true\r\n"
        f"Content-Length: {LARGE_BYTES}\r\n\r\n"
    )
    stream = await trio.open_tcp_stream(host, int(port))
    async with stream:
        await stream.send_all(head.encode() + b"x" * LARGE_BYTES)
        await trio.sleep_forever()


async def slow_caller(harness: Harness) -> None:
    """Let callers not read their responses; others must be served."""
    async with trio.open_nursery() as nursery:
        for address in _caller_addresses(harness) * 3:
            nursery.start_soon(_send_without_reading, address)
        await harness.wait_served(40)
        nursery.cancel_scope.cancel()
    await harness.wait_served(20)


async def disconnect_many_callers(harness: Harness) -> None:
    """Disconnect callers while their requests run; others must be served."""
    await _set_workers(harness, slow_seconds=1.0)
    with trio.move_on_after(0.7):
        async with trio.open_nursery() as nursery:
            for number in range(REQUESTS_PER_WAVE):
                address = _caller_addresses(harness)[number % 6]
                sent_id = request_ids.make()
                nursery.start_soon(_send, address, sent_id, number % 2 == 0)
    await _set_workers(harness)
    await harness.wait_served(30)


async def retry_storm(harness: Harness) -> None:
    """Let every request fail; retries must stay within the budget."""
    await _set_workers(harness, error=True)
    sent_ids = [request_ids.make() for _ in range(4 * REQUESTS_PER_WAVE)]
    async with trio.open_nursery() as nursery:
        for number, sent_id in enumerate(sent_ids):
            address = _caller_addresses(harness)[number % 6]
            nursery.start_soon(_send, address, sent_id, True)
            await trio.sleep(0.01)
    await _set_workers(harness)
    run_counts = _count_runs(harness)
    total_burst = 6 * 10
    max_runs = len(sent_ids) * 1.1 + total_burst
    assert sum(run_counts.get(sent_id, 0) for sent_id in sent_ids) <= max_runs
    await harness.wait_served(20)


async def many_callers(harness: Harness) -> None:
    """Send more requests than there are slots.

    No worker may refuse a request for lack of a slot.
    """
    await _set_workers(harness, slow_seconds=0.1)
    async with trio.open_nursery() as nursery:
        for number in range(5 * REQUESTS_PER_WAVE):
            address = _caller_addresses(harness)[number % 6]
            sent_id = request_ids.make()
            nursery.start_soon(_send, address, sent_id, number % 2 == 0)
            await trio.sleep(0.005)
    await _set_workers(harness)
    refused = [
        record
        for name in harness.worker_names()
        for record in harness.read_trail(name)
        if record.event == "request_refused"
        and "slots" in record.fields["detail"]
    ]
    assert not refused


async def resend_after_instance_crash(harness: Harness) -> None:
    """Kill an instance with requests in progress and resend them elsewhere."""
    await _set_workers(harness, slow_seconds=0.5)
    sent_ids = [request_ids.make() for _ in range(20)]
    addresses = _caller_addresses(harness)
    async with trio.open_nursery() as nursery:
        for sent_id in sent_ids:
            nursery.start_soon(_send, addresses[0], sent_id, False)
        await trio.sleep(0.4)
        await harness.kill("i1")
        for number, sent_id in enumerate(sent_ids):
            address = addresses[1 + number % 5]
            nursery.start_soon(_send, address, sent_id, False)
    await _set_workers(harness)
    run_counts = _count_runs(harness)
    assert any(run_counts.get(sent_id) for sent_id in sent_ids)
    assert not [
        sent_id for sent_id in sent_ids if run_counts.get(sent_id, 0) > 1
    ]
    await harness.restart("i1")


async def frozen_worker(harness: Harness) -> None:
    """Stop a worker's process for a while; requests must get an outcome."""
    harness.send_signal("w1", signal.SIGSTOP)
    await harness.wait_served(30)
    harness.send_signal("w1", signal.SIGCONT)


class Fault(NamedTuple):
    """One row of the fault table.

    Attributes:
        run: Injects the fault and repairs it.
    """

    run: Callable[[Harness], Awaitable[None]]


FAULTS = (
    Fault(many_callers),
    Fault(slow_server),
    Fault(slow_caller),
    Fault(reset_mid_request),
    Fault(reset_mid_answer),
    Fault(disconnect_many_callers),
    Fault(retry_storm),
    Fault(frozen_worker),
    Fault(resend_after_instance_crash),
)


@pytest.fixture(name="harness")
async def _harness(tmp_path: pathlib.Path) -> AsyncIterator[Harness]:
    async with trio.open_nursery() as nursery:
        harness = harnesses.Harness(tmp_path, nursery)
        try:
            await harness.start()
            yield harness
        finally:
            harness.kill_all()
            nursery.cancel_scope.cancel()


class TestFaultTable:

    async def test_no_fault_breaks_the_guarantees_to_callers(
        self, harness: Harness
    ) -> None:
        await harness.wait_served(10)
        for fault in FAULTS:
            await fault.run(harness)
            violations = await harness.audit()
            assert not violations, (fault.run.__name__, violations)
