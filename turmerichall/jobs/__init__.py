"""Batch jobs, their tasks and the decisions recorded about them."""

__all__: list[str] = []
