"""Workers ranked by cost for each shape of task, updated incrementally.

A shape, `waiting.Shape`, holds the properties that decide where a task may run.

When a ranking is used, the cost is computed again only for the workers that
changed since its last use, and for the cheapest ones before they are returned,
because interference estimates may change while a worker does not.
"""

from collections.abc import Callable, Iterator

import sortedcontainers

from turmerichall.placement import waiting

__all__ = ["Ranking", "Rankings"]

MAX_RANKINGS = 256
MAX_RECHECKS = 8
TOLERANCE = 0.02
TYPICAL_COST_SMOOTHING = 0.05
REFRESH_SECONDS = 10.0

CostOf = Callable[[str], float | None]


class Ranking:
    """Workers on which tasks of one shape fit, ranked by cost.

    Attributes:
        costs: Cost by worker; workers that do not fit are absent.
        order: Pairs of cost and worker, cheapest first.
        changed: Workers that changed since their cost was computed.
        typical_cost: Smoothed cost of the workers selected for tasks of the
            shape; None before the first selection.
        rejected_by_policy: Workers with free capacity that the cost function
            excludes to protect the tasks on them.
    """

    def __init__(self, workers: list[str]) -> None:
        self.costs: dict[str, float] = {}
        self.order = sortedcontainers.SortedList()
        self.changed: dict[str, None] = dict.fromkeys(workers)
        self.typical_cost: float | None = None
        self.rejected_by_policy: set[str] = set()

    def cheapest(self, cost_of: CostOf) -> Iterator[str]:
        """Yield workers in order of increasing cost.

        Args:
            cost_of: Computes the cost of placing a task of the shape on a
                worker, by name; None if it must not be placed there.
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

    def is_low_cost(self, cost: float) -> bool:
        """Return whether a cost is at most slightly above the typical one.

        In either case, the cost is included in the typical one.
        """
        if self.typical_cost is None:
            self.typical_cost = cost
        is_low_cost = cost <= self.typical_cost + TOLERANCE
        self.typical_cost += TYPICAL_COST_SMOOTHING * (cost - self.typical_cost)
        return is_low_cost

    def refresh(self, cost_of: CostOf) -> None:
        """Compute the costs of changed workers again."""
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
    """Rankings for the shapes used most recently, limited in number.

    Attributes:
        shapes: Rankings by shape, least recently used first.
        invalidated_at: Time at which `invalidate_next` last marked a worker.
        position: Index of the worker that `invalidate_next` marked last.
    """

    def __init__(self) -> None:
        self.shapes: dict[waiting.Shape, Ranking] = {}
        self.invalidated_at = 0.0
        self.position = -1

    def invalidate(self, worker: str) -> None:
        """Mark a worker as changed, so that its cost is computed again."""
        for ranking in self.shapes.values():
            ranking.changed[worker] = None

    def invalidate_next(self, workers: list[str], now: float) -> None:
        """Mark the next workers in turn as changed.

        Each worker is marked about once per `REFRESH_SECONDS`, so that its cost
        is computed again regularly.

        Args:
            workers: Names of all workers.
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
        """Return the ranking of a shape, creating it if needed.

        Args:
            shape: The shape.
            workers: Names of all workers, used for a new ranking.
        """
        found = self.shapes.pop(shape, None)
        if found is None:
            found = Ranking(workers)
        self.shapes[shape] = found
        while len(self.shapes) > MAX_RANKINGS:
            del self.shapes[next(iter(self.shapes))]
        return found
