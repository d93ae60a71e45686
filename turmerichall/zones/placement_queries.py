"""Asks the placing authorities what only they know, for operators.

An authority keeps its planner to itself: estimates, throttles and quarantines
are not in the replicated state. Any instance passes an operator's question on
to the holder of the zone's grant.
"""

from typing import Any, NamedTuple, TypeVar

import msgspec
import trio

from turmerichall import outcomes
from turmerichall.backend_servers import dissemination
from turmerichall.placement import inspection
from turmerichall.state import machine as machines
from turmerichall.zones import epoch_state as epoch_states
from turmerichall.zones import scheduler as schedulers

__all__ = ["PlacementQueries", "ZoneStatus"]

JOB_STATUS_CALL = "zones/job_account"
ZONE_STATUS_CALL = "zones/account"
QUERY_TIMEOUT_SECONDS = 1.0

T = TypeVar("T")


class ZoneStatus(NamedTuple):
    """What the authority of a zone tells of its workers and decisions.

    Attributes:
        authority: Instance that tells it.
        epoch: Epoch that it holds.
        workers: Workers that are trusted with less work than others.
        held: Tasks that are throttled or being evicted.
        evictions: Evictions recorded in this epoch, the last ones.
    """

    authority: str
    epoch: int
    workers: tuple[inspection.UnhealthyWorker, ...]
    held: tuple[inspection.RestrictedTask, ...]
    evictions: tuple[epoch_states.RecordedEviction, ...]


class PlacementQueries:
    """This instance's part in questions about placement.

    Attributes:
        name: Name of this instance.
        machine: The replicated state.
        placing: This instance's part in placing.
        links: Connections to the other instances.
    """

    def __init__(
        self,
        name: str,
        machine: machines.StateMachine,
        scheduler: schedulers.ZoneScheduler,
        links: dissemination.Links,
    ):
        self.name = name
        self.machine = machine
        self.scheduler = scheduler
        self.links = links
        links.handle(JOB_STATUS_CALL, self._on_job)
        links.handle(ZONE_STATUS_CALL, self._on_zone)

    async def job_status(
        self, zone: str, job_id: str, forward: bool = True
    ) -> inspection.JobStatus | outcomes.Refusal:
        """Asks the authority of a zone about a job.

        Args:
            zone: The availability zone.
            job_id: The job.
            asks: Whether another instance may be asked.

        Returns:
            What it tells, or why it can't be asked.
        """
        if self._is_authority(zone):
            return self._job_here(zone, job_id) or self._not_held(zone)
        if not forward:
            return _not_asked(zone)
        body = msgspec.msgpack.encode((zone, job_id))
        return await self._ask(
            zone, JOB_STATUS_CALL, body, inspection.JobStatus
        )

    async def zone_status(
        self, zone: str, forward: bool = True
    ) -> ZoneStatus | outcomes.Refusal:
        """Asks the authority of a zone about its workers and decisions.

        Args:
            zone: The availability zone.
            asks: Whether another instance may be asked.

        Returns:
            What it tells, or why it can't be asked.
        """
        if self._is_authority(zone):
            return self._zone_here(zone) or self._not_held(zone)
        if not forward:
            return _not_asked(zone)
        body = msgspec.msgpack.encode(zone)
        return await self._ask(zone, ZONE_STATUS_CALL, body, ZoneStatus)

    def _is_authority(self, zone: str) -> bool:
        return self.machine.grant(zone).holder == self.name

    def _not_held(self, zone: str) -> outcomes.Refusal:
        return outcomes.Refusal(
            outcomes.RefusalReason.WRONG_STATE,
            f"instance {self.name} does not place for zone {zone} yet",
        )

    async def _ask(
        self, zone: str, kind: str, body: bytes, expected: type[T]
    ) -> T | outcomes.Refusal:
        holder = self.machine.grant(zone).holder
        if not holder:
            return outcomes.Refusal(
                outcomes.RefusalReason.UNREACHABLE,
                f"zone {zone} has no placing authority",
            )
        answer = await self.links.call(
            holder, kind, body, QUERY_TIMEOUT_SECONDS
        )
        if isinstance(answer, outcomes.Refusal):
            detail = f"authority {holder} of zone {zone}: {answer.detail}"
            return answer._replace(detail=detail)
        result: Any = msgspec.msgpack.decode(answer, type=expected | None)
        if result is None:
            return outcomes.Refusal(
                outcomes.RefusalReason.WRONG_STATE,
                f"instance {holder} does not place for zone {zone}",
            )
        return result  # type: ignore[no-any-return]

    async def _on_job(self, _: str, body: bytes) -> bytes:
        zone, job_id = msgspec.msgpack.decode(body, type=tuple[str, str])
        return msgspec.msgpack.encode(self._job_here(zone, job_id))

    async def _on_zone(self, _: str, body: bytes) -> bytes:
        zone = msgspec.msgpack.decode(body, type=str)
        return msgspec.msgpack.encode(self._zone_here(zone))

    def _current_epoch_state(self, zone: str) -> epoch_states.EpochState | None:
        """Returns the tenure if this instance places for the zone."""
        epoch_state = self.scheduler.epoch_state
        if zone != self.scheduler.zone or epoch_state is None:
            return None
        return epoch_state if epoch_state.is_current() else None

    def _job_here(self, zone: str, job_id: str) -> inspection.JobStatus | None:
        epoch_state = self._current_epoch_state(zone)
        if epoch_state is None:
            return None
        now = trio.current_time()
        return inspection.job_status(epoch_state.feed.planner, job_id, now)

    def _zone_here(self, zone: str) -> ZoneStatus | None:
        epoch_state = self._current_epoch_state(zone)
        if epoch_state is None:
            return None
        planner = epoch_state.feed.planner
        now = trio.current_time()
        return ZoneStatus(
            self.name,
            epoch_state.epoch,
            inspection.unhealthy_workers(planner, now),
            inspection.restricted_tasks(planner, now),
            tuple(epoch_state.evictions),
        )


def _not_asked(zone: str) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.RefusalReason.WRONG_STATE,
        f"the authority of zone {zone} was not asked; ask with fresh=prefer",
    )
