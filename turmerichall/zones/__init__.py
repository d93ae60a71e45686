"""Placement of tasks in a zone, by the instance that holds the zone's grant."""

__all__: list[str] = []
