"""Tests of the reports of rejected messages."""

from turmerichall.dispatch.tests import fakes
from turmerichall.supervision import rejections
from turmerichall.telemetry import lightweight_metrics


class TestVolume:

    def test_a_thousand_messages_are_counted_and_few_are_logged(self) -> None:
        log = fakes.RecordingLog()
        metrics_registry = lightweight_metrics.MetricsRegistry()
        rejected = rejections.Rejections(log, metrics_registry)
        for number in range(1000):
            rejected.record(
                "heartbeat", "is not a JSON object", worker=f"i-{number}" * 999
            )
        text = metrics_registry.exposition().decode()
        assert (
            'turmerichall_messages_rejected_total{reason="is not a JSON object"'
            ',source="heartbeat"} 1000.0'
        ) in text
        assert 0 < len(log.lines) <= 2 * rejections.LINES_PER_SECOND
        assert all(len(str(line)) < 500 for line in log.lines)
