"""Templates of the placement benchmark: what tasks declare and really do."""

import random

from turmerichall import resources
from turmerichall.benchmarks import placement_ground_truth as ground_truths

__all__ = ["make"]


def make(
    draw: random.Random, room: resources.Resources, wrong: bool
) -> list[ground_truths.TemplateBehavior]:
    """Draws three services and eight kinds of batch job.

    Args:
        draw: Source of random numbers.
        room: Capacity of a worker.
        wrong: Whether declared sizes and run times are far off.
    """
    found = []
    for name, share, sensitivity in (
        ("offers", 0.09, 1.6),
        ("checks", 0.07, 2.2),
        ("watchers", 0.045, 0.8),
    ):
        size = _size(room, share)
        found.append(
            ground_truths.TemplateBehavior(
                name, True, size, _scaled(size, 0.7), 0, 0, sensitivity, 0.25
            )
        )
    for number in range(8):
        share = draw.choice((0.05, 0.07, 0.1, 0.14))
        size = _size(room, share)
        run_seconds = draw.choice((120.0, 240.0, 420.0, 700.0))
        noisy = number in (1, 4)
        intensity = draw.uniform(2.0, 3.0) if noisy else draw.uniform(0.1, 0.7)
        factor = _factor(draw, wrong)
        true_run = run_seconds * _factor(draw, wrong)
        declared = size
        used = _scaled(size, 0.85)
        if wrong:
            declared = _scaled(size, factor).minimum(_scaled(room, 0.9))
        found.append(
            ground_truths.TemplateBehavior(
                f"batch-{number}",
                False,
                declared,
                used,
                true_run if wrong else run_seconds,
                run_seconds if wrong else true_run,
                draw.uniform(0.2, 0.6),
                intensity,
            )
        )
    return found


def _factor(draw: random.Random, wrong: bool) -> float:
    if wrong:
        return draw.choice((0.1, 0.3, 1.0, 3.0, 10.0))
    return draw.uniform(0.8, 1.25)


def _size(room: resources.Resources, share: float) -> resources.Resources:
    return resources.Resources(
        round(room.processors * share, 1), int(room.memory_mb * share * 0.9)
    )


def _scaled(size: resources.Resources, factor: float) -> resources.Resources:
    return resources.Resources(
        round(max(0.1, size.processors * factor), 2),
        max(1, int(size.memory_mb * factor)),
    )
