"""Counters, gauges and log lines of fair admission."""

from collections.abc import Callable

from turmerichall.dispatch.admission_control import decision
from turmerichall.dispatch.admission_control import shares
from turmerichall.peers import link
from turmerichall.telemetry import lightweight_metrics

__all__ = ["AdmissionReport"]

# Maximum number of log lines on refusals in a second; a burst has hundreds.
MAX_LINES_PER_SECOND = 10


class AdmissionReport:
    """Observability of one leader's admission control.

    Attributes:
        log: Log of the leader.
        metrics_registry: Metrics of the process.
    """

    def __init__(
        self,
        log: link.Log,
        metrics_registry: lightweight_metrics.MetricsRegistry,
    ):
        self.log = log
        self.metrics_registry = metrics_registry
        self._second = 0
        self._lines = 0
        self._suppressed = 0

    def count_place(self, use: str, times: int = 1) -> None:
        """Count what happened to places: kept, used, early, full or expired."""
        if times:
            self.metrics_registry.count("admission_places", times, use=use)

    def decided(
        self,
        inputs: decision.Inputs,
        made: decision.Decision,
        group: shares.Group,
        now: float,
    ) -> None:
        """Count a decision, and log the inputs of a refusal.

        Args:
            inputs: Its inputs.
            made: The decision.
            group: Group of the job.
            now: Current time on the steady clock.
        """
        verdict = "accepted" if made.retry_seconds is None else "refused"
        self.metrics_registry.count(
            "admission_decisions", verdict=verdict, cause=made.cause.value
        )
        if made.retry_seconds is None:
            return
        if int(now) != self._second:
            self._second = int(now)
            self._lines = 0
        if self._lines >= MAX_LINES_PER_SECOND:
            self._suppressed += 1
            return
        self._lines += 1
        self.log.info(
            "admission refused a job",
            job=inputs.job,
            cause=made.cause.value,
            queue=group.queue,
            caller_zone=group.zone,
            objective=round(inputs.objective_seconds, 2),
            age=round(inputs.age_seconds, 2),
            service=round(inputs.service_seconds, 2),
            wait=round(inputs.wait_seconds, 2),
            long_wait=round(inputs.long_wait_seconds, 2),
            over_share=inputs.is_over_share,
            refusals=inputs.refusals,
            retry_after=made.retry_seconds,
            suppressed=self._suppressed,
        )
        self._suppressed = 0

    def register_gauges(
        self,
        places: Callable[[], float],
        groups: Callable[[], float],
        lowest_acceptance: Callable[[], float],
    ) -> None:
        """Register the gauges; those of an earlier leader here are replaced.

        Args:
            places: Returns the number of places kept.
            groups: Returns the number of groups with demand.
            lowest_acceptance: Returns the lowest share of the demanded work
                that was accepted of a group.
        """
        add_gauge = self.metrics_registry.add_gauge
        add_gauge(
            "admission_places_kept",
            "Number of refused jobs for which a place is kept.",
            places,
        )
        add_gauge(
            "admission_groups",
            "Number of queues and zones of callers with demand.",
            groups,
        )
        add_gauge(
            "admission_lowest_acceptance",
            "Lowest accepted share of the work that a group demanded.",
            lowest_acceptance,
        )
