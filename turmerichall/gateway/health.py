"""What an entry instance learns about backend servers from its requests."""

import math

__all__ = ["Health", "MIN_SERVERS_IN_USE_RATIO", "eject_worst"]

# Weight of the newest sample in the running means.
SAMPLE_WEIGHT = 0.1
# A server whose share of failures exceeds this is ejected.
EJECTION_ERROR_RATIO = 0.5
EJECTION_MIN_SAMPLES = 5
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
SLOW_START_SECONDS = 10.0
SLOW_START_MIN_WEIGHT = 0.1
# How long a server that refused is taken to be full.
FULL_SECONDS = 0.1
# At least this share of the servers of a service stays in use.
MIN_SERVERS_IN_USE_RATIO = 0.6


class Health:
    """What is known of one incarnation of a backend server.

    Attributes:
        since: When it was first seen, or came back from an ejection.
        slowness: Running mean of the latency over the service's own mean.
        errors: Running mean of failures, 0.0 to 1.0.
        samples: Exchanges since `since`.
        ejections: Ejections in a row.
        ejected_until: When it may be probed; 0.0 if it is in use.
        probing: Whether a probe is under way.
        full_until: Until when it is taken to have no free slot.
    """

    def __init__(self, now: float):
        self.since = now
        self.slowness = 1.0
        self.errors = 0.0
        self.samples = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probing = False
        self.full_until = 0.0

    @property
    def ejected(self) -> bool:
        """Whether the server is out of use."""
        return self.ejected_until > 0.0

    def weight(self, now: float) -> float:
        """Returns the share of its normal load that the server may get.

        It grows from `SLOW_START_MIN_WEIGHT` to 1.0 after a start.
        """
        age = max(0.0, now - self.since) / SLOW_START_SECONDS
        started = min(1.0, SLOW_START_MIN_WEIGHT + age)
        return started * (1.0 - 0.9 * self.errors) / self.slowness

    def succeeded(self, slowness: float, now: float) -> None:
        """Takes an answer in.

        Args:
            slowness: Its latency over the mean latency of the service.
            now: Current time, trio clock.
        """
        if self.ejected:
            self.since = now
            self.samples = 0
            self.errors = 0.0
            self.ejected_until = 0.0
        self.probing = False
        self.ejections = 0
        self.samples += 1
        self.errors -= self.errors * SAMPLE_WEIGHT
        self.slowed(slowness)

    def slowed(self, slowness: float) -> None:
        """Takes a latency in, over the mean latency of the service."""
        bounded = min(max(slowness, 0.05), 50.0)
        self.slowness += (bounded - self.slowness) * SAMPLE_WEIGHT

    def failed(self, now: float) -> None:
        """Takes a failure in."""
        self.samples += 1
        self.errors += (1.0 - self.errors) * SAMPLE_WEIGHT
        if self.ejected and self.probing:
            self.probing = False
            self.eject(now)

    def deserves_ejection(self) -> bool:
        """Tells whether too much fails here."""
        return (
            not self.ejected
            and self.samples >= EJECTION_MIN_SAMPLES
            and self.errors > EJECTION_ERROR_RATIO
        )

    def eject(self, now: float) -> None:
        """Takes the server out of use, for longer each time in a row."""
        seconds = FIRST_EJECTION_SECONDS * math.pow(2.0, self.ejections)
        self.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        self.ejections += 1

    def may_probe(self, now: float) -> bool:
        """Tells whether one request may try an ejected server."""
        return self.ejected and not self.probing and now >= self.ejected_until


def eject_worst(healths: list[Health], now: float) -> list[Health]:
    """Ejects the worst servers of a service as far as the floor allows.

    Args:
        healths: The health of each server of the service.
        now: Current time, trio clock.

    Returns:
        Those that were ejected now.
    """
    bad = [health for health in healths if health.deserves_ejection()]
    if not bad:
        return []
    out = sum(health.ejected for health in healths)
    most_out = int(len(healths) * (1.0 - MIN_SERVERS_IN_USE_RATIO))
    bad.sort(key=lambda health: health.errors, reverse=True)
    ejected = bad[: max(0, most_out - out)]
    for health in ejected:
        health.eject(now)
    return ejected
