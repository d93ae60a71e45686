"""Random pairs of faults, chosen with the seed of the cluster."""

import signal
from collections.abc import Awaitable, Callable

from turmerichall.tests import harness as harnesses

__all__ = ["FAULTS", "drawn_pairs"]

PAIR_COUNT = 3
SERVED_REQUESTS = 10

Harness = harnesses.Harness
Repair = Callable[[], Awaitable[object]]


async def killed_replica(harness: Harness) -> Repair:
    """Kill a daemon with a disk."""
    await harness.kill("i1")
    return lambda: harness.restart("i1")


async def killed_observer(harness: Harness) -> Repair:
    """Kill a daemon without a disk."""
    await harness.kill("i4")
    return lambda: harness.restart("i4")


async def stopped_daemon(harness: Harness) -> Repair:
    """Shut a daemon down gracefully."""
    assert await harness.stop("i6") == 0
    return lambda: harness.restart("i6")


async def frozen_daemon(harness: Harness) -> Repair:
    """Pause the process of a daemon."""
    return _freeze(harness, "i5")


async def frozen_worker(harness: Harness) -> Repair:
    """Pause the process of a worker."""
    return _freeze(harness, "w2")


def _freeze(harness: Harness, name: str) -> Repair:
    harness.send_signal(name, signal.SIGSTOP)

    async def resume() -> None:
        harness.send_signal(name, signal.SIGCONT)

    return resume


async def killed_worker(harness: Harness) -> Repair:
    """Kill a worker."""
    await harness.kill("w1")
    return lambda: harness.start_proxied_worker("w1")


async def failing_worker(harness: Harness) -> Repair:
    """Make a worker fail every start and answer with wrong request ids."""
    faults = {"fail_starts": True, "wrong_request_id": True}
    await harness.set_worker_faults("w3", faults)
    return lambda: harness.set_worker_faults("w3", {})


async def partition_zone(harness: Harness) -> Repair:
    """Partition a zone from the others."""
    harness.partition_zone("z3")
    return _heal_links(harness)


async def partition_one_way(harness: Harness) -> Repair:
    """Block traffic from one replica to another in one direction."""
    harness.partition_one_way("i2", "i3")
    return _heal_links(harness)


async def silent_connections(harness: Harness) -> Repair:
    """Make all open connections go silent for good."""
    harness.silence_connections()
    return _heal_links(harness)


def _heal_links(harness: Harness) -> Repair:
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
    partition_zone,
    partition_one_way,
    silent_connections,
)


async def drawn_pairs(harness: Harness) -> None:
    """Inject and repair two random faults at once, several times."""
    for _ in range(PAIR_COUNT):
        pair = harness.random.sample(FAULTS, 2)
        print("faults:", *(fault.__name__ for fault in pair))
        repairs = [await fault(harness) for fault in pair]
        await harness.wait_served(SERVED_REQUESTS)
        for repair in repairs:
            await repair()
        await harness.wait_accepted(2)
        await harness.quiesce()
