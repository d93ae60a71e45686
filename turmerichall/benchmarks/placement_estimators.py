"""Comparison of estimators of interference on held-out colocations.

    python -m turmerichall.benchmarks.placement_estimators

The true slowdowns come from the ground truth of the placement benchmark, whose
model of interference is not that of any estimator.
"""

import math
import random
from typing import NamedTuple

import fire
import tabulate

from turmerichall.benchmarks import placement_result as results
from turmerichall.benchmarks import placement_scenarios as scenarios
from turmerichall.benchmarks import placement_ground_truth as ground_truths
from turmerichall.placement import fleet as fleets
from turmerichall.placement import interference

__all__ = ["Score", "compare", "main"]

SAMPLES = (100, 1_000, 10_000)
HELD_OUT = 2_000
SAMPLE_SECONDS = 1.0
MARGIN = 0.5


class LabeledColocation(NamedTuple):
    """A random colocation and the true excess slowdown of its service.

    The excess slowdown is the slowdown minus 1.
    """

    colocation: interference.Colocation
    excess: float


class Score(NamedTuple):
    """Accuracy of an estimator on held-out colocations of services.

    Attributes:
        estimator: Name of the estimator.
        samples: Number of measurements that it was trained on.
        mean_error: Mean absolute error of the estimated excess slowdown.
        p90_error: 90th percentile of the absolute error.
        covered: Share of colocations whose true excess slowdown is at most one
            standard deviation above the estimate.
        missed: Of the colocations whose true excess slowdown is above
            `MARGIN`, the share whose estimated upper bound is not above it.
    """

    estimator: str
    samples: int
    mean_error: float
    p90_error: float
    covered: float
    missed: float


def compare(seed: int) -> list[Score]:
    """Return the score of each estimator after each number of samples."""
    scenario = scenarios.make("noisy_wave", "ikengwu", seed)
    rng = random.Random(seed)
    held_out = [
        _draw_colocation(scenario.ground_truth, rng) for _ in range(HELD_OUT)
    ]
    training = [
        _draw_colocation(scenario.ground_truth, rng)
        for _ in range(max(SAMPLES))
    ]
    rows = []
    for name, estimator in (
        ("none", interference.NoEstimator()),
        ("per template", interference.TemplateEstimator()),
        ("pairs with shrinkage", interference.PairEstimator()),
    ):
        trained = 0
        for samples in SAMPLES:
            for index in range(trained, samples):
                sample = training[index]
                measured = scenario.ground_truth.measure_with_noise(
                    1.0 + sample.excess, rng
                )
                at = SAMPLE_SECONDS * index
                estimator.learn(sample.colocation, measured - 1.0, at)
            trained = samples
            rows.append(_score(name, samples, estimator, held_out))
    return rows


def _draw_colocation(
    ground_truth: ground_truths.GroundTruth, rng: random.Random
) -> LabeledColocation:
    """Draw a random colocation of a service on a 32-core worker.

    The service has up to ten neighbours.
    """
    names = list(ground_truth.templates)
    services = [name for name in names if ground_truth.templates[name].service]
    victim = rng.choice(services)
    own_use = ground_truth.templates[victim].used.processors
    uses = {victim: own_use}
    for _ in range(rng.randint(0, 10)):
        neighbour = rng.choice(names)
        neighbour_use = ground_truth.templates[neighbour].used.processors
        if sum(uses.values()) + neighbour_use <= 32.0:
            uses[neighbour] = uses.get(neighbour, 0.0) + neighbour_use
    excess = ground_truth.slowdown(victim, own_use, uses, 32.0) - 1.0
    return LabeledColocation(
        fleets.colocation(victim, own_use, uses, 32.0), excess
    )


def _score(
    name: str,
    samples: int,
    estimator: interference.Estimator,
    held_out: list[LabeledColocation],
) -> Score:
    errors = []
    covered = 0
    above_margin = 0
    missed = 0
    for sample in held_out:
        estimate = estimator.estimate(sample.colocation)
        errors.append(abs(estimate.excess - sample.excess))
        covered += sample.excess <= estimate.upper_bound(1.0)
        if sample.excess > MARGIN:
            above_margin += 1
            missed += estimate.upper_bound(1.0) <= MARGIN
    return Score(
        name,
        samples,
        math.fsum(errors) / len(errors),
        results.percentile(errors, 0.9),
        covered / len(held_out),
        missed / max(1, above_margin),
    )


def main(seeds: tuple[int, ...] = (301, 302, 303)) -> None:
    """Print a table of the scores, averaged over seeds."""
    tables = [compare(seed) for seed in seeds]
    rows = []
    for scores in zip(*tables, strict=True):
        means = [
            sum(column) / len(seeds) for column in zip(*(s[2:] for s in scores))
        ]
        rows.append([*scores[0][:2], *means])
    print(f"seeds {seeds}, margin {MARGIN}")
    print(
        tabulate.tabulate(
            rows, Score._fields, tablefmt="github", floatfmt=".3f"
        )
    )


if __name__ == "__main__":
    fire.Fire(main)
