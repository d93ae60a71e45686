"""Makes room for work that must not wait, by evicting what can."""

from turmerichall import resources
from turmerichall.customers import customer as customers
from turmerichall.placement import budget
from turmerichall.placement import decisions
from turmerichall.placement import eviction
from turmerichall.placement import fleet as fleets
from turmerichall.placement import occupancy
from turmerichall.placement import quotas as quotas_of_teams
from turmerichall.placement import views
from turmerichall.placement import waiting

__all__ = ["RoomMaker"]

# Room made for a task is not made again for it within this time.
PENDING_SECONDS = 60.0
MAX_VICTIMS = 6


class RoomMaker:
    """Finds the worker on which room costs the least lost work.

    Services displace any batch task, urgent batch work displaces other batch
    work, and work within its team's quota displaces what others borrowed.

    Attributes:
        fleet: The workers.
        quotas: What teams hold.
        budget: Evictions for the sake of batch work that is not urgent.
        pending: When room was last made, by task.
    """

    def __init__(
        self, fleet: fleets.Fleet, quotas: quotas_of_teams.Quotas
    ) -> None:
        self.fleet = fleet
        self.quotas = quotas
        self.pending: dict[str, float] = {}
        self.budget = budget.Budget()

    def make(
        self, task: views.TaskView, now: float
    ) -> list[decisions.EvictDecision]:
        """Evicts batch tasks so that a waiting task will have room.

        Args:
            task: The waiting task.
            now: The caller's monotonic clock, in seconds.

        Returns:
            The evictions; none if room is being made or cannot be made.
        """
        if now < self.pending.get(task.task_id, -1e9) + PENDING_SECONDS:
            return []
        self._forget_old(now)
        best: list[occupancy.Held] = []
        best_lost = float("inf")
        for known in self.fleet.workers.values():
            victims = self._victims(task, known, now)
            lost = sum(eviction.lost_work(held, now) for held in victims)
            if victims and lost < best_lost:
                best, best_lost = victims, lost
        self.pending[task.task_id] = now
        self.budget.refill(len(self.fleet.workers), now)
        if best and not waiting.must_run(task) and not self.budget.take():
            return []
        reason = f"makes room for {task.task_id}"
        return [eviction.evict(held, reason, now) for held in best]

    def _forget_old(self, now: float) -> None:
        if len(self.pending) > 1000:
            self.pending = {
                task_id: at
                for task_id, at in self.pending.items()
                if now < at + PENDING_SECONDS
            }

    def _victims(
        self, task: views.TaskView, known: occupancy.Occupancy, now: float
    ) -> list[occupancy.Held]:
        if not known.takes_work():
            return []
        if task.zones and known.view.zone not in task.zones:
            return []
        if not self.fleet.health.accepts(known.view.name, task, now):
            return []
        size = self.fleet.size_on(task, known)
        free = _free_soon(known)
        chosen: list[occupancy.Held] = []
        yielding = [
            held for held in known.held.values() if self._yields(held, task)
        ]
        yielding.sort(key=lambda held: eviction.lost_work(held, now))
        for held in yielding:
            if size.fits_in(free) or len(chosen) >= MAX_VICTIMS:
                break
            chosen.append(held)
            free = free.plus(held.size)
        return chosen if size.fits_in(free) else []

    def _yields(self, held: occupancy.Held, task: views.TaskView) -> bool:
        if held.task.service or held.evicting_at is not None:
            return False
        if held.started_at is None:
            return False
        if task.service:
            return True
        if held.task.urgency == customers.Urgency.URGENT:
            return False
        if task.urgency == customers.Urgency.URGENT:
            return True
        team = held.task.team
        return team != task.team and self.quotas.borrows(
            team, resources.NOTHING
        )


def _free_soon(known: occupancy.Occupancy) -> resources.Resources:
    """Returns the free capacity once all evictions under way have ended."""
    free = known.free
    for held in known.held.values():
        if held.evicting_at is not None:
            free = free.plus(held.size)
    return free
