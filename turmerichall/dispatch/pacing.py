"""How fast tasks that fill may run beside lasting tasks.

Answers interference that changes within seconds and is seen only in tails that
arrive late: a control loop on each worker cuts the pace of all filling tasks by
half when a tail nears its target, and gives it back in steps.

References:
    Lo et al., "Heracles: Improving Resource Efficiency at Scale", 2015: a
    control loop on each machine grows and disables best-effort work by the
    slack of the latency-critical tasks.
"""

__all__ = ["next_percent"]

# Of the target: above it filling tasks are slowed.
HIGH_RATIO = 0.85
# Above it they are stopped from working.
OVER_RATIO = 1.0
# Below it they get speed back.
LOW_RATIO = 0.65
STEP_PERCENT = 20
LEAST_PERCENT = 10


def next_percent(percent: int, ratio: float) -> int:
    """Returns the pace of filling tasks after a new figure of the tails.

    Args:
        percent: Their pace now.
        ratio: Worst tail of the lasting tasks against its target.

    Examples:
        >>> next_percent(100, 0.5), next_percent(100, 0.9)
        (100, 50)
        >>> next_percent(50, 1.2), next_percent(0, 0.3)
        (0, 20)
    """
    if ratio >= OVER_RATIO:
        return 0 if percent <= 50 else percent // 4
    if ratio >= HIGH_RATIO:
        return max(percent // 2, min(percent, LEAST_PERCENT))
    if ratio <= LOW_RATIO:
        return min(percent + STEP_PERCENT, 100)
    return percent
