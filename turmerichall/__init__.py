"""Scheduler for colocated latency-critical services and batch jobs."""

__all__: list[str] = []
