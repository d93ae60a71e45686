"""Operators' requests to evacuate an availability zone, and to take it back.

Both are idempotent, and are acknowledged only once they are durable.
"""

from typing import Protocol

from turmerichall import outcomes
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.evacuation import zone_states
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import state as states

__all__ = ["Leader", "begin", "finish"]


class Leader(Protocol):
    """Interface of the leader; `leadership.Leadership` implements it."""

    queue_state: states.QueueState
    workers: dict[str, worker_state.Worker]
    zone_names: tuple[str, ...]
    log: link.Log

    async def commit(
        self, change: changes.Change
    ) -> outcomes.Refusal | outcomes.Unknown | None:
        """Commit a change; return None, or why it failed or is uncertain."""

    def request_placement(self) -> None:
        """Wake up placement."""


def _unknown_zone(leader: Leader, zone: str) -> outcomes.Refusal | None:
    if zone_states.is_known(zone, leader.zone_names, leader.queue_state):
        return None
    return outcomes.Refusal(
        outcomes.RefusalReason.MALFORMED, f"unknown zone {zone!r}"
    )


async def begin(
    leader: Leader, zone: str, now_ms: int
) -> outcomes.Refusal | outcomes.Unknown | None:
    """Put a zone in evacuation: no task starts there any more.

    Args:
        leader: The leader, whose state was confirmed to be current.
        zone: Name of the zone.
        now_ms: Current time in ms since 1970.

    Returns:
        None once this is durable, or the failure.
    """
    refusal = _unknown_zone(leader, zone)
    if refusal is not None or zone in leader.queue_state.evacuations:
        return refusal
    failed = await leader.commit(changes.BeginEvacuation(zone, now_ms))
    if failed is not None:
        return failed
    there = [w for w in leader.workers.values() if w.record.zone == zone]
    leader.log.info(
        "zone evacuation begins",
        zone=zone,
        workers=len(there),
        runs_left=sum(len(worker.runs) for worker in there),
    )
    return None


async def finish(
    leader: Leader, zone: str, now_ms: int
) -> outcomes.Refusal | outcomes.Unknown | None:
    """Take a zone back after its evacuation; see `begin`."""
    refusal = _unknown_zone(leader, zone)
    began_at_ms = leader.queue_state.evacuations.get(zone)
    if refusal is not None or began_at_ms is None:
        return refusal
    failed = await leader.commit(changes.EndEvacuation(zone, now_ms))
    if failed is not None:
        return failed
    leader.log.info(
        "zone evacuation ends", zone=zone, evacuated_ms=now_ms - began_at_ms
    )
    leader.request_placement()
    return None
