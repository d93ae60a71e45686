"""Scenarios of daemons that catch up or recover from log damage."""

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

MISSED_CHANGES = 300
ISOLATION_ELECTIONS = 6
MAX_ELECTION_SECONDS = 5.0
MISSING_BYTES = 7

Harness = harnesses.Harness


async def hundreds_pending(harness: Harness) -> None:
    """Let daemons with and without a disk catch up on hundreds of changes."""
    killed = ("i2", "i5")
    for name in killed:
        await harness.kill(name)
    reviser = harness.load.new_operator("piling")
    target_version = harness.load.accepted_version + MISSED_CHANGES
    while harness.load.accepted_version < target_version:
        await harness.load.revise(reviser)
    for name in killed:
        await harness.restart(name)
    await harness.wait_converged()


async def torn_log(harness: Harness) -> None:
    """Tear the last record of a log as a crash does; its replica recovers."""
    await harness.kill("i1")
    torn_record = records.frame(bytes(100))[:-MISSING_BYTES]
    with open(_log_path(harness, "i1"), "ab") as log:
        log.write(torn_record)
    for _ in range(2):
        await harness.restart("i1")
        assert not await _stop_reason(harness, "i1")
        await _assert_votes(harness, "i1", "i2")
        await harness.kill("i1")
    await harness.restart("i1")


async def damaged_log(harness: Harness) -> None:
    """Corrupt the middle of a log; its replica stops, rejoins when wiped."""
    await harness.kill("i2")
    path = _log_path(harness, "i2")
    content = bytearray(path.read_bytes())
    content[len(content) // 2] ^= 1
    path.write_bytes(content)
    harness.start_daemon("i2")

    async def error_reported() -> bool:
        return "checksum" in await _stop_reason(harness, "i2")

    await harness.wait_until(
        "the replica reports the checksum error", error_reported
    )
    await harness.wait_accepted(2)
    await harness.kill("i2")
    harness.wipe_disk("i2")
    await harness.restart("i2")
    await harness.wait_voters(faulty_cluster.INSTANCES_WITH_DISK)
    await _assert_votes(harness, "i2", "i1")


def _log_path(harness: Harness, name: str) -> pathlib.Path:
    return harness.folder / f"data-{name}" / journal.LOG_NAME


async def _stop_reason(harness: Harness, name: str) -> str:
    """Return why a replica stopped; empty if it runs."""
    status = await harness.status(name)
    return str(status.get("replica", {}).get("stopped", ""))


async def _assert_votes(harness: Harness, name: str, other: str) -> None:
    """Check that a replica votes: without `other`, changes need its vote."""
    await harness.kill(other)
    await harness.wait_accepted(2)
    assert not await _stop_reason(harness, name)
    await harness.restart(other)


async def isolated_long(harness: Harness) -> None:
    """Isolate a replica for several election time-outs.

    It must not raise its term above the leader's.  It is restarted before the
    partition heals and must catch up.
    """
    leader = await harness.wait_leader()
    isolated = next(n for n in ("i1", "i2", "i3") if n != leader)
    harness.partition({isolated})
    for _ in range(ISOLATION_ELECTIONS):
        await trio.sleep(MAX_ELECTION_SECONDS)
        await harness.wait_accepted(1)
    await harness.wait_served(10)
    term = await _term(harness, await harness.wait_leader(isolated))
    assert await _term(harness, isolated) <= term, f"{isolated} raised the term"
    await harness.kill(isolated)
    await harness.restart(isolated)
    harness.heal()
    await harness.wait_converged()


async def _term(harness: Harness, name: str) -> int:
    return int((await harness.status(name))["replica"]["term"])
