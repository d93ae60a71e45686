"""Reports of failures that end less than the process, to logs and metrics."""

from collections.abc import Callable
import time

from turmerichall.peers import link
from turmerichall.supervision import failure as failures
from turmerichall.telemetry import lightweight_metrics
from turmerichall.telemetry import repeat_limit

__all__ = ["FailureReporter"]

# Bound on the places whose repetitions are tracked.
MAX_PLACES = 4096


class FailureReporter:
    """Logs and counts failures of tasks and connections.

    Each is counted by task and cause.  Of those at the same place for the same
    object, one in `repeat_limit.DEFAULT_INTERVAL_SECONDS` is logged, with their
    number.

    Attributes:
        log: Receives the lines.
        metrics_registry: Counts `task_failures`.
    """

    def __init__(
        self,
        log: link.Log,
        metrics_registry: lightweight_metrics.MetricsRegistry,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.log = log
        self.metrics_registry = metrics_registry
        self._clock = clock
        self._limits: dict[tuple[str, str, str], repeat_limit.RepeatLimit] = {}

    def report(self, task: str, error: BaseException, **fields: object) -> None:
        """Report a failure.

        Args:
            task: Kind of task that failed, such as "session with a worker".
            error: What it raised; each exception of a group is reported.
            **fields: Further fields of the log line, such as the worker.
        """
        for each in failures.leaves(error):
            failure = failures.describe(each)
            self.metrics_registry.count(
                "task_failures", task=task, cause=failure.cause
            )
            count = self._limit(task, failure.place, fields).count(
                self._clock()
            )
            if count:
                self.log.error(
                    f"{task} failed", count=count, **fields, **failure.fields()
                )

    def _limit(
        self, task: str, place: str, fields: dict[str, object]
    ) -> repeat_limit.RepeatLimit:
        key = (task, place, str(sorted(fields.items())))
        if key not in self._limits and len(self._limits) >= MAX_PLACES:
            self._limits.clear()
        return self._limits.setdefault(key, repeat_limit.RepeatLimit())
