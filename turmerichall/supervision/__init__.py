"""Failures of tasks: what they end, and what operators see of them."""

__all__: list[str] = []
