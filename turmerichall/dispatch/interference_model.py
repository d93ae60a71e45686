"""Learns how much tasks that fill slow lasting tasks beside them.

Answers interference that depends on which two images meet: most pairs do no
harm, a few raise a tail past its target at once.  For each image of lasting
tasks a least-squares fit with weights of at least 0 explains its slowdown,
beyond the load that other tasks of its step show, by the processors that each
filling image uses beside it.  A prior keeps pairs that never met under
suspicion, and the precision of each weight tells how far it may be off.

References:
    Newey, Powell, "Asymmetric Least Squares Estimation and Testing", 1987.

    Franc, Hlavac, Navara, "Sequential Coordinate-Wise Algorithm for the
    Non-negative Least Squares Problem", 2005: the sweeps of `_Fit.solve`.
"""

from collections.abc import Mapping
import math

__all__ = ["InterferenceModel"]

# Slowdown by a whole worker in use, until samples say otherwise.
PRIOR_WEIGHT = 1.0
# Weight of the prior against samples, in squared shares of a worker.
PRIOR_STRENGTH = 0.015
# The same for weights that an earlier leader learnt.
RESTORED_STRENGTH = 0.15
# What one sample leaves of the weight of those before it.
DECAY = 0.9998
SWEEPS = 3
# A slowdown counts at most as this much: beyond, calls pile up and it says how
# long they did, not who did it.
MAX_SLOWDOWN = 2.0
MAX_WEIGHT = 15.0
# A slowdown above what the weights explain counts this many times as much as
# one below: a tail over its target costs about that much more than work that
# waits.
ASYMMETRY = 4.0
# Samples between two solutions.
SOLVE_EVERY = 4
# Of the constant part of slowdowns, which no filling image causes: a task is
# compared with those of its step that are disturbed least.
INTERCEPT_STRENGTH = 1e-3
_INTERCEPT = ""
# Deviation of one slowdown from what weights explain, when a tail is read
# exactly.
NOISE = 0.15
# Deviations by which a cautious weight is above the likely one.
CAUTION_DEVIATIONS = 1.5


class _Fit:
    """Normal equations of one image of lasting tasks.

    Attributes:
        weights: Solution by filling image; the empty name is the constant.
        squares: Sums of products of shares, by both images.
        products: Sums of products of shares and slowdowns.
    """

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}
        self.squares: dict[str, dict[str, float]] = {}
        self.products: dict[str, float] = {}
        self._samples = 0
        self._scale = 1.0
        self._add_term(_INTERCEPT, 0.0, INTERCEPT_STRENGTH)

    def restore(self, weights: Mapping[str, float]) -> None:
        """Takes in weights as if they had been learnt here."""
        for image, weight in weights.items():
            self._add_term(image, weight, RESTORED_STRENGTH)

    def _add_term(self, image: str, weight: float, strength: float) -> None:
        self.weights[image] = weight
        self.squares[image] = {image: strength * self._scale}
        self.products[image] = strength * self._scale * weight

    def learn(
        self, shares: Mapping[str, float], slowdown: float, noise: float
    ) -> None:
        """Takes in a slowdown and the shares of a worker used beside it."""
        self._scale /= DECAY
        slowdown = max(-1.0, min(slowdown, MAX_SLOWDOWN))
        sample_weight = self._scale * (NOISE / max(noise, NOISE)) ** 2
        expected = self.weights[_INTERCEPT]
        for image, share in shares.items():
            if image not in self.weights:
                self._add_term(image, PRIOR_WEIGHT, PRIOR_STRENGTH)
            expected += share * self.weights[image]
        if slowdown > expected:
            sample_weight *= ASYMMETRY
        terms = [(_INTERCEPT, 1.0), *shares.items()]
        for image, share in terms:
            row = self.squares[image]
            weight = share * sample_weight
            for other, other_share in terms:
                row[other] = row.get(other, 0.0) + weight * other_share
            self.products[image] += weight * slowdown
        self._samples += 1
        if self._samples % SOLVE_EVERY == 0:
            self.solve()

    def solve(self) -> None:
        """Improves the weights by sweeps over the coordinates."""
        weights = self.weights
        for _ in range(SWEEPS):
            for image, row in self.squares.items():
                others = sum(
                    value * weights[other]
                    for other, value in row.items()
                    if other != image
                )
                best = (self.products[image] - others) / row[image]
                weights[image] = min(max(0.0, best), MAX_WEIGHT)

    def standard_deviation(self, image: str) -> float:
        """Returns how far a weight may be off, as a standard deviation."""
        row = self.squares.get(image)
        strength = row[image] / self._scale if row else PRIOR_STRENGTH
        return NOISE / math.sqrt(strength)


class InterferenceModel:
    """How sensitive lasting images are to filling images.

    Examples:
        >>> model = InterferenceModel()
        >>> before = model.upper_weight("desk", "scan")
        >>> for number in range(200):
        ...     model.learn("desk", {"scan": 0.1 * (number % 3)}, 0.0)
        ...     model.learn(
        ...         "desk", {"sort": 0.1 * (number % 2)}, 0.4 * (number % 2))
        >>> model.weight("desk", "scan") < 0.1
        True
        >>> 3.5 < model.weight("desk", "sort") < 4.1
        True
        >>> model.upper_weight("desk", "scan") < 0.5 < before
        True
    """

    def __init__(self) -> None:
        self._fits: dict[str, _Fit] = {}

    def learn(
        self,
        lasting: str,
        shares: Mapping[str, float],
        slowdown: float,
        noise: float = NOISE,
    ) -> None:
        """Takes in one figure of a lasting task.

        Args:
            lasting: Its image.
            shares: Share of the worker's processors that each filling image
                used beside it.
            slowdown: How much slower it was than others of its step, as a
                share of their time.
            noise: How far that may be off.
        """
        fit = self._fits.get(lasting)
        if fit is None:
            fit = self._fits[lasting] = _Fit()
        fit.learn(shares, slowdown, noise)

    def weight(self, lasting: str, filling: str) -> float:
        """Returns the likely slowdown by a whole worker of a filling image."""
        fit = self._fits.get(lasting)
        if fit is None:
            return PRIOR_WEIGHT
        return fit.weights.get(filling, PRIOR_WEIGHT)

    def upper_weight(self, lasting: str, filling: str) -> float:
        """Returns the slowdown by a whole worker that may well be."""
        fit = self._fits.get(lasting)
        if fit is None:
            return PRIOR_WEIGHT + CAUTION_DEVIATIONS * NOISE / math.sqrt(
                PRIOR_STRENGTH
            )
        weight = fit.weights.get(filling, PRIOR_WEIGHT)
        return weight + CAUTION_DEVIATIONS * fit.standard_deviation(filling)

    def restore(self, table: Mapping[str, Mapping[str, float]]) -> None:
        """Goes on from what an earlier leader learnt, where nothing is known.

        Args:
            table: Weights as `table` returned them.
        """
        for lasting, weights in table.items():
            if lasting not in self._fits:
                self._fits[lasting] = _Fit()
                self._fits[lasting].restore(weights)

    def table(self) -> dict[str, dict[str, float]]:
        """Returns all weights, by lasting and filling image."""
        return {
            lasting: {
                image: round(weight, 2)
                for image, weight in fit.weights.items()
                if image != _INTERCEPT
            }
            for lasting, fit in self._fits.items()
        }
