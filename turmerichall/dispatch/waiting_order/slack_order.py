"""Order of waiting groups by the time left to their job's objective."""

from collections.abc import Sequence

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import ranking
from turmerichall.dispatch.waiting_order import order
from turmerichall.queues import state as states

__all__ = ["MAX_PAUSE_SECONDS", "SlackOrder"]

# Time for which a preempted long-running task may wait while urgent tasks get
# room before it.  The platform reports a task as lost 9 s after its last run.
MAX_PAUSE_SECONDS = 4.0


class SlackOrder:
    """An `order.WaitingOrder` by slack; see `ranking.rank`.

    Attributes:
        queue_state: The replicated state.
    """

    def __init__(self, queue_state: states.QueueState):
        self.queue_state = queue_state

    def ranked(
        self, groups: Sequence[backlogs.TaskGroup], now: float, now_ms: int
    ) -> list[order.RankedGroup]:
        """See `order.WaitingOrder`."""
        return sorted(
            order.RankedGroup(
                ranking.rank(self.factors(group, now, now_ms)), number, group
            )
            for number, group in enumerate(groups)
        )

    def factors(
        self, group: backlogs.TaskGroup, now: float, now_ms: int
    ) -> ranking.Factors:
        """Return the factors of a group's rank, with its queue up to date."""
        queue = self.queue_state.queues[group.job.queue]
        group.queue = queue
        step = group.step
        group.waiting_since = min(group.waiting_since, now)
        return ranking.Factors(
            queue.priority,
            step.lasting,
            step.lasting and group.job.started,
            group.preempted_seconds(now) > MAX_PAUSE_SECONDS,
            now - group.waiting_since,
            (now_ms - group.began_at_ms) / 1000,
            queue.objective_seconds(group.critical_path_seconds),
            step.estimate_ms / 1000,
        )
