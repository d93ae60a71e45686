"""Named combinations of mechanisms that a planner can be made with."""

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
    """The mechanisms of one planner.

    Attributes:
        fleet: Workers, with the estimator of interference.
        scoring: Which worker a task is placed on.
        evictor: Which running tasks are throttled or evicted.
        quarantines: Whether workers that fail tasks are quarantined.
        preempts: Whether batch tasks are evicted for work that must not
            wait, and headroom is kept for services.
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
    """Makes the policy of a name.

    Args:
        name: One of `NAMES`.
        weights: What a placement is judged by.
        estimator: Estimator to use in place of the policy's own.

    Raises:
        ValueError: There is no such policy.
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
