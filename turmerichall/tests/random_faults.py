"""Pairs of faults, drawn from a table by the seed of the cluster."""

import signal
from collections.abc import Awaitable, Callable

from turmerichall.tests import harness as harnesses

__all__ = ["FAULTS", "drawn_pairs"]

PAIRS = 3
SERVED_REQUESTS = 10

Harness = harnesses.Harness
Repair = Callable[[], Awaitable[object]]


async def killed_replica(harness: Harness) -> Repair:
    """Kills a daemon with a disk."""
    await harness.kill("i1")
    return lambda: harness.restart("i1")


async def killed_observer(harness: Harness) -> Repair:
    """Kills a daemon without a disk."""
    await harness.kill("i4")
    return lambda: harness.restart("i4")


async def stopped_daemon(harness: Harness) -> Repair:
    """Stops a daemon as planned."""
    assert await harness.stop("i6") == 0
    return lambda: harness.restart("i6")


async def frozen_daemon(harness: Harness) -> Repair:
    """Stops a daemon in its tracks."""
    return _freeze(harness, "i5")


async def frozen_worker(harness: Harness) -> Repair:
    """Stops a worker in its tracks."""
    return _freeze(harness, "w2")


def _freeze(harness: Harness, name: str) -> Repair:
    harness.send_signal(name, signal.SIGSTOP)

    async def go_on() -> None:
        harness.send_signal(name, signal.SIGCONT)

    return go_on


async def killed_worker(harness: Harness) -> Repair:
    """Kills a worker."""
    await harness.kill("w1")
    return lambda: harness.start_standin("w1")


async def failing_worker(harness: Harness) -> Repair:
    """Has a worker fail all that it starts, and answer for others."""
    shown = {"fail_starts": True, "wrong_request_id": True}
    await harness.set_worker_faults("w3", shown)
    return lambda: harness.set_worker_faults("w3", {})


async def cut_zone(harness: Harness) -> Repair:
    """Cuts a zone off."""
    harness.cut_zone("z3")
    return _heal(harness)


async def cut_one_way(harness: Harness) -> Repair:
    """Drops what one replica sends to another."""
    harness.cut_one_way("i2", "i3")
    return _heal(harness)


async def silent_connections(harness: Harness) -> Repair:
    """Makes all open connections silent for good."""
    harness.silence_connections()
    return _heal(harness)


def _heal(harness: Harness) -> Repair:
    async def heal() -> None:
        harness.heal()

    return heal


FAULTS = (
    killed_replica,
    killed_observer,
    stopped_daemon,
    frozen_daemon,
    frozen_worker,
    killed_worker,
    failing_worker,
    cut_zone,
    cut_one_way,
    silent_connections,
)


async def drawn_pairs(harness: Harness) -> None:
    """Two faults at once, several times; work goes on after the repair."""
    for _ in range(PAIRS):
        pair = harness.random.sample(FAULTS, 2)
        print("faults:", *(fault.__name__ for fault in pair))
        repairs = [await fault(harness) for fault in pair]
        await harness.wait_served(SERVED_REQUESTS)
        for repair in repairs:
            await repair()
        await harness.wait_accepted(2)
        await harness.settle()
