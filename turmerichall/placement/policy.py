"""Named placement policies, from baselines to the current one."""

from typing import NamedTuple

from turmerichall.placement import eviction
from turmerichall.placement import fleet as fleets
from turmerichall.placement import interference
from turmerichall.placement import scoring
from turmerichall.placement import weights as weighing

__all__ = ["CURRENT", "NAMES", "Policy", "named"]

CURRENT = "current"
FIRST_FIT = "first_fit"
BEST_FIT = "best_fit"
RELEASED_1 = "released_1"
NAMES = (FIRST_FIT, BEST_FIT, RELEASED_1, CURRENT)


class Policy(NamedTuple):
    """Rules by which a planner decides: cost function, evictor and options.

    Attributes:
        fleet: State of the workers, with the interference estimator.
        scoring: Cost function; a task is placed on the cheapest worker.
        evictor: Selects the running tasks to throttle or evict.
        quarantines: Whether workers on which tasks fail are quarantined.
        preempts: Whether batch tasks are evicted for tasks of a higher
            priority, and headroom is reserved for services.
    """

    fleet: fleets.Fleet
    scoring: scoring.Scoring
    evictor: eviction.Evictor
    quarantines: bool
    preempts: bool


def named(
    name: str,
    weights: weighing.Weights,
    estimator: interference.Estimator | None = None,
) -> Policy:
    """Create the policy with the given name.

    Args:
        name: One of `NAMES`.
        weights: Coefficients of the cost function.
        estimator: Interference estimator that replaces the one of the current
            policy; the other policies use none.

    Raises:
        ValueError: There is no policy of that name.
    """
    if name == CURRENT:
        fleet = fleets.Fleet(estimator or interference.PairEstimator(), True)
        scored = scoring.InterferenceScoring(weights, fleet)
        evictor = eviction.GradualEvictor(fleet, weights)
        return Policy(fleet, scored, evictor, True, True)
    fleet = fleets.Fleet(interference.NoEstimator(), False)
    if name == RELEASED_1:
        no_evictor = eviction.NoEvictor()
        return Policy(fleet, scoring.WorstFit(), no_evictor, False, False)
    immediate = eviction.ImmediateEvictor(fleet, weights.service_margin)
    if name == FIRST_FIT:
        return Policy(fleet, scoring.FirstFit(), immediate, False, False)
    if name == BEST_FIT:
        return Policy(fleet, scoring.BestFit(), immediate, False, False)
    raise ValueError(f"no policy {name!r}; there are {', '.join(NAMES)}")
