"""An adaptive limit of the requests in flight on one entry instance."""

__all__ = ["Concurrency"]

MIN_LIMIT = 8.0
# The limit falls while latency is above this multiple of what is usual.
SLOW_RATIO = 2.0
DECREASE = 0.98
USUAL_WEIGHT = 0.002
RECENT_WEIGHT = 0.1


class Concurrency:
    """Grows by one for each window of good answers, and falls with latency.

    Latency counts as a multiple of the service's own, so that slow services
    don't count against quick ones.

    Attributes:
        most: Upper bound of the limit.
        limit: Requests that may be in flight now.
        usual: Slowly moving mean of the latency ratio.
        recent: Quickly moving mean of it.

    References:
        Additive increase, multiplicative decrease: D. Chiu and R. Jain,
        Computer Networks and ISDN Systems 17(1), 1989.
    """

    def __init__(self, most: int):
        self.most = float(most)
        self.limit = float(most)
        self.usual = 1.0
        self.recent = 1.0

    def note(self, ratio: float, in_flight: int) -> None:
        """Takes the latency of an answer in.

        Args:
            ratio: Its latency over the mean latency of the service.
            in_flight: Requests in flight when it ended.
        """
        self.usual += (ratio - self.usual) * USUAL_WEIGHT
        self.recent += (ratio - self.recent) * RECENT_WEIGHT
        if self.recent > SLOW_RATIO * self.usual:
            self.limit = max(MIN_LIMIT, self.limit * DECREASE)
        elif in_flight * 2 >= self.limit:
            self.limit = min(self.most, self.limit + 1.0 / self.limit)
