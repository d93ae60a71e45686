"""Queues of jobs: configuration, submitted jobs and their replicated state."""

__all__: list[str] = []
