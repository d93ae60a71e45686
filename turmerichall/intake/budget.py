"""Budget of the memory that the connections of one port take together.

Answers crowds of clients that each stay within the limits of one request, and
together take more memory or descriptors than the process has: bodies that stop
short, requests that are complete and wait, responses that nobody reads.

Who gives way is decided by what a connection costs: the bytes that it holds
times the time for which it has held them.  An ordinary request is small and
complete within milliseconds, so it costs little beside one that stops short.
Requests that are being handled never give way, since they may have an effect;
if they fill the budget, further ones are refused before they are handled.
"""

from collections.abc import Callable
import enum

from turmerichall.intake import limits as limits_module

__all__ = ["Activity", "Budget", "Holding", "Reason"]

# Part of the budget that is freed at once when it is exceeded, so that the
# connections are not searched again for each further byte.
SLACK = 1 / 8
# Requests of at least this size may take only a part of the budget while they
# are handled, so that smaller ones are still served.
LARGE_BYTES = 64 * 1024
LARGE_SHARE = 3 / 4
# Copies of a request that exist while it is forwarded to another instance: its
# body, its encoded form, and the frame of that.
COPIES = 3


class Reason(enum.StrEnum):
    """Why a connection or request gave way; a label of a metric."""

    BYTES = "bytes"
    CONNECTIONS = "connections"
    IDLE = "idle"
    HANDLED = "handled"


class Activity(enum.IntEnum):
    """What a connection is doing."""

    IDLE = 0
    RECEIVING = 1
    HANDLING = 2
    SENDING = 3


class Holding:
    """What one connection holds.

    Attributes:
        give_up: Releases what the connection holds, and ends it soon.
        activity: What the connection is doing.
        size: Bytes that it holds.
        since: When its present activity began, in seconds.
    """

    def __init__(self, give_up: Callable[[], None], now: float):
        self.give_up = give_up
        self.activity = Activity.IDLE
        self.size = 0
        self.since = now

    def cost(self, now: float) -> float:
        """Return the bytes that it holds times the seconds since it began."""
        return (self.size + limits_module.CONNECTION_BYTES) * (now - self.since)


class Budget:
    """Budget of one port.

    Attributes:
        limits: The limits.
        holdings: Open connections that have not given way.
        size: Bytes that they hold.
        handled_size: Bytes of these that belong to requests which are being
            handled.
        on_given_up: Called with the reason when a connection gives way or a
            request is refused.
        copies: Number of copies of a request that exist while it is handled.
    """

    def __init__(
        self,
        limits: limits_module.Limits = limits_module.Limits.from_memory(0),
        on_given_up: Callable[[Reason], None] = lambda _: None,
        copies: int = COPIES,
    ):
        self.limits = limits
        self.on_given_up = on_given_up
        self.copies = copies
        self.holdings: set[Holding] = set()
        self.size = 0
        self.handled_size = 0

    def open(self, give_up: Callable[[], None], now: float) -> Holding | None:
        """Take a new connection, for which another one may have to give way.

        Args:
            give_up: Releases what the connection holds, and ends it soon; must
                not wait.
            now: Current time, in seconds of a steady clock.

        Returns:
            What it holds; None if the requests of all others are being handled,
            so that it has to be closed.
        """
        if len(self.holdings) >= self.limits.connections():
            victim = self._find_connection(now)
            if victim is None:
                self.on_given_up(Reason.CONNECTIONS)
                return None
            is_idle = victim.activity == Activity.IDLE
            self._give_up(
                victim, Reason.IDLE if is_idle else Reason.CONNECTIONS
            )
        holding = Holding(give_up, now)
        self.holdings.add(holding)
        return holding

    def close(self, holding: Holding) -> None:
        """Release a connection that has ended."""
        if holding in self.holdings:
            self.holdings.discard(holding)
            self._set(holding, Activity.IDLE, 0)

    def update(
        self, holding: Holding, activity: Activity, size: int, now: float
    ) -> bool:
        """Record what a connection does and holds, unless it handles a request.

        Args:
            holding: The connection.
            activity: What it does.  If that is not what it did before, it
                begins now.
            size: Bytes that it holds.
            now: Current time, in seconds of a steady clock.

        Returns:
            Whether it may go on; False if it has given way, now or before.
        """
        if holding not in self.holdings:
            return False
        if holding.activity != activity:
            holding.since = now
        self._set(holding, activity, size)
        self._make_room(now)
        return holding in self.holdings

    def admit(self, holding: Holding, size: int, now: float) -> bool:
        """Decide whether a complete request is handled.

        Args:
            holding: Its connection.
            size: Size of the request.
            now: Current time, in seconds of a steady clock.

        Returns:
            Whether it may be handled; otherwise it has to be refused.  Any
            request may be handled alone.
        """
        charge = self.copies * size
        share = LARGE_SHARE if size >= LARGE_BYTES else 1.0
        allowed = self.limits.max_bytes * share
        if self.handled_size and self.handled_size + charge > allowed:
            self.on_given_up(Reason.HANDLED)
            return False
        return self.update(holding, Activity.HANDLING, charge, now)

    def _set(self, holding: Holding, activity: Activity, size: int) -> None:
        if holding.activity == Activity.HANDLING:
            self.handled_size -= holding.size
        self.size += size - holding.size
        holding.activity = activity
        holding.size = size
        if activity == Activity.HANDLING:
            self.handled_size += size

    def _make_room(self, now: float) -> None:
        """Let the costliest connections give way if the budget is exceeded."""
        if self.size <= self.limits.max_bytes:
            return
        # Little is freed if most of it belongs to requests being handled.
        room = max(0, self.limits.max_bytes - self.handled_size)
        target = self.limits.max_bytes - min(
            self.limits.max_bytes * SLACK, room / 2
        )
        candidates = [
            each
            for each in self.holdings
            if each.size and each.activity != Activity.HANDLING
        ]
        candidates.sort(key=lambda each: each.cost(now), reverse=True)
        for each in candidates:
            if self.size <= target:
                return
            self._give_up(each, Reason.BYTES)

    def _find_connection(self, now: float) -> Holding | None:
        """Return the connection that gives way to a new one.

        That is the one that has been idle for longest; without an idle one, the
        costliest that is not being handled.
        """
        idle = [
            each for each in self.holdings if each.activity == Activity.IDLE
        ]
        if idle:
            return min(idle, key=lambda each: each.since)
        others = [
            each for each in self.holdings if each.activity != Activity.HANDLING
        ]
        return max(others, key=lambda each: each.cost(now), default=None)

    def _give_up(self, holding: Holding, reason: Reason) -> None:
        self.close(holding)
        self.on_given_up(reason)
        holding.give_up()
