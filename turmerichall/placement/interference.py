"""Estimators of the interference between tasks on one worker.

They learn how much tasks that run on the same worker slow each other.  The
excess slowdown of a task is its slowdown minus 1: 0.0 means that it runs as
fast as alone.  It is estimated as a sum of products of a learnt coefficient and
a known factor, such as a neighbour's use.  Each coefficient has a mean and a
variance and is updated separately, as in a Kalman filter with a diagonal
covariance.  The prior thus dominates while samples are few, and old samples
lose their weight.
"""

import math
from typing import NamedTuple, Protocol

__all__ = [
    "AddedSlowdown",
    "Colocation",
    "Estimate",
    "Estimator",
    "NoEstimator",
    "PairEstimator",
    "TemplateEstimator",
]

NOISE_VARIANCE = 0.04
# Increase of a coefficient's variance per second since its last sample, up to
# its prior variance.
AGEING_PER_SECOND = 2e-5
MAX_RESIDUAL = 1.5
PRIOR_STRENGTH = 0.5
PRIOR_VARIANCE = 0.5
PRIOR_LOAD = 0.2
PRIOR_LOAD_VARIANCE = 0.09


class Colocation(NamedTuple):
    """A task and its neighbours on the same worker.

    Attributes:
        victim: Template of the task, which the neighbours may slow.
        load: Expected use of all tasks on the worker, as a share of its
            processors.
        neighbours: Pairs of a template and the share of the processors that
            other tasks of this template use.
    """

    victim: str
    load: float
    neighbours: tuple[tuple[str, float], ...]


class Estimate(NamedTuple):
    """Expected excess slowdown with its variance."""

    excess: float
    variance: float

    def upper_bound(self, deviations: float) -> float:
        """Return the expected excess plus a number of standard deviations."""
        return self.excess + deviations * math.sqrt(self.variance)


class AddedSlowdown(NamedTuple):
    """Excess slowdown that a neighbour would add if it used all processors.

    A neighbour that uses a share of them adds that share of the slowdown.

    Attributes:
        mean: Expected excess slowdown.
        lower_bound: One standard deviation below `mean`, but not below 0.0.
    """

    mean: float
    lower_bound: float


UNKNOWN_NEIGHBOUR = AddedSlowdown(PRIOR_STRENGTH, 0.0)


class Estimator(Protocol):
    """Estimator of the excess slowdown of colocated tasks."""

    def learn(self, colocation: Colocation, excess: float, at: float) -> None:
        """Learn from the excess slowdown measured in a colocation."""

    def estimate(self, colocation: Colocation) -> Estimate:
        """Estimate the excess slowdown of a task among its neighbours."""

    def added_slowdown(self, victim: str, neighbour: str) -> AddedSlowdown:
        """Return the slowdown added by a neighbour that uses all processors."""


class Coefficient:
    """Coefficient of the estimate, with the mean and variance of its value."""

    __slots__ = ("at", "mean", "prior_variance", "variance")

    def __init__(self, mean: float, variance: float, at: float = 0.0) -> None:
        self.mean = mean
        self.variance = variance
        self.prior_variance = variance
        self.at = at

    def age(self, at: float) -> None:
        """Increase the variance for the time since the last sample."""
        passed = at - self.at
        if passed > 0:
            grown = self.variance + AGEING_PER_SECOND * passed
            self.variance = min(self.prior_variance, grown)
            self.at = at


class NoEstimator:
    """Estimator that assumes no interference."""

    def learn(self, colocation: Colocation, excess: float, at: float) -> None:
        """Ignore the measurement."""

    def estimate(self, colocation: Colocation) -> Estimate:
        """Return no slowdown."""
        del colocation
        return Estimate(0.0, 0.0)

    def added_slowdown(self, victim: str, neighbour: str) -> AddedSlowdown:
        """Return no slowdown."""
        del victim, neighbour
        return AddedSlowdown(0.0, 0.0)


class TemplateEstimator:
    """Estimator with one coefficient per template of a neighbour.

    A neighbour is taken to slow all tasks alike, whatever their templates.

    Attributes:
        loads: Coefficients of the squared load of the worker, by template of
            the slowed task.
        strengths: Coefficients of the share of the processors that a neighbour
            uses, by template of the neighbour.
    """

    def __init__(self) -> None:
        self.loads: dict[str, Coefficient] = {}
        self.strengths: dict[str, Coefficient] = {}

    def terms(self, colocation: Colocation) -> list[tuple[Coefficient, float]]:
        """Return the terms whose sum is the excess slowdown of a colocation.

        Each is a pair of a coefficient and the factor that it is multiplied by.
        """
        load = self.loads.get(colocation.victim)
        if load is None:
            load = self.loads[colocation.victim] = Coefficient(
                PRIOR_LOAD, PRIOR_LOAD_VARIANCE
            )
        found = [(load, colocation.load * colocation.load)]
        for template, share in colocation.neighbours:
            strength = self.strengths.get(template)
            if strength is None:
                strength = Coefficient(PRIOR_STRENGTH, PRIOR_VARIANCE)
                self.strengths[template] = strength
            found.append((strength, share))
        return found

    def learn(self, colocation: Colocation, excess: float, at: float) -> None:
        """Update the coefficients with one measured excess slowdown."""
        terms = self.terms(colocation)
        expected = 0.0
        variance = NOISE_VARIANCE
        for coefficient, factor in terms:
            coefficient.age(at)
            expected += coefficient.mean * factor
            variance += coefficient.variance * factor * factor
        residual = excess - expected
        residual = max(-MAX_RESIDUAL, min(MAX_RESIDUAL, residual))
        for coefficient, factor in terms:
            gain = coefficient.variance * factor / variance
            coefficient.mean += gain * residual
            coefficient.variance -= gain * factor * coefficient.variance

    def estimate(self, colocation: Colocation) -> Estimate:
        """Estimate the excess slowdown of a task among its neighbours."""
        excess = 0.0
        variance = 0.0
        for coefficient, factor in self.terms(colocation):
            excess += coefficient.mean * factor
            variance += coefficient.variance * factor * factor
        return Estimate(max(0.0, excess), variance)

    def added_slowdown(self, victim: str, neighbour: str) -> AddedSlowdown:
        """Return the slowdown added by a neighbour that uses all processors."""
        del victim
        strength = self.strengths.get(neighbour)
        if strength is None:
            return UNKNOWN_NEIGHBOUR
        return _added_slowdown(strength.mean, strength.variance)


class PairEstimator(TemplateEstimator):
    """Estimator that adds a coefficient for each pair of templates.

    The coefficient of a pair is added to that of the neighbour's template, and
    corrects it for the template of the slowed task.  It starts at 0.0 and
    departs from that only as far as samples of the pair support.

    Attributes:
        pairs: These coefficients, by template of the slowed task and of the
            neighbour.
        cache: Cached results of `added_slowdown`, by template of the neighbour
            and of the slowed task; each sample clears those of its neighbours.
    """

    def __init__(self) -> None:
        super().__init__()
        self.pairs: dict[tuple[str, str], Coefficient] = {}
        self.cache: dict[str, dict[str, AddedSlowdown]] = {}

    def terms(self, colocation: Colocation) -> list[tuple[Coefficient, float]]:
        """Return the terms whose sum is the excess slowdown of a colocation.

        Each is a pair of a coefficient and the factor that it is multiplied by.
        """
        found = super().terms(colocation)
        for template, share in colocation.neighbours:
            key = (colocation.victim, template)
            pair = self.pairs.get(key)
            if pair is None:
                pair = self.pairs[key] = Coefficient(0.0, PRIOR_VARIANCE)
            found.append((pair, share))
        return found

    def added_slowdown(self, victim: str, neighbour: str) -> AddedSlowdown:
        """Return the slowdown added by a neighbour that uses all processors."""
        of_neighbour = self.cache.setdefault(neighbour, {})
        effect = of_neighbour.get(victim)
        if effect is None:
            effect = of_neighbour[victim] = self._add(victim, neighbour)
        return effect

    def learn(self, colocation: Colocation, excess: float, at: float) -> None:
        """Update the coefficients with one measured excess slowdown."""
        super().learn(colocation, excess, at)
        for template, _ in colocation.neighbours:
            self.cache.pop(template, None)

    def _add(self, victim: str, neighbour: str) -> AddedSlowdown:
        pair = self.pairs.get((victim, neighbour))
        if pair is None:
            return super().added_slowdown(victim, neighbour)
        strength = self.strengths[neighbour]
        mean = strength.mean + pair.mean
        return _added_slowdown(mean, strength.variance + pair.variance)


def _added_slowdown(mean: float, variance: float) -> AddedSlowdown:
    return AddedSlowdown(max(0.0, mean), max(0.0, mean - math.sqrt(variance)))
