"""Delay of a process's event loop, which grows if it lacks processor time."""

from typing import Protocol

import trio

__all__ = ["LatencyRecorder", "LoopDelay"]

# Time between two measurements.
INTERVAL_SECONDS = 0.1


class LatencyRecorder(Protocol):
    """Recorder of latencies; `lightweight_metrics.MetricsRegistry` is one."""

    def record_latency(self, name: str, seconds: float) -> None:
        """Record a latency in the histogram of a name."""


class LoopDelay:
    """Measures how late the event loop runs a task that is due.

    Attributes:
        recorder: Receives each delay as the latency "loop_delay".
        worst_seconds: Longest delay since the last call of `take_worst`.
    """

    def __init__(self, recorder: LatencyRecorder):
        self.recorder = recorder
        self.worst_seconds = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_at = trio.current_time() + INTERVAL_SECONDS
            await trio.sleep_until(due_at)
            self.record(trio.current_time() - due_at)

    def record(self, seconds: float) -> None:
        """Record one delay."""
        self.worst_seconds = max(self.worst_seconds, seconds)
        self.recorder.record_latency("loop_delay", seconds)

    def take_worst(self) -> float:
        """Return the longest delay since the last call, in seconds."""
        worst, self.worst_seconds = self.worst_seconds, 0.0
        return worst
