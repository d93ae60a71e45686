"""Scenarios about what a daemon knows after it was away or its disk failed."""

import pathlib

import trio

from turmerichall.storage import journal
from turmerichall.storage import records
from turmerichall.tests import faulty_cluster
from turmerichall.tests import harness as harnesses

__all__ = [
    "damaged_log",
    "hundreds_pending",
    "isolated_long",
    "torn_log",
]

PENDING_CHANGES = 300
ISOLATED_ELECTIONS = 6
LONGEST_ELECTION_SECONDS = 5.0
TORN_BYTES = 7

Harness = harnesses.Harness


async def hundreds_pending(harness: Harness) -> None:
    """Daemons with and without a disk miss hundreds of changes."""
    away = ("i2", "i5")
    for name in away:
        await harness.kill(name)
    reviser = harness.load.new_operator("piling")
    wanted = harness.load.accepted_version + PENDING_CHANGES
    while harness.load.accepted_version < wanted:
        await harness.load.revise(reviser)
    for name in away:
        await harness.restart(name)
    await harness.wait_alike()


async def torn_log(harness: Harness) -> None:
    """A crash cuts the last record of a log short; the replica goes on."""
    await harness.kill("i1")
    torn = records.frame(bytes(100))[:-TORN_BYTES]
    with open(_log_of(harness, "i1"), "ab") as log:
        log.write(torn)
    for _ in range(2):
        await harness.restart("i1")
        assert not await _stopped(harness, "i1")
        await _check_votes(harness, "i1", "i2")
        await harness.kill("i1")
    await harness.restart("i1")


async def damaged_log(harness: Harness) -> None:
    """A log is damaged in its middle; the disk is replaced after that."""
    await harness.kill("i2")
    path = _log_of(harness, "i2")
    content = bytearray(path.read_bytes())
    content[len(content) // 2] ^= 1
    path.write_bytes(content)
    harness.start_daemon("i2")

    async def told() -> bool:
        return "checksum" in await _stopped(harness, "i2")

    await harness.wait("the damage is told", told)
    await harness.wait_accepted(2)
    await harness.kill("i2")
    harness.lose_disk("i2")
    await harness.restart("i2")
    await harness.wait_voters(faulty_cluster.DISKS)
    await _check_votes(harness, "i2", "i1")


def _log_of(harness: Harness, name: str) -> pathlib.Path:
    return harness.folder / f"data-{name}" / journal.LOG_NAME


async def _stopped(harness: Harness, name: str) -> str:
    """Returns why a replica stopped, or nothing."""
    shown = await harness.status(name)
    return str(shown.get("replica", {}).get("stopped", ""))


async def _check_votes(harness: Harness, name: str, other: str) -> None:
    """Has changes accepted that need the vote of a replica."""
    await harness.kill(other)
    await harness.wait_accepted(2)
    assert not await _stopped(harness, name)
    await harness.restart(other)


async def isolated_long(harness: Harness) -> None:
    """A replica is alone for many elections' time, restarts, and is back."""
    leader = await harness.wait_leader()
    alone = next(n for n in ("i1", "i2", "i3") if n != leader)
    harness.cut_off({alone})
    for _ in range(ISOLATED_ELECTIONS):
        await trio.sleep(LONGEST_ELECTION_SECONDS)
        await harness.wait_accepted(1)
    await harness.wait_served(10)
    term = await _term(harness, await harness.wait_leader(alone))
    assert await _term(harness, alone) <= term, f"{alone} raised the term"
    await harness.kill(alone)
    await harness.restart(alone)
    harness.heal()
    await harness.wait_alike()


async def _term(harness: Harness, name: str) -> int:
    return int((await harness.status(name))["replica"]["term"])
