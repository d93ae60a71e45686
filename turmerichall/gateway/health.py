"""Passive health checks of backend servers, from the results of requests."""

import math

__all__ = ["Health", "MIN_SERVERS_IN_USE_RATIO", "eject_worst"]

# Weight of the newest sample in the exponential moving averages.
SAMPLE_WEIGHT = 0.1
# Error rate above which a server is ejected.
EJECTION_ERROR_RATIO = 0.5
EJECTION_MIN_SAMPLES = 5
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
SLOW_START_SECONDS = 10.0
SLOW_START_MIN_WEIGHT = 0.1
# How long a server that refused a request counts as having no free slot.
FULL_AFTER_REFUSAL_SECONDS = 0.1
# Minimum fraction of the servers of a service that is kept in use.
MIN_SERVERS_IN_USE_RATIO = 0.6


class Health:
    """Health of one incarnation of a backend server.

    Attributes:
        in_use_since: When the server was first seen, or readmitted after an
            ejection, trio time.
        latency_ratio: Moving average of the latency, divided by the mean
            latency of the service.
        error_rate: Moving average of failures, 0.0 to 1.0.
        samples: Number of exchanges since `in_use_since`.
        consecutive_ejections: Number of ejections without a success in between.
        ejected_until: When the server may be probed, trio time; 0.0 if it is
            not ejected.
        probing: Whether a probe is in progress.
        full_until: Until when the server counts as having no free slot, trio
            time.
    """

    def __init__(self, now: float):
        self.in_use_since = now
        self.latency_ratio = 1.0
        self.error_rate = 0.0
        self.samples = 0
        self.consecutive_ejections = 0
        self.ejected_until = 0.0
        self.probing = False
        self.full_until = 0.0

    @property
    def ejected(self) -> bool:
        """Whether the server is ejected; it then gets only probes."""
        return self.ejected_until > 0.0

    def weight(self, now: float) -> float:
        """Return the fraction of the normal load that the server should get.

        After a start it grows from `SLOW_START_MIN_WEIGHT` to 1.0 (slow start);
        errors and latency reduce it.
        """
        age = max(0.0, now - self.in_use_since) / SLOW_START_SECONDS
        slow_start_factor = min(1.0, SLOW_START_MIN_WEIGHT + age)
        return (
            slow_start_factor
            * (1.0 - 0.9 * self.error_rate)
            / self.latency_ratio
        )

    def record_success(self, latency_ratio: float, now: float) -> None:
        """Record a successful response.

        Args:
            latency_ratio: Latency of the response, divided by the mean latency
                of its service.
            now: Current time, trio clock.
        """
        if self.ejected:
            self.in_use_since = now
            self.samples = 0
            self.error_rate = 0.0
            self.ejected_until = 0.0
        self.probing = False
        self.consecutive_ejections = 0
        self.samples += 1
        self.error_rate -= self.error_rate * SAMPLE_WEIGHT
        self.record_latency(latency_ratio)

    def record_latency(self, latency_ratio: float) -> None:
        """Record a latency, divided by the mean latency of the service."""
        clamped = min(max(latency_ratio, 0.05), 50.0)
        self.latency_ratio += (clamped - self.latency_ratio) * SAMPLE_WEIGHT

    def record_failure(self, now: float) -> None:
        """Record a failed exchange; a failed probe ejects the server again."""
        self.samples += 1
        self.error_rate += (1.0 - self.error_rate) * SAMPLE_WEIGHT
        if self.ejected and self.probing:
            self.probing = False
            self.eject(now)

    def should_eject(self) -> bool:
        """Return whether the error rate requires an ejection.

        The server must be in use and have had `EJECTION_MIN_SAMPLES` exchanges.
        """
        return (
            not self.ejected
            and self.samples >= EJECTION_MIN_SAMPLES
            and self.error_rate > EJECTION_ERROR_RATIO
        )

    def eject(self, now: float) -> None:
        """Eject the server for some time.

        The time doubles with each ejection without a success in between, up to
        `MAX_EJECTION_SECONDS`.
        """
        seconds = FIRST_EJECTION_SECONDS * math.pow(
            2.0, self.consecutive_ejections
        )
        self.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        self.consecutive_ejections += 1

    def may_probe(self, now: float) -> bool:
        """Return whether the server is ejected and a request may probe it."""
        return self.ejected and not self.probing and now >= self.ejected_until


def eject_worst(healths: list[Health], now: float) -> list[Health]:
    """Eject the servers of a service with the highest error rates.

    At least the fraction `MIN_SERVERS_IN_USE_RATIO` of the servers stays in
    use.

    Args:
        healths: Health of each server of the service.
        now: Current time, trio clock.

    Returns:
        Health of the servers that this call ejected.
    """
    candidates = [health for health in healths if health.should_eject()]
    if not candidates:
        return []
    already_ejected = sum(health.ejected for health in healths)
    max_ejected = int(len(healths) * (1.0 - MIN_SERVERS_IN_USE_RATIO))
    candidates.sort(key=lambda health: health.error_rate, reverse=True)
    ejected = candidates[: max(0, max_ejected - already_ejected)]
    for health in ejected:
        health.eject(now)
    return ejected
