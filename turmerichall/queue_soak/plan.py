"""Plans of faults: one seed gives one plan."""

import enum
import random
from typing import NamedTuple

__all__ = ["Fault", "Kind", "draw"]


class Kind(enum.StrEnum):
    """Kind of a fault."""

    KILL_REPLICA = "kill_replica"
    STOP_REPLICA = "stop_replica"
    FREEZE_REPLICA = "freeze_replica"
    KILL_ENTRY = "kill_entry"
    FREEZE_ENTRY = "freeze_entry"
    RESTART_WORKER = "restart_worker"


class Fault(NamedTuple):
    """One fault.

    Attributes:
        at: When it begins, in seconds from the start of the load.
        kind: Its kind.
        target: Number of the replica, entry instance or worker.
        seconds: For how long something is frozen or silent.
    """

    at: float
    kind: Kind
    target: int
    seconds: float


# Most seconds of one fault of a kind.
_SECONDS = {
    Kind.FREEZE_REPLICA: 3.0,
    Kind.FREEZE_ENTRY: 6.0,
    Kind.RESTART_WORKER: 1.5,
}


def draw(
    seed: int, seconds: float, replicas: int, entries: int, workers: int
) -> list[Fault]:
    """Draw a plan; faults come in series and overlap.

    Args:
        seed: The seed.
        seconds: Length of the soak.
        replicas: Number of replicas.
        entries: Number of entry instances.
        workers: Number of workers.

    Examples:
        >>> draw(1, 60.0, 3, 2, 4) == draw(1, 60.0, 3, 2, 4)
        True
    """
    rng = random.Random(seed)
    counts = {
        Kind.KILL_REPLICA: replicas,
        Kind.STOP_REPLICA: replicas,
        Kind.FREEZE_REPLICA: replicas,
        Kind.KILL_ENTRY: entries,
        Kind.FREEZE_ENTRY: entries,
        Kind.RESTART_WORKER: workers,
    }
    kinds = list(Kind) + [Kind.RESTART_WORKER] * 4 + [Kind.FREEZE_ENTRY]
    faults = []
    at = 3.0
    while at < seconds:
        kind = rng.choice(kinds)
        length = rng.uniform(0.1, 1.0) * _SECONDS.get(kind, 0.0)
        faults.append(Fault(at, kind, rng.randrange(counts[kind]), length))
        at += rng.expovariate(0.8)
    return faults
