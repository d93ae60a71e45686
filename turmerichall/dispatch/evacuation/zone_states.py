"""State of the availability zones: serving, in evacuation, or returning.

An operator who evacuates a zone wants nothing more to be started there.  What
runs there goes on: stopping it would cost callers work and take nothing off
the zone that ends soon anyway.  The state is replicated
(`queues.state.QueueState.evacuations`); this module reads it.
"""

from collections.abc import Iterable
from typing import NamedTuple

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.evacuation import restoration
from turmerichall.queues import state as states

__all__ = ["HeldGroup", "ZoneStates", "held_groups", "is_known"]


class HeldGroup(NamedTuple):
    """Tasks that wait for an evacuated zone, since they can run nowhere else.

    Attributes:
        group: The group of waiting tasks.
        zones: Names of the zones in evacuation that have a worker for them.
    """

    group: backlogs.TaskGroup
    zones: tuple[str, ...]


def is_known(
    zone: str, configured: Iterable[str], queue_state: states.QueueState
) -> bool:
    """Return whether a zone is one of the deployment.

    Args:
        zone: Name of the zone.
        configured: Zones that the settings name.
        queue_state: The replicated state.
    """
    return (
        zone in configured
        or zone in queue_state.evacuations
        or zone in queue_state.restored
        or any(worker.zone == zone for worker in queue_state.workers.values())
    )


class ZoneStates:
    """The state of the zones, as the placement of tasks sees it.

    Attributes:
        queue_state: The replicated state.
    """

    def __init__(self, queue_state: states.QueueState):
        self.queue_state = queue_state
        # Whether any worker may differ from one of a zone that always served.
        self._limits_any = True

    def begin_round(
        self,
        workers: Iterable[worker_state.Worker],
        now: float,
        now_ms: int,
    ) -> None:
        """Bring the limits on starts of all workers up to date.

        Args:
            workers: All workers.
            now: Current time on the steady clock.
            now_ms: Current time in ms since 1970.
        """
        evacuations = self.queue_state.evacuations
        restored = self.queue_state.restored
        limits_before = self._limits_any
        self._limits_any = bool(evacuations or restored)
        if not self._limits_any and not limits_before:
            return
        for worker in workers:
            zone = worker.record.zone
            is_evacuated = zone in evacuations
            if worker.evacuated and not is_evacuated:
                # Tasks without room may fit now.
                worker.changed = True
            worker.evacuated = is_evacuated
            if zone not in restored:
                worker.start_budget = float("inf")
                continue
            seconds = max(now_ms - restored[zone], 0) / 1000
            budget = restoration.start_budget(
                worker, restoration.Restoration(seconds), now
            )
            if budget > worker.start_budget:
                worker.changed = True
            worker.start_budget = budget


def held_groups(
    groups: Iterable[backlogs.TaskGroup],
    workers: Iterable[worker_state.Worker],
) -> list[HeldGroup]:
    """Return the waiting groups that can run only in evacuated zones.

    Args:
        groups: Groups with waiting tasks.
        workers: All workers, with their limits up to date.
    """
    by_service: dict[str, list[worker_state.Worker]] = {}
    is_any_evacuated = False
    for worker in workers:
        by_service.setdefault(worker.record.service, []).append(worker)
        is_any_evacuated = is_any_evacuated or worker.evacuated
    if not is_any_evacuated:
        return []
    held = []
    for group in groups:
        able = [
            worker
            for worker in by_service.get(group.queue.service, ())
            if worker.could_ever_run(group.step)
        ]
        if able and all(worker.evacuated for worker in able):
            zones = tuple(sorted({worker.record.zone for worker in able}))
            held.append(HeldGroup(group, zones))
    return held
