"""Placement of tasks in availability zones, by the holder of a zone's grant."""

__all__: list[str] = []
