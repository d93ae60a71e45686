"""Request-path faults against real daemons and workers behind proxies."""

import pathlib
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

import httpcore
import msgspec
import pytest
import trio

from turmerichall.gateway import request_id
from turmerichall.tests import harness as harnesses
from turmerichall.tests import load as loads
from turmerichall.tests.standins import proxy

PATH = f"/v1/requests/{loads.CUSTOMER}/{loads.SERVICE}"
WAVE = 60
LARGE_BYTES = 4_000_000
DEADLINE_MS = "4000"

Harness = harnesses.Harness


async def _send(
    address: str, text: str, idempotent: bool
) -> tuple[int, dict[str, Any]]:
    """Sends a request; status 0 if no whole answer came."""
    headers = [
        ("Turmerichall-Request-Id", text),
        ("Turmerichall-Idempotent", "true" if idempotent else "false"),
        ("Turmerichall-Deadline-Ms", DEADLINE_MS),
    ]
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            answer = await pool.request(
                "POST",
                f"http://{address}{PATH}",
                headers=headers,
                content=text.encode(),
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return 0, {}
    return answer.status, msgspec.json.decode(answer.content)


def _callers(harness: Harness) -> list[str]:
    return [held.callers for held in harness.instances.values()]


def _runs(harness: Harness) -> dict[str, int]:
    """Returns how often each request was started by a worker."""
    found: dict[str, int] = {}
    for name in harness.worker_names():
        for record in harness.trail_of(name):
            if record.event == "request_start":
                text = record.fields["request"]
                found[text] = found.get(text, 0) + 1
    return found


async def _set_workers(harness: Harness, **shown: Any) -> None:
    for name in harness.worker_names():
        await harness.switch_faults(name, shown)


def _set_links(harness: Harness, faults: proxy.LinkFaults) -> None:
    for name, made in harness.proxies.items():
        if name.startswith("worker:"):
            made.set(faults)


async def reset_mid_request(harness: Harness) -> None:
    """Connections to workers are reset while requests run."""
    await _set_workers(harness, slow_seconds=0.3)
    for _ in range(5):
        await trio.sleep(0.2)
        for name, made in harness.proxies.items():
            if name.startswith("worker:"):
                made.reset_open()
    await _set_workers(harness)
    await harness.wait_served(20)


async def reset_mid_answer(harness: Harness) -> None:
    """Connections to workers are reset within an answer."""
    _set_links(harness, proxy.LinkFaults(reset_after_bytes=200))
    await trio.sleep(2.0)
    harness.heal()
    await harness.wait_served(20)


async def slow_server(harness: Harness) -> None:
    """One worker takes long; requests go on being answered."""
    await harness.switch_faults("w1", {"slow_seconds": 1.0})
    await harness.wait_served(40)
    await harness.switch_faults("w1", {})


async def _send_and_take_nothing(address: str) -> None:
    """Sends a request for a large answer and reads no byte of it."""
    host, _, port = address.rpartition(":")
    head = (
        f"POST {PATH} HTTP/1.1\r\nHost: {address}\r\n"
        f"Turmerichall-Request-Id: {request_id.make()}\r\n"
        "Turmerichall-Idempotent: true\r\n"
        f"Content-Length: {LARGE_BYTES}\r\n\r\n"
    )
    stream = await trio.open_tcp_stream(host, int(port))
    async with stream:
        await stream.send_all(head.encode() + b"x" * LARGE_BYTES)
        await trio.sleep_forever()


async def slow_caller(harness: Harness) -> None:
    """Callers take nothing of their answers; others are served."""
    async with trio.open_nursery() as nursery:
        for address in _callers(harness) * 3:
            nursery.start_soon(_send_and_take_nothing, address)
        await harness.wait_served(40)
        nursery.cancel_scope.cancel()
    await harness.wait_served(20)


async def cancel_wave(harness: Harness) -> None:
    """Many callers leave while their requests run; others are served."""
    await _set_workers(harness, slow_seconds=1.0)
    with trio.move_on_after(0.7):
        async with trio.open_nursery() as nursery:
            for number in range(WAVE):
                address = _callers(harness)[number % 6]
                text = request_id.make()
                nursery.start_soon(_send, address, text, number % 2 == 0)
    await _set_workers(harness)
    await harness.wait_served(30)


async def retry_storm(harness: Harness) -> None:
    """Every worker fails every request; retries stay within the budget."""
    await _set_workers(harness, error=True)
    sent = [request_id.make() for _ in range(4 * WAVE)]
    async with trio.open_nursery() as nursery:
        for number, text in enumerate(sent):
            address = _callers(harness)[number % 6]
            nursery.start_soon(_send, address, text, True)
            await trio.sleep(0.01)
    await _set_workers(harness)
    runs = _runs(harness)
    burst_of_all_instances = 6 * 10
    most = len(sent) * 1.1 + burst_of_all_instances
    assert sum(runs.get(text, 0) for text in sent) <= most
    await harness.wait_served(20)


async def many_callers(harness: Harness) -> None:
    """More callers at once than there are slots; the audit counts."""
    await _set_workers(harness, slow_seconds=0.1)
    async with trio.open_nursery() as nursery:
        for number in range(5 * WAVE):
            address = _callers(harness)[number % 6]
            text = request_id.make()
            nursery.start_soon(_send, address, text, number % 2 == 0)
            await trio.sleep(0.005)
    await _set_workers(harness)
    refused = [
        record
        for name in harness.worker_names()
        for record in harness.trail_of(name)
        if record.event == "request_refused"
        and "slots" in record.fields["detail"]
    ]
    assert not refused


async def resend_after_a_death(harness: Harness) -> None:
    """An instance dies with requests under way; callers send them again."""
    await _set_workers(harness, slow_seconds=0.5)
    sent = [request_id.make() for _ in range(20)]
    addresses = _callers(harness)
    async with trio.open_nursery() as nursery:
        for text in sent:
            nursery.start_soon(_send, addresses[0], text, False)
        await trio.sleep(0.4)
        await harness.kill("i1")
        for number, text in enumerate(sent):
            address = addresses[1 + number % 5]
            nursery.start_soon(_send, address, text, False)
    await _set_workers(harness)
    runs = _runs(harness)
    assert any(runs.get(text) for text in sent)
    assert not [text for text in sent if runs.get(text, 0) > 1]
    await harness.restart("i1")


async def frozen_worker(harness: Harness) -> None:
    """A worker stops for a while; requests get their outcome."""
    harness.send_signal("w1", signal.SIGSTOP)
    await harness.wait_served(30)
    harness.send_signal("w1", signal.SIGCONT)


class Fault(NamedTuple):
    """One line of the fault table.

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
    Fault(cancel_wave),
    Fault(retry_storm),
    Fault(frozen_worker),
    Fault(resend_after_a_death),
)


@pytest.fixture(name="harness")
async def _harness(tmp_path: pathlib.Path) -> AsyncIterator[Harness]:
    async with trio.open_nursery() as nursery:
        made = harnesses.Harness(tmp_path, nursery)
        try:
            await made.start()
            yield made
        finally:
            made.kill_all()
            nursery.cancel_scope.cancel()


class TestFaultTable:

    async def test_every_fault_keeps_the_promises_to_callers(
        self, harness: Harness
    ) -> None:
        await harness.wait_served(10)
        for fault in FAULTS:
            await fault.run(harness)
            found = await harness.audit()
            assert not found, (fault.run.__name__, found)
