"""Gradual return of a zone that was in evacuation.

Answers the end of an evacuation with much work waiting: without a limit all of
it would start at once on the workers of the zone, which may be cold, and the
tasks would slow each other and the long-running ones that stayed there.
"""

from typing import NamedTuple

from turmerichall.dispatch import worker_state

__all__ = ["RAMP_SECONDS", "Restoration", "start_budget"]

# Time in which the workers of a restored zone are opened for all of their
# capacity; about the time of a short batch task, so that the effect of the
# first starts is known before the last.
RAMP_SECONDS = 3.0
# Share of its capacity for which a worker may get starts at once, and the share
# to which a worker is limited while it says that it is cold.
FIRST_SHARE = 0.25
COLD_SHARE = 0.5


class Restoration(NamedTuple):
    """The return of a zone.

    Attributes:
        restored_seconds: Time since the zone was taken back.
    """

    restored_seconds: float

    @property
    def is_over(self) -> bool:
        """Whether the workers of the zone are used without a limit."""
        return self.restored_seconds >= RAMP_SECONDS

    def share(self, is_cold: bool) -> float:
        """Return the share of its capacity for which a worker may get starts.

        Args:
            is_cold: Whether the worker says that it is still slow.

        Examples:
            >>> [Restoration(t).share(False) for t in (0.0, 1.0, 3.0)]
            [0.25, 0.5, 1.0]
            >>> Restoration(2.9).share(True)
            0.5
        """
        done = min(max(self.restored_seconds / RAMP_SECONDS, 0.0), 1.0)
        share = FIRST_SHARE + (1.0 - FIRST_SHARE) * done
        return min(share, COLD_SHARE) if is_cold else share


def start_budget(
    worker: worker_state.Worker, restoration: Restoration, now: float
) -> float:
    """Return the processors for which runs may still start on a worker.

    Runs that were there before the return don't count.

    Args:
        worker: A worker of the zone.
        restoration: The return of the zone.
        now: Current time on the steady clock.

    Returns:
        Processors in thousandths of a core; infinite without a limit.
    """
    is_cold = now < worker.cold_until
    if restoration.is_over and not is_cold:
        return float("inf")
    began_at = now - restoration.restored_seconds
    started = sum(
        run.step.cpu
        for run in worker.runs.values()
        if not run.confirmed_at or run.confirmed_at >= began_at
    )
    return restoration.share(is_cold) * worker.capacity.cpu - started
