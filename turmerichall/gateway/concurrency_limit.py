"""Adaptive limit of the requests in flight on one entry instance."""

__all__ = ["ConcurrencyLimit"]

MIN_LIMIT = 8.0
# The limit decreases while the short-term average of the latency is above this
# multiple of the long-term average.
SLOW_RATIO = 2.0
DECREASE_FACTOR = 0.98
LONG_TERM_WEIGHT = 0.002
SHORT_TERM_WEIGHT = 0.1


class ConcurrencyLimit:
    """A concurrency limit that follows latency.

    While at least half of it is used, it grows by about one for every `limit`
    responses with normal latency.  It shrinks by `DECREASE_FACTOR` for each
    response while latency is high.  Latency is measured relative to the mean
    latency of the service, so that slow services don't affect fast ones.

    Attributes:
        max_limit: Upper bound of the limit.
        limit: Number of requests that may be in flight now.
        long_term_ratio: Slow moving average of the latency ratio.
        short_term_ratio: Fast moving average of the latency ratio.

    References:
        Additive increase, multiplicative decrease: D. Chiu and R. Jain,
        Computer Networks and ISDN Systems 17(1), 1989.
    """

    def __init__(self, max_limit: int):
        self.max_limit = float(max_limit)
        self.limit = float(max_limit)
        self.long_term_ratio = 1.0
        self.short_term_ratio = 1.0

    def record(self, latency_ratio: float, in_flight: int) -> None:
        """Record the latency of a response and adapt the limit.

        Args:
            latency_ratio: Latency of the response, divided by the mean latency
                of its service.
            in_flight: Number of requests in flight at that time.
        """
        self.long_term_ratio += (
            latency_ratio - self.long_term_ratio
        ) * LONG_TERM_WEIGHT
        self.short_term_ratio += (
            latency_ratio - self.short_term_ratio
        ) * SHORT_TERM_WEIGHT
        if self.short_term_ratio > SLOW_RATIO * self.long_term_ratio:
            self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
        elif in_flight * 2 >= self.limit:
            self.limit = min(self.max_limit, self.limit + 1.0 / self.limit)
