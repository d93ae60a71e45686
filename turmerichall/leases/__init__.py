"""Leases under which workers run tasks."""

__all__: list[str] = []
