"""Availability zones and the grant of their placing authority."""

__all__: list[str] = []
