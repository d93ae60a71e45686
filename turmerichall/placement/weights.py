"""How a user weighs batch throughput against tail latency."""

from typing import NamedTuple

__all__ = ["BALANCED", "TAIL_LATENCY", "THROUGHPUT", "Weights", "named"]


class Weights(NamedTuple):
    """What a placement is judged by.

    Attributes:
        latency: Cost of one unit of expected slowdown of a service.
        throughput: Cost of one unit of expected slowdown of a batch task.
        packing: Cost of the processors that stay free on the chosen worker,
            as a share of its capacity.
        service_packing: The same for services; it keeps them on few workers,
            beside which the others are free for batch work.
        service_margin: Slowdown of a service above which no batch task is
            added to its worker.
    """

    latency: float = 4.0
    throughput: float = 2.0
    packing: float = 0.2
    service_packing: float = 6.0
    service_margin: float = 1.5


BALANCED = Weights()
THROUGHPUT = Weights(latency=2.0, throughput=4.0, service_margin=1.7)
TAIL_LATENCY = Weights(latency=8.0, throughput=1.0, service_margin=1.4)

_NAMED = {
    "balanced": BALANCED,
    "throughput": THROUGHPUT,
    "tail_latency": TAIL_LATENCY,
}


def named(name: str) -> Weights | None:
    """Returns the weights that a setting names, or None if there are none.

    Examples:
        >>> named("balanced") == BALANCED
        True
        >>> named("other") is None
        True
    """
    return _NAMED.get(name)
