"""What is true of templates in the placement benchmark, and hidden from it.

The form differs from that of the estimators: neighbours act by pair, more
than additively with load, and an overcommitted worker slows everyone.
"""

import math
import random
from typing import NamedTuple

from turmerichall import resources

__all__ = ["TemplateBehavior", "GroundTruth"]

MEASUREMENT_DEVIATION = 0.12


class TemplateBehavior(NamedTuple):
    """What tasks of a template really do.

    Attributes:
        name: Name of the template.
        service: Whether its tasks serve requests.
        declared: Declared size.
        used: Size in use when alone and unthrottled.
        declared_run_seconds: Declared run time.
        run_seconds: Run time when alone and unthrottled.
        sensitivity: How much it is slowed by neighbours.
        intensity: How much it slows neighbours.
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
    """All templates and how they act on each other.

    Attributes:
        templates: The templates by name.
        pairs: Factor on a neighbour's effect, by slowed and slowing template.
    """

    def __init__(
        self, templates: list[TemplateBehavior], draw: random.Random
    ) -> None:
        self.templates = {template.name: template for template in templates}
        self.pairs = {
            (victim, neighbour): draw.lognormvariate(-0.32, 0.8)
            for victim in self.templates
            for neighbour in self.templates
        }

    def slowdown(
        self, victim: str, own_use: float, uses: dict[str, float], room: float
    ) -> float:
        """Returns how much slower a task runs than alone.

        Args:
            victim: Template of the task.
            own_use: Processors that the task wants itself, part of `uses`.
            uses: Processors wanted by template.
            room: Processors of the worker.
        """
        truth = self.templates[victim]
        load: float = sum(uses.values()) / room
        pressure: float = 0.0
        for neighbour, use in uses.items():
            if neighbour == victim:
                use = max(0.0, use - own_use)
            strength = self.templates[neighbour].intensity
            strength *= self.pairs[victim, neighbour]
            pressure += strength * (use / room) ** 0.9
        slowed = truth.sensitivity * pressure * (0.5 + min(load, 1.0) ** 2)
        contention = max(1.0, load)
        if truth.service:
            contention *= contention
        return (1.0 + slowed) * contention

    def measured(self, slowdown: float, draw: random.Random) -> float:
        """Returns a noisy measurement of a slowdown."""
        noise = math.exp(draw.gauss(0.0, MEASUREMENT_DEVIATION))
        return max(0.5, slowdown * noise)
