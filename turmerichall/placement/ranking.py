"""Orders of workers by cost, brought up to date only where something changed.

A choice rescores the workers that changed since the shape was last asked for,
not all of them; the cheapest is checked again before it is given out, since
estimates also change without a change of the worker.
"""

from collections.abc import Callable, Iterator

import sortedcontainers

from turmerichall.placement import waiting

__all__ = ["Ranking", "Rankings"]

MAX_RANKINGS = 256
MAX_RECHECKS = 8
TOLERANCE = 0.02
BEST_COST_SMOOTHING = 0.05
REFRESH_SECONDS = 10.0

CostOf = Callable[[str], float | None]


class Ranking:
    """Workers that a shape fits on, by cost.

    Attributes:
        costs: Cost by worker; one that does not fit is missing.
        order: Costs and workers, cheapest first.
        changed: Workers that changed since their cost was found.
        typical_cost: Smoothed cost of the cheapest worker; None before the first.
        rejected_by_policy: Workers that have room, which is kept for their services.
    """

    def __init__(self, workers: list[str]) -> None:
        self.costs: dict[str, float] = {}
        self.order = sortedcontainers.SortedList()
        self.changed: dict[str, None] = dict.fromkeys(workers)
        self.typical_cost: float | None = None
        self.rejected_by_policy: set[str] = set()

    def cheapest(self, cost_of: CostOf) -> Iterator[str]:
        """Yields workers from the cheapest on.

        Args:
            cost_of: Finds the cost of a worker; None if the shape does not
                fit.
        """
        self.refresh(cost_of)
        checks = MAX_RECHECKS
        position = 0
        while position < len(self.order):
            cost, name = self.order[position]
            if checks > 0:
                checks -= 1
                fresh = self._rescore(name, cost_of)
                if fresh is None or fresh > cost + TOLERANCE:
                    continue
            yield name
            position += 1

    def is_near_best(self, cost: float) -> bool:
        """Tells whether a cheapest cost is at most what is usual."""
        if self.typical_cost is None:
            self.typical_cost = cost
        is_near_best = cost <= self.typical_cost + TOLERANCE
        self.typical_cost += BEST_COST_SMOOTHING * (cost - self.typical_cost)
        return is_near_best

    def refresh(self, cost_of: CostOf) -> None:
        """Finds the costs of changed workers."""
        changed = self.changed
        self.changed = {}
        for name in changed:
            self._rescore(name, cost_of)

    def _rescore(self, name: str, cost_of: CostOf) -> float | None:
        before = self.costs.pop(name, None)
        if before is not None:
            self.order.remove((before, name))
        cost = cost_of(name)
        if cost is not None:
            self.costs[name] = cost
            self.order.add((cost, name))
        return cost


class Rankings:
    """Rankings by shape.

    Attributes:
        shapes: The rankings, the one asked for longest ago first.
        invalidated_at: When workers were last marked by `invalidate_next`.
        position: Worker that `invalidate_next` marked last.
    """

    def __init__(self) -> None:
        self.shapes: dict[waiting.Shape, Ranking] = {}
        self.invalidated_at = 0.0
        self.position = -1

    def invalidate(self, worker: str) -> None:
        """Notes that a worker changed."""
        for ranking in self.shapes.values():
            ranking.changed[worker] = None

    def invalidate_next(self, workers: list[str], now: float) -> None:
        """Marks a part of the workers, so that no cost grows old.

        Args:
            workers: All workers.
            now: The caller's monotonic clock, in seconds.
        """
        due = len(workers) * (now - self.invalidated_at) / REFRESH_SECONDS
        if due < 1:
            return
        self.invalidated_at = now
        for _ in range(min(int(due), len(workers))):
            self.position = (self.position + 1) % len(workers)
            self.invalidate(workers[self.position])

    def for_shape(self, shape: waiting.Shape, workers: list[str]) -> Ranking:
        """Returns the ranking of a shape.

        Args:
            shape: The shape.
            workers: All workers, for a shape not asked for before.
        """
        found = self.shapes.pop(shape, None)
        if found is None:
            found = Ranking(workers)
        self.shapes[shape] = found
        while len(self.shapes) > MAX_RANKINGS:
            del self.shapes[next(iter(self.shapes))]
        return found
