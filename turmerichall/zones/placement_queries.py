"""Queries about placement that only a zone's authority can answer.

The state of the planner, such as estimates, throttles and quarantines, is not
replicated.  So every instance forwards the queries of operators to the holder
of the zone's grant.
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
    """The status of a zone, as its placement authority reports it.

    Attributes:
        authority: Name of the instance that is the authority.
        epoch: Epoch of the grant that it holds.
        workers: Workers that get less work because of failures.
        held: Tasks that are throttled or being evicted.
        evictions: The latest evictions that were recorded in this epoch.
    """

    authority: str
    epoch: int
    workers: tuple[inspection.UnhealthyWorker, ...]
    held: tuple[inspection.RestrictedTask, ...]
    evictions: tuple[epoch_states.RecordedEviction, ...]


class PlacementQueries:
    """Answers queries about placement, or forwards them to the authority.

    Attributes:
        name: Name of this instance.
        machine: The replicated state.
        scheduler: The scheduler of this instance's zone.
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
        """Return the status of a job in one zone.

        Args:
            zone: The availability zone.
            job_id: Id of the job.
            forward: Whether the query may be sent to another instance.

        Returns:
            The status that the zone's authority reports, or why there is none.
        """
        if self._is_authority(zone):
            return self._local_job_status(zone, job_id) or self._not_authority(
                zone
            )
        if not forward:
            return _not_forwarded(zone)
        body = msgspec.msgpack.encode((zone, job_id))
        return await self._forward(
            zone, JOB_STATUS_CALL, body, inspection.JobStatus
        )

    async def zone_status(
        self, zone: str, forward: bool = True
    ) -> ZoneStatus | outcomes.Refusal:
        """Return the status of the workers and of the placement in one zone.

        Args:
            zone: The availability zone.
            forward: Whether the query may be sent to another instance.

        Returns:
            The status that the zone's authority reports, or why there is none.
        """
        if self._is_authority(zone):
            return self._local_zone_status(zone) or self._not_authority(zone)
        if not forward:
            return _not_forwarded(zone)
        body = msgspec.msgpack.encode(zone)
        return await self._forward(zone, ZONE_STATUS_CALL, body, ZoneStatus)

    def _is_authority(self, zone: str) -> bool:
        return self.machine.grant(zone).holder == self.name

    def _not_authority(self, zone: str) -> outcomes.Refusal:
        return outcomes.Refusal(
            outcomes.RefusalReason.WRONG_STATE,
            f"instance {self.name} is not the authority of zone {zone} yet",
        )

    async def _forward(
        self, zone: str, kind: str, body: bytes, expected: type[T]
    ) -> T | outcomes.Refusal:
        holder = self.machine.grant(zone).holder
        if not holder:
            return outcomes.Refusal(
                outcomes.RefusalReason.UNREACHABLE,
                f"zone {zone} has no placement authority",
            )
        answer = await self.links.call(
            holder, kind, body, QUERY_TIMEOUT_SECONDS
        )
        if isinstance(answer, outcomes.Refusal):
            detail = f"authority {holder} of zone {zone}: {answer.detail}"
            return answer._replace(detail=detail)
        status: Any = msgspec.msgpack.decode(answer, type=expected | None)
        if status is None:
            return outcomes.Refusal(
                outcomes.RefusalReason.WRONG_STATE,
                f"instance {holder} is not the authority of zone {zone}",
            )
        return status  # type: ignore[no-any-return]

    async def _on_job(self, _: str, body: bytes) -> bytes:
        zone, job_id = msgspec.msgpack.decode(body, type=tuple[str, str])
        return msgspec.msgpack.encode(self._local_job_status(zone, job_id))

    async def _on_zone(self, _: str, body: bytes) -> bytes:
        zone = msgspec.msgpack.decode(body, type=str)
        return msgspec.msgpack.encode(self._local_zone_status(zone))

    def _current_epoch_state(self, zone: str) -> epoch_states.EpochState | None:
        """Return the state of the held epoch; None if not the authority."""
        epoch_state = self.scheduler.epoch_state
        if zone != self.scheduler.zone or epoch_state is None:
            return None
        return epoch_state if epoch_state.is_current() else None

    def _local_job_status(
        self, zone: str, job_id: str
    ) -> inspection.JobStatus | None:
        epoch_state = self._current_epoch_state(zone)
        if epoch_state is None:
            return None
        now = trio.current_time()
        return inspection.job_status(epoch_state.feed.planner, job_id, now)

    def _local_zone_status(self, zone: str) -> ZoneStatus | None:
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


def _not_forwarded(zone: str) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.RefusalReason.WRONG_STATE,
        f"the authority of zone {zone} was not asked; use fresh=prefer",
    )
