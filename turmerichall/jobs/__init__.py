"""Batch jobs, their tasks and the recorded decisions about them."""

__all__: list[str] = []
