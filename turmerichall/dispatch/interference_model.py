"""Online model of how much best-effort tasks slow long-running tasks.

Interference depends on the pair of images: most pairs do no harm, while a few
raise a tail latency above its target at once.  For each long-running image, a
non-negative least-squares fit explains the slowdown of its tasks, relative to
other tasks of the same step, by the processors that each best-effort image uses
on the same worker.  A prior makes the model cautious about pairs that were not
observed yet, and the precision of each weight gives its uncertainty.

References:
    Newey, Powell, "Asymmetric Least Squares Estimation and Testing", 1987.

    Franc, Hlavac, Navara, "Sequential Coordinate-Wise Algorithm for the
    Non-negative Least Squares Problem", 2005: the sweeps of `_Fit.solve`.
"""

from collections.abc import Collection, Mapping
import math
import types

from turmerichall.dispatch.colocation import first_pace
from turmerichall.queues import change as changes
from turmerichall.queues import state as states

__all__ = ["InterferenceModel"]

# Slowdown by a best-effort image that uses all processors of a worker, as
# assumed before any samples (the prior).
PRIOR_WEIGHT = 1.0
# Weight of the prior relative to the samples, in squared shares of a worker's
# processors.
PRIOR_STRENGTH = first_pace.PRIOR_STRENGTH
# Weight of a prior that an earlier leader learned, in the same unit.
RESTORED_STRENGTH = 0.15
# Maximum strength that is recorded as evidence and stored for the next leader.
# It is that of single images, which is too high for images that always ran
# together.
MAX_EVIDENCE = 1.5
# Factor on the weight of all earlier samples at each new sample.
DECAY = 0.9998
SWEEPS = 3
# Larger slowdowns are clipped to this value: they only show how long requests
# have been queueing, not how strong the interference is.
MAX_SLOWDOWN = 2.0
MAX_WEIGHT = 15.0
# Most images of a kind that are known; those seen least recently are forgotten.
# Images have new names with each release of what they run.
MAX_IMAGES = 256
# Weight of a sample above the fit relative to one below: a tail latency above
# its target costs about this many times as much as work that waits.
ASYMMETRY = 4.0
# Number of samples after which the weights are computed again.
SOLVE_EVERY = 4
# Strength of the prior of the constant part of slowdowns, which no best-effort
# image causes; this part exists because tasks are compared with the least
# disturbed ones of a step.
INTERCEPT_STRENGTH = 1e-3
_INTERCEPT = ""
_NO_STRENGTHS: Mapping[str, Mapping[str, float]] = types.MappingProxyType({})
# Standard deviation of a sample from the fit if the tail latency is exact.
NOISE = 0.15
# Number of standard deviations by which the upper estimate of a weight exceeds
# the likely weight.
CAUTION_DEVIATIONS = 1.5
# Upper estimate of a weight before any samples.
PRIOR_UPPER_WEIGHT = PRIOR_WEIGHT + CAUTION_DEVIATIONS * NOISE / math.sqrt(
    PRIOR_STRENGTH
)


class _Fit:
    """Least-squares fit of one long-running image, as normal equations.

    Attributes:
        weights: Slowdown by each best-effort image if it used all processors of
            the worker; the empty name stands for the constant part.
        squares: Weighted sums over the samples of the products of two images'
            shares of the processors, by both images.
        products: Weighted sums over the samples of the products of an image's
            share and the slowdown, by image.
        evidence: Strength of each weight, in the unit of `PRIOR_STRENGTH`; it
            does not decay, so that a pair that was not seen for some time stays
            known.
    """

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}
        self.squares: dict[str, dict[str, float]] = {}
        self.products: dict[str, float] = {}
        self._samples = 0
        self._scale = 1.0
        # Upper estimates since the latest sample.
        self._upper_weights: dict[str, float] = {}
        self.evidence: dict[str, float] = {}
        # Best-effort images, those seen least recently first.
        self._recent: dict[str, None] = {}
        self._add_term(_INTERCEPT, 0.0, INTERCEPT_STRENGTH)

    def restore(
        self, weights: Mapping[str, float], strengths: Mapping[str, float]
    ) -> None:
        """Add weights that an earlier leader learned, with their strengths."""
        for image, weight in weights.items():
            strength = strengths.get(image, RESTORED_STRENGTH)
            strength = min(max(strength, PRIOR_STRENGTH), MAX_EVIDENCE)
            self._add_term(image, weight, strength)
            self._recent[image] = None
        self._forget_least_recent()

    def _forget_least_recent(self) -> None:
        """Forget images beyond the most that are kept."""
        while len(self._recent) > MAX_IMAGES:
            image = next(iter(self._recent))
            del self._recent[image]
            for by_image in (self.weights, self.evidence, self.products):
                del by_image[image]
            del self.squares[image]
            for row in self.squares.values():
                row.pop(image, None)

    def _add_term(self, image: str, weight: float, strength: float) -> None:
        self.weights[image] = weight
        self.evidence[image] = strength
        self.squares[image] = {image: strength * self._scale}
        self.products[image] = strength * self._scale * weight
        self._upper_weights.clear()

    def learn(
        self, shares: Mapping[str, float], slowdown: float, noise: float
    ) -> None:
        """Add a sample: a slowdown, and the processor use at that time.

        Args:
            shares: Share of the worker's processors used by each best-effort
                image.
            slowdown: Measured slowdown.
            noise: Standard deviation of the slowdown.
        """
        self._upper_weights.clear()
        self._scale /= DECAY
        slowdown = max(-1.0, min(slowdown, MAX_SLOWDOWN))
        quality = (NOISE / max(noise, NOISE)) ** 2
        sample_weight = self._scale * quality
        expected = self.weights[_INTERCEPT]
        for image, share in shares.items():
            if image not in self.weights:
                self._add_term(image, PRIOR_WEIGHT, PRIOR_STRENGTH)
            expected += share * self.weights[image]
            self._recent.pop(image, None)
            self._recent[image] = None
        self._forget_least_recent()
        if slowdown > expected:
            sample_weight *= ASYMMETRY
        terms = [(_INTERCEPT, 1.0), *shares.items()]
        for image, share in terms:
            row = self.squares[image]
            weight = share * sample_weight
            self.evidence[image] = min(
                self.evidence[image] + share**2 * quality, MAX_EVIDENCE
            )
            for other, other_share in terms:
                row[other] = row.get(other, 0.0) + weight * other_share
            self.products[image] += weight * slowdown
        self._samples += 1
        if self._samples % SOLVE_EVERY == 0:
            self.solve()

    def solve(self) -> None:
        """Improve the weights by coordinate descent."""
        self._upper_weights.clear()
        weights = self.weights
        for _ in range(SWEEPS):
            for image, row in self.squares.items():
                others = 0.0
                for other, value in row.items():
                    if other != image:
                        others += value * weights[other]
                best = (self.products[image] - others) / row[image]
                weights[image] = min(max(0.0, best), MAX_WEIGHT)

    def standard_deviation(self, image: str) -> float:
        """Return the standard deviation of a best-effort image's weight."""
        row = self.squares.get(image)
        strength = row[image] / self._scale if row else PRIOR_STRENGTH
        return NOISE / math.sqrt(strength)

    def upper_weight(self, image: str) -> float:
        """Return a cautious upper estimate of a best-effort image's weight."""
        upper = self._upper_weights.get(image)
        if upper is None:
            deviation = self.standard_deviation(image)
            weight = self.weights.get(image, PRIOR_WEIGHT)
            upper = weight + CAUTION_DEVIATIONS * deviation
            self._upper_weights[image] = upper
        return upper


class InterferenceModel:
    """Model of the slowdowns of long-running images by best-effort images.

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

    def __init__(self, is_careful: bool = False) -> None:
        """Create a model that has not learned anything.

        Args:
            is_careful: Whether pairs that were hardly observed are told from
                others, by this leader and the next.
        """
        self._fits: dict[str, _Fit] = {}
        self._is_careful = is_careful

    def learn(
        self,
        long_running: str,
        shares: Mapping[str, float],
        slowdown: float,
        noise: float = NOISE,
    ) -> None:
        """Add one sample of a long-running task.

        Args:
            long_running: Image of the task.
            shares: Share of the worker's processors that each best-effort image
                used on the same worker.
            slowdown: Slowdown relative to other tasks of its step, as a share
                of their time.
            noise: Standard deviation of the slowdown.
        """
        fit = self._fits.get(long_running)
        if fit is None:
            fit = self._fits[long_running] = _Fit()
            self._forget_oldest()
        fit.learn(shares, slowdown, noise)

    def _forget_oldest(self) -> None:
        while len(self._fits) > MAX_IMAGES:
            del self._fits[next(iter(self._fits))]

    def weight(self, long_running: str, best_effort: str) -> float:
        """Return the likely slowdown of a long-running image.

        It is the slowdown caused by the best-effort image if that uses all
        processors of the worker.
        """
        fit = self._fits.get(long_running)
        if fit is None:
            return PRIOR_WEIGHT
        return fit.weights.get(best_effort, PRIOR_WEIGHT)

    def upper_weight(self, long_running: str, best_effort: str) -> float:
        """Return a cautious upper estimate of what `weight` returns."""
        fit = self._fits.get(long_running)
        if fit is None:
            return PRIOR_UPPER_WEIGHT
        return fit.upper_weight(best_effort)

    def slowdown(
        self, long_running: str, best_effort: Mapping[str, float]
    ) -> float:
        """Return the likely slowdown of a long-running image.

        Args:
            long_running: The image.
            best_effort: Share of a worker's processors that each best-effort
                image uses.
        """
        fit = self._fits.get(long_running)
        weights = fit.weights if fit else {}
        total = 0.0
        for image, share in best_effort.items():
            total += weights.get(image, PRIOR_WEIGHT) * share
        return total

    def strength(self, long_running: str, best_effort: str) -> float:
        """Return the strength of the evidence for what `weight` returns.

        It is the sum of the squared shares of a worker's processors that the
        best-effort image used in the samples, including the prior.
        """
        fit = self._fits.get(long_running)
        return (
            fit.evidence.get(best_effort, PRIOR_STRENGTH)
            if fit
            else PRIOR_STRENGTH
        )

    def pair(self, long_running: str, best_effort: str) -> first_pace.Pair:
        """Return what was learned about a pair of images."""
        return first_pace.Pair(
            self.weight(long_running, best_effort),
            self.strength(long_running, best_effort),
        )

    def is_unknown(self, long_running: str, best_effort: str) -> bool:
        """Return whether a pair was hardly observed; no, if not careful."""
        return (
            self._is_careful
            and self.strength(long_running, best_effort)
            < first_pace.KNOWN_STRENGTH
        )

    def admits(
        self, long_running: str, best_effort: str, others: Collection[str]
    ) -> bool:
        """Return whether a best-effort image may join others on a worker.

        Args:
            long_running: Image of a long-running task there.
            best_effort: Image of the task to place.
            others: Images of the best-effort tasks there.
        """
        return not self._is_careful or not first_pace.is_one_too_many(
            best_effort,
            others,
            lambda image: self.is_unknown(long_running, image),
        )

    def note(self) -> changes.NoteInterference:
        """Return the change that stores the model for the next leader."""
        return changes.NoteInterference(self.table(), self.strengths())

    def restore_from(self, queue_state: states.QueueState) -> None:
        """Take over what an earlier leader stored."""
        self.restore(
            queue_state.interference, queue_state.interference_strengths
        )

    def strengths(self) -> dict[str, dict[str, float]]:
        """Return the strengths to store, by long-running and best-effort image.

        Empty if the model is not careful.
        """
        if not self._is_careful:
            return {}
        return {
            long_running: {
                image: round(strength, 3)
                for image, strength in fit.evidence.items()
                if image != _INTERCEPT
            }
            for long_running, fit in self._fits.items()
        }

    def restore(
        self,
        table: Mapping[str, Mapping[str, float]],
        strengths: Mapping[str, Mapping[str, float]] = _NO_STRENGTHS,
    ) -> None:
        """Take over the weights of an earlier leader.

        This replica may have led before that leader did; what it learned then
        is older, and gives way wherever the weights differ.

        Args:
            table: Weights as returned by `table`.
            strengths: Strengths as returned by `strengths`; weights without one
                count as observed.

        Examples:
            >>> model = InterferenceModel()
            >>> model.restore({"desk": {"scan": 0.1}})
            >>> model.restore({"desk": {"scan": 4.0}})
            >>> model.weight("desk", "scan")
            4.0
        """
        own = self.table()
        for long_running, weights in table.items():
            if own.get(long_running) != weights:
                self._fits[long_running] = _Fit()
                self._fits[long_running].restore(
                    weights, strengths.get(long_running, {})
                )
        self._forget_oldest()

    def table(self) -> dict[str, dict[str, float]]:
        """Return likely slowdowns by long-running and best-effort image."""
        return {
            long_running: {
                image: round(weight, 2)
                for image, weight in fit.weights.items()
                if image != _INTERCEPT
            }
            for long_running, fit in self._fits.items()
        }
