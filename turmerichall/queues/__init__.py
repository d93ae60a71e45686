"""Queues of jobs: what callers ask for, and what became of it."""

__all__: list[str] = []
