"""Learns how much tasks that fill raise the tails of lasting tasks.

Answers interference that depends on which two images meet: most pairs do no
harm, a few raise a tail past its target at once.  For each image of lasting
tasks a least-squares fit with weights of at least 0 explains its tail, as a
share of its target, by the processors that each filling image uses beside it.
A prior keeps pairs that never met under mild suspicion.

References:
    Franc, Hlavac, Navara, "Sequential Coordinate-Wise Algorithm for the
    Non-negative Least Squares Problem", 2005: the sweeps of `_Fit.solve`.
"""

from collections.abc import Mapping

__all__ = ["Sensitivity"]

# Of target for a whole worker in use, until samples say otherwise.
PRIOR_WEIGHT = 1.0
# Weight of the prior against samples, in squared shares of a worker.
PRIOR_STRENGTH = 0.03
# The same for weights that an earlier leader learnt.
RESUMED_STRENGTH = 0.15
# What one sample leaves of the weight of those before it.
DECAY = 0.999
SWEEPS = 3
# Tails count at most as this share of their target: beyond, they grow without
# bound and would outweigh all others.
MAX_TAIL = 2.0
MAX_WEIGHT = 15.0
# Samples between two solutions.
SOLVE_EVERY = 10
_BASE = ""


class _Fit:
    """Normal equations of one image of lasting tasks.

    Attributes:
        weights: Solution by filling image; the empty name is the tail alone.
        squares: Sums of products of shares, by both images.
        products: Sums of products of shares and tails.
    """

    def __init__(self) -> None:
        self.weights: dict[str, float] = {_BASE: 0.5}
        self.squares: dict[str, dict[str, float]] = {_BASE: {_BASE: 1e-6}}
        self.products: dict[str, float] = {_BASE: 0.5e-6}
        self._samples = 0
        self._scale = 1.0

    def resume(self, weights: Mapping[str, float]) -> None:
        """Takes in weights as if they had been learnt here."""
        for image, weight in weights.items():
            self.weights[image] = weight
            self.squares[image] = {image: RESUMED_STRENGTH}
            self.products[image] = RESUMED_STRENGTH * weight

    def learn(self, shares: Mapping[str, float], tail: float) -> None:
        """Takes in a tail and the shares of a worker used beside it."""
        self._scale /= DECAY
        tail = min(tail, MAX_TAIL)
        for image in shares:
            if image not in self.weights:
                self.weights[image] = PRIOR_WEIGHT
                self.squares[image] = {image: PRIOR_STRENGTH * self._scale}
                strength = PRIOR_STRENGTH * self._scale
                self.products[image] = strength * PRIOR_WEIGHT
        terms = [(_BASE, 1.0), *shares.items()]
        for image, share in terms:
            row = self.squares[image]
            weight = share * self._scale
            for other, other_share in terms:
                row[other] = row.get(other, 0.0) + weight * other_share
            self.products[image] += weight * tail
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


class Sensitivity:
    """How sensitive lasting images are to filling images.

    Attributes:
        version: Grows when weights may have changed.

    Examples:
        >>> sensitivity = Sensitivity()
        >>> for number in range(200):
        ...     sensitivity.learn("desk", {"scan": 0.1 * (number % 3)}, 0.5)
        ...     sensitivity.learn(
        ...         "desk", {"sort": 0.1 * (number % 2)},
        ...         0.5 + 0.4 * (number % 2))
        >>> sensitivity.weight("desk", "scan") < 0.2
        True
        >>> 3.5 < sensitivity.weight("desk", "sort") < 4.1
        True
    """

    def __init__(self) -> None:
        self.version = 0
        self._fits: dict[str, _Fit] = {}

    def learn(
        self, lasting: str, shares: Mapping[str, float], tail: float
    ) -> None:
        """Takes in one figure of a lasting task.

        Args:
            lasting: Its image.
            shares: Share of the worker's processors that each filling image
                used beside it.
            tail: Its tail as a share of its target.
        """
        fit = self._fits.get(lasting)
        if fit is None:
            fit = self._fits[lasting] = _Fit()
        fit.learn(shares, tail)
        self.version += 1

    def weight(self, lasting: str, filling: str) -> float:
        """Returns what a whole worker of a filling image adds to a tail."""
        fit = self._fits.get(lasting)
        if fit is None:
            return PRIOR_WEIGHT
        return fit.weights.get(filling, PRIOR_WEIGHT)

    def resume(self, table: Mapping[str, Mapping[str, float]]) -> None:
        """Goes on from what an earlier leader learnt, where nothing is known.

        Args:
            table: Weights as `table` returned them.
        """
        for lasting, weights in table.items():
            if lasting not in self._fits:
                self._fits[lasting] = _Fit()
                self._fits[lasting].resume(weights)

    def table(self) -> dict[str, dict[str, float]]:
        """Returns all weights, by lasting and filling image."""
        return {
            lasting: {
                image: round(weight, 2)
                for image, weight in fit.weights.items()
                if image != _BASE
            }
            for lasting, fit in self._fits.items()
        }
