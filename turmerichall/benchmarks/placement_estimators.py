"""Compares estimators of interference on held-out situations.

    python -m turmerichall.benchmarks.placement_estimators

The truth is that of the placement benchmark, whose form is none of theirs.
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


class Drawn(NamedTuple):
    """A drawn situation and its true excess slowdown."""

    situation: interference.Colocation
    excess: float


class Score(NamedTuple):
    """How well an estimator does on held-out situations of services.

    Attributes:
        estimator: Name of the estimator.
        samples: Measurements that it learnt from.
        mean_error: Mean absolute error of the excess slowdown.
        p90_error: Absolute error exceeded by a tenth.
        covered: Share of truths at most one deviation above the estimate.
        missed: Share of truths above `MARGIN` that the upper estimate puts
            below it.
    """

    estimator: str
    samples: int
    mean_error: float
    p90_error: float
    covered: float
    missed: float


def compare(seed: int) -> list[Score]:
    """Scores all estimators after growing numbers of samples."""
    scenario = scenarios.make("noisy_wave", "ikengwu", seed)
    draw = random.Random(seed)
    held_out = [_draw(scenario.truth, draw) for _ in range(HELD_OUT)]
    learning = [_draw(scenario.truth, draw) for _ in range(max(SAMPLES))]
    rows = []
    for name, estimator in (
        ("none", interference.NoEstimator()),
        ("per template", interference.TemplateEstimator()),
        ("pairs with shrinkage", interference.PairEstimator()),
    ):
        learnt = 0
        for samples in SAMPLES:
            for number in range(learnt, samples):
                seen = learning[number]
                measured = scenario.truth.measured(1.0 + seen.excess, draw)
                at = SAMPLE_SECONDS * number
                estimator.learn(seen.situation, measured - 1.0, at)
            learnt = samples
            rows.append(_score(name, samples, estimator, held_out))
    return rows


def _draw(truth: ground_truths.GroundTruth, draw: random.Random) -> Drawn:
    """Draws a service among up to ten neighbours on a 32-core worker."""
    names = list(truth.templates)
    services = [name for name in names if truth.templates[name].service]
    victim = draw.choice(services)
    own = truth.templates[victim].used.processors
    uses = {victim: own}
    for _ in range(draw.randint(0, 10)):
        neighbour = draw.choice(names)
        use = truth.templates[neighbour].used.processors
        if sum(uses.values()) + use <= 32.0:
            uses[neighbour] = uses.get(neighbour, 0.0) + use
    excess = truth.slowdown(victim, own, uses, 32.0) - 1.0
    return Drawn(fleets.colocation(victim, own, uses, 32.0), excess)


def _score(
    name: str,
    samples: int,
    estimator: interference.Estimator,
    held_out: list[Drawn],
) -> Score:
    errors = []
    covered = 0
    above = 0
    missed = 0
    for drawn in held_out:
        estimate = estimator.estimate(drawn.situation)
        errors.append(abs(estimate.excess - drawn.excess))
        covered += drawn.excess <= estimate.upper_bound(1.0)
        if drawn.excess > MARGIN:
            above += 1
            missed += estimate.upper_bound(1.0) <= MARGIN
    return Score(
        name,
        samples,
        math.fsum(errors) / len(errors),
        results.percentile(errors, 0.9),
        covered / len(held_out),
        missed / max(1, above),
    )


def main(seeds: tuple[int, ...] = (301, 302, 303)) -> None:
    """Prints scores, as means over seeds."""
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
