"""True behavior of tasks in the placement benchmark, hidden from the planner.

Its model of interference differs on purpose from those of the estimators: the
effect of a neighbour depends on the pair of templates, effects grow more than
additively with load, and an overcommitted worker slows all its tasks.
"""

import math
import random
from typing import NamedTuple

from turmerichall import resources

__all__ = ["TemplateBehavior", "GroundTruth"]

MEASUREMENT_DEVIATION = 0.12


class TemplateBehavior(NamedTuple):
    """Declared and true behavior of a template's tasks.

    Attributes:
        name: Name of the template.
        service: Whether its tasks serve requests.
        declared: Declared size.
        used: Resources in use when alone and unthrottled.
        declared_run_seconds: Declared run time.
        run_seconds: Run time when alone and unthrottled.
        sensitivity: Factor on the slowdown that neighbours cause to its tasks.
        intensity: Factor on the slowdown that its tasks cause to neighbours.
    """

    name: str
    service: bool
    declared: resources.Resources
    used: resources.Resources
    declared_run_seconds: float
    run_seconds: float
    sensitivity: float
    intensity: float


class GroundTruth:
    """The templates and the interference between them.

    Attributes:
        templates: The templates by name.
        pair_factors: Factor on a neighbour's effect, by the names of the slowed
            and the slowing template.
    """

    def __init__(
        self, templates: list[TemplateBehavior], rng: random.Random
    ) -> None:
        self.templates = {template.name: template for template in templates}
        self.pair_factors = {
            (victim, neighbour): rng.lognormvariate(-0.32, 0.8)
            for victim in self.templates
            for neighbour in self.templates
        }

    def slowdown(
        self,
        victim: str,
        own_use: float,
        uses: dict[str, float],
        capacity: float,
    ) -> float:
        """Return the slowdown of a task; 1.0 means as fast as when alone.

        Args:
            victim: Template of the task.
            own_use: Processors that the task itself demands, part of `uses`.
            uses: Processors that all tasks on the worker demand, by template.
            capacity: Processors of the worker.
        """
        behavior = self.templates[victim]
        load: float = sum(uses.values()) / capacity
        pressure: float = 0.0
        for neighbour, use in uses.items():
            if neighbour == victim:
                use = max(0.0, use - own_use)
            strength = self.templates[neighbour].intensity
            strength *= self.pair_factors[victim, neighbour]
            pressure += strength * (use / capacity) ** 0.9
        interference = (
            behavior.sensitivity * pressure * (0.5 + min(load, 1.0) ** 2)
        )
        contention = max(1.0, load)
        if behavior.service:
            contention *= contention
        return (1.0 + interference) * contention

    def measure_with_noise(self, slowdown: float, rng: random.Random) -> float:
        """Return a measurement of a slowdown with log-normal noise."""
        noise = math.exp(rng.gauss(0.0, MEASUREMENT_DEVIATION))
        return max(0.5, slowdown * noise)
