"""Random templates of the placement benchmark.

A template has a declared size and run time and the true behavior of its tasks.
"""

import random

from turmerichall import resources
from turmerichall.benchmarks import placement_ground_truth as ground_truths

__all__ = ["make"]


def make(
    rng: random.Random, capacity: resources.Resources, misdeclared: bool
) -> list[ground_truths.TemplateBehavior]:
    """Draw three templates of services and eight of batch jobs.

    Args:
        rng: Source of random numbers.
        capacity: Capacity of a worker.
        misdeclared: Whether declared sizes and run times are far from the true
            ones, by a factor of up to 10.
    """
    templates = []
    for name, fraction, sensitivity in (
        ("offers", 0.09, 1.6),
        ("checks", 0.07, 2.2),
        ("watchers", 0.045, 0.8),
    ):
        size = _size_of_fraction(capacity, fraction)
        templates.append(
            ground_truths.TemplateBehavior(
                name, True, size, _scale(size, 0.7), 0, 0, sensitivity, 0.25
            )
        )
    for number in range(8):
        fraction = rng.choice((0.05, 0.07, 0.1, 0.14))
        size = _size_of_fraction(capacity, fraction)
        run_seconds = rng.choice((120.0, 240.0, 420.0, 700.0))
        noisy = number in (1, 4)
        intensity = rng.uniform(2.0, 3.0) if noisy else rng.uniform(0.1, 0.7)
        size_error = _declaration_error(rng, misdeclared)
        other_run_seconds = run_seconds * _declaration_error(rng, misdeclared)
        declared = size
        used = _scale(size, 0.85)
        if misdeclared:
            declared = _scale(size, size_error).minimum(_scale(capacity, 0.9))
        templates.append(
            ground_truths.TemplateBehavior(
                f"batch-{number}",
                False,
                declared,
                used,
                other_run_seconds if misdeclared else run_seconds,
                run_seconds if misdeclared else other_run_seconds,
                rng.uniform(0.2, 0.6),
                intensity,
            )
        )
    return templates


def _declaration_error(rng: random.Random, misdeclared: bool) -> float:
    if misdeclared:
        return rng.choice((0.1, 0.3, 1.0, 3.0, 10.0))
    return rng.uniform(0.8, 1.25)


def _size_of_fraction(
    capacity: resources.Resources, fraction: float
) -> resources.Resources:
    return resources.Resources(
        round(capacity.processors * fraction, 1),
        int(capacity.memory_mb * fraction * 0.9),
    )


def _scale(size: resources.Resources, factor: float) -> resources.Resources:
    return resources.Resources(
        round(max(0.1, size.processors * factor), 2),
        max(1, int(size.memory_mb * factor)),
    )
