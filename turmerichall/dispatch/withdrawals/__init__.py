"""Cancellations of jobs that are not known, which later submissions obey."""

__all__: list[str] = []
