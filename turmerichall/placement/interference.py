"""Estimates how much slower a task runs beside given neighbours.

Each estimator learns from measured situations, on excess slowdown: 0.0 is a
task that runs as if alone.  The coefficients are kept as means with variances
and updated one by one as in a Kalman filter with a diagonal covariance, so a
prior is used as long as samples are few, and old samples lose their weight.
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
# Variance that a coefficient regains for each second without a sample.
AGEING_PER_SECOND = 2e-5
MAX_RESIDUAL = 1.5
PRIOR_STRENGTH = 0.5
PRIOR_VARIANCE = 0.5
PRIOR_LOAD = 0.2
PRIOR_LOAD_VARIANCE = 0.09


class Colocation(NamedTuple):
    """A task among its neighbours.

    Attributes:
        victim: Template of the task.
        load: Expected use of all tasks as a share of the processors.
        neighbours: Template and share of the processors of each other kind.
    """

    victim: str
    load: float
    neighbours: tuple[tuple[str, float], ...]


class Estimate(NamedTuple):
    """Expected excess slowdown and the variance of that expectation."""

    excess: float
    variance: float

    def upper_bound(self, deviations: float) -> float:
        """Returns the excess that is exceeded only rarely."""
        return self.excess + deviations * math.sqrt(self.variance)


class AddedSlowdown(NamedTuple):
    """Excess slowdown that a neighbour adds per whole worker that it uses.

    Attributes:
        mean: The expected excess.
        lower_bound: The part of it that samples leave little doubt of.
    """

    mean: float
    lower_bound: float


UNKNOWN_NEIGHBOUR = AddedSlowdown(PRIOR_STRENGTH, 0.0)


class Estimator(Protocol):
    """Learns and estimates excess slowdown."""

    def learn(self, colocation: Colocation, excess: float, at: float) -> None:
        """Takes in one measured situation."""

    def estimate(self, colocation: Colocation) -> Estimate:
        """Estimates the excess slowdown of a situation."""

    def added_slowdown(self, victim: str, neighbour: str) -> AddedSlowdown:
        """Returns the excess that one whole worker's use would add."""


class Coefficient:
    """A mean with its variance."""

    __slots__ = ("at", "mean", "prior_variance", "variance")

    def __init__(self, mean: float, variance: float, at: float = 0.0) -> None:
        self.mean = mean
        self.variance = variance
        self.prior_variance = variance
        self.at = at

    def age(self, at: float) -> None:
        """Regains variance for the time since the last sample."""
        passed = at - self.at
        if passed > 0:
            grown = self.variance + AGEING_PER_SECOND * passed
            self.variance = min(self.prior_variance, grown)
            self.at = at


class NoEstimator:
    """Assumes that neighbours do not interfere."""

    def learn(self, colocation: Colocation, excess: float, at: float) -> None:
        """Takes in nothing."""

    def estimate(self, colocation: Colocation) -> Estimate:
        """Returns no slowdown."""
        del colocation
        return Estimate(0.0, 0.0)

    def added_slowdown(self, victim: str, neighbour: str) -> AddedSlowdown:
        """Returns no slowdown."""
        del victim, neighbour
        return AddedSlowdown(0.0, 0.0)


class TemplateEstimator:
    """Gives each template one strength, whoever its neighbours are.

    Attributes:
        loads: What load adds, by template of the task that is slowed.
        strengths: What a neighbour adds, by the neighbour's template.
    """

    def __init__(self) -> None:
        self.loads: dict[str, Coefficient] = {}
        self.strengths: dict[str, Coefficient] = {}

    def terms(self, colocation: Colocation) -> list[tuple[Coefficient, float]]:
        """Returns the coefficients of a situation and their factors."""
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
        """Takes in one measured situation."""
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
        """Estimates the excess slowdown of a situation."""
        excess = 0.0
        variance = 0.0
        for coefficient, factor in self.terms(colocation):
            excess += coefficient.mean * factor
            variance += coefficient.variance * factor * factor
        return Estimate(max(0.0, excess), variance)

    def added_slowdown(self, victim: str, neighbour: str) -> AddedSlowdown:
        """Returns the excess that one whole worker's use would add."""
        del victim
        strength = self.strengths.get(neighbour)
        if strength is None:
            return UNKNOWN_NEIGHBOUR
        return _added_slowdown(strength.mean, strength.variance)


class PairEstimator(TemplateEstimator):
    """Adds to each template's strength what is particular to a pair.

    A pair starts at no difference from the template's strength and departs
    from it only as far as samples of the pair support.

    Attributes:
        pairs: Differences by template of the slowed task and the neighbour.
        found: What `added_slowdown` found since the last sample, by neighbour and
            slowed template.
    """

    def __init__(self) -> None:
        super().__init__()
        self.pairs: dict[tuple[str, str], Coefficient] = {}
        self.found: dict[str, dict[str, AddedSlowdown]] = {}

    def terms(self, colocation: Colocation) -> list[tuple[Coefficient, float]]:
        """Returns the coefficients of a situation and their factors."""
        found = super().terms(colocation)
        for template, share in colocation.neighbours:
            key = (colocation.victim, template)
            pair = self.pairs.get(key)
            if pair is None:
                pair = self.pairs[key] = Coefficient(0.0, PRIOR_VARIANCE)
            found.append((pair, share))
        return found

    def added_slowdown(self, victim: str, neighbour: str) -> AddedSlowdown:
        """Returns the excess that one whole worker's use would add."""
        of_neighbour = self.found.setdefault(neighbour, {})
        effect = of_neighbour.get(victim)
        if effect is None:
            effect = of_neighbour[victim] = self._add(victim, neighbour)
        return effect

    def learn(self, colocation: Colocation, excess: float, at: float) -> None:
        """Takes in one measured situation."""
        super().learn(colocation, excess, at)
        for template, _ in colocation.neighbours:
            self.found.pop(template, None)

    def _add(self, victim: str, neighbour: str) -> AddedSlowdown:
        pair = self.pairs.get((victim, neighbour))
        if pair is None:
            return super().added_slowdown(victim, neighbour)
        strength = self.strengths[neighbour]
        mean = strength.mean + pair.mean
        return _added_slowdown(mean, strength.variance + pair.variance)


def _added_slowdown(mean: float, variance: float) -> AddedSlowdown:
    return AddedSlowdown(max(0.0, mean), max(0.0, mean - math.sqrt(variance)))
