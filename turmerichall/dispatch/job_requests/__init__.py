"""Callers' requests to accept and cancel jobs, which may arrive repeatedly."""

__all__: list[str] = []
