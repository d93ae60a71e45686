"""Weights that trade batch throughput against the tail latency of services."""

from typing import NamedTuple

__all__ = ["BALANCED", "TAIL_LATENCY", "THROUGHPUT", "Weights", "named"]


class Weights(NamedTuple):
    """Coefficients of the cost of placing a task on a worker.

    Attributes:
        latency: Cost of one unit of expected slowdown of a service.
        throughput: Cost of one unit of expected slowdown of a batch task.
        packing: Cost of placing a batch task on a worker whose processors are
            all free; it falls in proportion to the free share.
        service_packing: The same cost for service tasks.  It packs them onto
            few workers, which leaves the others free for batch tasks.
        service_margin: Highest slowdown of a service, as a factor of its
            latency without neighbours, at which a batch task may still be added
            to its worker.
    """

    latency: float = 4.0
    throughput: float = 2.0
    packing: float = 0.2
    service_packing: float = 6.0
    service_margin: float = 1.5


BALANCED = Weights()
THROUGHPUT = Weights(latency=2.0, throughput=4.0, service_margin=1.7)
TAIL_LATENCY = Weights(latency=8.0, throughput=1.0, service_margin=1.4)

_PRESETS = {
    "balanced": BALANCED,
    "throughput": THROUGHPUT,
    "tail_latency": TAIL_LATENCY,
}


def named(name: str) -> Weights | None:
    """Return the weights of a preset, or None if there is no such preset.

    Examples:
        >>> named("balanced") == BALANCED
        True
        >>> named("other") is None
        True
    """
    return _PRESETS.get(name)
