"""Leases that entitle workers to run tasks."""

__all__: list[str] = []
