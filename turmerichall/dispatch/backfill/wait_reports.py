"""Reports on waiting jobs: log lines, and wait times by the size of the job."""

import bisect
import collections

from turmerichall.dispatch import backlog as backlogs
from turmerichall.peers import link
from turmerichall.telemetry import lightweight_metrics

__all__ = ["WaitReports"]

# Minimum time between two lines about the same job.
LINE_INTERVAL_SECONDS = 5.0
# Maximum number of lines in a placing round, which a burst of jobs would
# otherwise fill.
MAX_LINES_PER_ROUND = 8
# Number of the latest jobs of a queue by which the size of a job is judged.
MAX_SIZES = 256


class _Sizes:
    """Sizes of the latest jobs of one queue.

    Attributes:
        latest: The sizes, oldest first.
        ascending: The same sizes in order.
    """

    def __init__(self) -> None:
        self.latest: collections.deque[float] = collections.deque()
        self.ascending: list[float] = []

    def add(self, size: float) -> None:
        """Add the size of a job."""
        if len(self.latest) == MAX_SIZES:
            oldest = self.latest.popleft()
            del self.ascending[bisect.bisect_left(self.ascending, oldest)]
        self.latest.append(size)
        bisect.insort(self.ascending, size)

    def size_class(self, size: float) -> str:
        """Return the class of a job: `largest` tenth, `large` fifth, `rest`."""
        share = bisect.bisect_left(self.ascending, size) / len(self.ascending)
        if share >= 0.9:
            return "largest"
        return "large" if share >= 0.7 else "rest"


class WaitReports:
    """Reports on the waiting jobs of one term's leader."""

    def __init__(
        self,
        log: link.Log,
        metrics_registry: lightweight_metrics.MetricsRegistry,
    ):
        self._log = log
        self._metrics_registry = metrics_registry
        self._sizes: dict[str, _Sizes] = {}
        # Class by id of a job with waiting tasks.
        self._classes: dict[str, str] = {}
        # Time of the latest line by id of the job.
        self._logged_at: dict[str, float] = {}
        self._lines_left = 0

    def begin_round(self, now: float) -> None:
        """Begin a placing round."""
        self._lines_left = MAX_LINES_PER_ROUND
        if len(self._logged_at) > MAX_SIZES:
            self._logged_at = {
                job: at
                for job, at in self._logged_at.items()
                if now - at < LINE_INTERVAL_SECONDS
            }
        if len(self._classes) > 4 * MAX_SIZES:
            self._classes.clear()

    def record_placed(
        self, group: backlogs.TaskGroup, count: int, now: float
    ) -> None:
        """Record the wait of placed tasks of a group.

        Args:
            group: The group.
            count: Number of placed tasks.
            now: Current time on the steady clock.
        """
        seconds = max(now - group.waiting_since, 0.0)
        size_class = self._size_class(group)
        for _ in range(count):
            self._metrics_registry.record_latency(
                f"task_wait_{size_class}", seconds
            )

    def _size_class(self, group: backlogs.TaskGroup) -> str:
        job = group.job
        size_class = self._classes.get(job.id)
        if size_class is None:
            size = float(
                sum(
                    step.count * step.cpu * step.estimate_ms
                    for step in job.demand.steps
                )
            )
            sizes = self._sizes.setdefault(job.queue, _Sizes())
            sizes.add(size)
            size_class = self._classes[job.id] = sizes.size_class(size)
        return size_class

    def report(
        self,
        group: backlogs.TaskGroup,
        reason: str,
        now: float,
        expected_seconds: float | None,
    ) -> None:
        """Log why a job waits, unless it was logged a short time ago.

        Args:
            group: The group that waits.
            reason: Why it waits.
            now: Current time on the steady clock.
            expected_seconds: Time until it is expected to start; None if it is
                not known.
        """
        last = self._logged_at.get(group.job.id, -float("inf"))
        if not self._lines_left or now - last < LINE_INTERVAL_SECONDS:
            return
        self._lines_left -= 1
        self._logged_at[group.job.id] = now
        self._log.info(
            "job waits for room",
            job=group.job.id,
            step=group.name.step,
            tasks=len(group.waiting),
            reason=reason,
            waited_seconds=round(now - group.waiting_since, 2),
            expected_start_seconds=(
                None if expected_seconds is None else round(expected_seconds, 2)
            ),
        )
